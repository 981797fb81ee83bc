#include "ledger/BudgetLedger.h"
#include "ledger/UnlockLimit.h"

#include <algorithm>
#include <utility>

/** The part of BudgetLedger that handles prepaid budgets and holders with reserves. */
namespace figchute::ledger::detail {
namespace {

/** The reserves of all holders together get this share of the unsettled part of a budget. The rest
    stays free, so that most grants need no recall. */
constexpr double kReserveShare = 0.6;
/** No reserves are granted once less than one part in this many of a budget is unsettled, because
    they would have to be recalled for single requests. */
constexpr std::int64_t kReserveCutoffDivisor = 10;
/** A holder returns part of its reserve only above this multiple of the target. */
constexpr double kReserveTolerance = 1.25;
/** The number of holders that a grant names as those with the most tokens. */
constexpr std::size_t kRichestHolders = 3;

} // namespace

GrantedItem BudgetLedger::grantPrepaid(Time time,
                                       const HolderId& id,
                                       const GrantItem& item,
                                       Budget& budget,
                                       std::vector<OutgoingMessage>& outgoing)
{
  auto& account = *budget.findAccount(id);
  const bool grantsAllowed = !budget.closed && budget.free() >= Tokens{ 0 };
  const auto grantableToHolder =
    grantsAllowed ? budget.grantable() + account.reserveAmount() : Tokens{ 0 };
  const auto demandLimit = std::min(demandGrantLimit(time, budget, account), grantableToHolder);
  const auto demand = limitedDemand(time, budget, account, item.demand);
  auto amount = std::max({ item.requested, std::min(demand, demandLimit), Tokens{ 0 } });
  const bool budgetLow = item.requested > grantableToHolder;
  if (budgetLow) {
    amount = item.minimum <= grantableToHolder ? item.minimum : Tokens{ 0 };
    recall(time, id, item.budget, budget, outgoing);
  }
  account.granted += std::min(amount, budget.grantable());
  account.unlocked += amount;
  invariant(account.unlocked <= account.granted, "unlocked tokens never exceed granted ones");
  GrantedItem granted;
  granted.budget = item.budget;
  granted.sequence = item.sequence;
  granted.budgetLow = budgetLow || budget.closed;
  const auto target = reserveTarget(time, holders_.at(id), budget, account);
  const auto maxReserve = static_cast<double>(target.count) * kReserveTolerance;
  if (!budgetLow && target > account.reserveAmount()) {
    account.granted += std::min(target - account.reserveAmount(), budget.grantable());
  } else if (static_cast<double>(account.reserveAmount().count) > maxReserve) {
    granted.excessReserve = account.reserveAmount() - target;
  }
  granted.granted = account.granted;
  granted.unlocked = account.unlocked;
  granted.free = budget.grantable();
  account.reserved = item.reserved;
  granted.heldByOthers = budget.idleTokens(id);
  granted.richestHolders = budget.richestHolders(id, kRichestHolders);
  return granted;
}

Tokens BudgetLedger::reserveTarget(Time time,
                                   const Holder& holder,
                                   const Budget& budget,
                                   const HolderAccount& account) const
{
  const auto remaining = budget.bought - budget.settled();
  // A holder cannot unlock a reserve without a witness.
  if (budget.closed || holder.witnesses.empty() ||
      remaining.count * kReserveCutoffDivisor < budget.bought.count) {
    return {};
  }
  const auto equalShare = 1.0 / static_cast<double>(countLiveReserveHolders());
  const auto totalUsage = budget.usage.perSecond(time);
  const auto usageShare =
    totalUsage > 0 ? std::min(1.0, account.usage.perSecond(time) / totalUsage) : equalShare;
  const auto weight = (equalShare + usageShare) / 2;
  return Tokens{ static_cast<std::int64_t>(static_cast<double>(remaining.count) * kReserveShare *
                                           weight) };
}

std::int64_t BudgetLedger::countLiveReserveHolders() const
{
  if (!liveReserveHolders_) {
    const auto count = std::count_if(holders_.begin(), holders_.end(), [](const auto& item) {
      return item.second.hasReserves && !item.second.retiring;
    });
    liveReserveHolders_ = std::max<std::int64_t>(1, count);
  }
  return *liveReserveHolders_;
}

std::vector<OutgoingMessage> BudgetLedger::setPrepaid(std::span<const PrepaidBudget> budgets)
{
  std::vector<OutgoingMessage> outgoing;
  std::set<BudgetId> configuredBudgets;
  for (const auto& [id, prepaid] : budgets) {
    configuredBudgets.insert(id);
    const auto budgetEntry = budgets_.try_emplace(id).first;
    auto& budget = budgetEntry->second;
    budget.prepaid = true;
    budget.closed = false;
    budget.bought = std::max(Tokens{ 0 }, prepaid);
    budget.largestPrepaid = std::max(budget.largestPrepaid, budget.bought);
    if (budget.free() < Tokens{ 0 }) {
      recallAll(id, budget, outgoing);
    }
    changedBudgetIds_.push_back(&budgetEntry->first);
  }
  for (auto budgetEntry = budgets_.begin(); budgetEntry != budgets_.end();) {
    auto& budget = budgetEntry->second;
    if (!budget.prepaid || configuredBudgets.contains(budgetEntry->first)) {
      ++budgetEntry;
      continue;
    }
    const bool unused = budget.accounts.all().empty() && budget.transfers.totals().empty() &&
                        budget.closedNetGranted == Tokens{ 0 } &&
                        budget.closedSettled == Tokens{ 0 };
    if (unused) {
      budgetEntry = budgets_.erase(budgetEntry);
      continue;
    }
    if (!budget.closed) {
      budget.closed = true;
      recallAll(budgetEntry->first, budget, outgoing);
    }
    ++budgetEntry;
  }
  return outgoing;
}

void BudgetLedger::recallAll(const BudgetId& id,
                             const Budget& budget,
                             std::vector<OutgoingMessage>& outgoing) const
{
  for (const auto& [holderId, account] : budget.accounts.all()) {
    if (isLive(holderId) && account.held() > Tokens{ 0 }) {
      outgoing.push_back({ holderId.process, Recall{ holderId, id } });
    }
  }
}

bool BudgetLedger::addHolderIfNotRetired(const HolderId& peer)
{
  if (holders_.contains(peer)) {
    return true;
  }
  const auto newestRetired = newestRetired_.find(peer.process);
  if (newestRetired != newestRetired_.end() && peer.incarnation <= newestRetired->second) {
    return false;
  }
  // A process that was started while control was unreachable may receive tokens before it is
  // registered.
  holders_[peer];
  return true;
}

void BudgetLedger::mergeUnwitnessedTotals(Time time,
                                          const HolderId& id,
                                          const AccountTotals& totals)
{
  const auto budgetEntry = budgets_.find(totals.budget);
  auto& budget = budgetEntry->second;
  openAccount(id, budgetEntry);
  // A live holder without an account in this budget gets one, so that a missing account means a
  // retired holder.
  for (const auto* peers : { &totals.transferredIn, &totals.transferredOut }) {
    for (const auto& [peer, total] : *peers) {
      if (addHolderIfNotRetired(peer)) {
        openAccount(peer, budgetEntry);
      }
    }
  }
  auto& account = *budget.findAccount(id);
  const auto newCharges = std::max(Tokens{ 0 }, totals.charged - account.charged);
  budget.usage.add(time, newCharges);
  account.usage.add(time, newCharges);
  account.reserved = totals.reserved;
  account.unlocked = std::max(account.unlocked, totals.unlocked);
  account.charged = std::max(account.charged, totals.charged);
  account.returned = std::max(account.returned, totals.returned);
  for (const auto& [peer, total] : totals.transferredIn) {
    Tokens increase;
    budget.changeTransfer({ peer, id }, [&, &total = total](TransferTotals& transfer) {
      const auto previousTotal = transfer.total();
      transfer.received = std::max(transfer.received, total);
      increase = transfer.total() - previousTotal;
    });
    if (budget.findAccount(peer) == nullptr) {
      // The retired sender was charged for all tokens it held, including the transferred ones.
      budget.closedSettled -= increase;
    }
  }
  for (const auto& [peer, total] : totals.transferredOut) {
    Tokens increase;
    budget.changeTransfer({ id, peer }, [&, &total = total](TransferTotals& transfer) {
      const auto previousTotal = transfer.total();
      transfer.sent = std::max(transfer.sent, total);
      increase = transfer.total() - previousTotal;
    });
    if (budget.findAccount(peer) == nullptr) {
      // The retired receiver may have spent the transferred tokens.
      budget.closedSettled += increase;
    }
  }
  changedBudgetIds_.push_back(&budgetEntry->first);
}

void BudgetLedger::closeUnwitnessedAccount(const HolderId& id,
                                           Budget& budget,
                                           RetirementView& retirement)
{
  if (auto* account = budget.findAccount(id)) {
    if (retirement.proof == RetirementProof::none) {
      account->unlocked = unlockLimit(account->granted, account->unlocked);
    }
    const auto reserve = account->reserveAmount();
    account->returned += reserve;
    retirement.returned += reserve;
    const auto held = account->held();
    retirement.writtenOff += held;
    account->charged += held;
    budget.closeAccount(id);
  }
  const auto& accounts = std::as_const(budget);
  budget.eraseTransfersOf(id, [&](const TransferPair& pair, const TransferTotals&) {
    return accounts.findAccount(pair.from == id ? pair.to : pair.from) == nullptr;
  });
}

} // namespace figchute::ledger::detail
