#include "LedgerBench.h"

#include "ledger/ledger.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <fmt/format.h>
#include <malloc.h>
#include <string>
#include <vector>

namespace figchute::bench {
namespace {

using Clock = std::chrono::steady_clock;
using ledger::ControlState;
using ledger::Outgoing;
using ledger::Wallet;
using ledger::Witness;

constexpr int kBudgets = 100;
constexpr int kDecisions = 200'000;
constexpr int kSettledRequests = 20'000;
constexpr int kMemoryBudgets = 100'000;
constexpr std::int64_t kBought = 1'000'000'000;
/** Virtual time between two requests: 1,000 requests/s at one entry VM. */
constexpr Duration kBetweenRequests{ 1000 };

const ProcessId kControl("ctl");

/** One wallet, its witness and control, joined without a network. */
class Loop
{
public:
  Loop()
    : wallet(settings())
    , witness({ ProcessId("b"), Incarnation{ 1 } })
  {
    std::vector<ledger::Purchase> purchases;
    purchases.reserve(kBudgets);
    for (int i = 0; i < kBudgets; ++i) {
      purchases.push_back({ budget(i), Tokens{ kBought } });
    }
    control.apply(
      ++index, now, ledger::ApplyDocument{ TeamId("t"), 0, ChangeId("c"), "", purchases });
    const std::vector<ledger::Peer> peers{
      { { kControl, Incarnation{ 1 } }, ZoneId("z"), false, true, true },
      { { ProcessId("b"), Incarnation{ 1 } }, ZoneId("z"), true, false, true }
    };
    wallet.setPeers(now, peers);
    pump();
  }

  static BudgetId budget(int number) { return BudgetId("w:t/workspace-" + std::to_string(number)); }

  /** Delivers all messages, with their size counted, until none is left. */
  void pump()
  {
    for (auto batch = wallet.takeOutgoing(); !batch.empty(); batch = wallet.takeOutgoing()) {
      for (const auto& outgoing : batch) {
        bytes += wire::encode(outgoing.message).size();
        if (outgoing.to == kControl) {
          commit(outgoing);
        } else {
          witness.receive(now, ProcessId("a"), outgoing.message);
        }
      }
      for (const auto& answer : witness.takeOutgoing()) {
        bytes += wire::encode(answer.message).size();
        wallet.receive(now, ProcessId("b"), answer.message);
      }
    }
  }

