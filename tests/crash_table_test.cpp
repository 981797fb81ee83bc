#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "dispatch/CrashTable.h"

#include <chrono>
#include <doctest/doctest.h>
#include <vector>

using namespace figchute;
using namespace figchute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr Fingerprint kFirstPart = 1;
constexpr Fingerprint kSubject = 2;
constexpr Fingerprint kCrashingPart = 3;

struct Fixture
{
  /** Returns the candidates of a new request with these parts. */
  CrashCandidates requestWith(std::vector<Fingerprint> parts)
  {
    return { std::move(parts), ++lastRequest };
  }

  CrashCandidates crashingRequest() { return requestWith({ kFirstPart, kSubject, kCrashingPart }); }

  /** Lets a new endpoint crash that was running these unanswered requests. */
  void crash(const std::vector<CrashCandidates>& requests)
  {
    ++lastEndpoint;
    for (const auto& request : requests) {
      table.addSuspect(now, { lastEndpoint, 100 + lastEndpoint }, request, false);
    }
    table.confirmSuspects(now, lastEndpoint);
  }

  bool isRefused(const CrashCandidates& request) { return table.refusal(now, request).has_value(); }

  void advance(Duration time)
  {
    now = now + time;
    table.expire(now);
  }

  CrashTable table;
  Time now{ 1'000'000'000 };
  std::size_t lastEndpoint = 0;
  Fingerprint lastRequest = 1000;
};

} // namespace

// Guards against refusing all requests that share the other parts of a crashing prompt.
TEST_CASE_FIXTURE(Fixture, "PromptPart_crashesThreeEndpoints_onlyTheMostSpecificPartIsRefused")
{
  for (int i = 0; i < 3; ++i) {
    CHECK_FALSE(isRefused(crashingRequest()));
    crash({ crashingRequest() });
  }
  const auto refusal = table.refusal(now, crashingRequest());
  REQUIRE(refusal);
  CHECK(refusal->isPart);
  CHECK(refusal->remaining == CrashTable::kRefusalTime);
  CHECK_FALSE(isRefused(requestWith({ kFirstPart, kSubject })));
  CHECK_FALSE(isRefused(requestWith({ kFirstPart })));
}

// Guards against refusing sound requests that happened to wait on the endpoints that crashed.
TEST_CASE_FIXTURE(Fixture, "PromptPart_waitedOnCrashedEndpoints_isAccepted")
{
  constexpr Fingerprint kOtherFirstPart = 11;
  constexpr Fingerprint kOtherSubject = 12;
  const auto bystander = [&] { return requestWith({ kOtherFirstPart, kOtherSubject }); };
  for (int i = 0; i < 5; ++i) {
    crash({ bystander(), crashingRequest(), bystander() });
  }
  CHECK(isRefused(crashingRequest()));
  CHECK_FALSE(isRefused(bystander()));
}

// Guards against refusing a part although requests with it are answered.
TEST_CASE_FIXTURE(Fixture, "PromptPart_answeredBetweenCrashes_isAccepted")
{
  for (int i = 0; i < 6; ++i) {
    crash({ requestWith({ kFirstPart, kSubject }) });
    table.recordAnswer(now, requestWith({ kFirstPart, kSubject }));
  }
  CHECK_FALSE(isRefused(requestWith({ kFirstPart, kSubject })));
}

// Guards against a wrong suspicion that does not end before its time, at this process or at others.
TEST_CASE_FIXTURE(Fixture, "PromptPart_answeredWhileRefused_isAcceptedEverywhere")
{
  CrashTable otherTable;
  for (int i = 0; i < 3; ++i) {
    crash({ crashingRequest() });
  }
  for (const auto& crash : table.takeCrashes()) {
    otherTable.addReports(now, std::vector{ crash.report });
  }
  CHECK(otherTable.refusal(now, crashingRequest()));
  REQUIRE(isRefused(crashingRequest()));
  table.recordAnswer(now, crashingRequest());
  CHECK_FALSE(isRefused(crashingRequest()));
  otherTable.addReports(now, table.takeRefutations());
  CHECK_FALSE(otherTable.refusal(now, crashingRequest()));
}

// Guards against counting one crash once for each process that had requests on the endpoint.
TEST_CASE_FIXTURE(Fixture, "PromptPart_oneCrashReportedByManyProcesses_countsOnce")
{
  for (Fingerprint process = 1; process <= 9; ++process) {
    const fleet::CrashReport report{ 101, { kFirstPart, kSubject, 2000 + process } };
    table.addReports(now, std::vector{ report });
  }
  CHECK_FALSE(isRefused(requestWith({ kFirstPart, kSubject })));
  CHECK(table.suspectedCrashes(requestWith({ kFirstPart })) == 1);
}

