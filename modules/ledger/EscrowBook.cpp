#include "ledger/EscrowBook.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::ledger::detail {
namespace {

/** A holder counts as active on a budget for this time after a grant request. */
constexpr Duration kActiveTime{ 30'000'000 };
/** Holders of one budget are recalled at most once in this time. */
constexpr Duration kRecallInterval{ 10'000 };

/** The open tokens of all holders are at most this share of what is left of a prepaid budget. */
constexpr double kPrepaidShare = 0.4;
/** A holder gets open tokens for its recent use of this time. It must last until the holder may
    open its reserve, kDetachTime after its last contact. */
constexpr double kUseSeconds = 5;
/** Holders without requests together keep this share of a prepaid budget open. */
constexpr double kIdleShare = 0.01;
/** So long after its first grant, the use of a budget is not known well enough to limit grants. */
constexpr Duration kYoungTime{ 10'000'000 };

/** A budget runs low when this many shares do not cover what one holder asks for. */
constexpr std::int64_t kScarceShare = 4;

Verdict refuse(ErrorKind kind, std::string detail)
{
  return Verdict{ kind, std::move(detail) };
}

std::string nameOf(const HolderId& id)
{
  return fmt::format("{}/{}", id.process.value, id.incarnation.number);
}

bool raise(Tokens& total, Tokens reported)
{
  if (reported <= total) {
    return false;
  }
  total = reported;
  return true;
}

std::int64_t activeHolders(const Budget& budget, Time time)
{
  const auto active = std::count_if(
    budget.accounts.begin(), budget.accounts.end(), [time](const HolderAccount& account) {
      return account.lastGrantAt + kActiveTime >= time;
    });
  return std::max<std::int64_t>(1, active);
}

} // namespace

std::optional<Error> EscrowBook::checkPurchases(const TeamId& team,
                                                const std::vector<Purchase>& purchases) const
{
  const auto prefix = team.value + "/";
  for (const auto& [id, bought] : purchases) {
    const auto name = id.view();
    const bool known = name.starts_with("w:") || name.starts_with("c:");
    if (!known || !name.substr(2).starts_with(prefix)) {
      return Error{ ErrorKind::documentInvalid,
                    fmt::format("budget {} does not belong to team {}", name, team.value) };
    }
    const auto found = budgets_.find(id);
    const auto lowest = found == budgets_.end() ? Tokens{ 0 } : found->second.bought;
    if (bought < lowest) {
      return Error{ ErrorKind::documentInvalid,
                    fmt::format("budget {}: bought = {} is below the {} already bought",
                                name,
                                bought.count,
                                lowest.count) };
    }
  }
  return std::nullopt;
}

void EscrowBook::applyPurchases(const std::vector<Purchase>& purchases)
{
  for (const auto& [id, bought] : purchases) {
    const auto at = budgets_.try_emplace(id).first;
    raise(at->second.bought, bought);
    touched_.push_back(&at->first);
  }
}

Verdict EscrowBook::checkHolder(const HolderId& holder) const
{
  const auto found = holders_.find(holder);
  if (found != holders_.end() && !found->second.retiring) {
    return {};
  }
  const auto retired = retiredThrough_.find(holder.process);
  if (retired != retiredThrough_.end() && holder.incarnation <= retired->second) {
    return refuse(ErrorKind::shuttingDown, fmt::format("holder {} is retired", nameOf(holder)));
  }
  return refuse(ErrorKind::notFound, fmt::format("holder {} is not registered", nameOf(holder)));
}

HolderAccount& EscrowBook::openAccount(const HolderId& id,
                                       std::map<BudgetId, Budget>::iterator budget)
{
  index_[id].insert(&budget->first);
  return budget->second.findOrOpen(id);
}

GrantResult EscrowBook::grant(Time time, const Grant& command, std::vector<Outgoing>& outgoing)
{
  GrantResult result{ checkHolder(command.holder), {} };
  if (!result.verdict.ok()) {
    return result;
  }
  auto& holder = holders_.at(command.holder);
  for (const auto& item : command.items) {
    result.items.push_back(grantItem(time, command.holder, holder, item, outgoing));
  }
  return result;
}

GrantedItem EscrowBook::grantItem(Time time,
                                  const HolderId& id,
                                  Holder& holder,
                                  const GrantItem& item,
                                  std::vector<Outgoing>& outgoing)
{
  GrantedItem granted{ item.budget, item.sequence, {}, {}, true, {}, {} };
  const auto at = budgets_.find(item.budget);
  if (at == budgets_.end()) {
    return granted;
  }
  auto& budget = at->second;
  const auto* known = budget.find(id);
  const auto last = known == nullptr ? holder.closedGrant : known->lastGrant;
  if (item.sequence <= last) {
    granted.granted = known == nullptr ? Tokens{ 0 } : known->granted;
    granted.opened = known == nullptr ? Tokens{ 0 } : known->opened;
    granted.free = budget.grantable();
    return granted;
  }
  auto& account = openAccount(id, at);
  account.lastGrant = item.sequence;
  account.lastGrantAt = time;
  if (budget.openedAt == Time{}) {
    budget.openedAt = time;
  }
  touched_.push_back(&at->first);
  if (budget.prepaid) {
    return grantPrepaid(time, id, item, budget, outgoing);
  }
  const auto free = budget.grantable();
  const auto share = demandShare(time, budget, account);
  auto amount = std::max(item.want, std::min(item.demand, share));
  if (item.want > free) {
    amount = item.minimum <= free ? item.minimum : Tokens{ 0 };
    recall(time, id, item.budget, budget, holders_, outgoing);
  }
  account.granted += std::max(amount, Tokens{ 0 });
  account.opened = account.granted;
  granted.granted = account.granted;
  granted.opened = account.opened;
  granted.free = budget.grantable();
  granted.scarce = item.want > free || budget.closed ||
                   share.count * kScarceShare < std::max(item.want, item.demand).count;
  return granted;
}

Tokens EscrowBook::demandShare(Time time, const Budget& budget, const HolderAccount& account)
{
  const auto free = budget.grantable();
  const auto active = activeHolders(budget, time);
  if (!budget.prepaid) {
    return Tokens{ free.count / (2 * active) };
  }
  const auto left = std::max(Tokens{ 0 }, budget.bought - budget.settled());
  const auto most = static_cast<double>(left.count) * kPrepaidShare / static_cast<double>(active);
  const auto share = Tokens{ static_cast<std::int64_t>(most) } - budget.openOf(account);
  return std::clamp(share, Tokens{ 0 }, free + account.reserve());
}

Tokens EscrowBook::demandOf(Time time,
                            const Budget& budget,
                            const HolderAccount& account,
                            Tokens asked)
{
  const auto active = static_cast<double>(activeHolders(budget, time));
  const auto open = static_cast<double>(budget.openOf(account).count);
  const auto used = account.use.perSecond(time) * kUseSeconds - open;
  if (time < budget.openedAt + kYoungTime) {
    return std::max(asked, Tokens{ static_cast<std::int64_t>(used) });
  }
  const auto idle = kIdleShare * static_cast<double>(budget.bought.count) / active - open;
  const auto most = std::max({ used, 2 * used, idle });
  return std::clamp(
    asked, Tokens{ static_cast<std::int64_t>(used) }, Tokens{ static_cast<std::int64_t>(most) });
}

void EscrowBook::recall(Time time,
                        const HolderId& asker,
                        const BudgetId& id,
                        Budget& budget,
                        const std::map<HolderId, Holder>& holders,
                        std::vector<Outgoing>& outgoing)
{
  if (time < budget.recalledAt + kRecallInterval) {
    return;
  }
  budget.recalledAt = time;
  for (const auto& account : budget.accounts) {
    const auto holder = holders.find(account.holder);
    const bool live = holder != holders.end() && !holder->second.retiring;
    if (live && account.holder != asker && budget.held(account) > Tokens{ 0 }) {
      outgoing.push_back({ account.holder.process, Recall{ account.holder, id } });
    }
  }
}

bool EscrowBook::mergeTotals(Time time, const HolderId& id, const AccountTotals& totals)
{
  const auto at = budgets_.find(totals.budget);
  if (at == budgets_.end()) {
    return false;
  }
  const auto& holder = holders_.at(id);
  if (holder.reserves || holder.witnesses.empty()) {
    mergeUnwitnessed(time, id, totals);
    return true;
  }
  auto& budget = at->second;
  openAccount(id, at);
  for (const auto& [peer, total] : totals.transferredOut) {
    if (holders_.contains(peer)) {
      openAccount(peer, at);
    }
  }
  const auto savedAccount = *budget.find(id);
  const auto savedFlows = budget.flows;
  auto& account = *budget.find(id);
  raise(account.charged, totals.charged);
  raise(account.returned, totals.returned);
  for (const auto& [peer, total] : totals.transferredIn) {
    raise(budget.flow(peer, id).received, total);
  }
  for (const auto& [peer, total] : totals.transferredOut) {
    auto& flow = budget.flow(id, peer);
    flow.toRetired = flow.toRetired || !holders_.contains(peer);
    raise(flow.sent, total);
    if (flow.toRetired && flow.received < flow.sent) {
      holders_.at(id).finals.insert(at->first);
    }
  }
  bool valid = budget.held(account) >= Tokens{ 0 };
  for (const auto& [peer, total] : totals.transferredIn) {
    const auto* sender = budget.find(peer);
    const auto& flow = budget.flow(peer, id);
    const bool covered =
      sender != nullptr ? budget.held(*sender) >= Tokens{ 0 } : flow.received <= flow.sent;
    valid = valid && covered;
  }
  if (!valid) {
    account = savedAccount;
    budget.flows = savedFlows;
  }
  touched_.push_back(&at->first);
  return valid;
}

std::optional<KeyedBill> EscrowBook::settleKeyed(Time time,
                                                 const HolderId& id,
                                                 const KeyedCharge& charge)
{
  KeyedBill result{ charge.sequence, {} };
  const KeyName key{ charge.caller, charge.key };
  const auto [at, first] = bills_.try_emplace(key);
  if (first) {
    billAges_.push_back({ time, key });
  }
  auto& amounts = at->second.amounts;
  bool valid = true;
  for (const auto& budgetId : charge.budgets) {
    auto bill = std::find_if(amounts.begin(), amounts.end(), [&budgetId](const Purchase& entry) {
      return entry.budget == budgetId;
    });
    const auto billed = bill == amounts.end() ? Tokens{ 0 } : bill->bought;
    const auto increment = std::max(Tokens{ 0 }, charge.amount - billed);
    const auto budget = budgets_.find(budgetId);
    auto* account = budget == budgets_.end() ? nullptr : budget->second.find(id);
    if (increment > Tokens{ 0 } &&
        (account == nullptr || budget->second.held(*account) < increment)) {
      valid = false;
      result.charged.emplace_back();
      continue;
    }
    if (increment > Tokens{ 0 }) {
      account->keyed += increment;
      touched_.push_back(&budget->first);
      if (bill == amounts.end()) {
        bill = amounts.insert(amounts.end(), Purchase{ budgetId, {} });
      }
      bill->bought += increment;
    }
    result.charged.push_back(increment);
  }
  return valid ? std::optional(result) : std::nullopt;
}

SettleResult EscrowBook::settle(Time time, const Settle& command)
{
  SettleResult result;
  result.verdict = checkHolder(command.holder);
  result.sequence = command.sequence;
  if (!result.verdict.ok()) {
    return result;
  }
  auto& holder = holders_.at(command.holder);
  if (command.sequence <= holder.settleSequence) {
    return command.sequence == holder.settleSequence ? holder.lastSettle : result;
  }
  holder.settleSequence = command.sequence;
  holder.contactAt = std::max(holder.contactAt, command.createdAt);
  for (const auto& totals : command.totals) {
    if (!mergeTotals(time, command.holder, totals)) {
      result.verdict = refuse(ErrorKind::badRequest,
                              fmt::format("totals of {} exceed what {} was granted",
                                          totals.budget.value,
                                          nameOf(command.holder)));
    }
  }
  for (const auto& charge : command.keyed) {
    if (charge.sequence <= holder.keyedThrough) {
      continue;
    }
    const auto bill = settleKeyed(time, command.holder, charge);
    if (!bill) {
      // The holder reports it again; control may not have heard of a transfer that covers it yet.
      result.verdict =
        refuse(ErrorKind::badRequest,
               fmt::format(
                 "the bill of key {} exceeds what {} holds", charge.key, nameOf(command.holder)));
      break;
    }
    holder.keyedThrough = charge.sequence;
    result.bills.push_back(*bill);
  }
  for (const auto& name : command.closing) {
    if (closeAccount(command.holder, holder, name)) {
      result.closed.push_back(name);
    }
  }
  result.finals = finalsFor(command.holder, holder);
  holder.lastSettle = result;
  return result;
}

bool EscrowBook::closeAccount(const HolderId& id, Holder& holder, const BudgetId& name)
{
  const auto at = budgets_.find(name);
  const auto* account = at == budgets_.end() ? nullptr : at->second.find(id);
  if (account == nullptr) {
    return true;
  }
  if (at->second.held(*account) != Tokens{ 0 } || at->second.hasFlows(id)) {
    return false;
  }
  holder.closedGrant = std::max(holder.closedGrant, account->lastGrant);
  at->second.close(id);
  index_[id].erase(&at->first);
  touched_.push_back(&at->first);
  return true;
}

std::vector<FinalTransfer> EscrowBook::finalsFor(const HolderId& id, Holder& holder)
{
  std::vector<FinalTransfer> finals;
  for (const auto& name : std::exchange(holder.finals, {})) {
    for (auto& flow : budgets_.at(name).flows) {
      const bool toSender = flow.from == id && flow.toRetired && flow.sent > flow.received;
      const bool toReceiver = flow.to == id && flow.received < flow.sent;
      if (toSender || toReceiver) {
        finals.push_back({ name, flow.from, flow.to, flow.total() });
      }
      if (toSender) {
        flow.sent = flow.received;
      }
    }
  }
  return finals;
}

void EscrowBook::expire(Time time)
{
  while (!billAges_.empty() && billAges_.front().first + kKeyRetention < time) {
    bills_.erase(billAges_.front().key);
    billAges_.pop_front();
  }
}

void EscrowBook::checkTouched()
{
  for (const auto* name : std::exchange(touched_, {})) {
    const auto& budget = budgets_.at(*name);
    Tokens held;
    for (const auto& account : budget.accounts) {
      const auto mine = budget.held(account);
      // Without witnesses, control may hear of a transfer before it hears of the one that paid for
      // it; settled and held together stay exact.
      invariant(budget.prepaid || mine >= Tokens{ 0 }, "held is never negative");
      invariant(account.charged >= Tokens{ 0 } && account.keyed >= Tokens{ 0 },
                "settled is never negative");
      held += mine;
    }
    const auto settled = budget.settled();
    const auto free = budget.free();
    const auto most = budget.prepaid ? budget.largest : budget.bought;
    invariant(budget.prepaid || free >= Tokens{ 0 }, "free is never negative");
    invariant(settled + held <= most, "settled and held never exceed what was prepaid");
    invariant(budget.bought == settled + held + free, "bought = settled + held + free");
  }
}

void EscrowBook::rebuildIndex()
{
  index_.clear();
  touched_.clear();
  newlyRetiring_.clear();
  for (const auto& [name, budget] : budgets_) {
    for (const auto& account : budget.accounts) {
      index_[account.holder].insert(&name);
    }
  }
}

std::vector<StrandedView> EscrowBook::stranded() const
{
  std::vector<StrandedView> stranded;
  for (const auto& [id, holder] : holders_) {
    const auto index = index_.find(id);
    if (!holder.retiring || index == index_.end()) {
      continue;
    }
    const auto missing = missingReports(id, holder);
    for (const auto* name : index->second) {
      const auto& budget = budgets_.at(*name);
      const auto* account = budget.find(id);
      const auto held = account == nullptr ? Tokens{ 0 } : budget.held(*account);
      if (held > Tokens{ 0 }) {
        stranded.push_back({ id, *name, held, missing });
      }
    }
  }
  return stranded;
}

} // namespace figchute::ledger::detail
