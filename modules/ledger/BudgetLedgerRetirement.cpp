#include "ledger/BudgetLedger.h"

#include <algorithm>
#include <fmt/format.h>

/** The part of BudgetLedger that registers holders and retires them. */
namespace figchute::ledger::detail {
namespace {

/** The maximum number of retirements kept until they are logged. All entry processes of a fleet may
    fail at the same time. */
constexpr std::size_t kMaxRetirementViews = 1000;

} // namespace

RegisterResult BudgetLedger::registerHolder(Time time,
                                            const RegisterHolder& command,
                                            std::vector<OutgoingMessage>& outgoing)
{
  RegisterResult result{ {}, command.sequence };
  const auto newestRetired = newestRetired_.find(command.holder.process);
  if (newestRetired != newestRetired_.end() &&
      command.holder.incarnation <= newestRetired->second) {
    result.verdict = checkHolder(command.holder);
    return result;
  }
  const bool isFirstRegistration = !holders_.contains(command.holder);
  auto& holder = holders_[command.holder];
  liveReserveHolders_.reset();
  if (command.sequence > holder.registration) {
    holder.registration = command.sequence;
    holder.zone = command.zone;
    holder.witnesses = command.witnesses;
    holder.hasReserves = command.hasReserves;
  }
  if (command.holder.incarnation.number > 0) {
    startRetiring(command.holder.process,
                  Incarnation{ command.holder.incarnation.number - 1 },
                  command.clockReadings);
  }
  for (const auto& id : retiringIncarnations(command.holder.process)) {
    completeRetirementIfPossible(time, id, isFirstRegistration, outgoing);
  }
  if (isFirstRegistration) {
    completeRetirementsWithout(time, command.holder.process, outgoing);
  }
  return result;
}

void BudgetLedger::completeRetirementsWithout(Time time,
                                              const ProcessId& witness,
                                              std::vector<OutgoingMessage>& outgoing)
{
  std::vector<HolderId> waitingHolders;
  for (const auto& [id, holder] : holders_) {
    const bool usesWitness =
      std::any_of(holder.witnesses.begin(), holder.witnesses.end(), [&witness](const auto& other) {
        return other.process == witness;
      });
    if (holder.retiring && holder.hasReserves && usesWitness) {
      waitingHolders.push_back(id);
    }
  }
  for (const auto& id : waitingHolders) {
    completeRetirementIfPossible(time, id, false, outgoing);
  }
}

bool BudgetLedger::isRetired(const HolderId& id) const
{
  const auto newestRetired = newestRetired_.find(id.process);
  return newestRetired != newestRetired_.end() && id.incarnation <= newestRetired->second;
}

bool BudgetLedger::isReportAwaited(const Holder& holder) const
{
  return retirementProof(holder) == RetirementProof::none &&
         std::any_of(holder.witnesses.begin(),
                     holder.witnesses.end(),
                     [this](const HolderId& witness) { return !isRetired(witness); });
}

RetirementProof BudgetLedger::retirementProof(const Holder& holder)
{
  if (!holder.reported.empty()) {
    return RetirementProof::report;
  }
  if (holder.endedInContact) {
    return RetirementProof::contact;
  }
  return holder.witnesses.empty() ? RetirementProof::noWitness : RetirementProof::none;
}

void BudgetLedger::startRetiring(const ProcessId& process,
                                 Incarnation lastIncarnation,
                                 std::span<const ClockReading> clockReadings)
{
  liveReserveHolders_.reset();
  auto& newestRetired = newestRetired_[process];
  newestRetired = std::max(newestRetired, lastIncarnation);
  for (auto holderEntry = holders_.lower_bound(HolderId{ process, Incarnation{ 0 } });
       holderEntry != holders_.end() && holderEntry->first.process == process &&
       holderEntry->first.incarnation <= lastIncarnation;
       ++holderEntry) {
    auto& holder = holderEntry->second;
    if (!holder.retiring) {
      const auto unheardTime = elapsedSince(holder.contact, clockReadings);
      holder.retiring = true;
      holder.endedInContact = unheardTime && *unheardTime < kMinDetachTime;
      newlyRetiringHolders_.push_back(holderEntry->first);
    }
  }
}

std::vector<HolderId> BudgetLedger::retiringIncarnations(const ProcessId& process) const
{
  std::vector<HolderId> retiring;
  for (auto holderEntry = holders_.lower_bound(HolderId{ process, Incarnation{ 0 } });
       holderEntry != holders_.end() && holderEntry->first.process == process;
       ++holderEntry) {
    if (holderEntry->second.retiring) {
      retiring.push_back(holderEntry->first);
    }
  }
  return retiring;
}

std::optional<Incarnation> BudgetLedger::newestIncarnation(const ProcessId& process) const
{
  std::optional<Incarnation> newest;
  for (auto holderEntry = holders_.lower_bound(HolderId{ process, Incarnation{ 0 } });
       holderEntry != holders_.end() && holderEntry->first.process == process;
       ++holderEntry) {
    newest = holderEntry->first.incarnation;
  }
  return newest;
}

RetireResult BudgetLedger::retire(Time time,
                                  const Retire& command,
                                  std::vector<OutgoingMessage>& outgoing)
{
  RetireResult result;
  const auto newest = newestIncarnation(command.newestRetired.process);
  if (!newest) {
    if (!newestRetired_.contains(command.newestRetired.process)) {
      result.verdict = Verdict{ ErrorKind::notFound,
                                fmt::format("process {} has no registered holder",
                                            command.newestRetired.process.value) };
    }
    return result;
  }
  startRetiring(
    command.newestRetired.process, std::min(command.newestRetired.incarnation, *newest), {});
  const auto recordHolder = holders_.find(command.record.holder);
  if (command.reporter && recordHolder != holders_.end() && recordHolder->second.retiring) {
    addReport(time, *command.reporter, command.record, recordHolder->second, outgoing);
  }
  for (const auto& id : retiringIncarnations(command.newestRetired.process)) {
    completeRetirementIfPossible(time, id, !command.reporter, outgoing);
    const auto retiringHolder = holders_.find(id);
    if (retiringHolder != holders_.end()) {
      const auto missingWitnesses = missingReports(id, retiringHolder->second);
      result.missingWitnesses.insert(
        result.missingWitnesses.end(), missingWitnesses.begin(), missingWitnesses.end());
      result.unreclaimedTokens += totalHeldBy(id);
    }
  }
  return result;
}

void BudgetLedger::notifyReceivers(const HolderId& sender,
                                   const BudgetId& budgetId,
                                   std::vector<OutgoingMessage>& outgoing)
{
  // A recorded transfer of a failed sender is final, so the receiver does not have to wait for the
  // reports of the other witnesses.
  const auto& transfers = budgets_.at(budgetId).transfers;
  for (const auto& pair : transfers.pairsOf(sender)) {
    const auto& transfer = *transfers.find(pair);
    if (pair.from == sender && !transfer.receiverRetired && transfer.received < transfer.sent) {
      notifyFinalTotal(pair.to, budgetId, outgoing);
    }
  }
}

void BudgetLedger::addReport(Time time,
                             const HolderId& reporter,
                             const HolderRecord& record,
                             Holder& holder,
                             std::vector<OutgoingMessage>& outgoing)
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
  for (const auto& charge : record.keyedCharges) {
    holder.reportedKeyedCharges.try_emplace(charge.sequence, charge);
  }
}

