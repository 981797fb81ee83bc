#include "ledger/QuotaManagerImpl.h"
#include "ledger/UnlockLimit.h"

#include <algorithm>

/** The part of the quota manager that unlocks its reserves while control is unreachable. */
namespace figchute::ledger {
namespace {

/** The time after which an unacknowledged unlock record is resent. The network delay between
    availability zones is about 1 ms. */
constexpr Duration kUnlockResendInterval{ 30'000 };
/** The expected demand of this time is unlocked at once. The rest stays in the reserve, which is
   not lost when this process fails. */
constexpr Duration kUnlockHorizon{ 2'000'000 };

} // namespace

bool QuotaManager::Impl::isDetached(Time now) const
{
  const bool detachTimeoutExpired = now >= lastContactAt_ + settings_.detachTimeout;
  return !settings_.usesWitnesses && detachTimeoutExpired &&
         (controlLost_ || !isControlReachable(now));
}

bool QuotaManager::Impl::isAllUnlockedConfirmed(
  const std::map<BudgetId, AccountTotals>& reported) const
{
  return std::all_of(accounts_.begin(), accounts_.end(), [&reported](const auto& item) {
    return item.second.unlocked <= item.second.confirmedUnlocked || reported.contains(item.first);
  });
}

ClockReading QuotaManager::Impl::reportableContact(
  const std::map<BudgetId, AccountTotals>& reported) const
{
  return isAllUnlockedConfirmed(reported) ? contact_ : ClockReading{};
}

Tokens QuotaManager::Impl::amountToUnlock(Time now,
                                          const BudgetId& id,
                                          const Account& account) const
{
  auto waitingAmount = waitingTokens(id);
  if (now < account.peerShortfallUntil) {
    waitingAmount += account.peerShortfall;
  }
  const auto neededAmount =
    account.demandWithin(now, settings_.demandWindow, kUnlockHorizon) + waitingAmount;
  // Unlocks tokens early, so that requests at a busy holder seldom wait for the witnesses.
  const bool belowHalf = 2 * account.available().count < neededAmount.count;
  const bool unlockNeeded = waitingAmount > account.available() || belowHalf;
  const auto shortfall = unlockNeeded ? neededAmount - account.available() : Tokens{};
  return std::clamp(shortfall, Tokens{ 0 }, account.unlockableAmount());
}

void QuotaManager::Impl::unlockReserves(Time now)
{
  if (!isDetached(now) || registeredWitnesses_.empty() || registerProposal_ != 0 || retired_ ||
      draining_) {
    pendingUnlock_.reset();
    return;
  }
  if (pendingUnlock_) {
    if (now >= pendingUnlock_->sentAt + kUnlockResendInterval) {
      sendUnlock(now);
    }
    return;
  }
  UnlockAttempt newUnlock;
  for (const auto& [id, account] : accounts_) {
    const auto amount = account.closing ? Tokens{} : amountToUnlock(now, id, account);
    if (amount > Tokens{ 0 }) {
      auto totals = account.totals(id);
      totals.unlocked += amount;
      newUnlock.record.record.totals.push_back(std::move(totals));
    }
  }
  if (newUnlock.record.record.totals.empty()) {
    return;
  }
  newUnlock.record.sequence = ++recordSequence_;
  newUnlock.record.record.holder = settings_.self;
  pendingUnlock_ = std::move(newUnlock);
  sendUnlock(now);
}

void QuotaManager::Impl::sendUnlock(Time now)
{
  pendingUnlock_->sentAt = now;
  for (const auto& witness : registeredWitnesses_) {
    if (!pendingUnlock_->acknowledged.contains(witness)) {
      outgoing_.push_back({ witness.process, pendingUnlock_->record });
    }
  }
}

void QuotaManager::Impl::handleUnlockAck(Time now, const WitnessAck& message)
{
  const bool expected =
    pendingUnlock_ && message.holder == settings_.self &&
    message.sequence == pendingUnlock_->record.sequence &&
    std::find(registeredWitnesses_.begin(), registeredWitnesses_.end(), message.witness) !=
      registeredWitnesses_.end();
  if (!expected) {
    return;
  }
  pendingUnlock_->acknowledged.insert(message.witness);
  if (pendingUnlock_->acknowledged.size() < registeredWitnesses_.size()) {
    return;
  }
  // A clock reading has arrived meanwhile, from which control may conclude that nothing was
  // unlocked within kMinDetachTime of it.
  if (now < lastContactAt_ + settings_.detachTimeout) {
    pendingUnlock_.reset();
    return;
  }
  const auto unlockedTotals = std::move(pendingUnlock_->record.record.totals);
  pendingUnlock_.reset();
  for (const auto& totals : unlockedTotals) {
    auto& account = accounts_.at(totals.budget);
    account.unlocked = std::max(account.unlocked, std::min(totals.unlocked, account.granted));
    markChanged(totals.budget, account);
    immediateSettleBudgets_.insert(totals.budget);
  }
  settleImmediately_ = true;
  admitWaiting(now);
}

} // namespace figchute::ledger
