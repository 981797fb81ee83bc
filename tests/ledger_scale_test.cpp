#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ledger/ledger.h"
#include "ThreadTime.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::ledger;

namespace {

/** The largest deployment that the users run, and the interval at which entry processes settle. */
constexpr int kHolders = 73;
constexpr int kBudgets = 24;
constexpr double kSettleIntervalSeconds = 0.6;
/** The processor share of a control process there, in cores. */
constexpr double kControlShare = 0.15;

/** The ledger of a control process with registered holders that have grants from all budgets. */
struct LargeFleet
{
  explicit LargeFleet(int holders = kHolders, int budgets = kBudgets)
    : holderCount(holders)
    , budgetCount(budgets)
  {
    std::vector<PrepaidBudget> prepaidBudgets;
    for (int budget = 0; budget < budgetCount; ++budget) {
      prepaidBudgets.push_back({ budgetId(budget), Tokens{ 10'000'000 } });
    }
    apply(PutConfiguration{ 1, "configuration", prepaidBudgets });
    for (int holder = 0; holder < holderCount; ++holder) {
      start(holderId(holder));
    }
  }

  static HolderId holderId(int holder)
  {
    return { ProcessId(fmt::format("10.1.0.{}:7300", holder)), Incarnation{ 1 } };
  }

  static BudgetId budgetId(int budget) { return BudgetId(fmt::format("w:t/tenant{}", budget)); }

  void apply(const Command& command)
  {
    time = time + Duration{ 1000 };
    REQUIRE(control.applyEncoded(++index, time, wire::encode(command)).has_value());
  }

  /** Registers a holder and grants it tokens of all budgets. */
  void start(const HolderId& holder)
  {
    apply(RegisterHolder{ holder, ZoneId("z"), 1, {}, true, {} });
    Grant grant{ holder, {} };
    for (int budget = 0; budget < budgetCount; ++budget) {
      grant.items.push_back({ budgetId(budget), 1, Tokens{ 1000 }, Tokens{ 1000 }, Tokens{} });
    }
    apply(grant);
  }

  /** Applies one Settle of each holder with charges of all budgets, with transfers to the next
      @p partners holders and from the previous ones. */
  void settleAll(int partners)
  {
    ++round;
    for (int holder = 0; holder < holderCount; ++holder) {
      Settle settle{ holderId(holder), round, {}, {}, {}, {} };
      for (int budget = 0; budget < budgetCount; ++budget) {
        AccountTotals totals{
          budgetId(budget), Tokens{ static_cast<std::int64_t>(round) }, {}, {}, {}, Tokens{ 1000 }
        };
        for (int distance = 1; distance <= partners; ++distance) {
          const auto sender = (holder + holderCount - distance) % holderCount;
          const auto receiver = (holder + distance) % holderCount;
          totals.transferredIn.push_back({ holderId(sender), Tokens{ 1 } });
          totals.transferredOut.push_back({ holderId(receiver), Tokens{ 1 } });
        }
        settle.totals.push_back(totals);
      }
      apply(settle);
    }
  }

  /** Lets all holders request more than is free of the first budget again and again, and returns
      the number of recalls that control sends. */
  int countRecalls(Duration duration)
  {
    int recalls = 0;
    std::uint64_t sequence = 1;
    for (const auto end = time + duration; time < end;) {
      ++sequence;
      for (int holder = 0; holder < kHolders && time < end; ++holder) {
        const Tokens requested{ 20'000'000 };
        apply(
          Grant{ holderId(holder), { { budgetId(0), sequence, requested, requested, Tokens{} } } });
        recalls += static_cast<int>(control.takeOutgoing().size());
      }
    }
    return recalls;
  }

