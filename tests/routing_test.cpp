#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "core/Invariant.h"
#include "routing/RateLimiter.h"
#include "routing/RouterCore.h"
#include "routing/routing.h"

#include <algorithm>
#include <cmath>
#include <doctest/doctest.h>
#include <map>
#include <stdexcept>
#include <string>

using namespace figchute;
using namespace figchute::routing;
using namespace std::chrono_literals;

namespace {

const ModelName kModel("m");

void throwInvariantError(std::string_view message)
{
  throw std::logic_error(std::string(message));
}

/** Makes failed invariants throw an exception during a test. */
struct ThrowOnInvariantFailure
{
  ThrowOnInvariantFailure()
    : previousHandler(setInvariantHandler(&throwInvariantError))
  {
  }
  ~ThrowOnInvariantFailure() { setInvariantHandler(previousHandler); }
  ThrowOnInvariantFailure(const ThrowOnInvariantFailure&) = delete;
  ThrowOnInvariantFailure& operator=(const ThrowOnInvariantFailure&) = delete;
  InvariantHandler previousHandler;
};

Announcement makeAnnouncement(const std::string& id,
                              std::uint32_t slots,
                              const std::string& zone = "a")
{
  Announcement announcement;
  announcement.id = EndpointId(id);
  announcement.address = "127.0.0.1:1";
  announcement.zone = ZoneId(zone);
  announcement.models = { kModel };
  announcement.slots = slots;
  return announcement;
}

/** A router with helpers that submit, run and finish requests. */
struct Vm : ThrowOnInvariantFailure
{
  explicit Vm(const std::string& id = "vm1")
    : router({ ProcessId(id), ZoneId("a"), 1 })
  {
  }

  RequestInfo makeRequestInfo(Rank rank, const std::string& workspace = "w")
  {
    RequestInfo requestInfo;
    requestInfo.id = RequestId(std::to_string(++requests));
    requestInfo.workspace = WorkspaceId(workspace);
    requestInfo.caller = CallerId(workspace);
    requestInfo.rank = rank;
    requestInfo.model = kModel;
    requestInfo.maxTokens = Tokens{ 100 };
    requestInfo.arrival = now;
    return requestInfo;
  }

  /** Submits a request and returns the dispatches that result. */
  std::vector<Dispatch> submit(RequestInfo request)
  {
    accepted = static_cast<bool>(router.submit(now, std::move(request)));
    return collectActions();
  }

  /** Collects the actions of the router: returns the dispatches and stores the others. */
  std::vector<Dispatch> collectActions()
  {
    std::vector<Dispatch> result;
    for (const auto& action : router.takeActions()) {
      if (const auto* dispatch = std::get_if<Dispatch>(&action)) {
        result.push_back(*dispatch);
      } else if (const auto* cancel = std::get_if<CancelStream>(&action)) {
        cancels.push_back(*cancel);
      } else {
        refused.push_back(std::get<Refused>(action));
      }
    }
    return result;
  }

  std::vector<Dispatch> advance(Duration length)
  {
    now = now + length;
    router.tick(now);
    return collectActions();
  }

  std::vector<Dispatch> finish(const RequestId& id, int tokens = 50)
  {
    router.progress(now, id, Tokens{ tokens });
    router.finished(now, id, Outcome::completed);
    return collectActions();
  }

