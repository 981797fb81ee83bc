#include "LedgerTally.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::simulation {

void LedgerTally::Spend::add(const Attempt& attempt)
{
  if (attempt.key.empty()) {
    unkeyedTotal += attempt.actualTokens;
    return;
  }
  Tokens& keyedCharge = keyedCharges[{ attempt.caller, attempt.key }];
  const Tokens increment = std::max(attempt.actualTokens - keyedCharge, Tokens{ 0 });
  keyedCharge += increment;
  keyedTotal += increment;
}

Tokens LedgerTally::Spend::total() const
{
  return unkeyedTotal + keyedTotal;
}

void LedgerTally::checkApplied(std::uint64_t index,
                               const ledger::Command& command,
                               const std::string& result,
                               const ledger::ControlState& state)
{
  const Fingerprint resultHash = fingerprintOf(result);
  const auto [resultIt, added] = resultHashes_.emplace(index, resultHash);
  require(added || resultIt->second == resultHash,
          fmt::format("replica: entry {} has another result than at another control VM", index));
  if (!added || index <= lastIndex_) {
    return;
  }
  lastIndex_ = index;
  if (const auto* document = std::get_if<ledger::ApplyDocument>(&command)) {
    checkDocument(*document, wire::decode<ledger::Result>(result).value());
  }
  require(state.revision() == revision_,
          fmt::format("revision: control is at {}, accepted were {}", state.revision(), revision_));
  checkKeyedCharges(command, state);
  checkBudgets(state);
}

void LedgerTally::checkDocument(const ledger::ApplyDocument& command, const ledger::Result& result)
{
  const auto& outcome = std::get<ledger::DocumentResult>(result);
  const std::string encodedOutcome = wire::encode(outcome);
  const auto [changeIt, isFirst] =
    changeResults_.emplace(std::pair(command.team, command.change), encodedOutcome);
  require(changeIt->second == encodedOutcome,
          "revision: change " + command.change.value + " was answered in two ways");
  if (!isFirst || !outcome.verdict.ok()) {
    return;
  }
  auto& teamVersion = teamVersions_[command.team];
  require(command.baseVersion == teamVersion && outcome.version == teamVersion + 1,
          fmt::format("revision: team {} went from version {} to {} on base {}",
                      command.team.value,
                      teamVersion,
                      outcome.version,
                      command.baseVersion));
  teamVersion = outcome.version;
  ++revision_;
}

void LedgerTally::checkKeyedCharges(const ledger::Command& command,
                                    const ledger::ControlState& state)
{
  std::vector<ledger::KeyedCharge> charges;
  if (const auto* settle = std::get_if<ledger::Settle>(&command)) {
    charges = settle->keyedCharges;
  } else if (const auto* retire = std::get_if<ledger::Retire>(&command)) {
    charges = retire->record.keyedCharges;
  }
  for (const auto& charge : charges) {
    for (const auto& budget : charge.budgets) {
      const Tokens billed = state.keyedBill(charge.caller, charge.key, budget);
      Tokens& previouslyBilled = billedTokens_[{ CallerKey(charge.caller, charge.key), budget }];
      const auto& attemptCharges = chargedSpend_[budget].keyedCharges;
      const auto chargeIt = attemptCharges.find({ charge.caller, charge.key });
      require(billed >= previouslyBilled && chargeIt != attemptCharges.end() &&
                billed <= chargeIt->second,
              fmt::format("one_bill: key {} of {} is billed {} tokens of {}, before {}",
                          charge.key,
                          charge.caller.value,
                          billed.count,
                          budget.value,
                          previouslyBilled.count));
      previouslyBilled = billed;
    }
  }
}

void LedgerTally::checkBudgets(const ledger::ControlState& state)
{
  for (auto& view : state.budgets()) {
    const auto& name = view.budget.value;
    Tokens held;
    for (const auto& holder : view.holders) {
      require(holder.held >= Tokens{ 0 }, "conservation: a holder of " + name + " holds below 0");
      held += holder.held;
    }
    require(view.settled + view.held + view.free == view.bought && held == view.held &&
              view.free >= Tokens{ 0 } && view.settled >= Tokens{ 0 },
            fmt::format("conservation: {} bought {} settled {} held {} free {}, holders {}",
                        name,
                        view.bought.count,
                        view.settled.count,
                        view.held.count,
                        view.free.count,
                        held.count));
    auto& previousView = budgets_[view.budget];
    require(view.bought >= previousView.bought && view.settled >= previousView.settled,
            "conservation: bought or settled of " + name + " went down");
    previousView = std::move(view);
  }
}

void LedgerTally::recordCharge(const Attempt& attempt)
{
  for (const auto& budget : attempt.budgets) {
    chargedSpend_[budget].add(attempt);
  }
}

void LedgerTally::checkAnswer(const Attempt& attempt)
{
  ++answerCount_;
  for (const auto& budget : attempt.budgets) {
    Spend& spend = answeredSpend_[budget];
    spend.add(attempt);
    require(spend.total() <= budgets_[budget].bought,
            fmt::format("overspend: {} spent {} of {}",
                        budget.value,
                        spend.total().count,
                        budgets_[budget].bought.count));
  }
}

void LedgerTally::checkRun(const Attempt& attempt)
{
  const auto [runIt, isFirst] =
    runByKey_.emplace(CallerKey(attempt.caller, attempt.key), attempt.requestId);
  require(isFirst,
          fmt::format("one_run: key {} of {} ran as {} and {}",
                      attempt.key,
                      attempt.caller.value,
                      runIt->second.value,
                      attempt.requestId.value));
}

void LedgerTally::checkBookingResult(const Attempt& attempt, const std::string& body)
{
  const auto [bodyIt, isFirst] = bodyByKey_.emplace(CallerKey(attempt.caller, attempt.key), body);
  require(bodyIt->second == body, "one_run: key " + attempt.key + " got two answers");
}

void LedgerTally::checkActiveRevision(const HolderId& entry, std::uint64_t revision)
{
  auto& previousRevision = activeRevisions_[entry];
  require(revision >= previousRevision,
          fmt::format(
            "revision: {} went from {} to {}", entry.process.value, previousRevision, revision));
  previousRevision = revision;
}

void LedgerTally::checkHeld(const BudgetId& budget, Tokens spendable) const
{
  const auto budgetIt = budgets_.find(budget);
  const Tokens held = budgetIt == budgets_.end() ? Tokens{ 0 } : budgetIt->second.held;
  require(spendable <= held,
          fmt::format("conservation: quota managers can spend {} of {}, control counts {} as held",
                      spendable.count,
                      budget.value,
                      held.count));
}

void LedgerTally::checkSettled() const
{
  for (const auto& [budget, view] : budgets_) {
    const auto chargedIt = chargedSpend_.find(budget);
    const auto answeredIt = answeredSpend_.find(budget);
    const Tokens maxSettled =
      chargedIt == chargedSpend_.end() ? Tokens{ 0 } : chargedIt->second.total();
    const Tokens minAccounted =
      answeredIt == answeredSpend_.end() ? Tokens{ 0 } : answeredIt->second.total();
    require(view.settled <= maxSettled,
            fmt::format("one_bill: {} settled {}, attempts add up to {}",
                        budget.value,
                        view.settled.count,
                        maxSettled.count));
    // Tokens that are still held belong to holders that were lost together with their witnesses.
    require(view.settled + view.held >= minAccounted,
            fmt::format("one_bill: {} settled {} and held {}, answers add up to {}",
                        budget.value,
                        view.settled.count,
                        view.held.count,
                        minAccounted.count));
  }
}

} // namespace figchute::simulation
