#include "LedgerTally.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::simulation {

void LedgerTally::Spend::add(const Attempt& attempt)
{
  if (attempt.key.empty()) {
    unkeyed += attempt.actual;
    return;
  }
  Tokens& bill = keyedCharges[{ attempt.caller, attempt.key }];
  const Tokens increment = std::max(attempt.actual - bill, Tokens{ 0 });
  bill += increment;
  keyedTotal += increment;
}

Tokens LedgerTally::Spend::total() const
{
  return unkeyed + keyedTotal;
}

void LedgerTally::applied(std::uint64_t index,
                          const ledger::Command& command,
                          const std::string& result,
                          const ledger::ControlState& state)
{
  const Fingerprint hash = fingerprintOf(result);
  const auto [place, added] = results_.emplace(index, hash);
  require(added || place->second == hash,
          fmt::format("replica: entry {} has another result than at another control VM", index));
  if (!added || index <= lastIndex_) {
    return;
  }
  lastIndex_ = index;
  if (const auto* document = std::get_if<ledger::ApplyDocument>(&command)) {
    check(*document, wire::decode<ledger::Result>(result).value());
  }
  require(state.revision() == revision_,
          fmt::format("revision: control is at {}, accepted were {}", state.revision(), revision_));
  checkBills(command, state);
  checkBudgets(state);
}

void LedgerTally::check(const ledger::ApplyDocument& command, const ledger::Result& result)
{
  const auto& outcome = std::get<ledger::DocumentResult>(result);
  const std::string encoded = wire::encode(outcome);
  const auto [place, first] = changes_.emplace(std::pair(command.team, command.change), encoded);
  require(place->second == encoded,
          "revision: change " + command.change.value + " was answered in two ways");
  if (!first || !outcome.verdict.ok()) {
    return;
  }
  auto& version = versions_[command.team];
  require(command.baseVersion == version && outcome.version == version + 1,
          fmt::format("revision: team {} went from version {} to {} on base {}",
                      command.team.value,
                      version,
                      outcome.version,
                      command.baseVersion));
  version = outcome.version;
  ++revision_;
}

void LedgerTally::checkBills(const ledger::Command& command, const ledger::ControlState& state)
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
      Tokens& known = bills_[{ KeyName(charge.caller, charge.key), budget }];
      const auto& attempts = charged_[budget].keyedCharges;
      const auto most = attempts.find({ charge.caller, charge.key });
      require(billed >= known && most != attempts.end() && billed <= most->second,
              fmt::format("one_bill: key {} of {} is billed {} tokens of {}, before {}",
                          charge.key,
                          charge.caller.value,
                          billed.count,
                          budget.value,
                          known.count));
      known = billed;
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
    auto& known = budgets_[view.budget];
    require(view.bought >= known.bought && view.settled >= known.settled,
            "conservation: bought or settled of " + name + " went down");
    known = std::move(view);
  }
}

void LedgerTally::charged(const Attempt& attempt)
{
  for (const auto& budget : attempt.budgets) {
    charged_[budget].add(attempt);
  }
}

void LedgerTally::answered(const Attempt& attempt)
{
  ++answers_;
  for (const auto& budget : attempt.budgets) {
    Spend& spend = answered_[budget];
    spend.add(attempt);
    require(spend.total() <= budgets_[budget].bought,
            fmt::format("overspend: {} spent {} of {}",
                        budget.value,
                        spend.total().count,
                        budgets_[budget].bought.count));
  }
}

void LedgerTally::ran(const Attempt& attempt)
{
  const auto [place, first] = runs_.emplace(KeyName(attempt.caller, attempt.key), attempt.request);
  require(first,
          fmt::format("one_run: key {} of {} ran as {} and {}",
                      attempt.key,
                      attempt.caller.value,
                      place->second.value,
                      attempt.request.value));
}

void LedgerTally::booked(const Attempt& attempt, const std::string& body)
{
  const auto [place, first] = bodies_.emplace(KeyName(attempt.caller, attempt.key), body);
  require(place->second == body, "one_run: key " + attempt.key + " got two answers");
}

void LedgerTally::inForce(const HolderId& entry, std::uint64_t revision)
{
  auto& known = inForce_[entry];
  require(revision >= known,
          fmt::format("revision: {} went from {} to {}", entry.process.value, known, revision));
  known = revision;
}

void LedgerTally::checkHeld(const BudgetId& budget, Tokens spendable) const
{
  const auto found = budgets_.find(budget);
  const Tokens held = found == budgets_.end() ? Tokens{ 0 } : found->second.held;
  require(spendable <= held,
          fmt::format("conservation: wallets can spend {} of {}, control counts {} as held",
                      spendable.count,
                      budget.value,
                      held.count));
}

void LedgerTally::checkSettled() const
{
  for (const auto& [budget, view] : budgets_) {
    const auto billed = charged_.find(budget);
    const auto sent = answered_.find(budget);
    const Tokens most = billed == charged_.end() ? Tokens{ 0 } : billed->second.total();
    const Tokens least = sent == answered_.end() ? Tokens{ 0 } : sent->second.total();
    require(view.settled <= most,
            fmt::format("one_bill: {} settled {}, attempts add up to {}",
                        budget.value,
                        view.settled.count,
                        most.count));
    // What is still held belongs to holders that died together with their witnesses.
    require(view.settled + view.held >= least,
            fmt::format("one_bill: {} settled {} and held {}, answers add up to {}",
                        budget.value,
                        view.settled.count,
                        view.held.count,
                        least.count));
  }
}

} // namespace figchute::simulation