  Time now{ 1'000'000'000 };
  Router router;
  int requests = 0;
  bool accepted = false;
  std::vector<CancelStream> cancels;
  std::vector<Refused> refused;
};

} // namespace

// Guards against batch requests that are never dispatched while urgent requests keep arriving.
TEST_CASE_FIXTURE(Vm, "RankQueue_urgentOverload_batchKeepsItsMinimumShare")
{
  router.announce(now, makeAnnouncement("e", 1));
  submit(makeRequestInfo(Rank::urgent));
  auto policy = Policy{};
  policy.ranks[0].target = 1h;
  policy.ranks[2].target = 1h;
  router.setPolicy(policy);
  for (int i = 0; i < 300; ++i) {
    submit(makeRequestInfo(Rank::batch));
    submit(makeRequestInfo(Rank::urgent));
  }
  RequestId running("1");
  int batchCount = 0;
  for (int i = 0; i < 200; ++i) {
    now = now + 100ms;
    const auto dispatches = finish(running);
    REQUIRE(dispatches.size() == 1);
    batchCount += dispatches[0].rank == Rank::batch ? 1 : 0;
    running = dispatches[0].id;
    router.announce(now, makeAnnouncement("e", 1));
  }
  CHECK(batchCount >= 18);
  CHECK(batchCount <= 30);
}

// Guards against requests of a small workspace that wait behind the queue of a large one, and
// against weights that have no effect.
TEST_CASE_FIXTURE(Vm, "RankQueue_severalWorkspaces_servedByWeight")
{
  auto policy = Policy{};
  policy.ranks[2].target = 1h;
  policy.workspaces[WorkspaceId("heavy")].weight = 2;
  router.setPolicy(policy);
  router.announce(now, makeAnnouncement("e", 1));
  const auto firstDispatches = submit(makeRequestInfo(Rank::batch, "large"));
  for (int i = 0; i < 100; ++i) {
    submit(makeRequestInfo(Rank::batch, "large"));
  }
  for (int i = 0; i < 100; ++i) {
    submit(makeRequestInfo(Rank::batch, "heavy"));
  }
  submit(makeRequestInfo(Rank::batch, "small"));
  std::map<char, int> servedCounts;
  RequestId running = firstDispatches.at(0).id;
  int smallServedAt = -1;
  for (int i = 0; i < 60; ++i) {
    now = now + 10ms;
    router.announce(now, makeAnnouncement("e", 1));
    const auto dispatches = finish(running);
    REQUIRE(dispatches.size() == 1);
    running = dispatches[0].id;
    const int number = std::stoi(running.value);
    ++servedCounts[number <= 101 ? 'l' : number <= 201 ? 'h' : 's'];
    smallServedAt = number == 202 ? i : smallServedAt;
  }
  CHECK(smallServedAt >= 0);
  CHECK(smallServedAt <= 1);
  CHECK(servedCounts['h'] > 1.7 * servedCounts['l']);
  CHECK(servedCounts['h'] < 2.3 * servedCounts['l']);
}

// Guards against requests that stay queued although their target cannot be met, and against
// refusals without a retry delay.
TEST_CASE_FIXTURE(Vm, "RankQueue_targetCannotBeMet_refusesEarly")
{
  router.announce(now, makeAnnouncement("e", 1));
  submit(makeRequestInfo(Rank::urgent));
  REQUIRE(accepted);
  submit(makeRequestInfo(Rank::urgent));
  REQUIRE(accepted);
  advance(200ms);
  CHECK(refused.empty());
  advance(200ms);
  REQUIRE(refused.size() == 1);
  CHECK(refused[0].refusal.kind == ErrorKind::deadlineUnmeetable);
  CHECK(refused[0].refusal.retryAfter >= 100ms);
  CHECK_THROWS(router.finished(now, RequestId("2"), Outcome::abandoned));
  for (int i = 0; i < 10; ++i) {
    submit(makeRequestInfo(Rank::urgent));
  }
  CHECK_FALSE(accepted);
}

// Guards against dispatches to a leaving endpoint, both from the VM that received its announcement
// and from the other VMs.
TEST_CASE_FIXTURE(Vm, "Router_endpointLeaves_receivesNoMoreRequests")
{
  Vm other("vm2");
  router.setPeers({ { ProcessId("vm2") }, {}, 2, 2, 0 });
  other.router.setPeers({ { ProcessId("vm1") }, {}, 2, 2, 1 });
  for (const auto* id : { "e1", "e2" }) {
    router.announce(now, makeAnnouncement(id, 8));
  }
  const auto forwardMessages = [&] {
    for (const auto& [to, message] : router.takeOutgoing()) {
      const auto decodedMessage = wire::decode<Message>(wire::encode(message));
      REQUIRE(decodedMessage);
      other.router.receive(now, ProcessId("vm1"), *decodedMessage);
    }
  };
  advance(300ms);
  forwardMessages();
  REQUIRE(other.router.dump(now).endpoints.size() == 2);
  auto leavingAnnouncement = makeAnnouncement("e1", 8);
  leavingAnnouncement.leaving = true;
  router.announce(now, leavingAnnouncement);
  forwardMessages();
  for (auto* vm : { static_cast<Vm*>(this), &other }) {
    vm->now = now;
    for (int i = 0; i < 4; ++i) {
      for (const auto& dispatch : vm->submit(vm->makeRequestInfo(Rank::prompt))) {
        CHECK(dispatch.endpoint == EndpointId("e2"));
      }
    }
  }
}

// Guards against dispatches to endpoints that stopped announcing themselves, and against load
// reports that keep such endpoints from expiring.
TEST_CASE_FIXTURE(Vm, "EndpointRegistry_silentEndpoint_expiresAfterSixSeconds")
{
  router.announce(now, makeAnnouncement("e", 8));
  advance(5900ms);
  CHECK(submit(makeRequestInfo(Rank::prompt)).size() == 1);
  advance(100ms);
  submit(makeRequestInfo(Rank::prompt));
  CHECK_FALSE(accepted);
  CHECK(router.dump(now).endpoints.empty());
}

// Guards against an old load report that overwrites a newer announcement, and against load reports
// for unknown endpoints that do not trigger a request for all endpoints.
TEST_CASE("EndpointRegistry_loadReports_respectAgeAndRequestUnknownEndpoints")
{
  EndpointRegistry a(ZoneId("a"));
  EndpointRegistry b(ZoneId("a"));
  a.setPeers({ { ProcessId("b") }, {}, 2, 2, 0 });
  Time now{ 1'000'000'000 };
  const auto exchangeMessages = [&] {
    a.tick(now);
    for (const auto& [to, message] : a.takeOutgoing()) {
      b.receive(now, ProcessId("a"), std::get<RegistryDelta>(message));
    }
  };
  a.announce(now, makeAnnouncement("e", 8));
  a.tick(now);
  a.takeOutgoing();
  now = now + 2s;
  auto loadedAnnouncement = makeAnnouncement("e", 8);
  loadedAnnouncement.running = 5;
  a.announce(now, loadedAnnouncement);
  exchangeMessages();
  CHECK_FALSE(b.find(EndpointId("e")));
  const auto requests = b.takeOutgoing();
  REQUIRE(requests.size() == 1);
  a.receive(now, ProcessId("b"), std::get<RegistryRequest>(requests[0].message));
  exchangeMessages();
  REQUIRE(b.find(EndpointId("e")));
  CHECK(b.at(0).announcement.running == 5);
  b.announce(now, makeAnnouncement("e", 8));
  now = now + 250ms;
  exchangeMessages();
  CHECK(b.at(0).announcement.running == 0);
}

// Guards against endpoints of another zone that expire because their loads are rarely sent there,
// and against expired endpoints that are not removed, even if the message about it is lost.
TEST_CASE("EndpointRegistry_otherZone_endpointsStayOrExpireBySummaries")
{
  EndpointRegistry a(ZoneId("a"));
  EndpointRegistry b(ZoneId("b"));
  a.setPeers({ {}, { ProcessId("b") }, 2, 1, 0 });
  b.setPeers({ {}, { ProcessId("a") }, 2, 1, 0 });
  Time now{ 1'000'000'000 };
  bool isConnected = true;
  const auto deliver = [&](EndpointRegistry& from, EndpointRegistry& to, const char* name) {
    for (const auto& outgoing : from.takeOutgoing()) {
      std::visit(
        [&](const auto& body) {
          if constexpr (!std::is_same_v<std::decay_t<decltype(body)>, UsageDelta>) {
            isConnected ? to.receive(now, ProcessId(name), body) : void();
          }
        },
        outgoing.message);
    }
  };
  const auto run = [&](Duration length, bool firstLives, bool secondLives) {
    for (const Time end = now + length; now < end; now = now + 500ms) {
      firstLives ? a.announce(now, makeAnnouncement("first", 8)) : void();
      secondLives ? a.announce(now, makeAnnouncement("second", 8)) : void();
      a.tick(now);
      b.tick(now);
      deliver(a, b, "a");
      deliver(b, a, "b");
    }
  };
  run(15s, true, true);
  CHECK(b.endpointsServing(kModel).size() == 2);
  run(8s, false, true);
  CHECK(b.endpointsServing(kModel).size() == 1);
  CHECK(b.find(EndpointId("second")));
  run(4s, true, true);
  CHECK(b.endpointsServing(kModel).size() == 2);
  run(5s, false, true);
  isConnected = false;
  run(2s, false, true);
  isConnected = true;
  run(5s, false, true);
  CHECK(b.endpointsServing(kModel).size() == 1);
  CHECK(b.find(EndpointId("second")));
  isConnected = false;
  run(8s, false, true);
  CHECK(b.endpointsServing(kModel).empty());
}

// Guards against the ejection of so many endpoints that the others are overloaded.
TEST_CASE("OutlierDetector_allFail_ejectsAtMostAThird")
{
  OutlierDetector detector;
  std::vector<EndpointId> ids;
  for (int i = 0; i < 7; ++i) {
    ids.emplace_back("e" + std::to_string(i));
    for (int failure = 0; failure < 5; ++failure) {
      detector.recordFailure(ids.back());
    }
  }
  const Time now{ 1'000'000'000 };
  for (int round = 0; round < 3; ++round) {
    detector.ejectOutliers(now, ids);
  }
  const auto ejectedCount = std::count_if(
    ids.begin(), ids.end(), [&](const EndpointId& id) { return detector.isEjected(now, id); });
  CHECK(ejectedCount == 2);
  CHECK_FALSE(detector.isEjected(now + 6s, ids[0]));
}

// Guards against a slow endpoint that still receives its share of the requests.
TEST_CASE("OutlierDetector_slowEndpoint_isEjected")
{
  OutlierDetector detector;
  const std::vector<EndpointId> ids{ EndpointId("a"), EndpointId("b"), EndpointId("c") };
  for (int i = 0; i < 20; ++i) {
    detector.recordSuccess(ids[0], 100ms);
    detector.recordSuccess(ids[1], 120ms);
    detector.recordSuccess(ids[2], 2s);
  }
  detector.ejectOutliers(Time{ 1 }, ids);
  CHECK(detector.isEjected(Time{ 1 }, ids[2]));
  CHECK_FALSE(detector.isEjected(Time{ 1 }, ids[0]));
}

// Guards against retries that multiply the load when all attempts fail.
TEST_CASE("RetryPolicy_allAttemptsFail_retriesStayWithinTheBudget")
{
  RetryPolicy policy;
  int allowedCount = 0;
  for (int i = 0; i < 1000; ++i) {
    policy.recordRequest();
    allowedCount += policy.requestRetry(true, AttemptFailure::failed, 1) ? 0 : 1;
  }
  CHECK(allowedCount <= 110);
  CHECK(allowedCount >= 100);
}

// Guards against a non-repeatable request that is executed twice, and against one that fails
// although it was certainly not executed.
TEST_CASE_FIXTURE(Vm, "Router_nonRepeatableRequest_isExecutedAtMostOnce")
{
  router.announce(now, makeAnnouncement("e1", 8));
  router.announce(now, makeAnnouncement("e2", 8));
  auto booking = makeRequestInfo(Rank::prompt);
  booking.repeatable = false;
  const auto firstDispatches = submit(booking);
  const auto retryDispatch = router.retry(now, booking.id, AttemptFailure::notRun);
  REQUIRE(retryDispatch);
  CHECK(retryDispatch->endpoint != firstDispatches.at(0).endpoint);
  const auto secondRetry = router.retry(now, booking.id, AttemptFailure::stalled);
  REQUIRE_FALSE(secondRetry);
  CHECK(secondRetry.error().kind == ErrorKind::outcomeUnknown);
  CHECK(router.inProgress() == 0);
}

// Guards against a retry at the endpoint that has just failed, and against lost progress.
TEST_CASE_FIXTURE(Vm, "Router_stalledStream_resumesAtAnotherEndpoint")
{
  router.announce(now, makeAnnouncement("e1", 8));
  router.announce(now, makeAnnouncement("e2", 8));
  const auto request = makeRequestInfo(Rank::prompt);
  const auto firstDispatches = submit(request);
  router.firstToken(now, request.id);
  router.progress(now, request.id, Tokens{ 17 });
  const auto retryDispatch = router.retry(now, request.id, AttemptFailure::stalled);
  REQUIRE(retryDispatch);
  CHECK(retryDispatch->endpoint != firstDispatches.at(0).endpoint);
  CHECK(retryDispatch->resumeAfter == Tokens{ 17 });
  CHECK(router.retry(now, request.id, AttemptFailure::stalled).error().kind ==
        ErrorKind::noEndpoint);
}

// Guards against urgent requests that are late because batch requests occupy all slots, and against
// cancelled batch requests that are lost or restarted from the beginning.
TEST_CASE_FIXTURE(Vm, "Router_batchOccupiesAllSlots_isCancelledForUrgentAndResumed")
{
  router.announce(now, makeAnnouncement("e", 4));
  std::vector<RequestId> running;
  for (int i = 0; i < 4; ++i) {
    auto batchRequest = makeRequestInfo(Rank::batch);
    batchRequest.maxTokens = Tokens{ 1000 };
    submit(batchRequest);
    router.firstToken(now, RequestId("1"));
    router.progress(now, RequestId("1"), Tokens{ 10 });
  }
  for (int i = 0; i < 2; ++i) {
    submit(makeRequestInfo(Rank::urgent));
  }
  REQUIRE(cancels.size() == 1);
  CHECK(cancels[0].id == RequestId("1"));
  router.cancelled(now, RequestId("1"));
  CHECK(router.counters()[2].preempted == 1);
  finish(RequestId("5"));
  const auto resumedDispatches = finish(RequestId("6"));
  REQUIRE(resumedDispatches.size() == 1);
  CHECK(resumedDispatches[0].id == RequestId("1"));
  CHECK(resumedDispatches[0].resumeAfter == Tokens{ 10 });
}

// Guards against plain calls that are delayed or refused because of model requests.
TEST_CASE_FIXTURE(Vm, "Router_modelOverload_plainCallsAreNotAffected")
{
  auto policy = Policy{};
  policy.workspaces[WorkspaceId("w")].maxConcurrency = 20;
  router.setPolicy(policy);
  router.announce(now, makeAnnouncement("e", 1));
  Announcement plainEndpoint;
  plainEndpoint.id = EndpointId("till");
  plainEndpoint.zone = ZoneId("a");
  plainEndpoint.kind = EndpointKind::plain;
  plainEndpoint.service = ServiceName("stock");
  plainEndpoint.slots = 4;
  router.announce(now, plainEndpoint);
  for (int i = 0; i < 100; ++i) {
    submit(makeRequestInfo(Rank::batch));
  }
  CHECK_FALSE(accepted);
  auto lookup = makeRequestInfo(Rank::prompt);
  lookup.kind = EndpointKind::plain;
  lookup.service = ServiceName("stock");
  const auto dispatches = submit(lookup);
  REQUIRE(dispatches.size() == 1);
  CHECK(dispatches[0].endpoint == EndpointId("till"));
  lookup.id = RequestId("other");
  lookup.service = ServiceName("none");
  CHECK(router.submit(now, lookup).error().kind == ErrorKind::unknownService);
}

// Guards against VMs that each admit the full rate, and against a VM with little demand that keeps
// an equal share.
TEST_CASE("RateLimiter_severalVms_divideTheRateByDemand")
{
  Policy policy;
  policy.workspaces[WorkspaceId("w")].requestsPerSecond = 100;
  RateLimiter busy(EndpointKind::model);
  RateLimiter quiet(EndpointKind::model);
  int admittedCount = 0;
  for (auto* limiter : { &busy, &quiet }) {
    limiter->setPolicy(policy);
  }
  busy.setPeers({ { ProcessId("quiet") }, {}, 2, 2, 0 });
  quiet.setPeers({ { ProcessId("busy") }, {}, 2, 2, 1 });
  Time now{ 1'000'000'000 };
  for (int i = 0; i < 4000; ++i) {
    now = now + 5ms;
    const WorkspaceId workspace("w");
    const bool isCounted = i >= 2000;
    admittedCount += busy.admit(now, workspace, CallerId("c")) && isCounted ? 1 : 0;
    if (i % 10 == 0) {
      admittedCount += quiet.admit(now, workspace, CallerId("c")) && isCounted ? 1 : 0;
    }
    if (i % 200 == 0) {
      quiet.receive(now, ProcessId("busy"), busy.takeIncrements(ProcessId("quiet")));
      busy.receive(now, ProcessId("quiet"), quiet.takeIncrements(ProcessId("busy")));
    }
  }
  CHECK(admittedCount <= 1050);
  CHECK(admittedCount >= 900);
  CHECK(busy.vmShare(now, "w:w") > 0.7);
}

// Guards against increments that are counted twice or lost in the tree of links between VMs.
TEST_CASE("FairShareTotals_treeOfVms_countEachTokenOnce")
{
  const std::vector<ProcessId> ids{ ProcessId("a"), ProcessId("b"), ProcessId("c") };
  std::vector<FairShareTotals> totals(3);
  totals[0].setLinks({ ids[1], ids[2] });
  totals[1].setLinks({ ids[0] });
  totals[2].setLinks({ ids[0] });
  const Time now{ 1'000'000'000 };
  const WorkspaceId workspace("w");
  for (auto& total : totals) {
    total.add(now, total.indexOf(workspace), Rank::batch, 100);
  }
  for (int round = 0; round < 3; ++round) {
    for (const std::size_t leafIndex : { 1U, 2U }) {
      totals[leafIndex].receive(now, ids[0], totals[0].takeIncrements(ids[leafIndex]));
      totals[0].receive(now, ids[leafIndex], totals[leafIndex].takeIncrements(ids[0]));
    }
  }
  for (const auto& total : totals) {
    CHECK(total.total(now, workspace) == doctest::Approx(300));
    CHECK(total.total(now + kFairShareTimeConstant, workspace) ==
          doctest::Approx(300 / std::exp(1.0)));
  }
}

// Guards against an endpoint that is overloaded by the requests of one prefix, and against a prefix
// that moves between endpoints at low load.
TEST_CASE("EndpointSelector_commonPrefix_usesOneEndpointWithinTheLoadBound")
{
  EndpointSelector endpointSelector(1);
  std::vector<EndpointCandidate> candidates;
  for (std::uint32_t i = 0; i < 4; ++i) {
    candidates.push_back({ i, true, 0, 32, true, i * 7919ULL });
  }
  const std::vector<Fingerprint> prefix{ 1, 2, 3 };
  const auto preferredIndex =
    endpointSelector.choose(SelectionStrategy::affinity, prefix, candidates);
  REQUIRE(preferredIndex);
  CHECK(endpointSelector.choose(SelectionStrategy::affinity, prefix, candidates) == preferredIndex);
  for (int i = 0; i < 40; ++i) {
    const auto chosenIndex =
      endpointSelector.choose(SelectionStrategy::affinity, prefix, candidates);
    candidates[*chosenIndex].load += 1;
  }
  CHECK(candidates[*preferredIndex].load < 16);
  candidates[*preferredIndex].available = false;
  CHECK(endpointSelector.choose(SelectionStrategy::affinity, prefix, candidates) != preferredIndex);
}

// Guards against a load estimate that ignores requests sent after the report or keeps counting
// finished ones.
TEST_CASE("LoadEstimate_delayedReport_isCorrectedByOwnRequests")
{
  LoadEstimate load;
  const Time start{ 1'000'000'000 };
  for (int i = 0; i < 4; ++i) {
    load.adjustOwnRequests(start, 1);
  }
  load.report(start + 1s, 10);
  CHECK(load.current() == 10);
  load.adjustOwnRequests(start + 1100ms, 1);
  load.adjustOwnRequests(start + 1200ms, 1);
  CHECK(load.current() == 12);
  for (int i = 0; i < 6; ++i) {
    load.adjustOwnRequests(start + 1300ms, -1);
  }
  CHECK(load.current() == 6);
}

// Guards against a limit that decreases after a single slow sample or never recovers.
TEST_CASE("ConcurrencyLimit_slowFirstTokens_shrinkAndRecover")
{
  ConcurrencyLimit limit(32);
  Time now{ 1'000'000'000 };
  limit.record(now, Rank::urgent, 100ms);
  limit.record(now, Rank::urgent, 2s);
  CHECK(limit.value() == 32);
  for (int i = 0; i < 10; ++i) {
    now = now + 1s;
    limit.record(now, Rank::urgent, 2s);
  }
  CHECK(limit.value() < 32);
  CHECK(limit.value() >= 8);
  for (int i = 0; i < 100; ++i) {
    limit.record(now, Rank::urgent, 100ms);
  }
  CHECK(limit.value() == 32);
}
