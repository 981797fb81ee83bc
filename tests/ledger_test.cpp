#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "LedgerCluster.h"

#include <doctest/doctest.h>

using namespace figchute;
using namespace figchute::ledger;
using figchute::ledger::test::Cluster;
using figchute::ledger::test::kMs;
using figchute::ledger::test::kSecond;

namespace {

/** Three entry VMs in one availability zone that are registered with witnesses. */
struct Zone : Cluster
{
  Zone()
  {
    buy(10'000);
    for (const auto* name : { "a", "b", "c" }) {
      start(name);
    }
    advance(kSecond);
  }

  QuotaManager& quotaManager(const std::string& name) { return *entries.at(name).quotaManager; }

  /** Checks the settled amount and that the parts of the budget add up to the bought amount. */
  void checkSettled(std::int64_t settled)
  {
    const auto view = budget();
    CHECK(view.settled.count == settled);
    CHECK((view.settled + view.held + view.free) == view.bought);
  }

  void retireCrashed(const std::string& name)
  {
    const Incarnation lastIncarnation{ entries.at(name).incarnation - 1 };
    apply(Retire{ { ProcessId(name), lastIncarnation }, std::nullopt, {} });
  }
};

} // namespace

// Guards against settled amounts that differ from the charges.
TEST_CASE_FIXTURE(Zone, "QuotaManager_chargedRequest_isSettledOnce")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  CHECK(charge("a", "r1", 300));
  advance(3 * kSecond);
  checkSettled(300);
  CHECK(quotaManager("a").account(BudgetId("w:t/x"))->reserved == Tokens{ 0 });
}

// Guards against a charge that counts as recorded before a witness has acknowledged it, and against
// a charge that is not recorded at the second witness when the first does not answer.
TEST_CASE_FIXTURE(Zone, "QuotaManager_witnessUnreachable_recordsAtOtherWitness")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  disconnectedLinks.insert({ "a", "b" });
  disconnectedLinks.insert({ "a", "c" });
  CHECK_FALSE(charge("a", "r1", 300));
  disconnectedLinks.erase({ "a", "c" });
  advance(500 * kMs);
  CHECK(recordedRequests.contains("r1"));
}

// Guards against the admission of a request whose charge no witness could record.
TEST_CASE_FIXTURE(Cluster, "QuotaManager_noWitness_refusesAsNoQuorum")
{
  buy(1000);
  start("a");
  start("b");
  advance(kSecond);
  entries.at("b").alive = false;
  updatePeers();
  std::vector<Peer> controlOnly{
    { { ProcessId("ctl"), Incarnation{ 1 } }, ZoneId("z9"), false, true, false }
  };
  entries.at("a").quotaManager->setPeers(now, controlOnly);
  const auto decision = decide("a", "r1", 10);
  CHECK(decision.status == ReserveStatus::refused);
  CHECK(decision.error->kind == ErrorKind::noQuorum);
}

// Guards against a process with a journal that refuses requests when no witness is reachable.
TEST_CASE_FIXTURE(Cluster, "QuotaManager_journalWithoutWitness_admitsAndRecords")
{
  buy(1000);
  start("a", true);
  advance(kSecond);
  disconnectedLinks.insert({ "a", "ctl" });
  entries.at("a").quotaManager->setPeers(now, {});
  disconnectedLinks.clear();
  std::vector<Peer> controlOnly{
    { { ProcessId("ctl"), Incarnation{ 1 } }, ZoneId("z9"), false, true, false }
  };
  entries.at("a").quotaManager->setPeers(now, controlOnly);
  CHECK(decide("a", "r1", 10).status == ReserveStatus::admitted);
  CHECK(charge("a", "r1", 10));
}

// Guards against a refusal while another holder has enough unused tokens.
TEST_CASE_FIXTURE(Zone, "QuotaManager_tokensUnusedAtOtherHolder_areRecalled")
{
  REQUIRE(decide("a", "r1", 9000).status == ReserveStatus::admitted);
  quotaManager("a").release(now, RequestId("r1"));
  CHECK(decide("b", "r2", 9500).status == ReserveStatus::admitted);
}