  int holderCount;
  int budgetCount;
  ControlState control;
  std::uint64_t index = 0;
  std::uint64_t round = 0;
  Time time{ 1'700'000'000'000'000 };
};

} // namespace

// Guards against a control process that cannot keep up with its settlements once the holders have
// transferred tokens to each other during a partition.
TEST_CASE_FIXTURE(LargeFleet, "ControlState_holdersHaveTransferredToEachOther_keepsUpWithSettles")
{
  settleAll(kHolders - 1);
  REQUIRE(control.transferPairCount() == kBudgets * kHolders * (kHolders - 1));
  const auto before = threadTime();
  settleAll(0);
  const auto used = std::chrono::duration<double>(threadTime() - before).count();
  INFO("processor time of one round in seconds: ", used);
  // Half of the share remains for elections, configurations and updates.
  CHECK(used < kControlShare * kSettleIntervalSeconds / 2);
  CHECK(control.budget(budgetId(0))->settled == Tokens{ 2 * kHolders });
}

// Guards against a control process that is overloaded after all entry processes were replaced: each
// retired and each new account was compared with the transfers of all holders.
TEST_CASE("ControlState_allHoldersAreReplacedAfterTransfers_registersThemInTime")
{
  // The large deployment, where a control process has this share of a core.
  constexpr int kLargeHolders = 295;
  constexpr int kLargeBudgets = 40;
  constexpr int kPartners = 8;
  constexpr double kLargeControlShare = 0.3;
  // Entry processes lose control when it does not answer for this time.
  constexpr double kSilenceSeconds = 1.2;
  LargeFleet fleet(kLargeHolders, kLargeBudgets);
  fleet.settleAll(kPartners);
  REQUIRE(fleet.control.transferPairCount() == kLargeHolders * kLargeBudgets * kPartners);
  const auto before = threadTime();
  for (int holder = 0; holder < kLargeHolders; ++holder) {
    fleet.start({ LargeFleet::holderId(holder).process, Incarnation{ 2 } });
  }
  const auto used = std::chrono::duration<double>(threadTime() - before).count();
  INFO("processor time in seconds: ", used);
  CHECK(used < kLargeControlShare * kSilenceSeconds);
  CHECK(fleet.control.transferPairCount() == 0);
}

// Guards against recalls that keep control overloaded: each recall makes every holder of a budget
// send a settlement, and one was sent every 10 ms while any request was not covered.
TEST_CASE_FIXTURE(LargeFleet, "ControlState_budgetIsLow_recallsEachHolderAtMostFiveTimesASecond")
{
  constexpr int kSeconds = 2;
  const auto recalls = countRecalls(std::chrono::seconds(kSeconds));
  CHECK(recalls >= kHolders);
  CHECK(recalls <= 5 * kSeconds * kHolders);
}

namespace {

/** A quota manager that is one of many holders, with a control process that answers its commands.
 */
struct HolderOfLargeFleet
{
  static constexpr int kEntries = 295;
  static constexpr int kWorkspaces = 40;

  explicit HolderOfLargeFleet(int entries = kEntries)
    : holder(routerQuotaSettings(LargeFleet::holderId(0), ZoneId("z0")))
  {
    std::vector<Peer> peers{ { { kControl, {} }, {}, false, true, true } };
    for (int entry = 0; entry < entries; ++entry) {
      peers.push_back({ LargeFleet::holderId(entry), zoneOf(entry), true, false, true });
    }
    std::vector<PrepaidBudget> budgets;
    for (int budget = 0; budget < kWorkspaces; ++budget) {
      budgets.push_back({ LargeFleet::budgetId(budget), Tokens{ 100'000'000 } });
    }
    control.apply(++index, time, PutConfiguration{ 1, "configuration", budgets });
    for (int entry = 0; entry < entries; ++entry) {
      control.apply(++index,
                    time,
                    RegisterHolder{ LargeFleet::holderId(entry), zoneOf(entry), 1, {}, true, {} });
    }
    holder.setPeers(time, peers);
    holder.setBudgets(time, budgets);
  }

  static ZoneId zoneOf(int entry) { return ZoneId(fmt::format("z{}", entry % 5)); }

