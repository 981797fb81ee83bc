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
using ledger::OutgoingMessage;
using ledger::QuotaManager;
using ledger::Witness;

constexpr int kBudgetCount = 100;
constexpr int kDecisionCount = 200'000;
constexpr int kSettledRequestCount = 20'000;
constexpr int kMemoryBudgetCount = 100'000;
constexpr std::int64_t kBoughtTokens = 1'000'000'000;
/** The virtual time between two requests, which corresponds to 1,000 requests/s at one entry VM. */
constexpr Duration kRequestInterval{ 1000 };

const ProcessId kControl("ctl");

/** A quota manager, its witness and control, which exchange messages without a network. */
class LocalLedger
{
public:
  LocalLedger()
    : quotaManager(settings())
    , witness({ ProcessId("b"), Incarnation{ 1 } })
  {
    std::vector<ledger::Purchase> purchases;
    purchases.reserve(kBudgetCount);
    for (int i = 0; i < kBudgetCount; ++i) {
      purchases.push_back({ budget(i), Tokens{ kBoughtTokens } });
    }
    control.apply(
      ++index, now, ledger::ApplyDocument{ TeamId("t"), 0, ChangeId("c"), "", purchases });
    const std::vector<ledger::Peer> peers{
      { { kControl, Incarnation{ 1 } }, ZoneId("z"), false, true, true },
      { { ProcessId("b"), Incarnation{ 1 } }, ZoneId("z"), true, false, true }
    };
    quotaManager.setPeers(now, peers);
    deliverMessages();
  }

  static BudgetId budget(int number) { return BudgetId("w:t/workspace-" + std::to_string(number)); }

  /** Delivers all messages and adds up their sizes until none is left. */
  void deliverMessages()
  {
    for (auto batch = quotaManager.takeOutgoing(); !batch.empty();
         batch = quotaManager.takeOutgoing()) {
      for (const auto& outgoing : batch) {
        bytes += wire::encode(outgoing.message).size();
        if (outgoing.to == kControl) {
          commit(outgoing);
        } else {
          witness.receive(now, ProcessId("a"), outgoing.message);
        }
      }
      for (const auto& reply : witness.takeOutgoing()) {
        bytes += wire::encode(reply.message).size();
        quotaManager.receive(now, ProcessId("b"), reply.message);
      }
    }
  }