std::vector<HolderId> BudgetLedger::missingReports(const HolderId& id, const Holder& holder) const
{
  std::vector<HolderId> missingWitnesses;
  if (holder.reported.contains(id)) {
    return missingWitnesses;
  }
  if (holder.hasReserves && !isReportAwaited(holder)) {
    return missingWitnesses;
  }
  for (const auto& witness : holder.witnesses) {
    if (!holder.reported.contains(witness) && !(holder.hasReserves && isRetired(witness))) {
      missingWitnesses.push_back(witness);
    }
  }
  return missingWitnesses;
}

Tokens BudgetLedger::totalHeldBy(const HolderId& id) const
{
  Tokens sum;
  const auto budgetIndex = budgetsByHolder_.find(id);
  if (budgetIndex == budgetsByHolder_.end()) {
    return sum;
  }
  for (const auto* budgetId : budgetIndex->second) {
    const auto& budget = budgets_.at(*budgetId);
    const auto* account = budget.findAccount(id);
    sum += account == nullptr ? Tokens{ 0 } : account->held();
  }
  return sum;
}

void BudgetLedger::completeRetirementIfPossible(Time time,
                                                const HolderId& id,
                                                bool requestReports,
                                                std::vector<OutgoingMessage>& outgoing)
{
  // The reports are needed even when the holder's accounts are empty, because it may have spent
  // tokens that another holder transferred to it.
  const auto missingWitnesses = missingReports(id, holders_.at(id));
  if (missingWitnesses.empty()) {
    completeRetirement(time, id, outgoing);
    return;
  }
  // A report must not trigger further requests: a restarted witness answers under a new
  // incarnation, so its report stays missing and the requests would repeat forever.
  for (const auto& witness : missingWitnesses) {
    if (requestReports && witness != id) {
      outgoing.push_back({ witness.process, WitnessReportRequest{ id } });
    }
  }
}

