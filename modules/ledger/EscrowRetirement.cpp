#include "ledger/EscrowBook.h"

#include <algorithm>
#include <fmt/format.h>

/** The part of EscrowBook that registers holders and retires them. */
namespace figchute::ledger::detail {
namespace {

/** Retirements kept for logs until they are taken; all entry processes of a fleet may die at once.
 */
constexpr std::size_t kMostRetirements = 1000;

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
    holder.reserves = command.reserves;
    holder.contactAt = std::max(holder.contactAt, command.startedAt);
  }
  if (command.holder.incarnation.number > 0) {
    startRetiring(command.holder.process,
                  Incarnation{ command.holder.incarnation.number - 1 },
                  command.startedAt);
  }
  for (const auto& id : retiringOf(command.holder.process)) {
    completeIfPossible(time, id, first, outgoing);
  }
  if (first) {
    completeWithout(time, command.holder.process, outgoing);
  }
  return result;
}

void EscrowBook::completeWithout(Time time,
                                 const ProcessId& witness,
                                 std::vector<Outgoing>& outgoing)
{
  std::vector<HolderId> waiting;
  for (const auto& [id, holder] : holders_) {
    const bool concerned =
      std::any_of(holder.witnesses.begin(), holder.witnesses.end(), [&witness](const auto& other) {
        return other.process == witness;
      });
    if (holder.retiring && holder.reserves && concerned) {
      waiting.push_back(id);
    }
  }
  for (const auto& id : waiting) {
    completeIfPossible(time, id, false, outgoing);
  }
}

bool EscrowBook::isRetired(const HolderId& id) const
{
  const auto retired = retiredThrough_.find(id.process);
  return retired != retiredThrough_.end() && id.incarnation <= retired->second;
}

UnlockedAmountStatus EscrowBook::openedProof(const Holder& holder) const
{
  if (holder.witnesses.empty() || !holder.reported.empty()) {
    return UnlockedAmountStatus::known;
  }
  const bool clockKnown = holder.contactAt > Time{} && holder.replacedAt > Time{};
  const auto contactGap = holder.replacedAt - holder.contactAt;
  // A negative span shows that the clock was set back.
  if (clockKnown && contactGap >= Duration{ 0 } && contactGap < kDetachTime) {
    return UnlockedAmountStatus::known;
  }
  const bool left = std::any_of(holder.witnesses.begin(),
                                holder.witnesses.end(),
                                [this](const HolderId& witness) { return !isRetired(witness); });
  return left ? UnlockedAmountStatus::awaited : UnlockedAmountStatus::lost;
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

std::vector<HolderId> EscrowBook::retiringOf(const ProcessId& process) const
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
      result.verdict =
        Verdict{ ErrorKind::notFound, fmt::format("no holder {}", command.through.process.value) };
    }
    return result;
  }
  startRetiring(command.through.process, std::min(command.through.incarnation, *newest), {});
  const auto found = holders_.find(command.record.holder);
  if (command.reporter && found != holders_.end() && found->second.retiring) {
    addReport(time, *command.reporter, command.record, found->second, outgoing);
  }
  for (const auto& id : retiringOf(command.through.process)) {
    completeIfPossible(time, id, !command.reporter, outgoing);
    const auto left = holders_.find(id);
    if (left != holders_.end()) {
      const auto missing = missingReports(id, left->second);
      result.missing.insert(result.missing.end(), missing.begin(), missing.end());
      result.stranded += heldBy(id);
    }
  }
  return result;
}

