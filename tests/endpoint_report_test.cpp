#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "dispatch/EndpointRestrictions.h"
#include "router/EndpointReport.h"

#include <doctest/doctest.h>
#include <string>

using namespace figchute;
using namespace figchute::router;
using namespace std::chrono_literals;

namespace {

const FieldNames kNames;

http::ResponseHead makeHead(int status, const std::string& name, const std::string& value)
{
  http::ResponseHead head;
  head.status = status;
  head.fields.add(name, value);
  return head;
}

} // namespace

TEST_CASE("load_moreFiguresThanKnown_keepsTheKnownOnes")
{
  // Guards against discarding the load of endpoints of a later release, which add a figure.
  for (const auto* text : { "3,1,8", "3,1,8,250", "3, 1, 8, 250, x" }) {
    const auto head = makeHead(200, kNames.load, text);
    const auto report = parseEndpointReport(kNames, head);
    REQUIRE(report.load);
    CHECK(report.load->running == 3);
    CHECK(report.load->waiting == 1);
    CHECK(report.load->slots == 8);
  }
}

TEST_CASE("load_unreadable_isAbsentAndNoted")
{
  // Guards against a load that is guessed from a damaged field.
  for (const auto* text : { "", "3,1", "3,,8", "a,1,8", "3,1,99999999999" }) {
    const auto head = makeHead(200, kNames.load, text);
    const auto report = parseEndpointReport(kNames, head);
    CHECK(!report.load);
    CHECK(report.unreadableFields.size() == 1);
  }
}

TEST_CASE("retryAfter_refusal_isTheBackoff")
{
  // Guards against a back-off that is rounded, and against one in an answer that is no refusal.
  const auto refusal = makeHead(503, "Retry-After", "1.5");
  CHECK(parseEndpointReport(kNames, refusal).backoff == Duration(1500ms));
  const auto answer = makeHead(200, "Retry-After", "1.5");
  CHECK(!parseEndpointReport(kNames, answer).backoff);
}

TEST_CASE("retryAfter_broken_isIgnored")
{
  // Guards against an endpoint that is excluded because of a value that is no number of seconds.
  for (const auto* text :
       { "", "1e9", "-1", "inf", "nan", "soon", "Fri, 31 Dec 2027 23:59:59 GMT" }) {
    const auto head = makeHead(503, "Retry-After", text);
    const auto report = parseEndpointReport(kNames, head);
    CHECK(!report.backoff);
    CHECK(report.unreadableFields.size() == 1);
  }
}

TEST_CASE("retryAfter_huge_isShortenedToTheMaximum")
{
  // Guards against an overflow of the duration.
  const auto head = makeHead(503, "Retry-After", std::string(300, '9'));
  CHECK(parseEndpointReport(kNames, head).backoff == dispatch::EndpointRestrictions::kMaxBackoff);
}

TEST_CASE("leaving_otherValue_isIgnored")
{
  // Guards against an endpoint that is excluded for good by a value that does not say so.
  CHECK(parseEndpointReport(kNames, makeHead(200, kNames.leaving, "1")).leaving);
  CHECK(!parseEndpointReport(kNames, makeHead(200, kNames.leaving, "0")).leaving);
  CHECK(!parseEndpointReport(kNames, makeHead(200, kNames.leaving, "")).leaving);
}
