#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "RouterCluster.h"

#include <doctest/doctest.h>

using namespace figchute;
using namespace figchute::ledger;
using figchute::ledger::test::kMs;
using figchute::ledger::test::kSecond;
using figchute::ledger::test::NineRouters;
using figchute::ledger::test::Router;

// Guards against a process that waits for witnesses before it is ready, or for a record before a
// charge is final.
TEST_CASE_FIXTURE(Router, "RouterQuotaManager_noWitness_isReadyAndRecordsAtOnce")
{
  startProcesses(1, 10'000);
  CHECK(quotaManager("a").isReady());
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  CHECK(quotaManager("a").charge(now, RequestId("r1"), Tokens{ 300 }).has_value());
  CHECK(quotaManager("a").isChargeRecorded(RequestId("r1")));
  advance(3 * kSecond);
  CHECK(budget().settled == Tokens{ 300 });
}

// Guards against granting tokens again that a crashed process may have spent.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_processCrashes_countsWhatItHeldAsSpent")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  CHECK(charge("a", "r1", 300));
  advance(100 * kMs);
  const auto held = quotaManager("a").account(BudgetId("w:t/x"))->available + Tokens{ 300 };
  crash("a");
  restart("a");
  advance(kSecond);
  CHECK(budget().settled == held);
  CHECK(control.unreclaimedTokens().empty());
}