void EscrowBook::tellReceivers(const HolderId& sender,
                               const BudgetId& name,
                               std::vector<Outgoing>& outgoing)
{
  // What a dead sender recorded is certain, so its receiver need not wait for the other reports.
  for (const auto& flow : budgets_.at(name).flows) {
    if (flow.from == sender && !flow.toRetired && flow.received < flow.sent) {
      tellFinal(flow.to, name, outgoing);
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
      tellReceivers(record.holder, totals.budget, outgoing);
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
  if (holder.reserves && openedProof(holder) != UnlockedAmountStatus::awaited) {
    return missing;
  }
  for (const auto& witness : holder.witnesses) {
    if (!holder.reported.contains(witness) && !(holder.reserves && isRetired(witness))) {
      missing.push_back(witness);
    }
  }
  return missing;
}

Tokens EscrowBook::heldBy(const HolderId& id) const
{
  Tokens sum;
  const auto index = index_.find(id);
  if (index == index_.end()) {
    return sum;
  }
  for (const auto* name : index->second) {
    const auto& budget = budgets_.at(*name);
    const auto* account = budget.find(id);
    sum += account == nullptr ? Tokens{ 0 } : budget.held(*account);
  }
  return sum;
}

void EscrowBook::completeIfPossible(Time time,
                                    const HolderId& id,
                                    bool ask,
                                    std::vector<Outgoing>& outgoing)
{
  // A holder that holds nothing as far as control knows may have spent tokens that another holder
  // passed to it, so the reports are needed in every case.
  const auto missing = missingReports(id, holders_.at(id));
  if (missing.empty()) {
    complete(time, id, outgoing);
    return;
  }
  // A report asks for nothing: a restarted witness answers under a new incarnation, and asking
  // again at each answer would never end.
  for (const auto& witness : missing) {
    if (ask && witness != id) {
      outgoing.push_back({ witness.process, WitnessReportRequest{ id } });
    }
  }
}

void EscrowBook::complete(Time time, const HolderId& id, std::vector<Outgoing>& outgoing)
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
  RetirementView retirement{
    id, openedProof(holder), !holder.reported.empty(), holder.replacedAt - holder.contactAt, {}, {}
  };
  const auto index = index_.find(id);
  if (index != index_.end()) {
    const auto names = index->second;
    for (const auto* name : names) {
      auto& budget = budgets_.at(*name);
      if (holder.reserves || holder.witnesses.empty()) {
        closeUnwitnessed(id, budget, retirement);
        touched_.push_back(name);
        continue;
      }
      closeFlows(id, *name, budget, outgoing);
      if (auto* account = budget.find(id)) {
        account->returned += budget.held(*account);
        budget.close(id);
      }
      std::erase_if(budget.flows,
                    [](const Flow& flow) { return flow.fromRetired && flow.toRetired; });
      touched_.push_back(name);
    }
    index_.erase(index);
  }
  if (holder.reserves && retirements_.size() < kMostRetirements) {
    retirements_.push_back(retirement);
  }
  holders_.erase(id);
}

void EscrowBook::closeFlows(const HolderId& id,
                            const BudgetId& name,
                            Budget& budget,
                            std::vector<Outgoing>& outgoing)
{
  for (auto& flow : budget.flows) {
    if (flow.to == id) {
      const auto before = flow.total();
      flow.toRetired = true;
      if (flow.fromRetired) {
        // The sender's account is closed already: what the receiver never recorded becomes free.
        budget.closedNet -= before - flow.total();
      } else if (flow.sent > flow.received) {
        tellFinal(flow.from, name, outgoing);
      }
    }
    if (flow.from == id) {
      flow.fromRetired = true;
      if (!flow.toRetired && flow.received < flow.sent) {
        tellFinal(flow.to, name, outgoing);
      }
    }
  }
}

void EscrowBook::tellFinal(const HolderId& live,
                           const BudgetId& name,
                           std::vector<Outgoing>& outgoing)
{
  const auto holder = holders_.find(live);
  if (holder == holders_.end()) {
    return;
  }
  holder->second.finals.insert(name);
  // A recall makes the holder settle, and the result of Settle carries the final total.
  outgoing.push_back({ live.process, Recall{ live, name } });
}

std::vector<HolderId> EscrowBook::takeRetiring()
{
  return std::exchange(newlyRetiring_, {});
}

} // namespace figchute::ledger::detail
