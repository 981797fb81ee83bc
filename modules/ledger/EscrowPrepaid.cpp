#include "ledger/EscrowBook.h"

#include <algorithm>

/** The part of EscrowBook for budgets of a configuration and for holders without witnesses. */
namespace figchute::ledger::detail {

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
  budget.use.add(time, std::max(Tokens{ 0 }, totals.charged - account.charged));
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

void EscrowBook::closeUnwitnessed(const HolderId& id, Budget& budget)
{
  if (auto* account = budget.find(id)) {
    account->charged += budget.held(*account);
    budget.close(id);
  }
  std::erase_if(budget.flows, [&budget](const Flow& flow) {
    return budget.find(flow.from) == nullptr && budget.find(flow.to) == nullptr;
  });
}

} // namespace figchute::ledger::detail