// Guards against tokens that two holders reserve at the same time.
TEST_CASE_FIXTURE(Zone, "QuotaManager_budgetReservedAtOtherHolder_refusesAfterGrantTimeout")
{
  REQUIRE(decide("a", "r1", 9000).status == ReserveStatus::admitted);
  const auto requestedAt = now;
  const auto decision = decide("b", "r2", 2000);
  CHECK(decision.status == ReserveStatus::refused);
  CHECK(decision.error->kind == ErrorKind::budgetExhausted);
  CHECK((now - requestedAt) >= 400 * kMs);
  CHECK((now - requestedAt) <= 410 * kMs);
}

// Guards against the refusal of covered requests while the control VMs elect a leader.
TEST_CASE_FIXTURE(Zone, "QuotaManager_controlUnreachableForOneSecond_waitsAndAdmits")
{
  disconnectedLinks.insert({ "a", "ctl" });
  const std::vector<BudgetId> budgets{ BudgetId("w:t/x") };
  quotaManager("a").reserve(now, RequestId("r1"), std::nullopt, budgets, Tokens{ 500 });
  advance(kSecond);
  CHECK(decisions["a"].empty());
  disconnectedLinks.clear();
  advance(500 * kMs);
  REQUIRE(decisions["a"].size() == 1);
  CHECK(decisions["a"][0].status == ReserveStatus::admitted);
}

// Guards against requests refused as not covered by their budget, although control has not answered
// their grant request yet: it answers other proposals first when it is back or busy.
TEST_CASE_FIXTURE(Zone, "QuotaManager_controlAnswersOtherProposalsFirst_waitsForTheGrant")
{
  REQUIRE(decide("a", "r0", 500).status == ReserveStatus::admitted);
  decisions.clear();
  losesGrants = true;
  REQUIRE(reserve("a", "r1", 5000).status == ReserveStatus::waiting);
  advance(500 * kMs);
  REQUIRE(charge("a", "r0", 500));
  advance(kSecond);
  CHECK(decisions["a"].empty());
  losesGrants = false;
  advance(700 * kMs);
  REQUIRE(decisions["a"].size() == 1);
  CHECK(decisions["a"][0].status == ReserveStatus::admitted);
}

// Guards against a loss of quorum that is reported to callers as an exhausted budget.
TEST_CASE_FIXTURE(Zone, "QuotaManager_controlUnreachableForThreeSeconds_refusesAsNoQuorum")
{
  disconnectedLinks.insert({ "a", "ctl" });
  const std::vector<BudgetId> budgets{ BudgetId("w:t/x") };
  quotaManager("a").reserve(now, RequestId("r1"), std::nullopt, budgets, Tokens{ 500 });
  advance(3 * kSecond);
  REQUIRE(decisions["a"].size() == 1);
  CHECK(decisions["a"][0].error->kind == ErrorKind::noQuorum);
}

