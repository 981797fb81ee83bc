#include "ledger/BudgetLedger.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::ledger::detail {
namespace {

/** The minimum time between two recalls of the same budget. */
constexpr Duration kRecallInterval{ 10'000 };
/** The minimum time between two recalls of the same budget from the same holder. A recalled holder
    returns tokens by itself for longer than this as they become available. */
constexpr Duration kHolderRecallInterval{ 200'000 };
/** The number of holders that are asked at once, those with the most tokens first. All of them
   would settle at the same moment. */
constexpr std::size_t kMaxHoldersPerRecall = 8;

/** The unlocked tokens of all holders together are at most this share of the unsettled part of a
    prepaid budget. */
constexpr double kUnlockedShare = 0.4;
/** A holder gets unlocked tokens for its recent usage over this many seconds. They have to last
    until the holder may unlock its reserve, kMinDetachTime after its last contact. */
constexpr double kUsageSeconds = 5;
/** Holders without requests together keep this share of a prepaid budget unlocked. */
constexpr double kIdleUnlockedShare = 0.01;
/** For this long after its first grant, too little is known about the usage of a budget to limit
    grants by it. */
constexpr Duration kUsageWarmupTime{ 10'000'000 };

/** A budget runs low when a request exceeds this multiple of a holder's demandGrantLimit(). */
constexpr std::int64_t kLowBudgetShares = 4;

Verdict refuse(ErrorKind kind, std::string detail)
{
  return Verdict{ kind, std::move(detail) };
}

std::string nameOf(const HolderId& id)
{
  return fmt::format("{}/{}", id.process.value, id.incarnation.number);
}

/** Adopts a clock reading that a holder reports. Commands may be applied in another order than they
    were created, so an earlier reading of the same clock is ignored. */
void updateContact(Holder& holder, const ClockReading& contact)
{
  const bool isOutdated =
    contact.clock == holder.contact.clock && contact.time < holder.contact.time;
  if (contact.isValid() && !isOutdated) {
    holder.contact = contact;
  }
}

bool raiseTotal(Tokens& total, Tokens reported)
{
  if (reported <= total) {
    return false;
  }
  total = reported;
  return true;
}

/** The transfers of a pair before a change; nothing if the pair did not exist. */
struct SavedTransfer
{
  TransferPair pair;
  std::optional<TransferTotals> totals;
};

/** Returns the transfers that a report of a holder can change. */
std::vector<SavedTransfer> saveTransfers(const Budget& budget,
                                         const HolderId& holder,
                                         const AccountTotals& report)
{
  std::vector<SavedTransfer> saved;
  for (const auto& [peer, total] : report.transferredIn) {
    const TransferPair pair{ peer, holder };
    saved.push_back({ pair, budget.findTransfer(pair) });
  }
  for (const auto& [peer, total] : report.transferredOut) {
    const TransferPair pair{ holder, peer };
    saved.push_back({ pair, budget.findTransfer(pair) });
  }
  return saved;
}

void restoreTransfers(Budget& budget, const std::vector<SavedTransfer>& saved)
{
  for (const auto& [pair, totals] : saved) {
    if (!totals) {
      budget.eraseTransfer(pair);
      continue;
    }
    budget.changeTransfer(pair,
                          [&totals = totals](TransferTotals& transfer) { transfer = *totals; });
  }
}

} // namespace

std::optional<Error> BudgetLedger::checkPurchases(const TeamId& team,
                                                  const std::vector<Purchase>& purchases) const
{
  const auto prefix = team.value + "/";
  for (const auto& [id, bought] : purchases) {
    const auto idText = id.view();
    const bool knownKind = idText.starts_with("w:") || idText.starts_with("c:");
    if (!knownKind || !idText.substr(2).starts_with(prefix)) {
      return Error{ ErrorKind::documentInvalid,
                    fmt::format("budget {} does not belong to team {}", idText, team.value) };
    }
    const auto budget = budgets_.find(id);
    const auto alreadyBought = budget == budgets_.end() ? Tokens{ 0 } : budget->second.bought;
    if (bought < alreadyBought) {
      return Error{ ErrorKind::documentInvalid,
                    fmt::format("budget {}: bought = {} is below the {} already bought",
                                idText,
                                bought.count,
                                alreadyBought.count) };
    }
  }
  return std::nullopt;
}

void BudgetLedger::applyPurchases(const std::vector<Purchase>& purchases)
{
  for (const auto& [id, bought] : purchases) {
    const auto budget = budgets_.try_emplace(id).first;
    raiseTotal(budget->second.bought, bought);
    changedBudgetIds_.push_back(&budget->first);
  }
}

bool BudgetLedger::isLive(const HolderId& holder) const
{
  const auto entry = holders_.find(holder);
  return entry != holders_.end() && !entry->second.retiring;
}

Verdict BudgetLedger::checkHolder(const HolderId& holder) const
{
  if (isLive(holder)) {
    return {};
  }
  const auto newestRetired = newestRetired_.find(holder.process);
  if (newestRetired != newestRetired_.end() && holder.incarnation <= newestRetired->second) {
    return refuse(ErrorKind::shuttingDown, fmt::format("holder {} is retired", nameOf(holder)));
  }
  return refuse(ErrorKind::notFound, fmt::format("holder {} is not registered", nameOf(holder)));
}

HolderAccount& BudgetLedger::openAccount(const HolderId& id,
                                         std::map<BudgetId, Budget>::iterator budget)
{
  const auto [account, isNew] = budget->second.findOrOpenAccount(id);
  if (isNew) {
    budgetsByHolder_[id].insert(&budget->first);
  }
  return account;
}

GrantResult BudgetLedger::grant(Time time,
                                const Grant& command,
                                std::vector<OutgoingMessage>& outgoing)
{
  GrantResult result{ checkHolder(command.holder), {} };
  if (!result.verdict.ok()) {
    return result;
  }
  auto& holder = holders_.at(command.holder);
  updateContact(holder, command.contact);
  for (const auto& item : command.items) {
    result.items.push_back(grantItem(time, command.holder, holder, item, outgoing));
  }
  return result;
}

GrantedItem BudgetLedger::grantItem(Time time,
                                    const HolderId& id,
                                    Holder& holder,
                                    const GrantItem& item,
                                    std::vector<OutgoingMessage>& outgoing)
{
  GrantedItem granted;
  granted.budget = item.budget;
  granted.sequence = item.sequence;
  granted.budgetLow = true;
  const auto budgetEntry = budgets_.find(item.budget);
  if (budgetEntry == budgets_.end()) {
    return granted;
  }
  auto& budget = budgetEntry->second;
  const auto* existingAccount = budget.findAccount(id);
  const auto lastSequence =
    existingAccount == nullptr ? holder.closedGrantSequence : existingAccount->lastGrantSequence;
  if (item.sequence <= lastSequence) {
    granted.granted = existingAccount == nullptr ? Tokens{ 0 } : existingAccount->granted;
    granted.unlocked = existingAccount == nullptr ? Tokens{ 0 } : existingAccount->unlocked;
    granted.free = budget.grantable();
    granted.heldByOthers = budget.idleTokens(id);
    return granted;
  }
  auto& account = openAccount(id, budgetEntry);
  account.lastGrantSequence = item.sequence;
  budget.addGrantRequest(time, account);
  changedBudgetIds_.push_back(&budgetEntry->first);
  if (budget.prepaid) {
    return grantPrepaid(time, id, item, budget, outgoing);
  }
  const auto free = budget.grantable();
  const auto demandLimit = demandGrantLimit(time, budget, account);
  auto amount = std::max(item.requested, std::min(item.demand, demandLimit));
  if (item.requested > free) {
    amount = item.minimum <= free ? item.minimum : Tokens{ 0 };
    recall(time, id, item.budget, budget, outgoing);
  }
  account.granted += std::max(amount, Tokens{ 0 });
  account.unlocked = account.granted;
  granted.granted = account.granted;
  granted.unlocked = account.unlocked;
  granted.free = budget.grantable();
  granted.budgetLow =
    item.requested > free || budget.closed ||
    demandLimit.count * kLowBudgetShares < std::max(item.requested, item.demand).count;
  return granted;
}

Tokens BudgetLedger::demandGrantLimit(Time time, Budget& budget, const HolderAccount& account)
{
  const auto free = budget.grantable();
  const auto active = budget.countActiveHolders(time);
  if (!budget.prepaid) {
    return Tokens{ free.count / (2 * active) };
  }
  const auto remaining = std::max(Tokens{ 0 }, budget.bought - budget.settled());
  const auto maxUnlocked =
    static_cast<double>(remaining.count) * kUnlockedShare / static_cast<double>(active);
  const auto share = Tokens{ static_cast<std::int64_t>(maxUnlocked) } - account.unlockedHeld();
  return std::clamp(share, Tokens{ 0 }, free + account.reserveAmount());
}

Tokens BudgetLedger::limitedDemand(Time time,
                                   Budget& budget,
                                   const HolderAccount& account,
                                   Tokens requested)
{
  const auto active = static_cast<double>(budget.countActiveHolders(time));
  const auto unlockedTokens = static_cast<double>(account.unlockedHeld().count);
  const auto usageShortfall = account.usage.perSecond(time) * kUsageSeconds - unlockedTokens;
  if (time < budget.firstGrantRequestAt + kUsageWarmupTime) {
    return std::max(requested, Tokens{ static_cast<std::int64_t>(usageShortfall) });
  }
  const auto idleShortfall =
    kIdleUnlockedShare * static_cast<double>(budget.bought.count) / active - unlockedTokens;
  const auto maxDemand = std::max({ usageShortfall, 2 * usageShortfall, idleShortfall });
  return std::clamp(requested,
                    Tokens{ static_cast<std::int64_t>(usageShortfall) },
                    Tokens{ static_cast<std::int64_t>(maxDemand) });
}

void BudgetLedger::recall(Time time,
                          const HolderId& requester,
                          const BudgetId& id,
                          Budget& budget,
                          std::vector<OutgoingMessage>& outgoing)
{
  if (time < budget.recalledAt + kRecallInterval) {
    return;
  }
  budget.recalledAt = time;
  std::vector<HolderAccount*> recalled;
  budget.accounts.byIdle().visit([&](HolderAccount& account) {
    const bool isDue = time >= account.recalledAt + kHolderRecallInterval;
    if (isDue && account.holder != requester && isLive(account.holder)) {
      recalled.push_back(&account);
    }
    return recalled.size() < kMaxHoldersPerRecall;
  });
  for (auto* account : recalled) {
    account->recalledAt = time;
    outgoing.push_back({ account->holder.process, Recall{ account->holder, id } });
  }
}

bool BudgetLedger::mergeTotals(Time time, const HolderId& id, const AccountTotals& totals)
{
  const auto budgetEntry = budgets_.find(totals.budget);
  if (budgetEntry == budgets_.end()) {
    return false;
  }
  const auto& holder = holders_.at(id);
  if (holder.hasReserves || holder.witnesses.empty()) {
    mergeUnwitnessedTotals(time, id, totals);
    return true;
  }
  auto& budget = budgetEntry->second;
  openAccount(id, budgetEntry);
  for (const auto& [peer, total] : totals.transferredOut) {
    if (holders_.contains(peer)) {
      openAccount(peer, budgetEntry);
    }
  }
  const auto savedAccount = *budget.findAccount(id);
  const auto savedTransfers = saveTransfers(budget, id, totals);
  auto& account = *budget.findAccount(id);
  raiseTotal(account.charged, totals.charged);
  raiseTotal(account.returned, totals.returned);
  for (const auto& [peer, total] : totals.transferredIn) {
    budget.changeTransfer({ peer, id }, [&total = total](TransferTotals& transfer) {
      raiseTotal(transfer.received, total);
    });
  }
  for (const auto& [peer, total] : totals.transferredOut) {
    const bool receiverRetired = !holders_.contains(peer);
    bool hasUndelivered = false;
    budget.changeTransfer({ id, peer }, [&, &total = total](TransferTotals& transfer) {
      transfer.receiverRetired = transfer.receiverRetired || receiverRetired;
      raiseTotal(transfer.sent, total);
      hasUndelivered = transfer.receiverRetired && transfer.received < transfer.sent;
    });
    if (hasUndelivered) {
      holders_.at(id).pendingFinalTransfers.insert(budgetEntry->first);
    }
  }
  bool valid = account.held() >= Tokens{ 0 };
  for (const auto& [peer, total] : totals.transferredIn) {
    const auto* sender = budget.findAccount(peer);
    const auto transfer = *budget.findTransfer({ peer, id });
    const bool covered =
      sender != nullptr ? sender->held() >= Tokens{ 0 } : transfer.received <= transfer.sent;
    valid = valid && covered;
  }
  if (!valid) {
    restoreTransfers(budget, savedTransfers);
    account = savedAccount;
  }
  changedBudgetIds_.push_back(&budgetEntry->first);
  return valid;
}

std::optional<KeyedBill> BudgetLedger::settleKeyedCharge(Time time,
                                                         const HolderId& id,
                                                         const KeyedCharge& charge)
{
  KeyedBill result{ charge.sequence, {} };
  const CallerKey key{ charge.caller, charge.key };
  const auto [billEntry, isNewBill] = bills_.try_emplace(key);
  if (isNewBill) {
    billsByAge_.push_back({ time, key });
  }
  auto& amounts = billEntry->second.amounts;
  bool valid = true;
  for (const auto& budgetId : charge.budgets) {
    auto billedItem =
      std::find_if(amounts.begin(), amounts.end(), [&budgetId](const Purchase& entry) {
        return entry.budget == budgetId;
      });
    const auto billed = billedItem == amounts.end() ? Tokens{ 0 } : billedItem->bought;
    const auto increment = std::max(Tokens{ 0 }, charge.amount - billed);
    const auto budget = budgets_.find(budgetId);
    auto* account = budget == budgets_.end() ? nullptr : budget->second.findAccount(id);
    if (increment > Tokens{ 0 } && (account == nullptr || account->held() < increment)) {
      valid = false;
      result.charged.emplace_back();
      continue;
    }
    if (increment > Tokens{ 0 }) {
      account->keyedCharged += increment;
      changedBudgetIds_.push_back(&budget->first);
      if (billedItem == amounts.end()) {
        billedItem = amounts.insert(amounts.end(), Purchase{ budgetId, {} });
      }
      billedItem->bought += increment;
    }
    result.charged.push_back(increment);
  }
  return valid ? std::optional(result) : std::nullopt;
}

SettleResult BudgetLedger::settle(Time time, const Settle& command)
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
  updateContact(holder, command.contact);
  for (const auto& totals : command.totals) {
    if (!mergeTotals(time, command.holder, totals)) {
      result.verdict = refuse(ErrorKind::badRequest,
                              fmt::format("totals of {} exceed the grants of {}",
                                          totals.budget.value,
                                          nameOf(command.holder)));
    }
  }
  for (const auto& charge : command.keyedCharges) {
    if (charge.sequence <= holder.settledKeyedSequence) {
      continue;
    }
    const auto bill = settleKeyedCharge(time, command.holder, charge);
    if (!bill) {
      // The holder reports the charge again. Control may not have received the transfer that
      // covers it yet.
      result.verdict =
        refuse(ErrorKind::badRequest,
               fmt::format(
                 "the bill of key {} exceeds what {} holds", charge.key, nameOf(command.holder)));
      break;
    }
    holder.settledKeyedSequence = charge.sequence;
    result.bills.push_back(*bill);
  }
  for (const auto& budgetId : command.closingBudgets) {
    if (closeAccount(command.holder, holder, budgetId)) {
      result.closed.push_back(budgetId);
    }
  }
  result.finalTransfers = takeFinalTransfers(command.holder, holder);
  holder.lastSettle = result;
  return result;
}

bool BudgetLedger::closeAccount(const HolderId& id, Holder& holder, const BudgetId& budgetId)
{
  const auto budgetEntry = budgets_.find(budgetId);
  const auto* account =
    budgetEntry == budgets_.end() ? nullptr : budgetEntry->second.findAccount(id);
  if (account == nullptr) {
    return true;
  }
  if (account->held() != Tokens{ 0 } || account->transferPairs > 0) {
    return false;
  }
  holder.closedGrantSequence = std::max(holder.closedGrantSequence, account->lastGrantSequence);
  budgetEntry->second.closeAccount(id);
  budgetsByHolder_[id].erase(&budgetEntry->first);
  changedBudgetIds_.push_back(&budgetEntry->first);
  return true;
}

std::vector<FinalTransfer> BudgetLedger::takeFinalTransfers(const HolderId& id, Holder& holder)
{
  std::vector<FinalTransfer> finalTransfers;
  for (const auto& budgetId : std::exchange(holder.pendingFinalTransfers, {})) {
    budgets_.at(budgetId).changeTransfersOf(
      id, [&, &budgetId = budgetId](const TransferPair& pair, TransferTotals& transfer) {
        const bool toSender =
          pair.from == id && transfer.receiverRetired && transfer.sent > transfer.received;
        const bool toReceiver = pair.to == id && transfer.received < transfer.sent;
        if (toSender || toReceiver) {
          finalTransfers.push_back({ budgetId, pair.from, pair.to, transfer.total() });
        }
        if (toSender) {
          transfer.sent = transfer.received;
        }
      });
  }
  return finalTransfers;
}

void BudgetLedger::expire(Time time)
{
  while (!billsByAge_.empty() && billsByAge_.front().firstSettledAt + kKeyRetention < time) {
    bills_.erase(billsByAge_.front().key);
    billsByAge_.pop_front();
  }
}

void BudgetLedger::checkChangedBudgets()
{
  for (const auto* budgetId : std::exchange(changedBudgetIds_, {})) {
    auto& budget = budgets_.at(*budgetId);
    for (const auto* account : budget.accounts.changed()) {
      // For holders that record no charges, control may receive the report of a transfer before
      // that of an earlier transfer that covers it. The sum of settled and held tokens is exact
      // nevertheless.
      invariant(budget.prepaid || account->held() >= Tokens{ 0 }, "held is never negative");
      invariant(account->charged >= Tokens{ 0 } && account->keyedCharged >= Tokens{ 0 },
                "settled is never negative");
    }
    const auto settled = budget.settled();
    const auto held = budget.held();
    const auto free = budget.free();
    const auto maximum = budget.prepaid ? budget.largestPrepaid : budget.bought;
    invariant(budget.prepaid || free >= Tokens{ 0 }, "free is never negative");
    invariant(settled + held <= maximum, "settled and held never exceed the amount of the budget");
    invariant(budget.bought == settled + held + free, "bought = settled + held + free");
    budget.accounts.finishChanges();
  }
}

void BudgetLedger::checkSums() const
{
  for (const auto& [budgetId, budget] : budgets_) {
    invariant(budget.accounts.addUp() == budget.accounts.sums(),
              "the sums of a budget are those of its accounts");
  }
}

void BudgetLedger::rebuildIndex()
{
  budgetsByHolder_.clear();
  changedBudgetIds_.clear();
  newlyRetiringHolders_.clear();
  liveReserveHolders_.reset();
  for (auto& [budgetId, budget] : budgets_) {
    budget.rebuildSums();
    for (const auto& [holder, account] : budget.accounts.all()) {
      budgetsByHolder_[holder].insert(&budgetId);
    }
  }
}

std::vector<UnreclaimedTokensView> BudgetLedger::unreclaimedTokens() const
{
  std::vector<UnreclaimedTokensView> unreclaimed;
  for (const auto& [id, holder] : holders_) {
    const auto budgetIndex = budgetsByHolder_.find(id);
    if (!holder.retiring || budgetIndex == budgetsByHolder_.end()) {
      continue;
    }
    const auto missingWitnesses = missingReports(id, holder);
    for (const auto* budgetId : budgetIndex->second) {
      const auto& budget = budgets_.at(*budgetId);
      const auto* account = budget.findAccount(id);
      const auto held = account == nullptr ? Tokens{ 0 } : account->held();
      if (held > Tokens{ 0 }) {
        unreclaimed.push_back({ id, *budgetId, held, missingWitnesses });
      }
    }
  }
  return unreclaimed;
}

} // namespace figchute::ledger::detail