void BudgetLedger::completeRetirement(Time time,
                                      const HolderId& id,
                                      std::vector<OutgoingMessage>& outgoing)
{
  auto& holder = holders_.at(id);
  const auto oldest = holders_.lower_bound(HolderId{ id.process, Incarnation{ 0 } });
  for (const auto& witness : holder.witnesses) {
    if (witness != id) {
      outgoing.push_back({ witness.process, WitnessForget{ id, oldest->first.incarnation } });
    }
  }
  for (const auto& [sequence, charge] : holder.reportedKeyedCharges) {
    if (sequence > holder.settledKeyedSequence) {
      settleKeyedCharge(time, id, charge);
    }
  }
  RetirementView retirement{ id, retirementProof(holder), {}, {} };
  const auto budgetIndex = budgetsByHolder_.find(id);
  if (budgetIndex != budgetsByHolder_.end()) {
    const auto budgetIds = budgetIndex->second;
    for (const auto* budgetId : budgetIds) {
      auto& budget = budgets_.at(*budgetId);
      if (holder.hasReserves || holder.witnesses.empty()) {
        closeUnwitnessedAccount(id, budget, retirement);
        changedBudgetIds_.push_back(budgetId);
        continue;
      }
      closeTransfers(id, *budgetId, budget, outgoing);
      if (auto* account = budget.findAccount(id)) {
        account->returned += account->held();
        budget.closeAccount(id);
      }
      budget.eraseTransfersOf(id, [](const TransferPair&, const TransferTotals& transfer) {
        return transfer.senderRetired && transfer.receiverRetired;
      });
      changedBudgetIds_.push_back(budgetId);
    }
    budgetsByHolder_.erase(budgetIndex);
  }
  if (holder.hasReserves && retirements_.size() < kMaxRetirementViews) {
    retirements_.push_back(retirement);
  }
  holders_.erase(id);
  liveReserveHolders_.reset();
}

void BudgetLedger::closeTransfers(const HolderId& id,
                                  const BudgetId& budgetId,
                                  Budget& budget,
                                  std::vector<OutgoingMessage>& outgoing)
{
  budget.changeTransfersOf(id, [&](const TransferPair& pair, TransferTotals& transfer) {
    if (pair.to == id) {
      const auto previousTotal = transfer.total();
      transfer.receiverRetired = true;
      if (transfer.senderRetired) {
        // The account of the sender is already closed, so the tokens that the receiver has not
        // recorded become free.
        budget.closedNetGranted -= previousTotal - transfer.total();
      } else if (transfer.sent > transfer.received) {
        notifyFinalTotal(pair.from, budgetId, outgoing);
      }
    }
    if (pair.from == id) {
      transfer.senderRetired = true;
      if (!transfer.receiverRetired && transfer.received < transfer.sent) {
        notifyFinalTotal(pair.to, budgetId, outgoing);
      }
    }
  });
}

void BudgetLedger::notifyFinalTotal(const HolderId& recipient,
                                    const BudgetId& budgetId,
                                    std::vector<OutgoingMessage>& outgoing)
{
  const auto holder = holders_.find(recipient);
  if (holder == holders_.end()) {
    return;
  }
  holder->second.pendingFinalTransfers.insert(budgetId);
  // The recall makes the holder send a Settle, whose result contains the final total.
  outgoing.push_back({ recipient.process, Recall{ recipient, budgetId } });
}

std::vector<HolderId> BudgetLedger::takeNewlyRetiringHolders()
{
  return std::exchange(newlyRetiringHolders_, {});
}

} // namespace figchute::ledger::detail
