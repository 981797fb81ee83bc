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

fleet::ServiceSettings modelService()
{
  fleet::ServiceSettings service;
  service.name = kModel;
  service.maxConnections = 200;
  service.engine = fleet::EngineTraits{ 48, 430'000, 100, 6 };
  return service;
}

fleet::ServiceSettings plainService()
{
  fleet::ServiceSettings service;
  service.name = kPlain;
  service.maxConnections = 20;
  return service;
}

fleet::EndpointRecord record(const std::string& id,
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

/** One dispatcher in zone a with four engines and four plain endpoints in zones a and b. */
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
        endpoints.push_back(record(std::string("m") + zone + number, kModel, zone));
        endpoints.push_back(record(std::string("p") + zone + number, kPlain, zone, 6));
      }
    }
    dispatcher->setEndpoints(now, endpoints);
  }

  Work work(const ServiceName& service)
  {
    Work result;
    result.id = ++lastId;
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

  Work guide(std::uint64_t subject)
  {
    auto result = work(kModel);
    result.parts = { { 1, 500 }, { subject, 4'900 }, { 1'000'000 + lastId, 6'600 } };
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

  /** Sends a request and ends it at once. @returns its endpoint, or "" when it was refused */
  std::string run(const Work& request, Outcome outcome = Outcome::answered)
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
  std::uint64_t lastId = 0;
  std::vector<fleet::ServiceSettings> services{ modelService(), plainService() };
  std::vector<fleet::EndpointRecord> endpoints;
  std::unique_ptr<Dispatcher> dispatcher;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "guide_sameSubject_staysAtOneEngine")
{
  // Guards against reading shared parts on every engine.
  const auto home = run(guide(7));
  for (int i = 0; i < 20; ++i) {
    CHECK(run(guide(7)) == home);
  }
}

TEST_CASE_FIXTURE(Fixture, "endpoint_connectionRefused_isOutUntilTrial")
{
  // Guards against sending requests to an endpoint that nobody listens at.
  const auto down = run(work(kPlain), Outcome::notConnected);
  for (int i = 0; i < 20; ++i) {
    CHECK(run(work(kPlain)) != down);
  }
  advance(600ms);
  CHECK(run(work(kPlain)) == down);
}

TEST_CASE_FIXTURE(Fixture, "service_unknown_refusesAsNoEndpoint")
{
  // Guards against a wait for a service that the configuration does not have.
  const auto choice = dispatcher->choose(now, work(ServiceName("other")), {});
  REQUIRE(!choice);
  CHECK(choice.error().kind == ErrorKind::noEndpoint);
}

TEST_CASE_FIXTURE(Fixture, "guide_otherProcess_choosesSameEngine")
{
  // Guards against a placement that depends on the seed or on the order of the registry.
  DispatcherSettings settings;
  settings.zone = ZoneId("a");
  settings.seed = 99;
  Dispatcher other(settings);
  other.setServices(now, services);
  std::vector<fleet::EndpointRecord> reversed(endpoints.rbegin(), endpoints.rend());
  other.setEndpoints(now, reversed);
  for (std::uint64_t subject = 0; subject < 50; ++subject) {
    const auto request = guide(subject);
    const auto mine = dispatcher->choose(now, request, {});
    const auto theirs = other.choose(now, request, {});
    REQUIRE(mine);
    REQUIRE(theirs);
    CHECK(mine->endpoint == theirs->endpoint);
    dispatcher->forget(request.id);
    other.forget(request.id);
  }
}

TEST_CASE_FIXTURE(Fixture, "guides_manySubjects_useAllEngines")
{
  // Guards against a placement that leaves engines without subjects.
  std::map<std::string, int> counts;
  for (std::uint64_t subject = 0; subject < 200; ++subject) {
    ++counts[run(guide(subject))];
  }
  CHECK(counts.size() == 4);
  for (const auto& [engine, count] : counts) {
    CHECK(count > 25);
  }
}

TEST_CASE_FIXTURE(Fixture, "subjects_engineLeaves_othersStay")
{
  // Guards against reading all subjects again when one engine goes.
  std::map<std::uint64_t, std::string> before;
  for (std::uint64_t subject = 0; subject < 100; ++subject) {
    before[subject] = run(guide(subject));
  }
  std::erase_if(endpoints, [](const auto& endpoint) { return endpoint.id.value == "ma1"; });
  dispatcher->setEndpoints(now, endpoints);
  for (const auto& [subject, engine] : before) {
    if (engine != "ma1") {
      CHECK(run(guide(subject)) == engine);
    }
  }
}

TEST_CASE_FIXTURE(Fixture, "smallSubject_calm_staysInOwnZone")
{
  // Guards against bytes between zones for parts that are read quickly.
  for (std::uint64_t subject = 0; subject < 50; ++subject) {
    auto request = work(kModel);
    request.parts = { { 1, 98 }, { subject + 10, 100 }, { 1'000'000 + request.id, 628 } };
    request.promptTokens = 826;
    CHECK(run(request).substr(0, 2) == "ma");
  }
}

TEST_CASE_FIXTURE(Fixture, "smallSubjects_mostTrafficHere_useOtherZonesToo")
{
  // Guards against a process that fills the engines of its zone with prompts while others idle.
  dispatcher->setPeers(9);
  std::map<char, int> zones;
  std::vector<std::uint64_t> open;
  for (std::uint64_t i = 0; i < 3'000; ++i) {
    auto request = work(kModel);
    request.parts = { { 1, 168 }, { i % 100 + 10, 400 }, { 1'000'000 + request.id, 1'800 } };
    request.promptTokens = 2'368;
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    dispatcher->firstByte(now, request.id);
    now = now + 20ms;
    if (i >= 2'000) {
      ++zones[choice->endpoint.value[1]];
    }
    // Ten requests run at a time; there is no load but that of this process.
    open.push_back(request.id);
    if (open.size() > 10) {
      dispatcher->finished(now, open.front(), Outcome::answered);
      dispatcher->forget(open.front());
      open.erase(open.begin());
    }
  }
  CHECK(zones['a'] > 250);
  CHECK(zones['b'] > 250);
}

TEST_CASE_FIXTURE(Fixture, "longPrompts_seen_leaveOtherEnginesFree")
{
  // Guards against pauses of all streams of an engine while it reads a prompt of many chunks.
  endpoints.clear();
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back(record("m" + std::to_string(i), kModel, i % 2 == 0 ? "a" : "b"));
  }
  dispatcher->setEndpoints(now, endpoints);
  std::set<std::string> withLong;
  for (std::uint64_t subject = 0; subject < 40; ++subject) {
    auto request = guide(subject);
    request.parts.back().tokens = 40'000;
    request.promptTokens = 45'400;
    withLong.insert(run(request));
  }
  CHECK(withLong.size() <= 2);
  for (std::uint64_t subject = 0; subject < 100; ++subject) {
    CHECK(!withLong.contains(run(guide(subject))));
  }
}

TEST_CASE_FIXTURE(Fixture, "longPrompts_otherEnginesBusy_sharesTheirEngines")
{
  // Guards against engines that idle for long prompts while all others have queues.
  endpoints.clear();
  for (int i = 0; i < 12; ++i) {
    endpoints.push_back(record("m" + std::to_string(i), kModel, i % 2 == 0 ? "a" : "b"));
  }
  dispatcher->setEndpoints(now, endpoints);
  auto request = guide(1'000);
  request.parts.back().tokens = 40'000;
  request.promptTokens = 45'400;
  const auto reserved = run(request);
  int sent = 0;
  for (std::uint64_t subject = 0; subject < 60; ++subject) {
    const auto choice = dispatcher->choose(now, guide(subject), {});
    REQUIRE(choice);
    sent += choice->endpoint.value == reserved ? 1 : 0;
  }
  CHECK(sent > 0);
}

TEST_CASE_FIXTURE(Fixture, "subject_homeSlow_movesAndComesBack")
{
  // Guards against staying at an engine whose first tokens come after the target.
  const auto home = run(guide(7));
  for (int i = 0; i < 5; ++i) {
    const auto request = guide(7);
    if (dispatcher->choose(now, request, {})) {
      now = now + 2s;
      dispatcher->firstByte(now, request.id);
      dispatcher->finished(now, request.id, Outcome::answered);
    }
    dispatcher->forget(request.id);
    if (i == 0) {
      CHECK(run(guide(7)) != home);
    }
  }
  advance(30s);
  CHECK(run(guide(7)) == home);
}

TEST_CASE_FIXTURE(Fixture, "engine_streamsPause_getsFewerRequests")
{
  // Guards against blindness for prompts that other processes sent.
  const auto request = guide(7);
  const auto choice = dispatcher->choose(now, request, {});
  REQUIRE(choice);
  dispatcher->firstByte(now, request.id);
  for (int i = 0; i < 10; ++i) {
    now = now + 450ms;
    dispatcher->progress(now, request.id, 6);
  }
  CHECK(run(guide(7)) != choice->endpoint.value);
}

TEST_CASE_FIXTURE(Fixture, "engine_slowSteps_isAvoidedForAWhile")
{
  // Guards against an engine that decodes several times slower than others but never fails.
  const auto request = guide(7);
  const auto choice = dispatcher->choose(now, request, {});
  REQUIRE(choice);
  dispatcher->firstByte(now, request.id);
  for (int i = 0; i < 40; ++i) {
    now = now + 120ms;
    dispatcher->progress(now, request.id, 6);
  }
  dispatcher->finished(now, request.id, Outcome::answered);
  now = now + 3s;
  CHECK(run(guide(7)) != choice->endpoint.value);
  now = now + 10s;
  CHECK(run(guide(7)) == choice->endpoint.value);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_draining_getsNoWork")
{
  // Guards against new requests at an endpoint that leaves.
  for (auto& endpoint : endpoints) {
    if (endpoint.id.value == "pa1" || endpoint.id.value == "ma1") {
      endpoint.state = fleet::EndpointState::draining;
    }
  }
  dispatcher->setEndpoints(now, endpoints);
  for (std::uint64_t i = 0; i < 50; ++i) {
    CHECK(run(work(kPlain)) != "pa1");
    CHECK(run(guide(i)) != "ma1");
  }
}

TEST_CASE_FIXTURE(Fixture, "endpoint_down_probedWithGrowingBackOff")
{
  // Guards against a stream of requests to an endpoint that is down.
  int probes = 0;
  const auto down = run(work(kPlain), Outcome::notConnected);
  for (int i = 0; i < 300; ++i) {
    advance(100ms);
    const auto request = work(kPlain);
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    const bool probe = choice->endpoint.value == down;
    probes += probe ? 1 : 0;
    dispatcher->finished(now, request.id, probe ? Outcome::notConnected : Outcome::answered);
    dispatcher->forget(request.id);
  }
  CHECK(probes >= 7);
  CHECK(probes <= 12);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_failsPartly_isMostlyOut")
{
  // Guards against an endpoint that fails 45% of its requests and passes its trials now and then.
  Random random(5);
  int failures = 0;
  for (int i = 0; i < 2000; ++i) {
    now = now + 20ms;
    dispatcher->tick(now);
    const auto request = work(kPlain);
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    const bool fails = choice->endpoint.value == "pa1" && random.chance(0.45);
    failures += fails ? 1 : 0;
    dispatcher->finished(now, request.id, fails ? Outcome::serverError : Outcome::answered);
    dispatcher->forget(request.id);
  }
  CHECK(failures <= 20);
}

TEST_CASE_FIXTURE(Fixture, "service_allFail_halfStaysIn")
{
  // Guards against taking out a whole service.
  for (int i = 0; i < 100; ++i) {
    now = now + 10ms;
    const auto request = work(kPlain);
    CHECK(dispatcher->choose(now, request, {}));
    dispatcher->finished(now, request.id, Outcome::notConnected);
    dispatcher->forget(request.id);
  }
  CHECK(dispatcher->takeEvents().size() == 2);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_startedAnew_isClosedAgain")
{
  // Guards against keeping a new process out for the failures of the old one.
  const auto down = run(work(kPlain), Outcome::notConnected);
  for (auto& endpoint : endpoints) {
    if (endpoint.id.value == down) {
      endpoint.startedAtMs = 2;
    }
  }
  dispatcher->setEndpoints(now, endpoints);
  CHECK(run(work(kPlain)) == down);
}

TEST_CASE_FIXTURE(Fixture, "endpoint_silent_isReportedOnceAndAvoided")
{
  // Guards against requests that wait for an endpoint whose connections carry no data.
  std::string dark;
  std::vector<std::uint64_t> sent;
  for (int i = 0; i < 3; ++i) {
    const auto request = guide(7);
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    if (dark.empty() || choice->endpoint.value == dark) {
      dark = choice->endpoint.value;
      sent.push_back(request.id);
    } else {
      dispatcher->firstByte(now, request.id);
      dispatcher->finished(now, request.id, Outcome::answered);
    }
  }
  advance(4s);
  CHECK(dispatcher->takeStalled() == sent);
  advance(4s);
  CHECK(dispatcher->takeStalled().empty());
}

TEST_CASE_FIXTURE(Fixture, "repeats_manyFailures_stayInBudget")
{
  // Guards against repeats that multiply the load of a failing service.
  dispatcher->setPeers(4);
  int repeats = 0;
  for (int i = 0; i < 400; ++i) {
    now = now + 20ms;
    const auto request = work(kPlain);
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

TEST_CASE_FIXTURE(Fixture, "request_attemptsUsed_isRefused")
{
  // Guards against more sends than the route allows.
  const auto request = work(kPlain);
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

TEST_CASE_FIXTURE(Fixture, "connections_shareUsed_refusesAsOverloaded")
{
  // Guards against more connections to an endpoint than its limit over all processes.
  dispatcher->setPeers(4);
  std::map<std::string, int> sends;
  for (int i = 0; i < 20; ++i) {
    auto request = work(kPlain);
    request.priority = 0;
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    CHECK(choice->maxConnections == 5);
    CHECK(++sends[choice->endpoint.value] <= 5);
  }
  const auto refused = dispatcher->choose(now, work(kPlain), {});
  REQUIRE(!refused);
  CHECK(refused.error().kind == ErrorKind::overloaded);
}

TEST_CASE_FIXTURE(Fixture, "plain_equalLoad_usesOwnZoneThenLeastLoaded")
{
  // Guards against calls to other zones without need, and against queues in the own zone.
  CHECK(run(work(kPlain)).substr(0, 2) == "pa");
  for (const auto* id : { "pa1", "pa2" }) {
    dispatcher->load(now, EndpointId(id), { 5, 0, 6 });
  }
  for (const auto* id : { "pb1", "pb2" }) {
    dispatcher->load(now, EndpointId(id), { 1, 0, 6 });
  }
  CHECK(run(work(kPlain)).substr(0, 2) == "pb");
}

TEST_CASE_FIXTURE(Fixture, "engines_allFull_refuseLessUrgentFirst")
{
  // Guards against refusing urgent work in favour of other work, and against late refusals.
  auto busy = work(kModel);
  busy.workspace = "large";
  REQUIRE(dispatcher->choose(now, busy, {}));
  auto small = work(kModel);
  small.workspace = "small";
  REQUIRE(dispatcher->choose(now, small, {}));
  for (int i = 0; i < 2; ++i) {
    auto more = work(kModel);
    more.workspace = "large";
    REQUIRE(dispatcher->choose(now, more, {}));
  }
  for (const auto* id : { "ma1", "ma2", "mb1", "mb2" }) {
    dispatcher->load(now, EndpointId(id), { 48, 90, 48 });
  }
  auto batch = work(kModel);
  batch.workspace = "large";
  batch.priority = 9;
  const auto refused = dispatcher->choose(now, batch, {});
  REQUIRE(!refused);
  CHECK(refused.error().kind == ErrorKind::overloaded);
  CHECK(refused.error().retryAfter >= 50ms);
  CHECK(refused.error().retryAfter <= (batch.deadline - now) / 3);

  auto urgent = batch;
  urgent.id = ++lastId;
  urgent.priority = 0;
  CHECK(dispatcher->choose(now, urgent, {}));

  auto larger = batch;
  larger.id = ++lastId;
  larger.workspace = "other";
  larger.promptTokens = 20'000;
  CHECK(dispatcher->choose(now, larger, {}));
}

TEST_CASE_FIXTURE(Fixture, "engines_oneHasRoom_noRefusal")
{
  // Guards against refusals while capacity is free.
  for (const auto* id : { "ma1", "ma2", "mb1" }) {
    dispatcher->load(now, EndpointId(id), { 48, 144, 48 });
  }
  auto request = guide(1);
  request.priority = 9;
  const auto choice = dispatcher->choose(now, request, {});
  REQUIRE(choice);
  CHECK(choice->endpoint.value == "mb2");
}

TEST_CASE_FIXTURE(Fixture, "request_crashesThreeEndpoints_isRefusedForAMinute")
{
  // Guards against one request that takes down engine after engine.
  auto request = work(kModel);
  request.fingerprint = 77;
  for (int i = 0; i < 3; ++i) {
    request.id = ++lastId;
    const auto crashed = run(request, Outcome::broken);
    REQUIRE(!crashed.empty());
    std::erase_if(endpoints, [&](const auto& endpoint) { return endpoint.id.value == crashed; });
    dispatcher->setEndpoints(now, endpoints);
  }
  CHECK(dispatcher->takeCrashes() == std::vector<std::uint64_t>{ 77, 77, 77 });
  request.id = ++lastId;
  const auto refused = dispatcher->choose(now, request, {});
  REQUIRE(!refused);
  CHECK(refused.error().kind == ErrorKind::quarantined);
  CHECK(!run(work(kModel)).empty());
  advance(61s);
  request.id = ++lastId;
  CHECK(dispatcher->choose(now, request, {}));
}

TEST_CASE_FIXTURE(Fixture, "request_answersLost_isNoCrash")
{
  // Guards against refusing a request whose connections broke while its endpoints stayed up.
  for (int i = 0; i < 6; ++i) {
    auto request = work(kPlain);
    request.fingerprint = 77;
    const auto endpoint = run(request, Outcome::broken);
    CHECK(!endpoint.empty());
    for (int j = 0; j < 10; ++j) {
      now = now + 100ms;
      run(work(kPlain));
    }
    // The endpoint answered since; that it is started anew later says nothing of the request.
    for (auto& record : endpoints) {
      ++record.startedAtMs;
    }
    dispatcher->setEndpoints(now, endpoints);
  }
  CHECK(dispatcher->takeCrashes().empty());
}

TEST_CASE_FIXTURE(Fixture, "request_equalOnesAtOneCrash_countOnce")
{
  // Guards against refusing a common request because several of it ran at an endpoint that crashed.
  std::vector<Work> requests;
  std::set<std::string> crashed;
  while (requests.size() < 4) {
    auto request = guide(7);
    request.parts.pop_back();
    request.promptTokens = 5'400;
    request.target = 10s;
    request.fingerprint = 77;
    const auto choice = dispatcher->choose(now, request, {});
    REQUIRE(choice);
    crashed.insert(choice->endpoint.value);
    requests.push_back(request);
  }
  for (const auto& request : requests) {
    dispatcher->finished(now, request.id, Outcome::broken);
    dispatcher->forget(request.id);
  }
  endpoints.clear();
  dispatcher->setEndpoints(now, endpoints);
  CHECK(crashed.size() < requests.size());
  CHECK(dispatcher->takeCrashes().size() == crashed.size());
}

TEST_CASE_FIXTURE(Fixture, "request_crashesElsewhere_isRefusedHereToo")
{
  // Guards against each process losing three endpoints to the same request.
  dispatcher->addCrashes(now, 77, 3);
  auto request = work(kPlain);
  request.fingerprint = 77;
  const auto refused = dispatcher->choose(now, request, {});
  REQUIRE(!refused);
  CHECK(refused.error().kind == ErrorKind::quarantined);
}

TEST_CASE_FIXTURE(Fixture, "request_brokeTwoConnections_isNotRepeated")
{
  // Guards against a crashing request that uses all its attempts within a moment.
  auto request = work(kPlain);
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

TEST_CASE_FIXTURE(Fixture, "endpoint_warmingUp_goesAfterOthers")
{
  // Guards against a full share of requests for an endpoint that is still slow.
  for (auto& endpoint : endpoints) {
    if (endpoint.id.value == "pa1") {
      endpoint.startedAtMs = 2;
      endpoint.warmupMs = 3000;
    }
  }
  dispatcher->setEndpoints(now, endpoints);
  CHECK(run(work(kPlain)) == "pa2");
  advance(3100ms);
  CHECK(run(work(kPlain)) == "pa1");
}

TEST_CASE_FIXTURE(Fixture, "dispatcher_sameCalls_sameChoices")
{
  // Guards against choices that cannot be replayed, by iteration over hash tables or by a clock.
  const auto record = [&] {
    Fixture fixture;
    Random random(3);
    std::string log;
    for (int i = 0; i < 300; ++i) {
      fixture.now = fixture.now + 7ms;
      fixture.dispatcher->tick(fixture.now);
      const bool isGuide = random.chance(0.5);
      const auto request = isGuide ? fixture.guide(random.below(20)) : fixture.work(kPlain);
      log += fixture.run(request, random.chance(0.2) ? Outcome::serverError : Outcome::answered);
      log += ' ';
    }
    return log;
  };
  CHECK(record() == record());
}