  QuotaManager quotaManager;
  Witness witness;
  ControlState control;
  Time now{ 1'700'000'000'000'000 };
  std::uint64_t index = 0;
  std::uint64_t bytes = 0;

private:
  static ledger::QuotaSettings settings()
  {
    ledger::QuotaSettings settings;
    settings.self = HolderId{ ProcessId("a"), Incarnation{ 1 } };
    settings.zone = ZoneId("z");
    return settings;
  }

  void commit(const OutgoingMessage& outgoing)
  {
    if (const auto* propose = std::get_if<ledger::Propose>(&outgoing.message)) {
      const auto result = control.applyEncoded(++index, now, propose->command);
      const ledger::Message reply = ledger::ProposeReply{
        propose->proposalId, true, kControl, result.value_or(std::string()), {}
      };
      bytes += wire::encode(reply).size();
      quotaManager.receive(now, kControl, reply);
    }
  }
};

void runRequest(LocalLedger& localLedger, int number)
{
  const RequestId id("r" + std::to_string(number));
  const std::vector<BudgetId> budgets{ LocalLedger::budget(number % kBudgetCount) };
  localLedger.quotaManager.reserve(localLedger.now, id, std::nullopt, budgets, Tokens{ 1000 });
  localLedger.deliverMessages();
  (void)localLedger.quotaManager.charge(localLedger.now, id, Tokens{ 400 });
  localLedger.deliverMessages();
  localLedger.quotaManager.takeRecordedCharges();
  localLedger.quotaManager.takeDecisions();
  localLedger.now = localLedger.now + kRequestInterval;
  if (number % 10 == 0) {
    localLedger.quotaManager.tick(localLedger.now);
    localLedger.deliverMessages();
  }
}

void measureDecisions(std::ostream& out)
{
  LocalLedger localLedger;
  for (int i = 0; i < kBudgetCount * 10; ++i) {
    runRequest(localLedger, i);
  }
  std::vector<double> decisionTimesNs;
  decisionTimesNs.reserve(kDecisionCount);
  for (int i = 0; i < kDecisionCount; ++i) {
    const RequestId id("d" + std::to_string(i));
    const std::vector<BudgetId> budgets{ LocalLedger::budget(i % kBudgetCount) };
    const auto begin = Clock::now();
    const auto decision =
      localLedger.quotaManager.reserve(localLedger.now, id, std::nullopt, budgets, Tokens{ 10 });
    decisionTimesNs.push_back(
      std::chrono::duration<double, std::nano>(Clock::now() - begin).count());
    localLedger.deliverMessages();
    if (decision.status == ledger::ReserveStatus::admitted) {
      localLedger.quotaManager.release(localLedger.now, id);
    }
    localLedger.quotaManager.takeDecisions();
    localLedger.now = localLedger.now + kRequestInterval;
  }
  double totalNs = 0;
  for (const auto value : decisionTimesNs) {
    totalNs += value;
  }
  std::sort(decisionTimesNs.begin(), decisionTimesNs.end());
  out << fmt::format("admission_decisions\t{:.0f}\tper_second\n", 1e9 * kDecisionCount / totalNs);
  out << fmt::format("admission_decision_p95\t{:.2f}\tus\n",
                     decisionTimesNs[decisionTimesNs.size() * 95 / 100] / 1000);
}

void measureBytes(std::ostream& out)
{
  LocalLedger localLedger;
  const auto bytesBefore = localLedger.bytes;
  const auto indexBefore = localLedger.index;
  for (int i = 0; i < kSettledRequestCount; ++i) {
    runRequest(localLedger, i);
  }
  out << fmt::format("bytes_per_settled_request\t{:.0f}\tbytes\n",
                     static_cast<double>(localLedger.bytes - bytesBefore) / kSettledRequestCount);
  out << fmt::format("log_commands_per_settled_request\t{:.3f}\tcommands\n",
                     static_cast<double>(localLedger.index - indexBefore) / kSettledRequestCount);
}

std::size_t allocatedBytes()
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
  ledger::Grant grant{ holder, {}, {} };
  purchases.reserve(kMemoryBudgetCount);
  grant.items.reserve(kMemoryBudgetCount);
  for (int i = 0; i < kMemoryBudgetCount; ++i) {
    purchases.push_back({ LocalLedger::budget(i), Tokens{ kBoughtTokens } });
    grant.items.push_back({ LocalLedger::budget(i),
                            static_cast<std::uint64_t>(i) + 1,
                            Tokens{ 10 },
                            Tokens{ 10 },
                            {} });
  }
  const ledger::Command documentCommand =
    ledger::ApplyDocument{ TeamId("t"), 0, ChangeId("c"), "", purchases };
  const ledger::Command grantCommand = grant;
  const auto bytesWhenEmpty = allocatedBytes();
  control.apply(++index, now, documentCommand);
  const auto bytesWithPurchases = allocatedBytes();
  control.apply(++index, now, ledger::RegisterHolder{ holder, ZoneId("z"), 1, {}, false, {} });
  control.apply(++index, now, grantCommand);
  const auto bytesWithGrants = allocatedBytes();
  out << fmt::format("control_memory_per_budget\t{}\tbytes\n",
                     (bytesWithPurchases - bytesWhenEmpty) / kMemoryBudgetCount);
  out << fmt::format("control_memory_per_grant\t{}\tbytes\n",
                     (bytesWithGrants - bytesWithPurchases) / kMemoryBudgetCount);
  LocalLedger localLedger;
  const auto bytesBeforeRequests = allocatedBytes();
  for (int i = 0; i < kBudgetCount; ++i) {
    runRequest(localLedger, i);
  }
  const auto bytesAfterRequests = allocatedBytes();
  out << fmt::format("entry_memory_per_grant\t{}\tbytes\n",
                     (bytesAfterRequests - bytesBeforeRequests) / kBudgetCount);
}

} // namespace

void runLedgerBench(std::ostream& out)
{
  measureDecisions(out);
  measureBytes(out);
  measureMemory(out);
}

} // namespace figchute::bench
