#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "BudgetFleet.h"

#include <cstdlib>
#include <iostream>

using namespace figchute;
using namespace figchute::ledger;
using figchute::ledger::test::BudgetFleet;

namespace {

constexpr Duration kSecond = BudgetFleet::kOneSecond;

/** Sums up the phases of a run. */
struct Day
{
  explicit Day(std::uint64_t runSeed, double prepaidFactor = 1.3)
    : fleet(runSeed, prepaidFactor)
    , seed(runSeed)
  {
  }

  /** Runs a phase and returns its refusals per thousand requests. Prints each second when the
      environment variable BUDGET_LOAD_TRACE is set. */
  double run(std::string_view phase, int seconds, bool withRequests = true)
  {
    BudgetFleet::Tally sum;
    for (int i = 0; i < seconds; ++i) {
      const auto tally = fleet.run(kSecond, withRequests);
      if (std::getenv("BUDGET_LOAD_TRACE") != nullptr) {
        std::cout << fmt::format(
          "  {} +{}: {}\n    {}\n", phase, i, tally.text(), fleet.largestBudgetText());
      }
      sum.requests += tally.requests;
      sum.refused += tally.refused;
      sum.refusedAtHotEntry += tally.refusedAtHotEntry;
      sum.refusedUncovered += tally.refusedUncovered;
      sum.waits += tally.waits;
      sum.messages += tally.messages;
      sum.proposals += tally.proposals;
      sum.longestWait = std::max(sum.longestWait, tally.longestWait);
      sum.longestQueueTime = std::max(sum.longestQueueTime, tally.longestQueueTime);
      for (const auto& [reason, count] : tally.reasons) {
        sum.reasons[reason] += count;
      }
      CHECK(fleet.overspent() == 0);
    }
    std::cout << fmt::format("seed {} {}: {}\n", seed, phase, sum.text());
    requests += sum.requests;
    refused += sum.refused;
    return sum.perThousand();
  }

  BudgetFleet fleet;
  std::uint64_t seed;
  int requests = 0;
  int refused = 0;
};

} // namespace

// Guards against holders that have nothing in stock although others, or control, have plenty:
// before part D of docs/design/overview.md, 490 in 1,000 requests were refused while the leader was
// silent. No request may be refused while control answers. In the isolated zone, tokens of the
// other side are out of reach.
TEST_CASE("BudgetTokens_leaderSilentAndZoneCutOff_fewCoveredRequestsAreRefused")
{
  for (const std::uint64_t seed : { 1, 2 }) {
    Day day(seed);
    day.fleet.setPrepaidShare(0.7);
    day.run("idle", 14, false);
    CHECK(day.run("start", 3) == 0);
    day.fleet.setLeaderSilent(true);
    CHECK(day.run("silent", 8) < 10);
    day.fleet.setLeaderSilent(false);
    CHECK(day.run("returned", 7) == 0);
    day.fleet.setPrepaidShare(0.85);
    CHECK(day.run("first top-up", 4) == 0);
    day.fleet.cutZone(BudgetFleet::kHotEntry % BudgetFleet::kZones);
    CHECK(day.run("zone cut off", 6) < 30);
    day.fleet.cutZone(std::nullopt);
    day.fleet.setPrepaidShare(1);
    CHECK(day.run("end", 12) == 0);
    std::cout << fmt::format("seed {} day: refused {} of {}, {:.2f} in 1,000\n",
                             seed,
                             day.refused,
                             day.requests,
                             1e3 * day.refused / day.requests);
  }
}

// Guards against refusals of a process whose link is full, on answers to grant requests that it had
// sent before, and against budgets that it cannot use to their end. A budget of 28 s is used up
// here.
TEST_CASE("BudgetTokens_busiestLinkIsFull_fewCoveredRequestsAreRefused")
{
  for (const std::uint64_t seed : { 1, 2 }) {
    Day day(seed, 0.7);
    day.run("idle", 14, false);
    day.fleet.hotLinkDelay = Duration{ 100'000 };
    CHECK(day.run("start", 3) == 0);
    day.fleet.setLeaderSilent(true);
    CHECK(day.run("silent", 8) < 70);
    day.fleet.setLeaderSilent(false);
    CHECK(day.run("returned", 7) < 3);
    CHECK(day.run("last part", 8) < 30);
    day.run("spent", 4);
  }
}

// Guards against a budget whose last tokens lie at holders that do not need them, and against a
// spent budget whose requests wait.
TEST_CASE("BudgetTokens_budgetRunsOut_isUsedToItsEnd")
{
  for (const std::uint64_t seed : { 1, 2 }) {
    Day day(seed, 0.5);
    day.run("idle", 14, false);
    CHECK(day.run("first part", 15) == 0);
    CHECK(day.run("last part", 6) < 1);
    CHECK(day.run("spent", 4) < 1);
  }
}

// The same after a silence during which 40% of the budget is used.
TEST_CASE("BudgetTokens_budgetRunsOutAfterSilence_isUsedToItsEnd")
{
  for (const std::uint64_t seed : { 1, 2 }) {
    Day day(seed, 0.5);
    day.run("idle", 14, false);
    day.run("start", 3);
    day.fleet.setLeaderSilent(true);
    CHECK(day.run("silent", 8) < 220);
    day.fleet.setLeaderSilent(false);
    CHECK(day.run("returned", 7) < 1);
    CHECK(day.run("last part", 6) < 1);
    CHECK(day.run("spent", 4) < 1);
  }
}
