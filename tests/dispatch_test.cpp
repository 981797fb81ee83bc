#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "dispatch/dispatch.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::dispatch;
using namespace std::chrono_literals;

namespace {

const ServiceName kModel("model");
const ServiceName kPlain("plain");

fleet::ServiceSettings makeModelService()
{
  fleet::ServiceSettings service;
  service.name = kModel;
  service.maxConnections = 200;
  service.engine = fleet::EngineTraits{ 48, 430'000, 100, 6 };
  return service;
}

fleet::ServiceSettings makePlainService()
{
  fleet::ServiceSettings service;
  service.name = kPlain;
  service.maxConnections = 20;
  return service;
}

fleet::EndpointRecord makeRecord(const std::string& id,
                                 const ServiceName& service,
                                 const std::string& zone = "a",
                                 int slots = 48)
{
  fleet::EndpointRecord result;
  result.id = EndpointId(id);
  result.service = service;
  result.address = id + ":80";
  result.zone = ZoneId(zone);
  result.slots = slots;
  result.startedAtMs = 1;
  return result;
}

/** A dispatcher in zone a with two engines and two plain endpoints in each of the zones a and b. */
struct Fixture
{
  Fixture()
  {
    DispatcherSettings settings;
    settings.zone = ZoneId("a");
    dispatcher = std::make_unique<Dispatcher>(settings);
    dispatcher->setServices(now, services);
    for (const auto* zone : { "a", "b" }) {
      for (const auto* number : { "1", "2" }) {
        endpoints.push_back(makeRecord(std::string("m") + zone + number, kModel, zone));
        endpoints.push_back(makeRecord(std::string("p") + zone + number, kPlain, zone, 6));
      }
    }
    dispatcher->setEndpoints(now, endpoints);
  }

  RequestInfo makeRequest(const ServiceName& service)
  {
    RequestInfo result;
    result.id = ++lastWorkId;
    result.service = service;
    result.kind = fleet::RouteKind::repeatable;
    result.workspace = "w";
    result.model = ModelName("m");
    result.arrival = now;
    result.deadline = now + 10s;
    result.target = 500ms;
    result.maxAttempts = 3;
    return result;
  }

  RequestInfo makeRequestWithPrefix(std::uint64_t prefix)
  {
    auto result = makeRequest(kModel);
    result.parts = { { 1, 500 }, { prefix, 4'900 }, { 1'000'000 + lastWorkId, 6'600 } };
    result.promptTokens = 12'000;
    result.target = 1500ms;
    return result;
  }

  void advance(Duration time)
  {
    const auto end = now + time;
    while (now < end) {
      now = now + 100ms;
      dispatcher->tick(now);
    }
  }

  /** Sends a request and finishes it immediately.
      @returns its endpoint, or "" if it was refused */
  std::string sendAndFinish(const RequestInfo& request, Outcome outcome = Outcome::answered)
  {
    const auto choice = dispatcher->choose(now, request, {});
    if (!choice) {
      return "";
    }
    if (outcome == Outcome::answered) {
      dispatcher->firstByte(now, request.id);
    }
    dispatcher->finished(now, request.id, outcome);
    dispatcher->forget(request.id);
    return choice->endpoint.value;
  }

  Time now{ 1'000'000'000 };
  std::uint64_t lastWorkId = 0;
  std::vector<fleet::ServiceSettings> services{ makeModelService(), makePlainService() };
  std::vector<fleet::EndpointRecord> endpoints;
  std::unique_ptr<Dispatcher> dispatcher;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "sharedPrefix_repeatedRequests_stayAtOneEngine")
{
  // Guards against prefilling shared prompt parts on every engine.
  const auto preferred = sendAndFinish(makeRequestWithPrefix(7));
  for (int i = 0; i < 20; ++i) {
    CHECK(sendAndFinish(makeRequestWithPrefix(7)) == preferred);
  }
}

TEST_CASE_FIXTURE(Fixture, "endpoint_connectionRefused_getsNoRequestsUntilTrial")
{
  // Guards against further requests to an endpoint that refuses connections.
  const auto failedEndpoint = sendAndFinish(makeRequest(kPlain), Outcome::notConnected);
  for (int i = 0; i < 20; ++i) {
    CHECK(sendAndFinish(makeRequest(kPlain)) != failedEndpoint);
  }
  advance(600ms);
  CHECK(sendAndFinish(makeRequest(kPlain)) == failedEndpoint);
}

TEST_CASE_FIXTURE(Fixture, "service_unknown_refusesAsNoEndpoint")
{
  // Guards against waiting for a service that the configuration does not contain.
  const auto choice = dispatcher->choose(now, makeRequest(ServiceName("other")), {});
  REQUIRE(!choice);
  CHECK(choice.error().kind == ErrorKind::noEndpoint);
}

TEST_CASE_FIXTURE(Fixture, "sharedPrefix_otherProcess_choosesSameEngine")
{
  // Guards against a placement that depends on the seed or on the order of the registry.
  DispatcherSettings settings;
  settings.zone = ZoneId("a");
  settings.seed = 99;
  Dispatcher otherDispatcher(settings);
  otherDispatcher.setServices(now, services);
  std::vector<fleet::EndpointRecord> reversedEndpoints(endpoints.rbegin(), endpoints.rend());
  otherDispatcher.setEndpoints(now, reversedEndpoints);
  for (std::uint64_t prefix = 0; prefix < 50; ++prefix) {
    const auto request = makeRequestWithPrefix(prefix);
    const auto ownChoice = dispatcher->choose(now, request, {});
    const auto otherChoice = otherDispatcher.choose(now, request, {});
    REQUIRE(ownChoice);
    REQUIRE(otherChoice);
    CHECK(ownChoice->endpoint == otherChoice->endpoint);
    dispatcher->forget(request.id);
    otherDispatcher.forget(request.id);
  }
}

TEST_CASE_FIXTURE(Fixture, "sharedPrefixes_many_useAllEngines")
{
  // Guards against a placement that leaves engines without prefixes.
  std::map<std::string, int> countByEngine;
  for (std::uint64_t prefix = 0; prefix < 200; ++prefix) {
    ++countByEngine[sendAndFinish(makeRequestWithPrefix(prefix))];
  }
  CHECK(countByEngine.size() == 4);
  for (const auto& [engine, count] : countByEngine) {
    CHECK(count > 25);
  }
}

TEST_CASE_FIXTURE(Fixture, "sharedPrefixes_engineRemoved_othersStayAtTheirEngines")
{
  // Guards against moving all prefixes to other engines when one engine is removed.
  std::map<std::uint64_t, std::string> engineByPrefix;
  for (std::uint64_t prefix = 0; prefix < 100; ++prefix) {
    engineByPrefix[prefix] = sendAndFinish(makeRequestWithPrefix(prefix));
  }
  std::erase_if(endpoints, [](const auto& endpoint) { return endpoint.id.value == "ma1"; });
  dispatcher->setEndpoints(now, endpoints);
  for (const auto& [prefix, engine] : engineByPrefix) {
    if (engine != "ma1") {
      CHECK(sendAndFinish(makeRequestWithPrefix(prefix)) == engine);
    }
  }
}

TEST_CASE_FIXTURE(Fixture, "shortPrefix_lowLoad_staysInOwnZone")
{
  // Guards against traffic between zones for prompt parts that are quick to prefill.
  for (std::uint64_t prefix = 0; prefix < 50; ++prefix) {
    auto request = makeRequest(kModel);
    request.parts = { { 1, 98 }, { prefix + 10, 100 }, { 1'000'000 + request.id, 628 } };
    request.promptTokens = 826;
    CHECK(sendAndFinish(request).substr(0, 2) == "ma");
  }
}

TEST_CASE_FIXTURE(Fixture, "shortPrefixes_mostTrafficHere_useOtherZonesToo")
{
  // Guards against a process that overloads the engines of its zone while engines elsewhere idle.
  dispatcher->setPeers(9);
  std::map<char, int> requestsByZone;
  std::vector<std::uint64_t> runningIds;
  for (std::uint64_t i = 0; i < 3'000; ++i) {
    auto request = makeRequest(kModel);
    request.parts = { { 1, 168 }, { i % 100 + 10, 400 }, { 1'000'000 + request.id, 1'800 } };
    request.promptTokens = 2'368;
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    dispatcher->firstByte(now, request.id);
    now = now + 20ms;
    if (i >= 2'000) {
      ++requestsByZone[choice->endpoint.value[1]];
    }
    // Ten requests run at a time; no other process causes load.
    runningIds.push_back(request.id);
    if (runningIds.size() > 10) {
      dispatcher->finished(now, runningIds.front(), Outcome::answered);
      dispatcher->forget(runningIds.front());
      runningIds.erase(runningIds.begin());
    }
  }
  CHECK(requestsByZone['a'] > 250);
  CHECK(requestsByZone['b'] > 250);
}

TEST_CASE_FIXTURE(Fixture, "longPrompts_received_leaveOtherEnginesFree")
{
  // Guards against pausing all streams of an engine while it prefills a prompt of many chunks.
  endpoints.clear();
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back(makeRecord("m" + std::to_string(i), kModel, i % 2 == 0 ? "a" : "b"));
  }
  dispatcher->setEndpoints(now, endpoints);
  std::set<std::string> longPromptEngines;
  for (std::uint64_t prefix = 0; prefix < 40; ++prefix) {
    auto request = makeRequestWithPrefix(prefix);
    request.parts.back().tokens = 40'000;
    request.promptTokens = 45'400;
    longPromptEngines.insert(sendAndFinish(request));
  }
  CHECK(longPromptEngines.size() <= 2);
  for (std::uint64_t prefix = 0; prefix < 100; ++prefix) {
    CHECK(!longPromptEngines.contains(sendAndFinish(makeRequestWithPrefix(prefix))));
  }
}

TEST_CASE_FIXTURE(Fixture, "longPrompts_otherEnginesBusy_shareReservedEngines")
{
  // Guards against keeping the reserved engines idle while all others have queues.
  endpoints.clear();
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back(makeRecord("m" + std::to_string(i), kModel, i % 2 == 0 ? "a" : "b"));
  }
  dispatcher->setEndpoints(now, endpoints);
  auto request = makeRequestWithPrefix(1'000);
  request.parts.back().tokens = 40'000;
  request.promptTokens = 45'400;
  const auto reservedEndpoint = sendAndFinish(request);
  int sentToReserved = 0;
  for (std::uint64_t prefix = 0; prefix < 60; ++prefix) {
    const auto choice = dispatcher->choose(now, makeRequestWithPrefix(prefix), {});
    REQUIRE(choice);
    sentToReserved += choice->endpoint.value == reservedEndpoint ? 1 : 0;
  }
  CHECK(sentToReserved > 0);
}

TEST_CASE_FIXTURE(Fixture, "sharedPrefix_preferredEngineSlow_movesAndReturns")
{
  // Guards against staying with an engine whose first tokens arrive after the target.
  const auto preferred = sendAndFinish(makeRequestWithPrefix(7));
  for (int i = 0; i < 5; ++i) {
    const auto request = makeRequestWithPrefix(7);
    if (dispatcher->choose(now, request, {})) {
      now = now + 2s;
      dispatcher->firstByte(now, request.id);
      dispatcher->finished(now, request.id, Outcome::answered);
    }
    dispatcher->forget(request.id);
    if (i == 0) {
      CHECK(sendAndFinish(makeRequestWithPrefix(7)) != preferred);
    }
  }
  advance(30s);
  CHECK(sendAndFinish(makeRequestWithPrefix(7)) == preferred);
}

TEST_CASE_FIXTURE(Fixture, "engine_streamsPause_getsFewerRequests")
{
  // Guards against ignoring the load of prompts that other processes sent.
  const auto request = makeRequestWithPrefix(7);
  const auto choice = dispatcher->choose(now, request, {});
  REQUIRE(choice);
  dispatcher->firstByte(now, request.id);
  for (int i = 0; i < 10; ++i) {
    now = now + 450ms;
    dispatcher->progress(now, request.id, 6);
  }
  CHECK(sendAndFinish(makeRequestWithPrefix(7)) != choice->endpoint.value);
}

TEST_CASE_FIXTURE(Fixture, "engine_slowSteps_isAvoidedTemporarily")
{
  // Guards against an engine that decodes several times slower than others but never fails.
  const auto request = makeRequestWithPrefix(7);
  const auto choice = dispatcher->choose(now, request, {});
  REQUIRE(choice);
  dispatcher->firstByte(now, request.id);
  for (int i = 0; i < 40; ++i) {
    now = now + 120ms;
    dispatcher->progress(now, request.id, 6);
  }
  dispatcher->finished(now, request.id, Outcome::answered);
  now = now + 3s;
  CHECK(sendAndFinish(makeRequestWithPrefix(7)) != choice->endpoint.value);
  now = now + 10s;
  CHECK(sendAndFinish(makeRequestWithPrefix(7)) == choice->endpoint.value);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_draining_getsNoRequests")
{
  // Guards against new requests to a draining endpoint.
  for (auto& endpoint : endpoints) {
    if (endpoint.id.value == "pa1" || endpoint.id.value == "ma1") {
      endpoint.state = fleet::EndpointState::draining;
    }
  }
  dispatcher->setEndpoints(now, endpoints);
  for (std::uint64_t i = 0; i < 50; ++i) {
    CHECK(sendAndFinish(makeRequest(kPlain)) != "pa1");
    CHECK(sendAndFinish(makeRequestWithPrefix(i)) != "ma1");
  }
}

TEST_CASE_FIXTURE(Fixture, "endpoint_down_getsTrialsWithIncreasingBackOff")
{
  // Guards against a constant rate of requests to an endpoint that is down.
  int trials = 0;
  const auto failedEndpoint = sendAndFinish(makeRequest(kPlain), Outcome::notConnected);
  for (int i = 0; i < 300; ++i) {
    advance(100ms);
    const auto request = makeRequest(kPlain);
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    const bool isTrial = choice->endpoint.value == failedEndpoint;
    trials += isTrial ? 1 : 0;
    dispatcher->finished(now, request.id, isTrial ? Outcome::notConnected : Outcome::answered);
    dispatcher->forget(request.id);
  }
  CHECK(trials >= 7);
  CHECK(trials <= 12);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_failsPartly_isMostlyOutOfRotation")
{
  // Guards against keeping an endpoint in rotation that fails 45% of its requests but passes some
  // trials.
  Random random(5);
  int failures = 0;
  for (int i = 0; i < 2000; ++i) {
    now = now + 20ms;
    dispatcher->tick(now);
    const auto request = makeRequest(kPlain);
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    const bool shouldFail = choice->endpoint.value == "pa1" && random.chance(0.45);
    failures += shouldFail ? 1 : 0;
    dispatcher->finished(now, request.id, shouldFail ? Outcome::serverError : Outcome::answered);
    dispatcher->forget(request.id);
  }
  CHECK(failures <= 20);
}

TEST_CASE_FIXTURE(Fixture, "service_allEndpointsFail_halfStayInRotation")
{
  // Guards against taking all endpoints of a service out of rotation.
  for (int i = 0; i < 100; ++i) {
    now = now + 10ms;
    const auto request = makeRequest(kPlain);
    CHECK(dispatcher->choose(now, request, {}));
    dispatcher->finished(now, request.id, Outcome::notConnected);
    dispatcher->forget(request.id);
  }
  CHECK(dispatcher->takeEvents().size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_restarted_getsRequestsAgain")
{
  // Guards against counting the failures of the previous process of a restarted endpoint.
  const auto failedEndpoint = sendAndFinish(makeRequest(kPlain), Outcome::notConnected);
  for (auto& endpoint : endpoints) {
    if (endpoint.id.value == failedEndpoint) {
      endpoint.startedAtMs = 2;
    }
  }
  dispatcher->setEndpoints(now, endpoints);
  CHECK(sendAndFinish(makeRequest(kPlain)) == failedEndpoint);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_silent_isReportedOnceAndAvoided")
{
  // Guards against requests that wait for an endpoint whose connections transfer no data.
  std::string silentEndpoint;
  std::vector<std::uint64_t> idsAtSilentEndpoint;
  for (int i = 0; i < 3; ++i) {
    const auto request = makeRequestWithPrefix(7);
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    if (silentEndpoint.empty() || choice->endpoint.value == silentEndpoint) {
      silentEndpoint = choice->endpoint.value;
      idsAtSilentEndpoint.push_back(request.id);
    } else {
      dispatcher->firstByte(now, request.id);
      dispatcher->finished(now, request.id, Outcome::answered);
    }
  }
  advance(4s);
  CHECK(dispatcher->takeStalled() == idsAtSilentEndpoint);
  advance(4s);
  CHECK(dispatcher->takeStalled().empty());
}

TEST_CASE_FIXTURE(Fixture, "endpoint_silentAgain_isReportedAgain")
{
  // Guards against a stream whose endpoint is gone after it had been silent once before.
  const auto request = makeRequestWithPrefix(7);
  REQUIRE(dispatcher->choose(now, request, {}));
  dispatcher->firstByte(now, request.id);
  advance(2s);
  CHECK(dispatcher->takeStalled().size() == 1);
  dispatcher->progress(now, request.id, 1);
  CHECK(dispatcher->takeStalled().empty());
  advance(2s);
  CHECK(dispatcher->takeStalled().size() == 1);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_notReadForSlowCaller_isNotSilent")
{
  // Guards against sound endpoints that slow callers take out of rotation.
  const auto request = makeRequestWithPrefix(7);
  REQUIRE(dispatcher->choose(now, request, {}));
  dispatcher->firstByte(now, request.id);
  dispatcher->readingPaused(request.id);
  advance(8s);
  CHECK(dispatcher->takeStalled().empty());
  CHECK(dispatcher->takeEvents().empty());
  dispatcher->readingResumed(now, request.id);
  advance(1s);
  CHECK(dispatcher->takeStalled().empty());
  advance(1s);
  CHECK(dispatcher->takeStalled() == std::vector{ request.id });
}

TEST_CASE_FIXTURE(Fixture, "secondSendOfARequest_underAnotherId_countsAsRepeat")
{
  // Guards against requests that are sent to a second endpoint beyond the budget of repeats.
  dispatcher->setPeers(4);
  int repeats = 0;
  for (int i = 0; i < 400; ++i) {
    now = now + 20ms;
    const auto request = makeRequest(kPlain);
    const auto first = dispatcher->choose(now, request, {});
    REQUIRE(first);
    auto second = makeRequest(kPlain);
    second.isRepeat = true;
    const std::vector<EndpointId> excluded{ first->endpoint };
    repeats += dispatcher->choose(now, second, excluded) ? 1 : 0;
    dispatcher->finished(now, request.id, Outcome::answered);
    dispatcher->forget(request.id);
    dispatcher->forget(second.id);
  }
  // 400 requests in 8 s: 0.15 x 400 + 58 / 8.
  CHECK(repeats <= 67);
  CHECK(repeats >= 50);
}

TEST_CASE_FIXTURE(Fixture, "repeats_manyFailures_stayWithinBudget")
{
  // Guards against repeats that multiply the load of a failing service.
  dispatcher->setPeers(4);
  int repeats = 0;
  for (int i = 0; i < 400; ++i) {
    now = now + 20ms;
    const auto request = makeRequest(kPlain);
    std::vector<EndpointId> excluded;
    while (const auto choice = dispatcher->choose(now, request, excluded)) {
      repeats += excluded.empty() ? 0 : 1;
      excluded.push_back(choice->endpoint);
      dispatcher->finished(now, request.id, Outcome::serverError);
    }
    dispatcher->forget(request.id);
  }
  // 400 requests in 8 s: 0.15 x 400 + 58 / 8.
  CHECK(repeats <= 67);
  CHECK(repeats >= 50);
}

TEST_CASE_FIXTURE(Fixture, "request_attemptsExhausted_isRefused")
{
  // Guards against more sends than the route allows.
  const auto request = makeRequest(kPlain);
  std::vector<EndpointId> excluded;
  for (int i = 0; i < request.maxAttempts; ++i) {
    const auto choice = dispatcher->choose(now, request, excluded);
    REQUIRE(choice);
    CHECK(std::find(excluded.begin(), excluded.end(), choice->endpoint) == excluded.end());
    excluded.push_back(choice->endpoint);
    dispatcher->finished(now, request.id, Outcome::serverError);
  }
  CHECK(!dispatcher->choose(now, request, excluded));
}

TEST_CASE_FIXTURE(Fixture, "connections_processLimitReached_refusesAsOverloaded")
{
  // Guards against exceeding the connection limit of an endpoint, which applies to all processes
  // together.
  dispatcher->setPeers(4);
  std::map<std::string, int> sendsByEndpoint;
  for (int i = 0; i < 20; ++i) {
    auto request = makeRequest(kPlain);
    request.priority = 0;
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    CHECK(choice->maxConnections == 5);
    CHECK(++sendsByEndpoint[choice->endpoint.value] <= 5);
  }
  const auto refusedChoice = dispatcher->choose(now, makeRequest(kPlain), {});
  REQUIRE(!refusedChoice);
  CHECK(refusedChoice.error().kind == ErrorKind::overloaded);
}

TEST_CASE_FIXTURE(Fixture, "resumedStream_twoSoftwareVersions_staysAtTheFirstOne")
{
  // Guards against a stream that is joined from the events of two software versions.
  for (auto& endpoint : endpoints) {
    endpoint.softwareVersion = endpoint.id.value == "mb2" ? "v1" : "v2";
  }
  dispatcher->setEndpoints(now, endpoints);
  auto request = makeRequestWithPrefix(1);
  request.softwareVersion = "v1";
  CHECK(sendAndFinish(request) == "mb2");
  const std::vector<EndpointId> excluded{ EndpointId("mb2") };
  const auto busy = dispatcher->choose(now, request, excluded);
  REQUIRE(!busy);
  CHECK(busy.error().kind != ErrorKind::resumeUnavailable);
  request.softwareVersion = "v0";
  const auto ended = dispatcher->choose(now, request, {});
  REQUIRE(!ended);
  CHECK(ended.error().kind == ErrorKind::resumeUnavailable);
}

TEST_CASE_FIXTURE(Fixture, "plain_equalLoad_usesOwnZoneThenLeastLoaded")
{
  // Guards against calls to other zones without need, and against queues in the own zone.
  CHECK(sendAndFinish(makeRequest(kPlain)).substr(0, 2) == "pa");
  for (const auto* id : { "pa1", "pa2" }) {
    dispatcher->load(now, EndpointId(id), { 5, 0, 6 });
  }
  for (const auto* id : { "pb1", "pb2" }) {
    dispatcher->load(now, EndpointId(id), { 1, 0, 6 });
  }
  CHECK(sendAndFinish(makeRequest(kPlain)).substr(0, 2) == "pb");
}

TEST_CASE_FIXTURE(Fixture, "engines_allFull_refuseLessUrgentFirst")
{
  // Guards against refusing urgent requests in favour of less urgent ones, and against a time for
  // the retry that is too late for the deadline.
  auto firstRequest = makeRequest(kModel);
  firstRequest.workspace = "large";
  REQUIRE(dispatcher->choose(now, firstRequest, {}));
  auto smallWorkspaceRequest = makeRequest(kModel);
  smallWorkspaceRequest.workspace = "small";
  REQUIRE(dispatcher->choose(now, smallWorkspaceRequest, {}));
  for (int i = 0; i < 2; ++i) {
    auto largeWorkspaceRequest = makeRequest(kModel);
    largeWorkspaceRequest.workspace = "large";
    REQUIRE(dispatcher->choose(now, largeWorkspaceRequest, {}));
  }
  for (const auto* id : { "ma1", "ma2", "mb1", "mb2" }) {
    dispatcher->load(now, EndpointId(id), { 48, 90, 48 });
  }
  auto batchRequest = makeRequest(kModel);
  batchRequest.workspace = "large";
  batchRequest.priority = 9;
  const auto refusedChoice = dispatcher->choose(now, batchRequest, {});
  REQUIRE(!refusedChoice);
  CHECK(refusedChoice.error().kind == ErrorKind::overloaded);
  CHECK(refusedChoice.error().retryAfter >= 50ms);
  CHECK(refusedChoice.error().retryAfter <= (batchRequest.deadline - now) / 3);

  auto urgentRequest = batchRequest;
  urgentRequest.id = ++lastWorkId;
  urgentRequest.priority = 0;
  CHECK(dispatcher->choose(now, urgentRequest, {}));

  auto longPromptRequest = batchRequest;
  longPromptRequest.id = ++lastWorkId;
  longPromptRequest.workspace = "other";
  longPromptRequest.promptTokens = 20'000;
  CHECK(dispatcher->choose(now, longPromptRequest, {}));
}

TEST_CASE_FIXTURE(Fixture, "engines_oneNotFull_noRefusal")
{
  // Guards against refusals while capacity is free.
  for (const auto* id : { "ma1", "ma2", "mb1" }) {
    dispatcher->load(now, EndpointId(id), { 48, 144, 48 });
  }
  auto request = makeRequestWithPrefix(1);
  request.priority = 9;
  const auto choice = dispatcher->choose(now, request, {});
  REQUIRE(choice);
  CHECK(choice->endpoint.value == "mb2");
}

TEST_CASE_FIXTURE(Fixture, "request_crashesThreeEndpoints_isRefusedForAMinute")
{
  // Guards against one request that crashes engine after engine.
  auto request = makeRequest(kModel);
  request.fingerprint = 77;
  for (int i = 0; i < 3; ++i) {
    request.id = ++lastWorkId;
    const auto crashedEndpoint = sendAndFinish(request, Outcome::broken);
    REQUIRE(!crashedEndpoint.empty());
    std::erase_if(endpoints,
                  [&](const auto& endpoint) { return endpoint.id.value == crashedEndpoint; });
    dispatcher->setEndpoints(now, endpoints);
  }
  const auto crashes = dispatcher->takeCrashes();
  REQUIRE(crashes.size() == 3);
  for (const auto& crash : crashes) {
    CHECK(crash.report.candidates == std::vector<Fingerprint>{ 77 });
  }
  request.id = ++lastWorkId;
  const auto refusedChoice = dispatcher->choose(now, request, {});
  REQUIRE(!refusedChoice);
  CHECK(refusedChoice.error().kind == ErrorKind::quarantined);
  CHECK(!sendAndFinish(makeRequest(kModel)).empty());
  advance(61s);
  request.id = ++lastWorkId;
  CHECK(dispatcher->choose(now, request, {}));
}

TEST_CASE_FIXTURE(Fixture, "request_answersLost_countsNoCrash")
{
  // Guards against refusing a request that lost its connections while its endpoints stayed up.
  for (int i = 0; i < 6; ++i) {
    auto request = makeRequest(kPlain);
    request.fingerprint = 77;
    const auto endpoint = sendAndFinish(request, Outcome::broken);
    CHECK(!endpoint.empty());
    for (int j = 0; j < 10; ++j) {
      now = now + 100ms;
      sendAndFinish(makeRequest(kPlain));
    }
    // The endpoint answered in the meantime, so a later restart is not a crash caused by the
    // request.
    for (auto& record : endpoints) {
      ++record.startedAtMs;
    }
    dispatcher->setEndpoints(now, endpoints);
  }
  CHECK(dispatcher->takeCrashes().empty());
}

TEST_CASE_FIXTURE(Fixture, "request_equalRequestsAtOneCrash_countOnce")
{
  // Guards against refusing a frequent request because one crash interrupted several copies of it.
  std::vector<RequestInfo> requests;
  std::set<std::string> crashedEndpoints;
  while (requests.size() < 4) {
    auto request = makeRequestWithPrefix(7);
    request.parts.pop_back();
    request.promptTokens = 5'400;
    request.target = 10s;
    request.fingerprint = 77;
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    crashedEndpoints.insert(choice->endpoint.value);
    requests.push_back(request);
  }
  for (const auto& request : requests) {
    dispatcher->finished(now, request.id, Outcome::broken);
    dispatcher->forget(request.id);
  }
  endpoints.clear();
  dispatcher->setEndpoints(now, endpoints);
  CHECK(crashedEndpoints.size() < requests.size());
  std::set<std::uint64_t> reportedEndpoints;
  for (const auto& crash : dispatcher->takeCrashes()) {
    CHECK(reportedEndpoints.insert(crash.report.endpoint).second);
  }
  CHECK(reportedEndpoints.size() == crashedEndpoints.size());
}

TEST_CASE_FIXTURE(Fixture, "request_crashesAtOtherProcesses_isRefused")
{
  // Guards against losing three endpoints per process to the same request.
  const std::vector<fleet::CrashReport> reports{ { 1, { 77 } }, { 2, { 77 } }, { 3, { 77 } } };
  dispatcher->addCrashReports(now, reports);
  auto request = makeRequest(kPlain);
  request.fingerprint = 77;
  const auto refusedChoice = dispatcher->choose(now, request, {});
  REQUIRE(!refusedChoice);
  CHECK(refusedChoice.error().kind == ErrorKind::quarantined);
}

TEST_CASE_FIXTURE(Fixture, "request_lostTwoConnections_isNotRepeated")
{
  // Guards against a crashing request that uses all its attempts within a short time.
  auto request = makeRequest(kPlain);
  request.fingerprint = 77;
  std::vector<EndpointId> excluded;
  for (int i = 0; i < 2; ++i) {
    const auto choice = dispatcher->choose(now, request, excluded);
    REQUIRE(choice);
    excluded.push_back(choice->endpoint);
    dispatcher->finished(now, request.id, Outcome::broken);
  }
  CHECK(!dispatcher->choose(now, request, excluded));
}

TEST_CASE_FIXTURE(Fixture, "endpoint_warmingUp_ranksAfterOthers")
{
  // Guards against sending a warming-up endpoint as many requests as the others.
  for (auto& endpoint : endpoints) {
    if (endpoint.id.value == "pa1") {
      endpoint.startedAtMs = 2;
      endpoint.warmupMs = 3000;
    }
  }
  dispatcher->setEndpoints(now, endpoints);
  CHECK(sendAndFinish(makeRequest(kPlain)) == "pa2");
  advance(3100ms);
  CHECK(sendAndFinish(makeRequest(kPlain)) == "pa1");
}

TEST_CASE_FIXTURE(Fixture, "dispatcher_sameCalls_sameChoices")
{
  // Guards against choices that are not reproducible, for example because of the order of a hash
  // table or a clock.
  const auto runAndLog = [&] {
    Fixture fixture;
    Random random(3);
    std::string log;
    for (int i = 0; i < 300; ++i) {
      fixture.now = fixture.now + 7ms;
      fixture.dispatcher->tick(fixture.now);
      const bool withPrefix = random.chance(0.5);
      const auto request =
        withPrefix ? fixture.makeRequestWithPrefix(random.below(20)) : fixture.makeRequest(kPlain);
      log += fixture.sendAndFinish(request,
                                   random.chance(0.2) ? Outcome::serverError : Outcome::answered);
      log += ' ';
    }
    return log;
  };
  CHECK(runAndLog() == runAndLog());
}

TEST_CASE_FIXTURE(Fixture, "request_connectionRefused_usesNoAttempt")
{
  // Guards against 502 for a request that reached no endpoint, because its endpoint had crashed.
  auto request = makeRequest(kModel);
  request.kind = fleet::RouteKind::stream;
  request.maxAttempts = 1;
  std::vector<EndpointId> excluded;
  for (int i = 0; i < 2; ++i) {
    const auto choice = dispatcher->choose(now, request, excluded);
    REQUIRE(choice);
    excluded.push_back(choice->endpoint);
    dispatcher->finished(now, request.id, Outcome::notConnected);
  }
  const auto choice = dispatcher->choose(now, request, excluded);
  REQUIRE(choice);
  excluded.push_back(choice->endpoint);
  dispatcher->finished(now, request.id, Outcome::broken);
  CHECK(!dispatcher->choose(now, request, excluded));
}

namespace {

/** Requests that share a prompt part which crashes every engine that begins to answer it. */
struct CrashingPart : Fixture
{
  static constexpr std::uint64_t kCrashingPart = 666;

  CrashingPart()
  {
    for (int number = 3; number <= 8; ++number) {
      endpoints.push_back(makeRecord("ma" + std::to_string(number), kModel));
    }
    dispatcher->setEndpoints(now, endpoints);
  }

  RequestInfo makeCrashingRequest()
  {
    auto request = makeRequestWithPrefix(7);
    request.parts.insert(request.parts.end() - 1, PromptPart{ kCrashingPart, 250 });
    request.fingerprint = 1000 + request.id;
    return request;
  }

  void crash(const std::string& endpointId)
  {
    std::erase_if(endpoints, [&](const auto& endpoint) { return endpoint.id.value == endpointId; });
    dispatcher->setEndpoints(now, endpoints);
  }
};

} // namespace

TEST_CASE_FIXTURE(CrashingPart, "promptPart_crashesThreeEnginesInDifferentRequests_isRefused")
{
  // Guards against requests of one kind that crash engine after engine because no two are equal.
  for (int i = 0; i < 3; ++i) {
    const auto crashedEndpoint = sendAndFinish(makeCrashingRequest(), Outcome::broken);
    REQUIRE(!crashedEndpoint.empty());
    crash(crashedEndpoint);
  }
  const auto refusedChoice = dispatcher->choose(now, makeCrashingRequest(), {});
  REQUIRE(!refusedChoice);
  CHECK(errorTraits(refusedChoice.error().kind).httpStatus == 503);
  CHECK(!sendAndFinish(makeRequestWithPrefix(7)).empty());
  CHECK(!sendAndFinish(makeRequestWithPrefix(8)).empty());
}

TEST_CASE_FIXTURE(CrashingPart, "lostConnection_unansweredRequest_endpointIsProbed")
{
  // Guards against a crash that is confirmed only when the next request happens to be sent there,
  // seconds later on a process with few requests per engine.
  const auto request = makeCrashingRequest();
  const auto choice = dispatcher->choose(now, request, {});
  REQUIRE(choice);
  dispatcher->finished(now, request.id, Outcome::broken);
  const auto probes = dispatcher->takeProbes();
  REQUIRE(probes.size() == 1);
  CHECK(probes[0].address == choice->address);
  CHECK(dispatcher->takeCrashes().empty());
  dispatcher->probed(now, probes[0].handle, ProbeResult::refused);
  CHECK(dispatcher->takeCrashes().size() == 1);
  CHECK(dispatcher->takeProbes().empty());
}

TEST_CASE_FIXTURE(CrashingPart, "promptPart_answeredOnAnotherEngine_refutesTheCrash")
{
  // Guards against refusing a part because of crashes although requests with it are answered.
  for (int i = 0; i < 5; ++i) {
    const auto crashedEndpoint = sendAndFinish(makeCrashingRequest(), Outcome::broken);
    REQUIRE(!crashedEndpoint.empty());
    crash(crashedEndpoint);
    const auto answered = makeCrashingRequest();
    REQUIRE(dispatcher->choose(now, answered, {}));
    dispatcher->firstByte(now, answered.id);
    dispatcher->progress(now, answered.id, 6);
    CHECK(dispatcher->takeCrashRefutations().empty());
    dispatcher->progress(now, answered.id, 6);
    CHECK_FALSE(dispatcher->takeCrashRefutations().empty());
    dispatcher->forget(answered.id);
  }
}

namespace {

/** One entry process that is told limits by endpoints. */
struct RateLimited : Fixture
{
  RateLimited()
  {
    const ProcessId self("e0");
    entries.push_back({ { self, Incarnation{ 1 } }, ZoneId("a") });
    dispatcher->setProcesses(self, entries);
  }

  /** Lets an endpoint name a limit, or none, in the answer to a request. */
  void answerWithLimit(const std::string& id, std::optional<double> limit)
  {
    const auto service = id.front() == 'm' ? kModel : kPlain;
    std::vector<EndpointId> others;
    for (const auto& endpoint : endpoints) {
      if (endpoint.id.value != id) {
        others.push_back(endpoint.id);
      }
    }
    const auto request = makeRequest(service);
    REQUIRE(dispatcher->choose(now, request, others).has_value());
    dispatcher->answerHead(now, request.id, limit);
    dispatcher->finished(now, request.id, Outcome::answered);
    dispatcher->forget(request.id);
  }

  std::vector<fleet::EntryProcess> entries;
};

} // namespace

// Guards against sending an endpoint more than it names, and against keeping a limit after its end.
TEST_CASE_FIXTURE(RateLimited, "endpoint_namesLimit_getsNoMoreUntilItEnds")
{
  const auto sendsTo = [this](const std::string& id) {
    int sends = 0;
    for (int i = 0; i < 400; ++i) {
      sends += sendAndFinish(makeRequest(kPlain)) == id ? 1 : 0;
      now = now + 10ms;
    }
    return sends;
  };
  REQUIRE(sendsTo("pa1") > 100);
  answerWithLimit("pa1", 2);
  CHECK(sendsTo("pa1") <= 9);
  CHECK(dispatcher->takeRateLimitChanges().size() == 1);
  now = now + 500ms;
  answerWithLimit("pa1", std::nullopt);
  CHECK(dispatcher->takeRateLimitChanges().size() == 1);
  CHECK(sendsTo("pa1") > 100);
}

// Guards against requests that wait, or are refused without a time to return, when the limits of
// all endpoints are used up.
TEST_CASE_FIXTURE(RateLimited, "service_allLimitsUsed_refusesUntilTheNextRequestIsAllowed")
{
  for (const auto* id : { "pa1", "pa2", "pb1", "pb2" }) {
    answerWithLimit(id, 0.8);
  }
  int sends = 0;
  std::optional<Refusal> refusal;
  for (int i = 0; i < 10; ++i) {
    const auto request = makeRequest(kPlain);
    const auto choice = dispatcher->choose(now, request, {});
    sends += choice ? 1 : 0;
    if (!choice) {
      refusal = choice.error();
    }
    dispatcher->forget(request.id);
  }
  CHECK(sends == 4);
  REQUIRE(refusal.has_value());
  CHECK(refusal->kind == ErrorKind::overloaded);
  CHECK(refusal->retryAfter == 1250ms);
  advance(1300ms);
  CHECK_FALSE(sendAndFinish(makeRequest(kPlain)).empty());
}

// Guards against a restarted endpoint that is still held to the limit that it named before.
TEST_CASE_FIXTURE(RateLimited, "endpoint_restartedAfterLimit_isUnlimited")
{
  answerWithLimit("pa1", 0);
  endpoints[1].startedAtMs = 2;
  REQUIRE(endpoints[1].id.value == "pa1");
  dispatcher->setEndpoints(now, endpoints);
  CHECK(sendAndFinish(makeRequest(kPlain)) == "pa1");
}

// Guards against engines without a limit that have to prefill all long prompts, because short ones
// use up the requests that the limits allow.
TEST_CASE_FIXTURE(RateLimited, "limitedEngines_mixedPrompts_areUsedForTheLongOnes")
{
  for (const auto* id : { "ma1", "ma2", "mb1" }) {
    answerWithLimit(id, 2);
  }
  std::map<bool, int> limitedSends;
  for (int i = 0; i < 2000; ++i) {
    now = now + 20ms;
    dispatcher->load(now, EndpointId("mb2"), { 30, 0, 48 });
    const bool isLong = i % 10 == 0;
    auto request = makeRequest(kModel);
    request.promptTokens = isLong ? 12'000 : 800;
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice.has_value());
    limitedSends[isLong] += choice->endpoint.value != "mb2" ? 1 : 0;
    dispatcher->firstByte(now, request.id);
    dispatcher->finished(now, request.id, Outcome::answered);
    dispatcher->forget(request.id);
  }
  // 240 requests are allowed in 40 s; 200 of all requests are long.
  CHECK(limitedSends[true] >= 150);
  CHECK(limitedSends[false] <= 90);
}