// Guards against tokens that stay reserved after the reservation was reduced.
TEST_CASE_FIXTURE(Zone, "QuotaManager_reservationReduced_freesTheDifferenceAtOnce")
{
  REQUIRE(decide("a", "r1", 10'000).status == ReserveStatus::admitted);
  quotaManager("a").reduceReservation(now, RequestId("r1"), Tokens{ 1000 });
  quotaManager("a").reduceReservation(now, RequestId("r1"), Tokens{ 5000 });
  CHECK(decide("b", "r2", 9000).status == ReserveStatus::admitted);
  CHECK(charge("a", "r1", 1000));
}

// Guards against a request with two budgets that is admitted although one does not cover it.
TEST_CASE_FIXTURE(Zone, "QuotaManager_twoBudgets_bothMustCoverTheRequest")
{
  buy(100, "c:t/c");
  const std::vector<BudgetId> budgets{ BudgetId("w:t/x"), BudgetId("c:t/c") };
  auto& quotaManagerA = quotaManager("a");
  quotaManagerA.reserve(now, RequestId("r1"), std::nullopt, budgets, Tokens{ 101 });
  quotaManagerA.reserve(now, RequestId("r2"), std::nullopt, budgets, Tokens{ 100 });
  advance(500 * kMs);
  REQUIRE(decisions["a"].size() == 2);
  CHECK(decisions["a"][0].request == RequestId("r2"));
  CHECK(decisions["a"][0].status == ReserveStatus::admitted);
  CHECK(decisions["a"][1].error->kind == ErrorKind::budgetExhausted);
  CHECK(charge("a", "r2", 100));
  advance(2 * kSecond);
  CHECK(budget("c:t/c").settled == Tokens{ 100 });
  CHECK(budget("w:t/x").settled == Tokens{ 100 });
}

// Guards against billing one key twice when the caller retries it at another VM.
TEST_CASE_FIXTURE(Zone, "KeyedBill_attemptsAtTwoVms_billsTheMaximum")
{
  REQUIRE(decide("a", "r1", 500, "k").status == ReserveStatus::admitted);
  REQUIRE(decide("b", "r2", 500, "k").status == ReserveStatus::admitted);
  CHECK(charge("a", "r1", 200));
  CHECK(charge("b", "r2", 300));
  advance(3 * kSecond);
  checkSettled(300);
  CHECK(control.keyedBill(CallerId("t/c"), "k", BudgetId("w:t/x")) == Tokens{ 300 });
  REQUIRE(decide("c", "r3", 500, "k").status == ReserveStatus::admitted);
  CHECK(charge("c", "r3", 250));
  advance(3 * kSecond);
  checkSettled(300);
  advance(10 * kSecond);
  CHECK(budget().held == Tokens{ 0 });
  now = now + kKeyRetention;
  buy(10'000);
  CHECK(control.keyedBillCount() == 0);
}

// Guards against charges that are lost when their process crashes, and against billing for requests
// that it did not finish.
TEST_CASE_FIXTURE(Zone, "Retire_witnessesReport_settlesRecordedChargesAndFreesTheRest")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  REQUIRE(decide("a", "r2", 500).status == ReserveStatus::admitted);
  REQUIRE(decide("a", "r3", 500, "k").status == ReserveStatus::admitted);
  disconnectedLinks.insert({ "a", "ctl" });
  CHECK(charge("a", "r1", 300));
  CHECK(charge("a", "r3", 70));
  crash("a");
  disconnectedLinks.clear();
  advance(kSecond);
  CHECK(budget().held > Tokens{ 0 });
  retireCrashed("a");
  advance(kSecond);
  checkSettled(370);
  CHECK(budget().held == Tokens{ 0 });
  CHECK(control.unreclaimedTokens().empty());
  CHECK(controlWitness.size() + entries.at("b").witness->size() == 0);
}

// Guards against tokens that become free before all registered witnesses have reported.
TEST_CASE_FIXTURE(Zone, "Retire_witnessNotReporting_keepsTheRestStranded")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  disconnectedLinks.insert({ "a", "ctl" });
  CHECK(charge("a", "r1", 300));
  crash("a");
  disconnectedLinks.clear();
  unresponsiveWitnesses.insert("c");
  retireCrashed("a");
  advance(2 * kSecond);
  auto unreclaimed = control.unreclaimedTokens();
  REQUIRE(unreclaimed.size() == 1);
  CHECK(unreclaimed[0].holder == HolderId{ ProcessId("a"), Incarnation{ 1 } });
  CHECK(unreclaimed[0].missingWitnesses == std::vector<HolderId>{ holder("c") });
  CHECK(unreclaimed[0].amount >= Tokens{ 200 });
  unresponsiveWitnesses.clear();
  advance(kSecond);
  CHECK(control.unreclaimedTokens().empty());
  checkSettled(300);
}

// Guards against a holder that was retired by mistake and completes answers that are never billed.
TEST_CASE_FIXTURE(Zone, "Retire_holderAlive_recordsNothingMore")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  apply(Retire{ holder("a"), std::nullopt, {} });
  advance(kSecond);
  CHECK_FALSE(charge("a", "r1", 300));
  advance(2 * kSecond);
  CHECK(quotaManager("a").isRetired());
  CHECK(reserve("a", "r2", 1).error->kind == ErrorKind::shuttingDown);
  checkSettled(0);
}

// Guards against a restarted witness whose empty report frees tokens that were spent.
TEST_CASE_FIXTURE(Zone, "Retire_witnessesRestarted_staysStranded")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  disconnectedLinks.insert({ "a", "ctl" });
  CHECK(charge("a", "r1", 300));
  crash("a");
  disconnectedLinks.clear();
  for (const auto* name : { "b", "c" }) {
    crash(name);
    start(name);
  }
  retireCrashed("a");
  advance(2 * kSecond);
  REQUIRE(control.unreclaimedTokens().size() == 1);
  CHECK(control.unreclaimedTokens()[0].amount >= Tokens{ 300 });
  CHECK(control.unreclaimedTokens()[0].missingWitnesses.size() == 2);
}

