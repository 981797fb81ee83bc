#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "dispatch/dispatch.h"
#include "dispatch/EndpointRestrictions.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::dispatch;
using namespace std::chrono_literals;

namespace {

const ServiceName kPlain("plain");

fleet::EndpointRecord makeRecord(const std::string& id)
{
  fleet::EndpointRecord record;
  record.id = EndpointId(id);
  record.service = kPlain;
  record.address = id + ":80";
  record.zone = ZoneId("a");
  record.slots = 6;
  record.startedAtMs = 1;
  return record;
}

/** A dispatcher with the plain endpoints p1 and p2. */
struct Fixture
{
  Fixture()
  {
    fleet::ServiceSettings service;
    service.name = kPlain;
    service.maxConnections = 20;
    dispatcher.setServices(now, std::vector{ service });
    dispatcher.setEndpoints(now, records);
  }

  RequestInfo makeRequest()
  {
    RequestInfo request;
    request.id = ++lastRequestId;
    request.service = kPlain;
    request.kind = fleet::RouteKind::repeatable;
    request.deadline = now + 30s;
    request.maxAttempts = 3;
    return request;
  }

  /** Sends a request and finishes it.
      @returns the endpoint, or "" if it was refused */
  std::string sendAndFinish()
  {
    const auto request = makeRequest();
    const auto choice = dispatcher.choose(now, request, {});
    dispatcher.finished(now, request.id, Outcome::answered);
    dispatcher.forget(request.id);
    return choice ? choice->endpoint.value : "";
  }

  /** Sends requests until one reaches the endpoint.
      @returns the id of that request, which is still running */
  std::uint64_t sendTo(const std::string& endpoint)
  {
    std::uint64_t found = 0;
    std::vector<std::uint64_t> others;
    for (int i = 0; i < 20 && found == 0; ++i) {
      const auto request = makeRequest();
      const auto choice = dispatcher.choose(now, request, {});
      if (choice && choice->endpoint.value == endpoint) {
        found = request.id;
      } else {
        others.push_back(request.id);
      }
    }
    for (const auto other : others) {
      dispatcher.forget(other);
    }
    REQUIRE(found != 0);
    return found;
  }

  /** Breaks connections to an endpoint; returns whether that takes it out of rotation. */
  bool breakUntilOut(const std::string& endpoint)
  {
    bool isOut = false;
    for (int i = 0; i < 20 && !isOut; ++i) {
      dispatcher.finished(now, sendTo(endpoint), Outcome::broken);
      isOut = !dispatcher.takeEvents().empty();
    }
    return isOut;
  }

  int countSendsTo(const std::string& endpoint)
  {
    int count = 0;
    for (int i = 0; i < 20; ++i) {
      count += sendAndFinish() == endpoint ? 1 : 0;
    }
    return count;
  }