  Wallet wallet;
  Witness witness;
  ControlState control;
  Time now{ 1'700'000'000'000'000 };
  std::uint64_t index = 0;
  std::uint64_t bytes = 0;

private:
  static ledger::WalletSettings settings()
  {
    ledger::WalletSettings settings;
    settings.self = HolderId{ ProcessId("a"), Incarnation{ 1 } };
    settings.zone = ZoneId("z");
    return settings;
  }

  void commit(const Outgoing& outgoing)
  {
    if (const auto* propose = std::get_if<ledger::Propose>(&outgoing.message)) {
      const auto result = control.applyEncoded(++index, now, propose->command);
      const ledger::Message reply =
        ledger::ProposeReply{ propose->proposalId, true, kControl, result.value_or(std::string()) };
      bytes += wire::encode(reply).size();
      wallet.receive(now, kControl, reply);
    }
  }
};

void runRequest(Loop& loop, int number)
{
  const RequestId id("r" + std::to_string(number));
  const std::vector<BudgetId> budgets{ Loop::budget(number % kBudgets) };
  loop.wallet.reserve(loop.now, id, std::nullopt, budgets, Tokens{ 1000 });
  loop.pump();
  (void)loop.wallet.charge(loop.now, id, Tokens{ 400 });
  loop.pump();
  loop.wallet.takeRecordedCharges();
  loop.wallet.takeDecisions();
  loop.now = loop.now + kBetweenRequests;
  if (number % 10 == 0) {
    loop.wallet.tick(loop.now);
    loop.pump();
  }
}

void measureDecisions(std::ostream& out)
{
  Loop loop;
  for (int i = 0; i < kBudgets * 10; ++i) {
    runRequest(loop, i);
  }
  std::vector<double> nanos;
  nanos.reserve(kDecisions);
  for (int i = 0; i < kDecisions; ++i) {
    const RequestId id("d" + std::to_string(i));
    const std::vector<BudgetId> budgets{ Loop::budget(i % kBudgets) };
    const auto begin = Clock::now();
    const auto decision = loop.wallet.reserve(loop.now, id, std::nullopt, budgets, Tokens{ 10 });
    nanos.push_back(std::chrono::duration<double, std::nano>(Clock::now() - begin).count());
    loop.pump();
    if (decision.status == ledger::ReserveStatus::admitted) {
      loop.wallet.release(loop.now, id);
    }
    loop.wallet.takeDecisions();
    loop.now = loop.now + kBetweenRequests;
  }
  double sum = 0;
  for (const auto value : nanos) {
    sum += value;
  }
  std::sort(nanos.begin(), nanos.end());
  out << fmt::format("admission_decisions\t{:.0f}\tper_second\n", 1e9 * kDecisions / sum);
  out << fmt::format("admission_decision_p95\t{:.2f}\tus\n", nanos[nanos.size() * 95 / 100] / 1000);
}

void measureBytes(std::ostream& out)
{
  Loop loop;
  const auto before = loop.bytes;
  const auto commands = loop.index;
  for (int i = 0; i < kSettledRequests; ++i) {
    runRequest(loop, i);
  }
  out << fmt::format("bytes_per_settled_request\t{:.0f}\tbytes\n",
                     static_cast<double>(loop.bytes - before) / kSettledRequests);
  out << fmt::format("log_commands_per_settled_request\t{:.3f}\tcommands\n",
                     static_cast<double>(loop.index - commands) / kSettledRequests);
}

std::size_t allocated()
{
  return mallinfo2().uordblks;
}

void measureMemory(std::ostream& out)
{
  ControlState control;
  const Time now{ 1'700'000'000'000'000 };
  const HolderId holder{ ProcessId("entry-1"), Incarnation{ 1 } };
  std::uint64_t index = 0;
  std::vector<ledger::Purchase> purchases;
  ledger::Grant grant{ holder, {} };
  purchases.reserve(kMemoryBudgets);
  grant.items.reserve(kMemoryBudgets);
  for (int i = 0; i < kMemoryBudgets; ++i) {
    purchases.push_back({ Loop::budget(i), Tokens{ kBought } });
    grant.items.push_back(
      { Loop::budget(i), static_cast<std::uint64_t>(i) + 1, Tokens{ 10 }, Tokens{ 10 }, {} });
  }
  const ledger::Command document =
    ledger::ApplyDocument{ TeamId("t"), 0, ChangeId("c"), "", purchases };
  const ledger::Command granted = grant;
  const auto empty = allocated();
  control.apply(++index, now, document);
  const auto bought = allocated();
  control.apply(++index, now, ledger::RegisterHolder{ holder, ZoneId("z"), 1, {} });
  control.apply(++index, now, granted);
  const auto held = allocated();
  out << fmt::format("control_memory_per_budget\t{}\tbytes\n", (bought - empty) / kMemoryBudgets);
  out << fmt::format("control_memory_per_grant\t{}\tbytes\n", (held - bought) / kMemoryBudgets);
  Loop loop;
  const auto idle = allocated();
  for (int i = 0; i < kBudgets; ++i) {
    runRequest(loop, i);
  }
  const auto serving = allocated();
  out << fmt::format("entry_memory_per_grant\t{}\tbytes\n", (serving - idle) / kBudgets);
}

} // namespace

void runLedgerBench(std::ostream& out)
{
  measureDecisions(out);
  measureBytes(out);
  measureMemory(out);
}

} // namespace figchute::bench