  /** Lets time pass and returns the number of commands that the holder sends. */
  int countCommands(Duration duration)
  {
    int commands = 0;
    for (const auto end = time + duration; time < end; time = time + Duration{ 10'000 }) {
      holder.tick(time);
      for (const auto& outgoing : holder.takeOutgoing()) {
        const auto* propose = std::get_if<Propose>(&outgoing.message);
        if (propose == nullptr) {
          continue;
        }
        ++commands;
        auto result = control.applyEncoded(++index, time, propose->command);
        REQUIRE(result.has_value());
        holder.receive(
          time, kControl, ProposeReply{ propose->proposalId, true, {}, std::move(*result) });
      }
    }
    return commands;
  }

  static inline const ProcessId kControl{ "10.9.0.1:7300" };
  ControlState control;
  QuotaManager holder;
  std::uint64_t index = 0;
  Time time{ 1'700'000'000'000'000 };
};

} // namespace

// Guards against periodic commands whose number at the leader grows with the number of holders: 295
// holders that adjusted the reserves of 40 budgets every 2 s kept it busy while no request came.
TEST_CASE_FIXTURE(HolderOfLargeFleet, "QuotaManager_idleInLargeFleet_sendsFewCommands")
{
  countCommands(Duration{ 30'000'000 });
  CHECK(countCommands(Duration{ 60'000'000 }) <= 12);
}

namespace {

/** Returns the processor time that a holder in a fleet of this size takes for one message of
   another holder, handled as the router daemon does: each message is followed by a tick. */
double microsPerMessage(int entries)
{
  constexpr int kRounds = 5;
  constexpr int kMessages = 400;
  HolderOfLargeFleet fleet(entries);
  fleet.countCommands(Duration{ 5'000'000 });
  auto shortest = Duration::max();
  for (int round = 0; round < kRounds; ++round) {
    const auto before = threadTime();
    for (int message = 0; message < kMessages; ++message) {
      const auto peer = LargeFleet::holderId(1 + message % (entries - 1));
      fleet.holder.receive(
        fleet.time,
        peer.process,
        TransferRequest{ peer, LargeFleet::budgetId(0), Tokens{ 1'000'000'000 } });
      fleet.holder.tick(fleet.time);
      static_cast<void>(fleet.holder.takeOutgoing());
    }
    shortest = std::min(shortest, threadTime() - before);
  }
  return static_cast<double>(shortest.count()) / kMessages;
}

} // namespace

// Guards against work in proportion to the fleet that is done for each message: 295 entry processes
// that chose the witnesses of their reserves anew for each message were seconds late.
TEST_CASE("QuotaManager_messagesInLargerFleets_takeNoMoreTimeEach")
{
  const auto small = microsPerMessage(30);
  for (const int entries : { 100, 300, 1000 }) {
    const auto large = microsPerMessage(entries);
    INFO("entry processes: ", entries, ", us a message: ", large, ", with 30: ", small);
    CHECK(large < 3 * small);
  }
}

// Guards against sums of a budget that differ from its accounts, and against the time that adding
// up all accounts takes for each command.
TEST_CASE_FIXTURE(LargeFleet, "ControlState_grantsOfManyHolders_takeLittleTimeAndKeepTheSums")
{
  settleAll(0);
  const auto before = threadTime();
  constexpr int kRounds = 20;
  for (std::uint64_t sequence = 2; sequence < 2 + kRounds; ++sequence) {
    for (int holder = 0; holder < kHolders; ++holder) {
      const Tokens bound{ 1000 };
      apply(Grant{ holderId(holder), { { budgetId(0), sequence, bound, bound, Tokens{} } } });
    }
  }
  const auto used = std::chrono::duration<double>(threadTime() - before).count();
  INFO("processor time in seconds: ", used);
  CHECK(used / (kRounds * kHolders) < 200e-6);
  const auto view = control.budget(budgetId(0));
  Tokens held;
  for (const auto& account : view->holders) {
    held += account.held;
  }
  CHECK(view->held == held);
  CHECK(view->bought == view->settled + view->held + view->free);
  static_cast<void>(control.snapshot());
}
