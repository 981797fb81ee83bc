#include "ledger/EscrowBook.h"

#include <algorithm>
#include <fmt/format.h>

/** The part of EscrowBook that registers holders and retires them. */
namespace figchute::ledger::detail {
namespace {

/** The maximum number of retirements kept until they are logged. All entry processes of a fleet may
    die at the same time. */
constexpr std::size_t kMaxRetirementViews = 1000;

} // namespace

RegisterResult EscrowBook::registerHolder(Time time,
                                          const RegisterHolder& command,
                                          std::vector<Outgoing>& outgoing)
{
  RegisterResult result{ {}, command.sequence };
  const auto retired = retiredThrough_.find(command.holder.process);
  if (retired != retiredThrough_.end() && command.holder.incarnation <= retired->second) {
    result.verdict = checkHolder(command.holder);
    return result;
  }
  const bool first = !holders_.contains(command.holder);
  auto& holder = holders_[command.holder];
  if (command.sequence > holder.registration) {
    holder.registration = command.sequence;
    holder.zone = command.zone;
    holder.witnesses = command.witnesses;
    holder.hasReserves = command.hasReserves;
    holder.contactAt = std::max(holder.contactAt, command.startedAt);
  }
  if (command.holder.incarnation.number > 0) {
    startRetiring(command.holder.process,
                  Incarnation{ command.holder.incarnation.number - 1 },
                  command.startedAt);
  }
  for (const auto& id : retiringIncarnations(command.holder.process)) {
    completeRetirementIfPossible(time, id, first, outgoing);
  }
  if (first) {
    completeRetirementsWithout(time, command.holder.process, outgoing);
  }
  return result;
}

void EscrowBook::completeRetirementsWithout(Time time,
                                            const ProcessId& witness,
                                            std::vector<Outgoing>& outgoing)
{
  std::vector<HolderId> waiting;
  for (const auto& [id, holder] : holders_) {
    const bool usesWitness =
      std::any_of(holder.witnesses.begin(), holder.witnesses.end(), [&witness](const auto& other) {
        return other.process == witness;
      });
    if (holder.retiring && holder.hasReserves && usesWitness) {
      waiting.push_back(id);
    }
  }
  for (const auto& id : waiting) {
    completeRetirementIfPossible(time, id, false, outgoing);
  }
}

bool EscrowBook::isRetired(const HolderId& id) const
{
  const auto retired = retiredThrough_.find(id.process);
  return retired != retiredThrough_.end() && id.incarnation <= retired->second;
}

UnlockedAmountStatus EscrowBook::unlockedAmountStatus(const Holder& holder) const
{
  if (holder.witnesses.empty() || !holder.reported.empty()) {
    return UnlockedAmountStatus::known;
  }
  const bool clockKnown = holder.contactAt > Time{} && holder.replacedAt > Time{};
  const auto contactGap = holder.replacedAt - holder.contactAt;
  // A negative duration shows that the clock was set back.
  if (clockKnown && contactGap >= Duration{ 0 } && contactGap < kMinDetachTime) {
    return UnlockedAmountStatus::known;
  }
  const bool witnessLeft =
    std::any_of(holder.witnesses.begin(), holder.witnesses.end(), [this](const HolderId& witness) {
      return !isRetired(witness);
    });
  return witnessLeft ? UnlockedAmountStatus::awaited : UnlockedAmountStatus::lost;
}

void EscrowBook::startRetiring(const ProcessId& process, Incarnation through, Time startedAt)
{
  auto& retired = retiredThrough_[process];
  retired = std::max(retired, through);
  for (auto at = holders_.lower_bound(HolderId{ process, Incarnation{ 0 } });
       at != holders_.end() && at->first.process == process && at->first.incarnation <= through;
       ++at) {
    if (!at->second.retiring) {
      at->second.retiring = true;
      at->second.replacedAt = startedAt;
      newlyRetiring_.push_back(at->first);
    }
  }
}

std::vector<HolderId> EscrowBook::retiringIncarnations(const ProcessId& process) const
{
  std::vector<HolderId> retiring;
  for (auto at = holders_.lower_bound(HolderId{ process, Incarnation{ 0 } });
       at != holders_.end() && at->first.process == process;
       ++at) {
    if (at->second.retiring) {
      retiring.push_back(at->first);
    }
  }
  return retiring;
}

std::optional<Incarnation> EscrowBook::newestIncarnation(const ProcessId& process) const
{
  std::optional<Incarnation> newest;
  for (auto at = holders_.lower_bound(HolderId{ process, Incarnation{ 0 } });
       at != holders_.end() && at->first.process == process;
       ++at) {
    newest = at->first.incarnation;
  }
  return newest;
}

RetireResult EscrowBook::retire(Time time, const Retire& command, std::vector<Outgoing>& outgoing)
{
  RetireResult result;
  const auto newest = newestIncarnation(command.through.process);
  if (!newest) {
    if (!retiredThrough_.contains(command.through.process)) {
      result.verdict = Verdict{ ErrorKind::notFound,
                                fmt::format("process {} has no registered holder",
                                            command.through.process.value) };
    }
    return result;
  }
  startRetiring(command.through.process, std::min(command.through.incarnation, *newest), {});
  const auto found = holders_.find(command.record.holder);
  if (command.reporter && found != holders_.end() && found->second.retiring) {
    addReport(time, *command.reporter, command.record, found->second, outgoing);
  }
  for (const auto& id : retiringIncarnations(command.through.process)) {
    completeRetirementIfPossible(time, id, !command.reporter, outgoing);
    const auto unfinished = holders_.find(id);
    if (unfinished != holders_.end()) {
      const auto missing = missingReports(id, unfinished->second);
      result.missing.insert(result.missing.end(), missing.begin(), missing.end());
      result.stranded += heldBy(id);
    }
  }
  return result;
}

void EscrowBook::notifyReceivers(const HolderId& sender,
                                 const BudgetId& budgetId,
                                 std::vector<Outgoing>& outgoing)
{
  // A recorded transfer of a dead sender is final, so the receiver does not have to wait for the
  // reports of the other witnesses.
  for (const auto& transfer : budgets_.at(budgetId).transfers) {
    if (transfer.from == sender && !transfer.receiverRetired && transfer.received < transfer.sent) {
      notifyFinalTotal(transfer.to, budgetId, outgoing);
    }
  }
}

void EscrowBook::addReport(Time time,
                           const HolderId& reporter,
                           const HolderRecord& record,
                           Holder& holder,
                           std::vector<Outgoing>& outgoing)
{
  const auto& witnesses = holder.witnesses;
  const bool expected = reporter == record.holder ||
                        std::find(witnesses.begin(), witnesses.end(), reporter) != witnesses.end();
  if (!expected || !holder.reported.insert(reporter).second) {
    return;
  }
  for (const auto& totals : record.totals) {
    if (mergeTotals(time, record.holder, totals)) {
      notifyReceivers(record.holder, totals.budget, outgoing);
    }
  }
  for (const auto& charge : record.keyed) {
    holder.reportedKeyed.try_emplace(charge.sequence, charge);
  }
}

std::vector<HolderId> EscrowBook::missingReports(const HolderId& id, const Holder& holder) const
{
  std::vector<HolderId> missing;
  if (holder.reported.contains(id)) {
    return missing;
  }
  if (holder.hasReserves && unlockedAmountStatus(holder) != UnlockedAmountStatus::awaited) {
    return missing;
  }
  for (const auto& witness : holder.witnesses) {
    if (!holder.reported.contains(witness) && !(holder.hasReserves && isRetired(witness))) {
      missing.push_back(witness);
    }
  }
  return missing;
}

Tokens EscrowBook::heldBy(const HolderId& id) const
{
  Tokens sum;
  const auto index = budgetsByHolder_.find(id);
  if (index == budgetsByHolder_.end()) {
    return sum;
  }
  for (const auto* budgetId : index->second) {
    const auto& budget = budgets_.at(*budgetId);
    const auto* account = budget.find(id);
    sum += account == nullptr ? Tokens{ 0 } : budget.held(*account);
  }
  return sum;
}

void EscrowBook::completeRetirementIfPossible(Time time,
                                              const HolderId& id,
                                              bool requestReports,
                                              std::vector<Outgoing>& outgoing)
{
  // The reports are needed even when the holder's accounts are empty, because it may have spent
  // tokens that another holder transferred to it.
  const auto missing = missingReports(id, holders_.at(id));
  if (missing.empty()) {
    completeRetirement(time, id, outgoing);
    return;
  }
  // A report must not trigger further requests: a restarted witness answers under a new
  // incarnation, so its report stays missing and the requests would repeat forever.
  for (const auto& witness : missing) {
    if (requestReports && witness != id) {
      outgoing.push_back({ witness.process, WitnessReportRequest{ id } });
    }
  }
}

void EscrowBook::completeRetirement(Time time, const HolderId& id, std::vector<Outgoing>& outgoing)
{
  auto& holder = holders_.at(id);
  for (const auto& witness : holder.witnesses) {
    if (witness != id) {
      outgoing.push_back({ witness.process, WitnessForget{ id } });
    }
  }
  for (const auto& [sequence, charge] : holder.reportedKeyed) {
    if (sequence > holder.keyedThrough) {
      settleKeyed(time, id, charge);
    }
  }
  RetirementView retirement{ id,
                             unlockedAmountStatus(holder),
                             !holder.reported.empty(),
                             holder.replacedAt - holder.contactAt,
                             {},
                             {} };
  const auto index = budgetsByHolder_.find(id);
  if (index != budgetsByHolder_.end()) {
    const auto budgetIds = index->second;
    for (const auto* budgetId : budgetIds) {
      auto& budget = budgets_.at(*budgetId);
      if (holder.hasReserves || holder.witnesses.empty()) {
        closeUnwitnessedAccount(id, budget, retirement);
        touched_.push_back(budgetId);
        continue;
      }
      closeTransfers(id, *budgetId, budget, outgoing);
      if (auto* account = budget.find(id)) {
        account->returned += budget.held(*account);
        budget.close(id);
      }
      std::erase_if(budget.transfers, [](const TransferTotals& transfer) {
        return transfer.senderRetired && transfer.receiverRetired;
      });
      touched_.push_back(budgetId);
    }
    budgetsByHolder_.erase(index);
  }
  if (holder.hasReserves && retirements_.size() < kMaxRetirementViews) {
    retirements_.push_back(retirement);
  }
  holders_.erase(id);
}

void EscrowBook::closeTransfers(const HolderId& id,
                                const BudgetId& budgetId,
                                Budget& budget,
                                std::vector<Outgoing>& outgoing)
{
  for (auto& transfer : budget.transfers) {
    if (transfer.to == id) {
      const auto before = transfer.total();
      transfer.receiverRetired = true;
      if (transfer.senderRetired) {
        // The account of the sender is already closed, so the tokens that the receiver has not
        // recorded become free.
        budget.closedNetGranted -= before - transfer.total();
      } else if (transfer.sent > transfer.received) {
        notifyFinalTotal(transfer.from, budgetId, outgoing);
      }
    }
    if (transfer.from == id) {
      transfer.senderRetired = true;
      if (!transfer.receiverRetired && transfer.received < transfer.sent) {
        notifyFinalTotal(transfer.to, budgetId, outgoing);
      }
    }
  }
}

void EscrowBook::notifyFinalTotal(const HolderId& recipient,
                                  const BudgetId& budgetId,
                                  std::vector<Outgoing>& outgoing)
{
  const auto holder = holders_.find(recipient);
  if (holder == holders_.end()) {
    return;
  }
  holder->second.pendingFinals.insert(budgetId);
  // The recall makes the holder send a Settle, whose result contains the final total.
  outgoing.push_back({ recipient.process, Recall{ recipient, budgetId } });
}

std::vector<HolderId> EscrowBook::takeNewlyRetiring()
{
  return std::exchange(newlyRetiring_, {});
}

} // namespace figchute::ledger::detail
