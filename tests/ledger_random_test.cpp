#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "LedgerCluster.h"

#include <doctest/doctest.h>

using namespace figchute;
using namespace figchute::ledger;
using figchute::ledger::test::Cluster;
using figchute::ledger::test::kMs;
using figchute::ledger::test::kSecond;

namespace {

/** One request of the run and its outcome. */
struct Attempt
{
  std::string vm;
  std::uint64_t incarnation = 0;
  std::string key;
  std::int64_t bound = 0;
  std::int64_t charged = -1;
  bool admitted = false;
};

/** Random requests and faults. Bills are summed up independently of the ledger. */
struct RandomRun : Cluster
{
  explicit RandomRun(std::uint64_t seed)
    : Cluster(seed)
  {
    buy(bought);
    start("a", true);
    start("b");
    start("c");
    start("d", true);
    advance(kSecond);
    lossProbability = 0.05;
    duplicationProbability = 0.05;
    maxExtraDelay = Duration(20'000);
  }

  std::string randomVm() { return std::string(1, static_cast<char>('a' + random.below(4))); }

  void runRandomStep()
  {
    const auto randomNumber = random.below(1000);
    const auto vm = randomVm();
    if (randomNumber < 700) {
      startRequest(vm);
    } else if (randomNumber < 720) {
      disconnectedLinks.insert({ vm, random.chance(0.5) ? "ctl" : randomVm() });
    } else if (randomNumber < 760) {
      disconnectedLinks.clear();
    } else if (randomNumber < 765) {
      controlDown = !controlDown;
    } else if (randomNumber < 770) {
      bought += random.between(0, 2000);
      buy(bought);
    } else if (randomNumber < 775) {
      restart(vm);
    } else if (randomNumber < 777) {
      ControlState restored;
      REQUIRE(restored.restore(control.snapshot()).has_value());
      control = std::move(restored);
    }
    finishRandomlyChosenRequests();
    advance(Duration(random.between(1, 20) * 1000));
  }

  void startRequest(const std::string& vm)
  {
    if (!entries.at(vm).alive) {
      return;
    }
    const auto id = "r" + std::to_string(++requests);
    const auto key = random.chance(0.3) ? "k" + std::to_string(random.below(40)) : "";
    Attempt attempt{ vm, entries.at(vm).incarnation, key, random.between(1, 300), -1, false };
    const auto decision = reserve(vm, id, attempt.bound, attempt.key);
    attempt.admitted = decision.status == ReserveStatus::admitted;
    attempts[id] = attempt;
  }

  void finishRandomlyChosenRequests()
  {
    for (auto& [vm, newDecisions] : decisions) {
      for (const auto& decision : newDecisions) {
        attempts.at(decision.request.value).admitted = decision.status == ReserveStatus::admitted;
      }
      newDecisions.clear();
    }
    for (auto& [id, attempt] : attempts) {
      const auto& entry = entries.at(attempt.vm);
      const bool sameIncarnation = entry.alive && entry.incarnation == attempt.incarnation;
      if (!attempt.admitted || attempt.charged >= 0 || !sameIncarnation || !random.chance(0.1)) {
        continue;
      }
      if (random.chance(0.1)) {
        entry.quotaManager->release(now, RequestId(id));
        attempt.admitted = false;
      } else {
        attempt.charged = random.between(0, attempt.bound);
        REQUIRE(
          entry.quotaManager->charge(now, RequestId(id), Tokens{ attempt.charged }).has_value());
      }
    }
  }

  void restart(const std::string& vm)
  {
    if (entries.at(vm).alive) {
      crash(vm);
      advance(Duration(random.between(1, 300) * 1000));
      start(vm, entries.at(vm).hasJournal);
    }
  }

  /** Returns the sum over requests and keys of the largest bill.
      @param delivered  whether to count only recorded charges, whose answers may have been sent
                        completely */
  std::int64_t sumOfBills(bool delivered) const
  {
    std::map<std::string, std::int64_t> bills;
    for (const auto& [id, attempt] : attempts) {
      if (attempt.charged >= 0 && (!delivered || recordedRequests.contains(id))) {
        auto& bill = bills[attempt.key.empty() ? id : attempt.key];
        bill = std::max(bill, attempt.charged);
      }
    }
    std::int64_t sum = 0;
    for (const auto& [id, amount] : bills) {
      sum += amount;
    }
    return sum;
  }

  std::int64_t bought = 5000;
  std::uint64_t requests = 0;
  std::map<std::string, Attempt> attempts;
};

} // namespace

// Guards against overspend, lost charges and charges billed twice under message loss, duplication
// and reordering, network partitions, crashes, restarts and snapshots in any combination.
TEST_CASE("Ledger_randomFaults_neverOverspendsAndSettlesWhatWasDelivered")
{
  for (std::uint64_t seed = 1; seed <= 12; ++seed) {
    CAPTURE(seed);
    RandomRun run(seed);
    for (int i = 0; i < 1500; ++i) {
      run.runRandomStep();
      REQUIRE(run.sumOfBills(true) <= run.bought);
    }
    run.disconnectedLinks.clear();
    run.controlDown = false;
    run.lossProbability = 0;
    for (int i = 0; i < 100; ++i) {
      run.finishRandomlyChosenRequests();
      run.advance(10 * kMs);
    }
    for (auto& [id, attempt] : run.attempts) {
      const auto& entry = run.entries.at(attempt.vm);
      if (attempt.admitted && attempt.charged < 0 && entry.incarnation == attempt.incarnation) {
        entry.quotaManager->release(run.now, RequestId(id));
      }
    }
    run.advance(20 * kSecond);
    std::int64_t unreclaimed = 0;
    for (const auto& view : run.control.unreclaimedTokens()) {
      unreclaimed += view.amount.count;
    }
    const auto view = run.budget();
    CHECK(view.settled.count + unreclaimed >= run.sumOfBills(true));
    CHECK(view.settled.count <= run.sumOfBills(false));
    CHECK(view.held.count == unreclaimed);
    CHECK(view.settled + view.held + view.free == view.bought);
  }
}
