#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ledger/UnlockLimit.h"
#include "RouterCluster.h"

#include <doctest/doctest.h>

using namespace figchute;
using namespace figchute::ledger;
using figchute::ledger::test::kMs;
using figchute::ledger::test::kSecond;
using figchute::ledger::test::NineRouters;

namespace {

/** Nine entry processes that have served some requests. Sums up, independently of control, what
    processes that end may have spent. */
struct FailingRouters : NineRouters
{
  FailingRouters()
  {
    reportsControlLost = true;
    for (int i = 0; i < 30; ++i) {
      for (const auto& [name, entry] : entries) {
        runRequests(name, 1, 50, kMs);
      }
      advance(100 * kMs);
    }
    REQUIRE(budget().held > Tokens{ 50'000 });
  }

  /** Returns what a process has spent or may spend without unlocking more of its reserve. */
  Tokens unlocked(const std::string& name)
  {
    const auto account = *quotaManager(name).account(BudgetId("w:t/x"));
    return account.spent + account.reserved + account.available;
  }

  /** Returns the most that a process can have spent in its current incarnation without a further
      message from control. */
  Tokens maxSpent(const std::string& name)
  {
    const auto account = *quotaManager(name).account(BudgetId("w:t/x"));
    const auto held = account.granted + account.transferredIn - account.transferredOut -
                      account.spent - account.returned;
    const auto reserve = held - account.available - account.reserved;
    return unlocked(name) + Tokens{ reserve.count / ledger::detail::kUnlockableReserveDivisor };
  }

  /** Ends a process and adds to @ref unlockedByEnded and @ref maxSpentByEnded. */
  void end(const std::string& name)
  {
    unlockedByEnded += unlocked(name);
    maxSpentByEnded += maxSpent(name);
    crash(name);
  }

  Tokens spentBy(const std::vector<std::string>& names)
  {
    Tokens sum;
    for (const auto& name : names) {
      sum += quotaManager(name).account(BudgetId("w:t/x"))->spent;
    }
    return sum;
  }

  void endAll()
  {
    for (const auto& [name, entry] : entries) {
      end(name);
    }
  }

  /** Checks that control grants none of the unlocked tokens again and writes off no more than the
      ended processes can have spent.
      @param spentByRunning  what the running processes have spent */
  void checkSettled(Tokens spentByRunning = {})
  {
    CHECK(budget().settled.count >= (spentByRunning + unlockedByEnded).count);
    CHECK(budget().settled.count <= (spentByRunning + maxSpentByEnded).count);
  }

  Tokens unlockedByEnded;
  Tokens maxSpentByEnded;
};

} // namespace

// Guards against budgets that count as spent because all entry processes were down for longer than
// a holder needs to unlock its reserve: every later request was refused.
TEST_CASE_FIXTURE(FailingRouters, "RouterRetirement_allDownForFiveSeconds_reservesAreReturned")
{
  endAll();
  advance(5 * kSecond);
  restartAll();
  advance(2 * kSecond);
  checkSettled();
  CHECK(runRequests("a", 20, 2000, 10 * kMs) == 0);
}

// Guards against the same loss when the processes were idle and had nothing to report.
TEST_CASE_FIXTURE(FailingRouters, "RouterRetirement_allDownAfterIdleTime_reservesAreReturned")
{
  advance(20 * kSecond);
  endAll();
  advance(kSecond);
  restartAll();
  advance(2 * kSecond);
  checkSettled();
  CHECK(runRequests("a", 20, 2000, 10 * kMs) == 0);
}

// Guards against the loss of a zone's share: the witnesses of a holder are in its own zone.
TEST_CASE_FIXTURE(FailingRouters, "RouterRetirement_zoneDownForFiveSeconds_reservesAreReturned")
{
  const auto spentByOthers = spentBy({ "b", "c", "e", "f", "h", "i" });
  for (const auto* name : { "a", "d", "g" }) {
    end(name);
  }
  advance(5 * kSecond);
  for (const auto* name : { "a", "d", "g" }) {
    restart(name);
  }
  advance(2 * kSecond);
  checkSettled(spentByOthers);
}

// Guards against a second write-off when all processes end again while the retirements of their
// former incarnations are still being decided.
TEST_CASE_FIXTURE(FailingRouters, "RouterRetirement_allDownTwice_reservesAreReturned")
{
  endAll();
  advance(5 * kSecond);
  restartAll();
  advance(2 * kMs);
  endAll();
  advance(5 * kSecond);
  restartAll();
  advance(2 * kSecond);
  checkSettled();
  CHECK(runRequests("a", 20, 1000, 10 * kMs) == 0);
}

// Guards against granting tokens again that holders unlocked and spent while control was
// unreachable, when no witness is left to report them.
TEST_CASE_FIXTURE(FailingRouters, "RouterRetirement_allDownAfterUnlocking_spentTokensStaySpent")
{
  disconnectControl();
  advance(4 * kSecond);
  CHECK(runRequests("a", 20, 1000, 50 * kMs) == 0);
  endAll();
  disconnectedLinks.clear();
  advance(500 * kMs);
  restartAll();
  advance(5 * kSecond);
  checkSettled();
}

// Guards against relying on a witness that ends after the holder and before it reports.
TEST_CASE_FIXTURE(FailingRouters,
                  "RouterRetirement_witnessesEndBeforeReporting_spentTokensStaySpent")
{
  disconnectControl();
  advance(4 * kSecond);
  CHECK(runRequests("a", 20, 1000, 50 * kMs) == 0);
  end("a");
  restart("a");
  advance(200 * kMs);
  endAll();
  disconnectedLinks.clear();
  restartAll();
  advance(5 * kSecond);
  checkSettled();
}

// Guards against returning a reserve that its holder unlocked and spent, because a clock that was
// set back made the time without contact look too short for that.
TEST_CASE_FIXTURE(FailingRouters,
                  "RouterRetirement_replacedSoonAfterUnlocking_spentTokensStaySpent")
{
  disconnectControl();
  advance(3500 * kMs);
  CHECK(runRequests("a", 20, 1000, 10 * kMs) == 0);
  const auto spentByOthers = spentBy({ "b", "c", "d", "e", "f", "g", "h", "i" });
  end("a");
  disconnectedLinks.clear();
  advance(100 * kMs);
  restart("a");
  advance(3 * kSecond);
  checkSettled(spentByOthers);
}

// Guards against a holder of which control does not know whether it was in contact, because the
// control VM was restarted, and against taking a reading of another clock for proof of contact.
TEST_CASE_FIXTURE(FailingRouters, "RouterRetirement_controlClockIsNew_writesOffUpToTheLimit")
{
  endAll();
  ++controlClock;
  advance(500 * kMs);
  restartAll();
  advance(2 * kSecond);
  checkSettled();
  CHECK(budget().settled.count >= maxSpentByEnded.count - 9);
}

// Guards against waiting for witnesses that have ended, or writing off tokens, although the clock
// of control shows that the holders ended before they could unlock anything.
TEST_CASE_FIXTURE(FailingRouters,
                  "RouterRetirement_allReplacedWithinASecond_nothingUnlockedIsAssumed")
{
  endAll();
  advance(kSecond);
  restartAll();
  advance(2 * kSecond);
  CHECK(budget().settled == unlockedByEnded);
}

// Guards against a proof of contact from a reading that the holder got before it unlocked tokens
// which control does not know of.
TEST_CASE_FIXTURE(FailingRouters, "RouterRetirement_endsAfterReconnecting_unlockedTokensStaySpent")
{
  disconnectControl();
  advance(4 * kSecond);
  CHECK(runRequests("a", 20, 1000, 10 * kMs) == 0);
  disconnectedLinks.clear();
  for (int i = 0; i < 40; ++i) {
    advance(10 * kMs);
    reserve("a", "late" + std::to_string(i), 10);
  }
  endAll();
  advance(300 * kMs);
  restartAll();
  advance(3 * kSecond);
  checkSettled();
}

// Guards against a suspended holder that wakes and unlocks tokens with witnesses that were
// restarted meanwhile, so that nobody would know of it.
TEST_CASE_FIXTURE(FailingRouters, "RouterReserve_wakesAfterWitnessesWereRestarted_unlocksNothing")
{
  disconnectControl();
  advance(kSecond);
  suspended.insert("a");
  for (const auto* name : { "b", "c", "d", "e", "f", "g", "h", "i" }) {
    crash(name);
    restart(name);
  }
  advance(6 * kSecond);
  suspended.clear();
  const auto limit = unlocked("a");
  runRequests("a", 30, 1000, 10 * kMs);
  const auto account = *quotaManager("a").account(BudgetId("w:t/x"));
  CHECK(account.spent + account.transferredOut - account.transferredIn <= limit);
}

// Guards against a holder that unlocks more without a message from control than control assumes
// after the loss of all witnesses.
TEST_CASE_FIXTURE(FailingRouters, "RouterReserve_demandExceedsTheLimit_staysWithinTheLimit")
{
  std::map<std::string, Tokens> limits;
  for (const auto& [name, entry] : entries) {
    limits[name] = maxSpent(name);
  }
  disconnectControl();
  advance(4 * kSecond);
  CHECK(runRequests("a", 60, 1000, 20 * kMs) > 0);
  for (const auto& [name, limit] : limits) {
    const auto account = *quotaManager(name).account(BudgetId("w:t/x"));
    CHECK(account.spent + account.transferredOut - account.transferredIn <= limit);
  }
}