// Guards against three more crashed endpoints each time a refusal has ended.
TEST_CASE_FIXTURE(Fixture, "PromptPart_crashesAgainAfterRefusal_isRefusedForLonger")
{
  for (int i = 0; i < 3; ++i) {
    crash({ crashingRequest() });
  }
  advance(CrashTable::kRefusalTime);
  CHECK_FALSE(isRefused(crashingRequest()));
  crash({ crashingRequest() });
  advance(CrashTable::kRefusalTime);
  CHECK(isRefused(crashingRequest()));
  advance(CrashTable::kRefusalTime);
  CHECK_FALSE(isRefused(crashingRequest()));
}

// Guards against a prompt part that is suspected because a long answer was cut.
TEST_CASE_FIXTURE(Fixture, "PromptPart_answersInProgressAreCut_isAccepted")
{
  for (std::size_t endpoint = 1; endpoint <= 4; ++endpoint) {
    table.addSuspect(now, { endpoint, endpoint }, requestWith({ kFirstPart, kSubject }), true);
    table.confirmSuspects(now, endpoint);
  }
  CHECK_FALSE(isRefused(requestWith({ kFirstPart, kSubject })));
}

// Guards against an identical request whose parts are refused although the request is the cause.
TEST_CASE_FIXTURE(Fixture, "Request_equalRequestsCrash_partsAreAccepted")
{
  const auto request = requestWith({ kFirstPart, kSubject });
  for (int i = 0; i < 3; ++i) {
    crash({ request });
  }
  const auto refusal = table.refusal(now, request);
  REQUIRE(refusal);
  CHECK_FALSE(refusal->isPart);
  CHECK_FALSE(isRefused(requestWith({ kFirstPart, kSubject })));
}

// Guards against a crashing part that is never found because each request with it is sent again and
// reaches the limit by itself.
TEST_CASE_FIXTURE(Fixture, "PromptPart_requestsAreRepeated_isRefusedAfterTheSecondRequest")
{
  const auto first = crashingRequest();
  for (int i = 0; i < 3; ++i) {
    crash({ first });
  }
  CHECK(isRefused(first));
  const auto second = crashingRequest();
  for (int i = 0; i < 2; ++i) {
    CHECK_FALSE(isRefused(second));
    crash({ second });
  }
  CHECK(isRefused(crashingRequest()));
  CHECK_FALSE(isRefused(requestWith({ kFirstPart, kSubject })));
}

// Guards against refusing a request that followed a crashing one from endpoint to endpoint, once
// the reports of other processes explain its crashes.
TEST_CASE_FIXTURE(Fixture, "Request_crashesAreExplainedLater_isAcceptedAgain")
{
  const auto bystander = requestWith({ 11 });
  const auto crashing = crashingRequest();
  for (int i = 0; i < 3; ++i) {
    crash({ bystander });
  }
  CHECK(isRefused(bystander));
  for (std::size_t endpoint = 1; endpoint <= 3; ++endpoint) {
    auto candidates = crashing.parts;
    candidates.push_back(crashing.request);
    table.addReports(now, std::vector{ fleet::CrashReport{ 100 + endpoint, candidates } });
  }
  CHECK(isRefused(crashing));
  CHECK_FALSE(isRefused(bystander));
}

// Guards against unbounded memory, and against a cause that is forgotten, while a caller makes up
// new parts and endpoints go on crashing.
TEST_CASE_FIXTURE(Fixture, "PromptPart_manyMadeUpParts_causeStaysRefused")
{
  for (int i = 0; i < 3; ++i) {
    crash({ crashingRequest() });
  }
  REQUIRE(isRefused(crashingRequest()));
  for (Fingerprint part = 10'000; part < 12'000; ++part) {
    crash({ requestWith({ part, part + 50'000 }) });
  }
  CHECK(isRefused(crashingRequest()));
  fleet::CrashReportStore store;
  for (const auto& crash : table.takeCrashes()) {
    store.merge(now, crash.report);
  }
  CHECK(store.records().size() == fleet::CrashReportStore::kMaxReports);
}

// Guards against reading or writing out of range with a prompt of very many parts.
TEST_CASE_FIXTURE(Fixture, "PromptPart_promptWithManyParts_lastSharedPartsAreReported")
{
  std::vector<Fingerprint> parts;
  for (Fingerprint part = 1; part <= 500; ++part) {
    parts.push_back(part);
  }
  for (int i = 0; i < 3; ++i) {
    crash({ requestWith(parts) });
  }
  for (const auto& crash : table.takeCrashes()) {
    CHECK(fleet::isValid(crash.report));
  }
  CHECK(isRefused(requestWith({ 500 })));
}

// Guards against a crash that is assumed although the endpoint still accepts connections.
TEST_CASE_FIXTURE(Fixture, "Suspect_endpointAcceptsConnections_isCleared")
{
  table.addSuspect(now, { 1, 101 }, crashingRequest(), false);
  CHECK(table.suspectedCrashes(crashingRequest()) == 1);
  table.clearSuspects(1, now);
  table.confirmSuspects(now, 1);
  CHECK(table.takeCrashes().empty());
  CHECK(table.suspectedCrashes(crashingRequest()) == 0);
}