// Guards against a reserve that is lost when its holder crashes although no part of it was
// unlocked.
TEST_CASE_FIXTURE(NineRouters, "RouterReserve_holderCrashes_returnsToTheBudget")
{
  advance(3 * kSecond);
  REQUIRE(budget().held > Tokens{ 50'000 });
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  CHECK(charge("a", "r1", 300));
  advance(kSecond);
  const auto unlocked = quotaManager("a").account(BudgetId("w:t/x"))->available;
  crash("a");
  advance(10 * kSecond);
  restart("a");
  advance(kSecond);
  CHECK(budget().settled == unlocked + Tokens{ 300 });
  CHECK(budget().settled < Tokens{ 3000 });
}

// Guards against the loss of all reserves when all entry processes die at the same time and no
// witness is left.
TEST_CASE_FIXTURE(NineRouters, "RouterReserve_allCrashInContact_returnsToTheBudget")
{
  for (int i = 0; i < 30; ++i) {
    for (const auto& [name, entry] : entries) {
      runRequests(name, 1, 50, kMs);
    }
    advance(100 * kMs);
  }
  REQUIRE(budget().held > Tokens{ 50'000 });
  crashAll();
  advance(1500 * kMs);
  restartAll();
  advance(2 * kSecond);
  CHECK(budget().settled < Tokens{ 30'000 });
  CHECK(runRequests("a", 20, 2000, 10 * kMs) == 0);
}

// Guards against refusals when control is unreachable for longer than the unlocked tokens last.
TEST_CASE_FIXTURE(NineRouters, "RouterReserve_longDisconnection_isUnlockedWithWitnesses")
{
  reportsControlLost = true;
  advance(3 * kSecond);
  disconnectControl();
  advance(4 * kSecond);
  CHECK(runRequests("a", 25, 1000, 50 * kMs) == 0);
  disconnectedLinks.clear();
  advance(3 * kSecond);
  CHECK(budget().settled == Tokens{ 25'000 });
}

// Guards against refusals at a single process that cannot reach control while its peers can.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_oneDisconnected_getsTokensFromItsPeers")
{
  reportsControlLost = true;
  advance(3 * kSecond);
  disconnectedLinks.insert({ "a", "ctl" });
  CHECK(runRequests("a", 25, 1000, 50 * kMs) == 0);
  disconnectedLinks.clear();
  advance(3 * kSecond);
  CHECK(budget().settled == Tokens{ 25'000 });
}

// Guards against granting tokens again that a crashed holder unlocked and spent while disconnected.
TEST_CASE_FIXTURE(NineRouters,
                  "RouterReserve_holderCrashesAfterUnlocking_unlockedPartCountsAsSpent")
{
  reportsControlLost = true;
  advance(3 * kSecond);
  disconnectControl();
  advance(4 * kSecond);
  CHECK(runRequests("a", 25, 1000, 50 * kMs) == 0);
  crash("a");
  disconnectedLinks.clear();
  advance(500 * kMs);
  restart("a");
  advance(3 * kSecond);
  CHECK(budget().settled >= Tokens{ 25'000 });
  CHECK(budget().settled < Tokens{ 60'000 });
}

// Guards against late refusals when control is already known to be unreachable.
TEST_CASE_FIXTURE(NineRouters,
                  "RouterQuotaManager_controlKnownLost_refusesAfterRequestingFromPeers")
{
  disconnectControl();
  advance(kSecond);
  quotaManager("a").setControlLost(true);
  const auto requestedAt = now;
  const auto decision = decide("a", "big", 90'000);
  CHECK(decision.error->kind == ErrorKind::noQuorum);
  CHECK((now - requestedAt) <= 250 * kMs);
}

// Guards against the loss of a process's tokens when it shuts down while control is unreachable.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_stoppedWhileDisconnected_transfersItsTokens")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  disconnectControl();
  advance(kSecond);
  const auto held = quotaManager("a").account(BudgetId("w:t/x"))->available;
  REQUIRE(held > Tokens{ 0 });
  quotaManager("a").handOver(now);
  CHECK(decide("a", "r2", 1).status == ReserveStatus::refused);
  CHECK(charge("a", "r1", 100));
  quotaManager("a").handOver(now);
  advance(500 * kMs);
  CHECK(quotaManager("a").isHandedOver());
  crash("a");
  disconnectedLinks.clear();
  restart("a");
  advance(3 * kSecond);
  CHECK(budget().settled <= Tokens{ 100 });
}

// Guards against a process that shuts down and still holds tokens.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_drained_returnsEverything")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  quotaManager("a").drain(now);
  advance(kSecond);
  CHECK_FALSE(quotaManager("a").isDrained());
  CHECK(charge("a", "r1", 300));
  advance(kSecond);
  CHECK(quotaManager("a").isDrained());
  CHECK(budget().settled == Tokens{ 300 });
}

// Guards against holders that keep unreserved tokens of a budget after it was lowered.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_budgetLowered_returnsWhatIsNotReserved")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  setPrepaidAmount(400);
  advance(100 * kMs);
  CHECK(budget().held == Tokens{ 500 });
  CHECK(budget().free == Tokens{ -100 });
  CHECK(decide("b", "r2", 1).error->kind == ErrorKind::budgetExhausted);
  CHECK(charge("a", "r1", 300));
  advance(2 * kSecond);
  CHECK(decide("b", "r3", 100).status == ReserveStatus::admitted);
}

// Guards against a budget whose settled amount is reset because a configuration omitted it.
TEST_CASE_FIXTURE(NineRouters, "SetPrepaid_budgetRemovedAndAddedAgain_keepsSettledAmount")
{
  CHECK(runRequests("a", 10, 900, 10 * kMs) == 0);
  configuration.clear();
  configure();
  advance(2 * kSecond);
  CHECK(budget().held == Tokens{ 0 });
  CHECK(decide("a", "r1", 1).error->kind == ErrorKind::budgetExhausted);
  ControlState restored;
  REQUIRE(restored.restore(control.snapshot()).has_value());
  control = std::move(restored);
  setPrepaidAmount(10'000);
  advance(2 * kSecond);
  CHECK(budget().settled == Tokens{ 9000 });
  CHECK(decide("b", "r2", 1001).status == ReserveStatus::refused);
  CHECK(decide("b", "r3", 1000).status == ReserveStatus::admitted);
}

// Guards against the refusal of a workspace's first request to a process while control is
// unreachable.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_firstRequestWhileDisconnected_isAdmittedAtOnce")
{
  disconnectControl();
  CHECK(reserve("i", "r1", 500).status == ReserveStatus::admitted);
}

// Guards against refusals at a disconnected process while processes of other zones have tokens.
TEST_CASE_FIXTURE(NineRouters,
                  "RouterQuotaManager_grantUsedUpWhileDisconnected_getsTokensFromAllZones")
{
  disconnectControl();
  CHECK(runRequests("a", 16, 500, 20 * kMs) == 0);
  disconnectedLinks.clear();
  advance(3 * kSecond);
  CHECK(budget().settled == Tokens{ 8000 });
}

// Guards against tokens that are counted twice when the sender of a transfer crashes before
// control has received the report of the transfer.
TEST_CASE_FIXTURE(NineRouters, "RouterTransfer_senderCrashes_receiverKeepsTheTokens")
{
  disconnectControl();
  CHECK(runRequests("a", 8, 500, 10 * kMs) == 0);
  for (const auto* name : { "b", "c", "d" }) {
    crash(name);
  }
  disconnectedLinks.clear();
  for (const auto* name : { "b", "c", "d" }) {
    restart(name);
  }
  advance(5 * kSecond);
  const auto view = budget();
  CHECK((view.settled + view.held + view.free) == view.bought);
  CHECK(view.settled >= Tokens{ 4000 });
  quotaManager("a").drain(now);
  advance(2 * kSecond);
  CHECK(quotaManager("a").isDrained());
}

// Guards against transferred tokens that return to the sender although the receiver spent them
// before it crashed.
TEST_CASE_FIXTURE(NineRouters, "RouterTransfer_receiverCrashes_tokensCountAsSpent")
{
  disconnectControl();
  CHECK(runRequests("a", 8, 500, 10 * kMs) == 0);
  crash("a");
  disconnectedLinks.clear();
  restart("a");
  advance(5 * kSecond);
  const auto view = budget();
  CHECK(view.settled >= Tokens{ 4000 });
  CHECK((view.settled + view.held + view.free) == view.bought);
}

// Guards against a caller that waits although the budget is exhausted.
TEST_CASE_FIXTURE(Router, "RouterQuotaManager_budgetExhausted_refusesBeforeGrantTimeout")
{
  startProcesses(2, 1000);
  CHECK(runRequests("a", 1, 1000, 10 * kMs) == 0);
  const auto requestedAt = now;
  const auto decision = decide("b", "r1", 100);
  CHECK(decision.error->kind == ErrorKind::budgetExhausted);
  CHECK((now - requestedAt) <= 200 * kMs);
}

// Guards against a long wait, or a refusal as budget_exhausted, while no control process answers.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_controlUnreachable_refusesAsNoQuorumAfter600Ms")
{
  disconnectControl();
  const auto requestedAt = now;
  const auto decision = decide("a", "r1", 90'000);
  CHECK(decision.error->kind == ErrorKind::noQuorum);
  CHECK((now - requestedAt) >= 600 * kMs);
  CHECK((now - requestedAt) <= 620 * kMs);
}

namespace {

/** Random requests and faults at processes that record no charges. Charges are summed up
    independently of the ledger. */
struct RandomRouters : Router
{
  struct Attempt
  {
    std::string process;
    std::uint64_t incarnation = 0;
    std::int64_t bound = 0;
    bool admitted = false;
    bool done = false;
  };

  RandomRouters(std::uint64_t seed, double initialShare)
    : Router(seed)
  {
    makeSettings = [initialShare](const HolderId& self, const ZoneId& zone) {
      auto settings = routerQuotaSettings(self, zone);
      settings.initialShare = initialShare;
      return settings;
    };
    startProcesses(5, amount);
    lossProbability = 0.05;
    duplicationProbability = 0.05;
    maxExtraDelay = Duration(30'000);
  }

  std::string randomProcess() { return std::string(1, static_cast<char>('a' + random.below(5))); }

  void runRandomStep()
  {
    const auto randomNumber = random.below(1000);
    const auto process = randomProcess();
    if (randomNumber < 800) {
      startRequest(process);
    } else if (randomNumber < 804) {
      disconnectControl();
      if (random.chance(0.3)) {
        advance(Duration(random.between(1000, 5000) * 1000));
      }
    } else if (randomNumber < 810) {
      disconnectedLinks.clear();
    } else if (randomNumber < 815) {
      disconnectedLinks.insert({ process, random.chance(0.5) ? "ctl" : randomProcess() });
    } else if (randomNumber < 818) {
      crashAndRestart(process);
    } else if (randomNumber < 819) {
      crashAndRestartAll();
    } else if (randomNumber < 822) {
      const bool raise = random.chance(0.7);
      amount = raise ? amount + random.between(0, 2000) : random.between(0, amount);
      largestPrepaid = std::max(largestPrepaid, amount);
      setPrepaidAmount(amount);
    } else if (randomNumber < 823) {
      configuration.clear();
      configure();
    } else if (randomNumber < 825) {
      ControlState restored;
      REQUIRE(restored.restore(control.snapshot()).has_value());
      control = std::move(restored);
    }
    finishRandomlyChosenRequests();
    advance(Duration(random.between(1, 20) * 1000));
  }

  void startRequest(const std::string& process)
  {
    const auto id = "r" + std::to_string(++requests);
    Attempt attempt{ process, entries.at(process).incarnation, random.between(1, 300) };
    attempt.admitted = reserve(process, id, attempt.bound).status == ReserveStatus::admitted;
    attempts[id] = attempt;
  }

  void crashAndRestart(const std::string& process)
  {
    crash(process);
    // Some processes stay down longer than the others need to unlock their reserves.
    const bool longDowntime = random.chance(0.3);
    advance(Duration(random.between(1, longDowntime ? 5000 : 300) * 1000));
    restart(process);
  }

  void crashAndRestartAll()
  {
    crashAll();
    advance(Duration(random.between(1, 4000) * 1000));
    restartAll();
  }

  void finishRandomlyChosenRequests()
  {
    for (auto& [process, newDecisions] : decisions) {
      for (const auto& decision : newDecisions) {
        attempts.at(decision.request.value).admitted = decision.status == ReserveStatus::admitted;
      }
      newDecisions.clear();
    }
    for (auto& [id, attempt] : attempts) {
      const bool sameIncarnation = entries.at(attempt.process).incarnation == attempt.incarnation;
      if (!attempt.admitted || attempt.done || !sameIncarnation || !random.chance(0.1)) {
        continue;
      }
      attempt.done = true;
      const auto used = random.between(0, attempt.bound);
      spent += used;
      REQUIRE(quotaManager(attempt.process).charge(now, RequestId(id), Tokens{ used }).has_value());
    }
  }

  void settleAll()
  {
    disconnectedLinks.clear();
    lossProbability = 0;
    setPrepaidAmount(amount);
    for (auto& [id, attempt] : attempts) {
      const bool sameIncarnation = entries.at(attempt.process).incarnation == attempt.incarnation;
      if (sameIncarnation && !attempt.done) {
        quotaManager(attempt.process).release(now, RequestId(id));
      }
    }
    for (auto& [name, entry] : entries) {
      entry.quotaManager->drain(now);
    }
    advance(10 * kSecond);
  }

  std::int64_t amount = 5000;
  std::int64_t largestPrepaid = 5000;
  std::int64_t spent = 0;
  std::uint64_t requests = 0;
  std::map<std::string, Attempt> attempts;
};

} // namespace

// Guards against spending above the largest prepaid amount and against lost charges, under message
// loss, duplication and reordering, disconnections, crashes, transfers, snapshots, and raised,
// lowered and removed budgets in any combination.
TEST_CASE("RouterBudget_randomFaults_neverSpendsMoreThanTheLargestPrepaid")
{
  for (std::uint64_t seed = 1; seed <= 16; ++seed) {
    CAPTURE(seed);
    // Without initial grants, processes depend on transfers from the first disconnection on.
    RandomRouters run(seed, seed % 2 == 0 ? 0.7 : 0.0);
    run.reportsControlLost = seed % 4 < 2;
    for (int i = 0; i < 1500; ++i) {
      run.runRandomStep();
      REQUIRE(run.spent <= run.largestPrepaid);
    }
    CHECK(run.spent > 0);
    run.settleAll();
    const auto view = run.budget();
    CHECK(view.held == Tokens{ 0 });
    CHECK(view.settled.count >= run.spent);
    CHECK(view.settled.count <= run.largestPrepaid);
    CHECK(view.settled + view.held + view.free == view.bought);
    for (const auto& [name, entry] : run.entries) {
      CHECK(entry.quotaManager->isDrained());
    }
  }
}

// Guards against settlements that report every transfer since the start: they grow with the number
// of holders, and after a partition control cannot receive them in time.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_transferIsSettled_isNotReportedAgain")
{
  reportsControlLost = true;
  advance(3 * kSecond);
  disconnectedLinks.insert({ "a", "ctl" });
  REQUIRE(runRequests("a", 25, 1000, 50 * kMs) == 0);
  disconnectedLinks.clear();
  advance(3 * kSecond);
  REQUIRE(quotaManager("a").account(BudgetId("w:t/x"))->transferredIn > Tokens{ 0 });
  REQUIRE(reserve("a", "last", 100).status == ReserveStatus::admitted);
  REQUIRE(quotaManager("a").charge(now, RequestId("last"), Tokens{ 100 }).has_value());
  const auto settle = nextSettle("a");
  REQUIRE(settle.totals.size() == 1);
  CHECK(settle.totals.front().transferredIn.empty());
  advance(3 * kSecond);
  CHECK(budget().settled == Tokens{ 25'100 });
}

// Guards against ledger state that grows with the square of the number of holders: every holder of
// a large fleet would otherwise get tokens from every other one during a partition.
TEST_CASE_FIXTURE(Router, "RouterQuotaManager_largeFleetIsPartitioned_requestsTokensFromFewPeers")
{
  constexpr int kHolders = 40;
  constexpr std::size_t kMaxPeers = 16;
  for (int i = 0; i < kHolders; ++i) {
    start("e" + std::to_string(i), false, "z" + std::to_string(i % 3));
  }
  reportsControlLost = true;
  setPrepaidAmount(1000);
  advance(kSecond);
  disconnectControl();
  std::set<std::string> requestedPeers;
  for (int i = 0; i < 20; ++i) {
    reserve("e0", "r" + std::to_string(i), 900);
    for (int ms = 0; ms < 300; ++ms) {
      advance(kMs);
      addTransferRequestReceivers("e0", requestedPeers);
    }
  }
  CHECK(requestedPeers.size() > 1);
  CHECK(requestedPeers.size() <= kMaxPeers);
}