// Guards against a journal that is ignored, attributed to the wrong incarnation or applied twice.
TEST_CASE_FIXTURE(Cluster, "Journal_restartedProcess_settlesItsEarlierIncarnation")
{
  buy(10'000);
  start("a", true);
  start("b");
  advance(kSecond);
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  REQUIRE(decide("a", "r2", 500, "k").status == ReserveStatus::admitted);
  disconnectedLinks.insert({ "a", "ctl" });
  CHECK(charge("a", "r1", 300));
  CHECK(charge("a", "r2", 40));
  unresponsiveWitnesses.insert("b");
  crash("a");
  start("a", true);
  advance(500 * kMs);
  crash("a");
  disconnectedLinks.clear();
  start("a", true);
  advance(3 * kSecond);
  CHECK(control.unreclaimedTokens().empty());
  CHECK(budget().settled == Tokens{ 340 });
  CHECK(budget().held == Tokens{ 0 });
  CHECK(decide("a", "r3", 9000).status == ReserveStatus::admitted);
}

// Guards against compaction that drops unsettled charges.
TEST_CASE_FIXTURE(Cluster, "Journal_compacted_recoversTheSameCharges")
{
  buy(10'000);
  start("a", true);
  start("b");
  advance(kSecond);
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  CHECK(charge("a", "r1", 100));
  advance(2 * kSecond);
  REQUIRE(decide("a", "r2", 500).status == ReserveStatus::admitted);
  REQUIRE(decide("a", "r3", 500, "k").status == ReserveStatus::admitted);
  disconnectedLinks.insert({ "a", "ctl" });
  CHECK(charge("a", "r2", 50));
  CHECK(charge("a", "r3", 7));
  entries.at("a").journal = entries.at("a").quotaManager->compactJournal();
  crash("a");
  disconnectedLinks.clear();
  start("a", true);
  advance(2 * kSecond);
  CHECK(budget().settled == Tokens{ 157 });
  CHECK(budget().held == Tokens{ 0 });
}

// Guards against refusals while another holder of the zone has tokens and control is unreachable,
// and against transfers that are counted twice afterwards.
TEST_CASE_FIXTURE(Zone, "Transfer_controlUnreachable_movesTokensWithinTheZone")
{
  REQUIRE(decide("a", "r1", 3000).status == ReserveStatus::admitted);
  controlDown = true;
  quotaManager("a").release(now, RequestId("r1"));
  duplicationProbability = 0.3;
  lossProbability = 0.1;
  REQUIRE(decide("b", "r2", 2000).status == ReserveStatus::admitted);
  CHECK(charge("b", "r2", 1500));
  REQUIRE(decide("c", "r3", 1000).status == ReserveStatus::admitted);
  CHECK(charge("c", "r3", 1000));
  controlDown = false;
  lossProbability = 0;
  advance(20 * kSecond);
  checkSettled(2500);
  CHECK(budget().held == Tokens{ 0 });
}

// Guards against tokens in transit that are lost when the sender crashes after recording them.
TEST_CASE_FIXTURE(Zone, "Transfer_senderCrashesBeforeDelivery_creditsTheReceiver")
{
  REQUIRE(decide("a", "r1", 3000).status == ReserveStatus::admitted);
  quotaManager("a").release(now, RequestId("r1"));
  quotaManager("a").receive(
    now, ProcessId("b"), TransferRequest{ holder("b"), BudgetId("w:t/x"), Tokens{ 500 } });
  disconnectedLinks.insert({ "a", "b" });
  disconnectedLinks.insert({ "a", "ctl" });
  advance(200 * kMs);
  crash("a");
  disconnectedLinks.clear();
  retireCrashed("a");
  advance(500 * kMs);
  const auto account = quotaManager("b").account(BudgetId("w:t/x"));
  REQUIRE(account.has_value());
  CHECK(account->transferredIn >= Tokens{ 500 });
  advance(10 * kSecond);
  CHECK(budget().held == Tokens{ 0 });
  CHECK(budget().free == Tokens{ 10'000 });
}

// Guards against tokens in transit that are lost when the receiver crashes before it records them.
TEST_CASE_FIXTURE(Zone, "Transfer_receiverCrashes_returnsToTheSender")
{
  REQUIRE(decide("a", "r1", 3000).status == ReserveStatus::admitted);
  quotaManager("a").release(now, RequestId("r1"));
  disconnectedLinks.insert({ "a", "ctl" });
  quotaManager("a").receive(
    now, ProcessId("b"), TransferRequest{ holder("b"), BudgetId("w:t/x"), Tokens{ 500 } });
  entries.at("b").alive = false;
  advance(100 * kMs);
  crash("b");
  disconnectedLinks.clear();
  retireCrashed("b");
  advance(15 * kSecond);
  CHECK(quotaManager("a").account(BudgetId("w:t/x"))->transferredOut == Tokens{ 0 });
  CHECK(budget().free == Tokens{ 10'000 });
}

// Guards against accounts and witness records that accumulate for idle budgets.
TEST_CASE_FIXTURE(Zone, "QuotaManager_idleBudget_isRemovedEverywhere")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  CHECK(charge("a", "r1", 300));
  advance(20 * kSecond);
  CHECK_FALSE(quotaManager("a").account(BudgetId("w:t/x")).has_value());
  CHECK(entries.at("b").witness->size() == 0);
  CHECK(budget().holders.empty());
  checkSettled(300);
  REQUIRE(decide("a", "r2", 500).status == ReserveStatus::admitted);
  CHECK(charge("a", "r2", 200));
  crash("a");
  retireCrashed("a");
  advance(kSecond);
  checkSettled(500);
}

// Guards against a process that shuts down and still holds tokens.
TEST_CASE_FIXTURE(Zone, "QuotaManager_drained_holdsNothing")
{
  REQUIRE(decide("a", "r1", 500).status == ReserveStatus::admitted);
  quotaManager("a").drain(now);
  CHECK(reserve("a", "r2", 10).error->kind == ErrorKind::shuttingDown);
  advance(kSecond);
  CHECK_FALSE(quotaManager("a").isDrained());
  CHECK(budget().held == Tokens{ 500 });
  CHECK(charge("a", "r1", 100));
  advance(kSecond);
  CHECK(quotaManager("a").isDrained());
  CHECK(budget().held == Tokens{ 0 });
  checkSettled(100);
}

// Guards against a busy holder that requests a grant for each request.
TEST_CASE_FIXTURE(Cluster, "QuotaManager_steadyDemand_requestsGrantsRarely")
{
  buy(100'000'000);
  start("a");
  start("b");
  advance(kSecond);
  const auto indexBefore = index;
  int waitingCount = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto id = "r" + std::to_string(i);
    waitingCount += reserve("a", id, 1000).status == ReserveStatus::waiting ? 1 : 0;
    advance(10 * kMs);
    REQUIRE(charge("a", id, 400));
  }
  CHECK(waitingCount < 20);
  CHECK(index - indexBefore < 100);
}

namespace {

/** A holder that needs a grant for each request, because each reserves all tokens that it holds. */
struct GrowingDemand : Cluster
{
  GrowingDemand()
  {
    buy(1'000'000'000);
    start("a");
    start("b");
    advance(kSecond);
  }

  /** Runs requests one after the other for some time. Returns how many were admitted. */
  int run(Duration duration)
  {
    int admitted = 0;
    for (const auto end = now + duration; now < end;) {
      const auto id = "r" + std::to_string(number_++);
      const auto status = decide("a", id, 1'000'000 + 10'000 * number_).status;
      admitted += status == ReserveStatus::admitted ? 1 : 0;
      if (status == ReserveStatus::admitted) {
        REQUIRE(charge("a", id, 10'000));
      }
      advance(10 * kMs);
    }
    return admitted;
  }

private:
  int number_ = 0;
};

} // namespace

// Guards against holders that send commands as fast as control answers them.
TEST_CASE_FIXTURE(GrowingDemand, "QuotaManager_controlStatesAnInterval_sendsCommandsThatRarely")
{
  run(2 * kSecond);
  CHECK(grantCommands > 2 + 1);
  grantInterval = kSecond;
  run(kSecond);
  grantCommands = 0;
  settleCommands = 0;
  CHECK(run(16 * kSecond) > 0);
  CHECK(grantCommands <= 16 + 1);
  CHECK(settleCommands <= 16 / kSettlePauseFactor + 1);
}

// Guards against a holder that refuses everything because of one answer with a wrong value.
TEST_CASE_FIXTURE(GrowingDemand, "QuotaManager_controlStatesAnHour_requestsAGrantWithinASecond")
{
  grantInterval = 3600 * kSecond;
  run(kSecond);
  advance(kMaxGrantInterval);
  const auto before = grantCommands;
  run(2 * kSecond);
  CHECK(grantCommands > before);
  grantInterval = Duration{ -1 };
  run(2 * kSecond);
  CHECK(run(kSecond) > 10);
}
