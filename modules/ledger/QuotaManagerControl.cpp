#include "ledger/GrantSizing.h"
#include "ledger/QuotaManagerImpl.h"

#include <algorithm>

namespace figchute::ledger {

using detail::findOrAddTotal;

namespace {

/** How long unreserved tokens are returned at once after control reported a low budget. */
constexpr Duration kBudgetLowTime{ 1'000'000 };
/** The maximum number of unanswered grant requests of a holder. Further needs wait for a reply and
    are requested together. With one request for each need, a leader that had been unreachable got
    thousands of them at once, most of them for requests that no longer waited. */
constexpr std::size_t kMaxGrantsInFlight = 2;
/** The time that a reserve has to last. Entry processes are partitioned from control for up to 9 s,
    of which unlocked tokens cover the first 3 s. */
constexpr Duration kReserveTime{ 6'000'000 };
/** The longest pause between two grant requests for waiting requests. */
constexpr Duration kMaxGrantRequestPause{ 40'000 };
/** The pause before the next grant request after control refused one, for example because the
    holder is not registered. */
constexpr Duration kRefusedGrantPause{ 50'000 };
/** The minimum interval at which a holder requests an adjustment of all its reserves. */
constexpr Duration kMinReserveCheckInterval{ 2'000'000 };
/** The interval at which control gets such requests from all holders together. With more holders,
    each of them sends fewer. */
constexpr Duration kFleetReserveCheckInterval{ 25'000 };
/** The interval at which control gets periodic commands of one kind from all holders together. With
    more holders, each of them sends fewer. */
constexpr Duration kFleetCommandInterval{ 3'000 };
/** The interval at which all accounts are checked for idle tokens and for closing. */
constexpr Duration kMaintenanceInterval{ 500'000 };
/** The maximum number of items of each kind in one Settle. The totals of an account take about 60
    bytes, so a batch stays far below 512 KiB. */
constexpr std::size_t kMaxSettleItems = 1000;
/** The multiple of the expected demand that a busy holder keeps when it returns unused tokens. */
constexpr std::int64_t kExcessFactor = 2;
/** The expected demand covers at least this many requests of the recent size, because a holder with
    little traffic would otherwise request a grant for each request. */
constexpr std::int64_t kMinRequestsPerGrant = 4;

} // namespace

bool QuotaManager::Impl::hasWaitingRequests(const BudgetId& id) const
{
  return std::any_of(waiting_.begin(), waiting_.end(), [&id](const WaitingRequest& waitingRequest) {
    const auto& budgets = waitingRequest.reservation.budgets;
    return std::find(budgets.begin(), budgets.end(), id) != budgets.end();
  });
}

Tokens QuotaManager::Impl::waitingTokens(const BudgetId& id) const
{
  Tokens sum;
  for (const auto& waitingRequest : waiting_) {
    const auto& budgets = waitingRequest.reservation.budgets;
    if (std::find(budgets.begin(), budgets.end(), id) != budgets.end()) {
      sum += waitingRequest.reservation.bound;
    }
  }
  return sum;
}

std::vector<BudgetId> QuotaManager::Impl::waitingBudgets() const
{
  std::set<BudgetId> budgets;
  for (const auto& waitingRequest : waiting_) {
    budgets.insert(waitingRequest.reservation.budgets.begin(),
                   waitingRequest.reservation.budgets.end());
  }
  return { budgets.begin(), budgets.end() };
}

bool QuotaManager::Impl::mayRequestGrants(Time now) const
{
  return now >= lastGrantRequestAt_ + grantInterval_;
}

bool QuotaManager::Impl::maySettle(Time now) const
{
  return draining_ || isSettleRequested_ ||
         now >= lastSettleAt_ + kSettlePauseFactor * grantInterval_;
}

Duration QuotaManager::Impl::scaledToFleet(Duration interval) const
{
  return settings_.usesWitnesses ? interval
                                 : std::max(interval, kFleetCommandInterval * entryCount_);
}

Tokens QuotaManager::Impl::idleAmount(Time now, const Account& account) const
{
  const auto share = now < account.initialGrantUntil ? settings_.initialShare : settings_.idleShare;
  const auto fleetAmount = static_cast<double>(account.prepaid.count) * share;
  return Tokens{ static_cast<std::int64_t>(fleetAmount / static_cast<double>(entryCount_)) };
}

Tokens QuotaManager::Impl::expectedDemand(Time now, const Account& account) const
{
  const auto bound = settings_.usesWitnesses ? account.lastBound : account.largestBound;
  const auto expectedAmount =
    std::max(account.demandWithin(now, settings_.demandWindow, settings_.grantHorizon),
             Tokens{ kMinRequestsPerGrant * bound.count });
  return std::max(expectedAmount, idleAmount(now, account));
}

Tokens QuotaManager::Impl::stockAmount(Time now, const Account& account, Tokens waitingAmount) const
{
  if (settings_.usesWitnesses || account.isBudgetLow(now)) {
    return {};
  }
  const auto target =
    std::max(account.stockDemandWithin(now, settings_.demandWindow, settings_.stockHorizon),
             Tokens{ kMinRequestsPerGrant * account.largestBound.count });
  return detail::stockRequest({ std::max(Tokens{ 0 }, account.available() - waitingAmount),
                                target,
                                account.lastFree,
                                account.reserveAmount(),
                                account.prepaid });
}

std::optional<GrantItem> QuotaManager::Impl::makeGrantItem(Time now,
                                                           const BudgetId& id,
                                                           const Account& account,
                                                           GrantReason reason)
{
  if (account.grantProposal != 0 || account.closing) {
    return std::nullopt;
  }
  const auto available = account.available();
  Tokens waitingAmount;
  Tokens smallestShortfall;
  for (const auto& waitingRequest : waiting_) {
    const auto& budgets = waitingRequest.reservation.budgets;
    if (std::find(budgets.begin(), budgets.end(), id) == budgets.end()) {
      continue;
    }
    waitingAmount += waitingRequest.reservation.bound;
    const auto shortfall = waitingRequest.reservation.bound - available;
    if (shortfall > Tokens{ 0 } &&
        (smallestShortfall == Tokens{ 0 } || shortfall < smallestShortfall)) {
      smallestShortfall = shortfall;
    }
  }
  // A holder that reaches control also requests tokens for a peer that does not.
  if (now < account.peerShortfallUntil && account.peerShortfall > available) {
    waitingAmount += account.peerShortfall;
    smallestShortfall =
      smallestShortfall == Tokens{ 0 } ? account.peerShortfall - available : smallestShortfall;
  }
  if (smallestShortfall > Tokens{ 0 } && now < account.nextGrantRequestAt) {
    return std::nullopt;
  }
  const auto requested = std::max(Tokens{ 0 }, waitingAmount - available);
  Tokens demand;
  if (!account.isBudgetLow(now) &&
      (smallestShortfall > Tokens{ 0 } || now >= account.nextDemandRequestAt)) {
    const auto expectedAmount = expectedDemand(now, account);
    // The next grant is requested early, so that requests at a busy holder seldom wait.
    const auto referenceAmount =
      account.availableAfterGrant > Tokens{ 0 } ? account.availableAfterGrant : expectedAmount;
    // Without witnesses, the unlocked tokens have to last until the reserve may be unlocked, so
    // they are refilled at 3/4 of the last level rather than at 1/2.
    const bool belowRefillLevel = settings_.usesWitnesses
                                    ? 2 * available.count < referenceAmount.count
                                    : 4 * available.count < 3 * referenceAmount.count;
    if (requested > Tokens{ 0 } || belowRefillLevel) {
      demand = std::max(Tokens{ 0 }, expectedAmount - available);
    }
  }
  const auto stock = smallestShortfall > Tokens{ 0 } || now >= account.nextDemandRequestAt
                       ? stockAmount(now, account, waitingAmount)
                       : Tokens{ 0 };
  if (smallestShortfall == Tokens{ 0 } && demand == Tokens{ 0 } && stock == Tokens{ 0 } &&
      reason != GrantReason::reserveCheck) {
    return std::nullopt;
  }
  return GrantItem{ id,
                    ++grantSequence_,
                    (smallestShortfall == Tokens{ 0 } ? Tokens{ 0 } : requested) + stock,
                    smallestShortfall,
                    demand,
                    account.reserved };
}

void QuotaManager::Impl::requestGrants(Time now,
                                       std::span<const BudgetId> budgets,
                                       GrantReason reason)
{
  if (!isRegistered() || draining_ || handingOver_ || retired_) {
    return;
  }
  if (grantProposals_.size() >= kMaxGrantsInFlight || !mayRequestGrants(now)) {
    deferredGrantBudgets_.insert(budgets.begin(), budgets.end());
    return;
  }
  Grant command{ settings_.self, {}, {} };
  for (const auto& id : budgets) {
    if (const auto item = makeGrantItem(now, id, findOrOpenAccount(id), reason)) {
      command.items.push_back(*item);
    }
  }
  if (command.items.empty()) {
    return;
  }
  command.contact = reportableContact({});
  lastGrantRequestAt_ = now;
  const auto proposal = proposer_.propose(now, command);
  for (const auto& item : command.items) {
    accounts_.at(item.budget).grantProposal = proposal;
    grantProposals_[proposal].push_back(item.budget);
  }
}

void QuotaManager::Impl::handle(Time now, const ProcessId& from, const ProposeReply& message)
{
  if (message.clockReading.isValid()) {
    contact_ = message.clockReading;
    lastContactAt_ = now;
  }
  if (const auto reply = proposer_.receive(now, from, message)) {
    grantInterval_ =
      std::clamp(Duration{ message.grantIntervalMicros }, Duration{ 0 }, kMaxGrantInterval);
    handleReply(now, *reply);
  }
}

void QuotaManager::Impl::handle(Time now, const ProcessId& from, const ClockReply& message)
{
  if (message.holder == settings_.self) {
    contactClocks_.receive(from, message.clockReading);
    registerIfNeeded(now);
  }
}

void QuotaManager::Impl::handleReply(Time now, const Proposer::Reply& reply)
{
  if (const auto* grantResult = std::get_if<GrantResult>(&reply.result)) {
    handleGrant(now, reply.proposalId, *grantResult);
  }
  if (const auto* settleResult = std::get_if<SettleResult>(&reply.result)) {
    handleSettle(now, *settleResult);
  }
  if (const auto* registerResult = std::get_if<RegisterResult>(&reply.result)) {
    handleRegister(now, *registerResult);
  }
  const auto retireProposal = retireProposals_.find(reply.proposalId);
  if (retireProposal != retireProposals_.end()) {
    retired_ = retired_ || retireProposal->second == settings_.self;
    earlierRecords_.erase(retireProposal->second);
    writeJournal(JournalRetired{ retireProposal->second });
    retireProposals_.erase(retireProposal);
  }
}

bool QuotaManager::Impl::handleVerdict(Time now, const Verdict& verdict)
{
  if (verdict.ok()) {
    return true;
  }
  if (*verdict.error == ErrorKind::shuttingDown) {
    markRetired();
  }
  if (*verdict.error == ErrorKind::notFound) {
    registeredWitnesses_.clear();
    registeredWithoutWitnesses_ = false;
    nextRegisterAt_ = now;
    registerIfNeeded(now);
  }
  return false;
}

void QuotaManager::Impl::handleGrant(Time now, std::uint64_t proposal, const GrantResult& result)
{
  const bool grantAccepted = handleVerdict(now, result.verdict);
  for (const auto& id : grantProposals_[proposal]) {
    auto& account = accounts_.at(id);
    account.grantProposal = 0;
    account.nextDemandRequestAt = now + scaledToFleet(settings_.demandRequestInterval);
    account.nextGrantRequestAt = grantAccepted ? now : now + kRefusedGrantPause;
  }
  grantProposals_.erase(proposal);
  for (const auto& item : result.items) {
    auto& account = findOrOpenAccount(item.budget);
    account.granted = std::max(account.granted, item.granted);
    account.unlocked = std::max(account.unlocked, item.unlocked);
    account.confirmedUnlocked = std::max(account.confirmedUnlocked, item.unlocked);
    returnReserve(item.budget, account, std::min(item.excessReserve, account.reserveAmount()));
    account.budgetLowUntil = item.budgetLow ? now + kBudgetLowTime : Time{};
    account.lastFree = item.free;
    account.lastHeldByOthers = item.heldByOthers;
    account.lastGrantAt = now;
    account.richestPeers = item.richestHolders;
    returnExcessReserve(now, item.budget, account);
    if (!settings_.usesWitnesses) {
      account.availableAfterGrant = account.available();
    }
  }
  admitWaiting(now);
  for (const auto& item : result.items) {
    auto& account = accounts_.at(item.budget);
    if (hasWaitingRequests(item.budget)) {
      account.grantRequestPause =
        std::clamp(account.grantRequestPause + account.grantRequestPause / 2,
                   settings_.grantRetryInterval,
                   kMaxGrantRequestPause);
      account.nextGrantRequestAt = now + account.grantRequestPause;
    } else {
      account.grantRequestPause = Duration{ 0 };
    }
    markUncoveredRequests(now, item.budget);
    if (!settings_.usesWitnesses) {
      refuseUncoveredRequests(now, item.budget);
    }
    returnTokensIfBudgetLow(now, item.budget, account);
  }
  requestDeferredGrants(now);
  requestTransfers(now);
  sendSettle(now);
}

void QuotaManager::Impl::requestDeferredGrants(Time now)
{
  const auto deferred = std::exchange(deferredGrantBudgets_, {});
  const std::vector<BudgetId> budgets(deferred.begin(), deferred.end());
  requestGrants(now, budgets);
}

void QuotaManager::Impl::returnTokensIfBudgetLow(Time now, const BudgetId& id, Account& account)
{
  // Tokens returned while control is unreachable could not be granted to anyone, but kept tokens
  // can be transferred to peers.
  if (draining_) {
    account.unlocked = account.granted;
  }
  const bool returnRequired = draining_ || (account.isBudgetLow(now) && isControlReachable(now));
  if (returnRequired && account.available() > Tokens{ 0 } && !account.closing &&
      (draining_ || !hasWaitingRequests(id))) {
    returnTokens(id, account, account.available());
  }
}

void QuotaManager::Impl::returnTokens(const BudgetId& id, Account& account, Tokens amount)
{
  account.returned += amount;
  if (account.lastFree) {
    *account.lastFree += amount;
  }
  account.updateMaxGrantUsed();
  account.hasUnsettledTotals = true;
  unsettledBudgets_.insert(id);
  immediateSettleBudgets_.insert(id);
  settleImmediately_ = true;
}

void QuotaManager::Impl::returnExcessReserve(Time now, const BudgetId& id, Account& account)
{
  if (settings_.usesWitnesses) {
    return;
  }
  const auto demand = account.demandWithin(now, settings_.demandWindow, kReserveTime);
  returnReserve(
    id,
    account,
    detail::reserveToReturn(
      { account.reserveAmount(), demand, account.lastFree, account.prepaid, entryCount_ }));
}

void QuotaManager::Impl::returnReserve(const BudgetId& id, Account& account, Tokens amount)
{
  if (amount > Tokens{ 0 }) {
    account.unlocked += amount;
    returnTokens(id, account, amount);
  }
}

void QuotaManager::Impl::handle(Time now, const ProcessId& /*from*/, const Recall& message)
{
  if (message.holder != settings_.self || retired_) {
    return;
  }
  auto& account = findOrOpenAccount(message.budget);
  if (account.closing) {
    return;
  }
  isSettleRequested_ = true;
  returnUnreserved(now, message.budget);
}

void QuotaManager::Impl::returnUnreserved(Time now, const BudgetId& id)
{
  auto& account = findOrOpenAccount(id);
  account.budgetLowUntil = now + kBudgetLowTime;
  immediateSettleBudgets_.insert(id);
  unsettledBudgets_.insert(id);
  settleImmediately_ = true;
  account.unlocked = account.granted;
  // Nothing is kept for waiting requests: two holders that each keep a part of the tokens that
  // either needs would both refuse.
  if (account.available() > Tokens{ 0 }) {
    returnTokens(id, account, account.available());
  }
  sendSettle(now);
}

void QuotaManager::Impl::handleBudgetLowered(Time now, const BudgetId& budget)
{
  const auto accountEntry = accounts_.find(budget);
  const bool accountOpen =
    accountEntry != accounts_.end() && !accountEntry->second.closing && !retired_;
  if (accountOpen &&
      accountEntry->second.available() + accountEntry->second.reserveAmount() > Tokens{ 0 }) {
    returnUnreserved(now, budget);
  }
}

void QuotaManager::Impl::setBudgets(Time now, std::span<const PrepaidBudget> budgets)
{
  std::map<BudgetId, Tokens> prepaidAmounts;
  std::vector<BudgetId> raisedBudgets;
  for (const auto& [id, prepaid] : budgets) {
    prepaidAmounts[id] = prepaid;
    if (prepaid > findOrOpenAccount(id).prepaid) {
      raisedBudgets.push_back(id);
    }
  }
  std::vector<BudgetId> loweredBudgets;
  for (auto& [id, account] : accounts_) {
    const auto prepaidAmount = prepaidAmounts.find(id);
    const auto prepaid =
      prepaidAmount == prepaidAmounts.end() ? Tokens{ 0 } : prepaidAmount->second;
    if (prepaid < account.prepaid) {
      loweredBudgets.push_back(id);
    }
    if (prepaid > account.prepaid) {
      account.initialGrantUntil = now + settings_.initialGrantHold;
    }
    account.prepaid = prepaid;
    account.availableAfterGrant = Tokens{ 0 };
    account.lastFree.reset();
  }
  for (const auto& id : loweredBudgets) {
    handleBudgetLowered(now, id);
  }
  if (settings_.initialShare > 0) {
    requestGrants(now, raisedBudgets);
  }
}

void QuotaManager::Impl::requestInitialGrants(Time now)
{
  std::vector<BudgetId> budgets;
  for (const auto& [id, account] : accounts_) {
    if (idleAmount(now, account) > Tokens{ 0 }) {
      budgets.push_back(id);
    }
  }
  requestGrants(now, budgets);
}

void QuotaManager::Impl::sendSettle(Time now)
{
  if (settleInFlight_ || !isRegistered() || retired_ || !maySettle(now)) {
    return;
  }
  // A Settle contains the totals at its creation and delays the next one until it is answered, so
  // none is created while it could not arrive.
  if (!settings_.usesWitnesses && controlLost_) {
    return;
  }
  const bool batchDue = now >= nextSettleAt_ || draining_;
  if (!batchDue && !settleImmediately_) {
    return;
  }
  Settle settle{ settings_.self, settleSequence_ + 1, {}, {}, {}, {} };
  SettleInFlight inFlight{ 0, settle.sequence, {}, {}, {} };
  auto& pendingBudgets = batchDue ? unsettledBudgets_ : immediateSettleBudgets_;
  while (!pendingBudgets.empty() && settle.totals.size() < kMaxSettleItems) {
    const auto id = *pendingBudgets.begin();
    auto& account = accounts_.at(id);
    settle.totals.push_back(account.unconfirmedTotals(id));
    inFlight.clocks[id] = account.changedClock;
    inFlight.totals[id] = settle.totals.back();
    account.hasUnsettledTotals = false;
    account.inSettleInFlight = true;
    unsettledBudgets_.erase(id);
    immediateSettleBudgets_.erase(id);
  }
  if (batchDue) {
    for (const auto& [sequence, unsettledCharge] : unsettledCharges_) {
      if (settle.keyedCharges.size() < kMaxSettleItems) {
        settle.keyedCharges.push_back(unsettledCharge.charge);
      }
    }
    addClosableAccounts(settle);
    nextSettleAt_ = now + scaledToFleet(settings_.settleInterval);
  }
  settleImmediately_ = !immediateSettleBudgets_.empty();
  if (settle.totals.empty() && settle.keyedCharges.empty() && settle.closingBudgets.empty()) {
    return;
  }
  settle.contact = reportableContact(inFlight.totals);
  lastSettleAt_ = now;
  isSettleRequested_ = false;
  ++settleSequence_;
  inFlight.closingBudgets = settle.closingBudgets;
  inFlight.proposal = proposer_.propose(now, settle);
  settleInFlight_ = std::move(inFlight);
}

void QuotaManager::Impl::addClosableAccounts(Settle& settle)
{
  for (auto& [id, account] : accounts_) {
    const bool journalSynced =
      !settings_.hasJournal || journalSyncedCount_ >= account.closeAfterJournalCount;
    if (account.closing && journalSynced && settle.closingBudgets.size() < kMaxSettleItems) {
      settle.closingBudgets.push_back(id);
      account.inSettleInFlight = true;
    }
  }
}

void QuotaManager::Impl::handleSettle(Time now, const SettleResult& result)
{
  if (!settleInFlight_ || settleInFlight_->sequence != result.sequence) {
    return;
  }
  const auto inFlight = *std::exchange(settleInFlight_, std::nullopt);
  const bool totalsProcessed =
    handleVerdict(now, result.verdict) || *result.verdict.error == ErrorKind::badRequest;
  for (const auto& [id, clock] : inFlight.clocks) {
    auto& account = accounts_.at(id);
    account.inSettleInFlight = false;
    // Control ignores the totals of a budget that it does not have yet, so the transfers in a
    // report that it refused are reported again.
    if (result.verdict.ok()) {
      account.confirmTransfers(inFlight.totals.at(id));
    }
    if (totalsProcessed) {
      markTotalsConfirmed(id, account, clock);
      account.confirmedUnlocked =
        std::max(account.confirmedUnlocked, inFlight.totals.at(id).unlocked);
    } else {
      unsettledBudgets_.insert(id);
    }
  }
  handleBills(now, result.bills);
  for (const auto& finalTransfer : result.finalTransfers) {
    handleFinalTransfer(finalTransfer);
  }
  for (const auto& id : inFlight.closingBudgets) {
    auto& account = accounts_.at(id);
    account.inSettleInFlight = false;
    account.closing = false;
    if (std::find(result.closed.begin(), result.closed.end(), id) != result.closed.end()) {
      accounts_.erase(id);
    }
  }
  admitWaiting(now);
  requestGrants(now, waitingBudgets());
  sendSettle(now);
}

void QuotaManager::Impl::handleBills(Time now, const std::vector<KeyedBill>& bills)
{
  for (const auto& bill : bills) {
    const auto chargeEntry = unsettledCharges_.find(bill.sequence);
    if (chargeEntry == unsettledCharges_.end()) {
      continue;
    }
    const auto charge = chargeEntry->second.charge;
    unsettledCharges_.erase(chargeEntry);
    settledKeyedSequence_ = bill.sequence;
    for (std::size_t i = 0; i < charge.budgets.size() && i < bill.charged.size(); ++i) {
      auto& account = accounts_.at(charge.budgets[i]);
      account.unsettledKeyed -= charge.amount;
      account.settledKeyed += bill.charged[i];
      returnTokensIfBudgetLow(now, charge.budgets[i], account);
    }
  }
  if (!bills.empty()) {
    writeJournal(JournalSettled{ settledKeyedSequence_ });
  }
}

void QuotaManager::Impl::handleFinalTransfer(const FinalTransfer& finalTransfer)
{
  auto& account = findOrOpenAccount(finalTransfer.budget);
  if (finalTransfer.to == settings_.self) {
    auto& total = findOrAddTotal(account.transfersIn, finalTransfer.from);
    total = std::max(total, finalTransfer.total);
  }
  if (finalTransfer.from == settings_.self) {
    findOrAddTotal(account.transfersOut, finalTransfer.to) = finalTransfer.total;
    outTransfers_.erase({ finalTransfer.budget, finalTransfer.to });
  }
  markChanged(finalTransfer.budget, account);
}

void QuotaManager::Impl::maintainAccounts(Time now)
{
  if (now < lastMaintenanceAt_ + kMaintenanceInterval) {
    return;
  }
  lastMaintenanceAt_ = now;
  for (auto& [id, account] : accounts_) {
    maintainAccountBalance(now, id, account);
  }
  checkReserves(now);
}

void QuotaManager::Impl::checkReserves(Time now)
{
  const bool mayHaveReserves = !settings_.usesWitnesses && !registeredWitnesses_.empty();
  if (!mayHaveReserves || now < nextReserveCheckAt_ || !isControlReachable(now)) {
    return;
  }
  std::vector<BudgetId> budgets;
  for (const auto& [id, account] : accounts_) {
    if (account.prepaid > Tokens{ 0 } && !account.isBudgetLow(now)) {
      budgets.push_back(id);
    }
  }
  requestGrants(now, budgets, GrantReason::reserveCheck);
  nextReserveCheckAt_ =
    now + std::max(kMinReserveCheckInterval, kFleetReserveCheckInterval * entryCount_);
}

void QuotaManager::Impl::maintainAccountBalance(Time now, const BudgetId& id, Account& account)
{
  if (canCloseAccount(now, id, account)) {
    account.closing = true;
    writeJournal(JournalClosed{ id });
    account.closeAfterJournalCount = journalCount_;
    return;
  }
  if (account.closing || hasWaitingRequests(id) || !isControlReachable(now)) {
    return;
  }
  const bool idle = account.lastReservationAt + settings_.idleTimeout <= now;
  const auto keptAmount =
    idle ? idleAmount(now, account) : Tokens{ kExcessFactor * expectedDemand(now, account).count };
  if (account.available().count > 2 * keptAmount.count && account.available() > Tokens{ 0 }) {
    returnTokens(id, account, account.available() - keptAmount);
  }
}

bool QuotaManager::Impl::canCloseAccount(Time now, const BudgetId& id, const Account& account) const
{
  const bool isIdle = account.lastReservationAt + settings_.idleTimeout <= now;
  const bool nothingInFlight = !account.closing && !account.inSettleInFlight &&
                               !unsettledBudgets_.contains(id) && account.grantProposal == 0 &&
                               account.recordedBy.empty() &&
                               account.changedClock <= account.confirmedClock;
  const bool isEmpty = account.held() == Tokens{ 0 } && account.reserved == Tokens{ 0 } &&
                       account.unsettledKeyed == Tokens{ 0 } && account.prepaid == Tokens{ 0 } &&
                       account.transfersIn.empty() && account.transfersOut.empty();
  return isIdle && nothingInFlight && isEmpty && !hasWaitingRequests(id);
}

} // namespace figchute::ledger
