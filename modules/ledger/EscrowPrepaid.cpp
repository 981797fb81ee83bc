#include "ledger/EscrowBook.h"

#include <algorithm>

/** The part of EscrowBook for budgets of a configuration and for holders with reserves. */
namespace figchute::ledger::detail {
namespace {

/** The reserves of all holders together get this share of what is left of a budget. The rest stays
    free, so that most grants need no recall. */
constexpr double kReserveShare = 0.6;
/** Below this part of the budget, reserves are kept free: they would have to be recalled for single
    requests. */
constexpr std::int64_t kReserveFloor = 10;
/** A holder keeps a reserve up to this multiple of its target. */
constexpr double kReserveSlack = 1.25;

} // namespace

GrantedItem EscrowBook::grantPrepaid(Time time,
                                     const HolderId& id,
                                     const GrantItem& item,
                                     Budget& budget,
                                     std::vector<Outgoing>& outgoing)
{
  auto& account = *budget.find(id);
  const bool usable = !budget.closed && budget.free() >= Tokens{ 0 };
  const auto within = usable ? budget.grantable() + account.reserve() : Tokens{ 0 };
  const auto share = std::min(demandShare(time, budget, account), within);
  const auto demand = demandOf(time, budget, account, item.demand);
  auto amount = std::max({ item.want, std::min(demand, share), Tokens{ 0 } });
  const bool scarce = item.want > within;
  if (scarce) {
    amount = item.minimum <= within ? item.minimum : Tokens{ 0 };
    recall(time, id, item.budget, budget, holders_, outgoing);
  }
  account.granted += std::min(amount, budget.grantable());
  account.opened += amount;
  invariant(account.opened <= account.granted, "opened tokens were granted");
  GrantedItem granted{ item.budget, item.sequence, {}, {}, scarce || budget.closed, {}, {} };
  const auto target = reserveTarget(time, holders_.at(id), budget, account);
  const auto most = static_cast<double>(target.count) * kReserveSlack;
  if (!scarce && target > account.reserve()) {
    account.granted += std::min(target - account.reserve(), budget.grantable());
  } else if (static_cast<double>(account.reserve().count) > most) {
    granted.excess = account.reserve() - target;
  }
  granted.granted = account.granted;
  granted.opened = account.opened;
  granted.free = budget.grantable();
  return granted;
}

Tokens EscrowBook::reserveTarget(Time time,
                                 const Holder& holder,
                                 const Budget& budget,
                                 const HolderAccount& account) const
{
  const auto left = budget.bought - budget.settled();
  // Without a witness nothing can be opened.
  if (budget.closed || holder.witnesses.empty() ||
      left.count * kReserveFloor < budget.bought.count) {
    return {};
  }
  const auto live = std::count_if(holders_.begin(), holders_.end(), [](const auto& item) {
    return item.second.reserves && !item.second.retiring;
  });
  const auto equal = 1.0 / static_cast<double>(std::max<std::int64_t>(1, live));
  const auto all = budget.use.perSecond(time);
  const auto part = all > 0 ? std::min(1.0, account.use.perSecond(time) / all) : equal;
  const auto weight = (equal + part) / 2;
  return Tokens{ static_cast<std::int64_t>(static_cast<double>(left.count) * kReserveShare *
                                           weight) };
}

std::vector<Outgoing> EscrowBook::setPrepaid(std::span<const PrepaidBudget> budgets)
{
  std::vector<Outgoing> outgoing;
  std::set<BudgetId> named;
  for (const auto& [id, prepaid] : budgets) {
    named.insert(id);
    const auto at = budgets_.try_emplace(id).first;
    auto& budget = at->second;
    budget.prepaid = true;
    budget.closed = false;
    budget.bought = std::max(Tokens{ 0 }, prepaid);
    budget.largest = std::max(budget.largest, budget.bought);
    if (budget.free() < Tokens{ 0 }) {
      recallAll(id, budget, outgoing);
    }
    touched_.push_back(&at->first);
  }
  for (auto at = budgets_.begin(); at != budgets_.end();) {
    auto& budget = at->second;
    if (!budget.prepaid || named.contains(at->first)) {
      ++at;
      continue;
    }
    const bool unused = budget.accounts.empty() && budget.flows.empty() &&
                        budget.closedNet == Tokens{ 0 } && budget.closedSettled == Tokens{ 0 };
    if (unused) {
      at = budgets_.erase(at);
      continue;
    }
    if (!budget.closed) {
      budget.closed = true;
      recallAll(at->first, budget, outgoing);
    }
    ++at;
  }
  return outgoing;
}

void EscrowBook::recallAll(const BudgetId& id,
                           const Budget& budget,
                           std::vector<Outgoing>& outgoing) const
{
  for (const auto& account : budget.accounts) {
    const auto holder = holders_.find(account.holder);
    const bool live = holder != holders_.end() && !holder->second.retiring;
    if (live && budget.held(account) > Tokens{ 0 }) {
      outgoing.push_back({ account.holder.process, Recall{ account.holder, id } });
    }
  }
}

bool EscrowBook::addHolder(const HolderId& peer)
{
  if (holders_.contains(peer)) {
    return true;
  }
  const auto retired = retiredThrough_.find(peer.process);
  if (retired != retiredThrough_.end() && peer.incarnation <= retired->second) {
    return false;
  }
  // A process that started while control was out of reach may get tokens before it is registered.
  holders_[peer];
  return true;
}

void EscrowBook::mergeUnwitnessed(Time time, const HolderId& id, const AccountTotals& totals)
{
  const auto at = budgets_.find(totals.budget);
  auto& budget = at->second;
  openAccount(id, at);
  // A live holder that control has not heard of yet in this budget gets an account, so that only
  // retired ones have none.
  for (const auto* peers : { &totals.transferredIn, &totals.transferredOut }) {
    for (const auto& [peer, total] : *peers) {
      if (addHolder(peer)) {
        openAccount(peer, at);
      }
    }
  }
  auto& account = *budget.find(id);
  const auto used = std::max(Tokens{ 0 }, totals.charged - account.charged);
  budget.use.add(time, used);
  account.use.add(time, used);
  account.opened = std::max(account.opened, totals.opened);
  account.charged = std::max(account.charged, totals.charged);
  account.returned = std::max(account.returned, totals.returned);
  for (const auto& [peer, total] : totals.transferredIn) {
    auto& flow = budget.flow(peer, id);
    const auto before = flow.total();
    flow.received = std::max(flow.received, total);
    if (budget.find(peer) == nullptr) {
      // The retired sender was charged for everything it held, also for what it had passed on.
      budget.closedSettled -= flow.total() - before;
    }
  }
  for (const auto& [peer, total] : totals.transferredOut) {
    auto& flow = budget.flow(id, peer);
    const auto before = flow.total();
    flow.sent = std::max(flow.sent, total);
    if (budget.find(peer) == nullptr) {
      // The retired receiver may have spent the tokens.
      budget.closedSettled += flow.total() - before;
    }
  }
  touched_.push_back(&at->first);
}

void EscrowBook::closeUnwitnessed(const HolderId& id, Budget& budget, RetirementView& retirement)
{
  if (auto* account = budget.find(id)) {
    if (retirement.unlockedStatus == UnlockedAmountStatus::known) {
      account->returned += account->reserve();
      retirement.returned += account->reserve();
    }
    const auto held = budget.held(*account);
    retirement.writtenOff += held;
    account->charged += held;
    budget.close(id);
  }
  std::erase_if(budget.flows, [&budget](const Flow& flow) {
    return budget.find(flow.from) == nullptr && budget.find(flow.to) == nullptr;
  });
}

} // namespace figchute::ledger::detail