  Time now{ 1'000'000'000 };
  std::uint64_t lastRequestId = 0;
  std::vector<fleet::EndpointRecord> records{ makeRecord("p1"), makeRecord("p2") };
  Dispatcher dispatcher{ DispatcherSettings{ ZoneId("a") } };
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "endpoint_saidThatItLeaves_getsNoRequestsUntilItIsRestarted")
{
  // Guards against requests to an endpoint that leaves although its announcements call it ready.
  const auto request = sendTo("p1");
  dispatcher.endpointLeaving(now, request);
  dispatcher.finished(now, request, Outcome::answered);
  CHECK(countSendsTo("p1") == 0);

  records[0].sequence = 99;
  dispatcher.setEndpoints(now, records);
  CHECK(countSendsTo("p1") == 0);

  dispatcher.setEndpoints(now, std::vector{ records[1] });
  dispatcher.setEndpoints(now, records);
  CHECK(countSendsTo("p1") == 0);

  records[0].startedAtMs = 2;
  dispatcher.setEndpoints(now, records);
  dispatcher.setEndpoints(now, std::vector{ records[0] });
  CHECK(countSendsTo("p1") == 20);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_saidThatItLeaves_getsNoTrialOfItsCircuitBreaker")
{
  // Guards against a trial request, which is sent regardless of the state of other endpoints.
  const auto request = sendTo("p1");
  dispatcher.endpointLeaving(now, request);
  dispatcher.finished(now, request, Outcome::broken);
  for (int i = 0; i < 100; ++i) {
    now = now + 100ms;
    dispatcher.tick(now);
    CHECK(sendAndFinish() == "p2");
  }
}

TEST_CASE_FIXTURE(Fixture, "endpoint_askedForBackoff_getsRequestsOnlyAfterIt")
{
  // Guards against requests within the time that an endpoint asked for, also when a second refusal
  // names a shorter time.
  const auto request = sendTo("p1");
  const auto laterAnswered = sendTo("p1");
  dispatcher.endpointBackoff(now, request, 5s);
  dispatcher.finished(now, request, Outcome::notExecuted);
  dispatcher.endpointBackoff(now, laterAnswered, 1s);
  dispatcher.finished(now, laterAnswered, Outcome::notExecuted);
  now = now + 4900ms;
  dispatcher.tick(now);
  CHECK(countSendsTo("p1") == 0);
  now = now + 200ms;
  dispatcher.tick(now);
  CHECK(sendTo("p1") > 0);
}

TEST_CASE_FIXTURE(Fixture, "service_allEndpointsAskedForBackoff_refusesWithTheTimeLeft")
{
  // Guards against callers that wait for, or return before, an endpoint accepts requests again.
  for (const auto& [endpoint, backoff] : { std::pair{ "p1", 8s }, std::pair{ "p2", 6s } }) {
    const auto request = sendTo(endpoint);
    dispatcher.endpointBackoff(now, request, backoff);
    dispatcher.finished(now, request, Outcome::notExecuted);
  }
  now = now + 1s;
  const auto choice = dispatcher.choose(now, makeRequest(), {});
  REQUIRE(!choice);
  CHECK(choice.error().retryAfter == 5s);
  CHECK(dispatcher.timeUntilBackoffEnds(now, kPlain) == 5s);
}

TEST_CASE_FIXTURE(Fixture, "service_allEndpointsLeave_refusesAtOnce")
{
  // Guards against a request that waits for an endpoint that will accept none.
  for (const auto* endpoint : { "p1", "p2" }) {
    const auto request = sendTo(endpoint);
    dispatcher.endpointLeaving(now, request);
    dispatcher.finished(now, request, Outcome::answered);
  }
  const auto choice = dispatcher.choose(now, makeRequest(), {});
  REQUIRE(!choice);
  CHECK(choice.error().kind == ErrorKind::noEndpoint);
  CHECK(dispatcher.timeUntilBackoffEnds(now, kPlain) == 0s);
}

TEST_CASE_FIXTURE(Fixture, "delayedSend_endpointLeavesMeanwhile_isWithdrawnWithoutUsingAnAttempt")
{
  // Guards against a delayed send to an endpoint that said in the meantime that it leaves.
  const auto answered = sendTo("p1");
  auto request = makeRequest();
  request.maxAttempts = 1;
  const std::vector<EndpointId> excluded{ EndpointId("p2") };
  REQUIRE(dispatcher.choose(now, request, excluded));
  CHECK(dispatcher.maySend(now, request.id));
  dispatcher.endpointLeaving(now, answered);
  CHECK(!dispatcher.maySend(now, request.id));
  dispatcher.finished(now, request.id, Outcome::withdrawn);
  const auto choice = dispatcher.choose(now, request, {});
  REQUIRE(choice);
  CHECK(choice->endpoint.value == "p2");
}

TEST_CASE("EndpointRestrictions_hugeBackoff_endsAfterTheMaximum")
{
  // Guards against an overflow, and against an endpoint that one wrong answer excludes for good.
  EndpointRestrictions restrictions;
  const Time now{ 1'000'000 };
  CHECK(restrictions.recordBackoff(now, 1, Duration::max()));
  CHECK(!restrictions.maySend(now + EndpointRestrictions::kMaxBackoff - 1s, 1));
  CHECK(restrictions.maySend(now + EndpointRestrictions::kMaxBackoff, 1));
}

TEST_CASE("EndpointRestrictions_endedRestrictions_areRemoved")
{
  // Guards against memory that grows with each start of an endpoint.
  EndpointRestrictions restrictions;
  Time now{ 1'000'000 };
  for (std::uint64_t incarnation = 0; incarnation < 100; ++incarnation) {
    restrictions.recordBackoff(now, incarnation, 1s);
    restrictions.recordLeaving(now, 1000 + incarnation);
  }
  now = now + 2s;
  restrictions.expire(now);
  CHECK(restrictions.size() == 100);
  now = now + EndpointRestrictions::kLeavingRetention;
  restrictions.expire(now);
  CHECK(restrictions.size() == 0);
}

// Guards against requests, delayed sends or trials of an open breaker at an evacuated zone, also at
// an endpoint that restarts there, against a zone that gets no requests after its return, and
// against a request that is told to wait while no zone of its service is in use.
TEST_CASE_FIXTURE(Fixture, "zone_isEvacuated_itsEndpointsGetNoRequests")
{
  records[0].zone = ZoneId("b");
  dispatcher.setEndpoints(now, records);
  const auto delayed = sendTo("p1");
  REQUIRE(breakUntilOut("p1"));
  dispatcher.setEvacuatedZones(now, std::vector{ ZoneId("b") });
  CHECK_FALSE(dispatcher.maySend(now, delayed));
  dispatcher.finished(now, delayed, Outcome::withdrawn);
  for (int i = 0; i < 100; ++i) {
    now = now + 100ms;
    dispatcher.tick(now);
    CHECK(sendAndFinish() == "p2");
  }
  records[0].startedAtMs = 2;
  dispatcher.setEndpoints(now, records);
  CHECK(countSendsTo("p2") == 20);
  dispatcher.setEvacuatedZones(now, {});

  dispatcher.endpointBackoff(now, sendTo("p1"), 5s);
  dispatcher.setEvacuatedZones(now, std::vector{ ZoneId("a"), ZoneId("b") });
  const auto choice = dispatcher.choose(now, makeRequest(), {});
  CHECK(choice.error().kind == ErrorKind::noEndpoint);
  CHECK(choice.error().isEvacuated);
  CHECK(dispatcher.timeUntilBackoffEnds(now, kPlain) == Duration(0));
}

// Guards against a faulty zone that is evacuated and whose open breakers use up the number of
// endpoints that may be out of rotation.
TEST_CASE_FIXTURE(Fixture, "zone_isEvacuated_itsOpenBreakersDoNotCount")
{
  records.insert(records.end(), { makeRecord("p3"), makeRecord("p4") });
  records[0].zone = records[1].zone = ZoneId("b");
  dispatcher.setEndpoints(now, records);
  REQUIRE(breakUntilOut("p1"));
  REQUIRE(breakUntilOut("p2"));
  dispatcher.setEvacuatedZones(now, std::vector{ ZoneId("b") });
  CHECK(breakUntilOut("p3"));
}
