#include "ledger/QuotaManagerImpl.h"

#include <algorithm>

namespace figchute::ledger {
namespace {

/** The number of witnesses registered with control. With two, a holder can continue to record when
    one of them fails while control is unreachable. With more, each retirement would wait for more
    reports. */
constexpr std::size_t kWitnessCount = 2;
/** The time after which an unacknowledged record is resent. The network delay between availability
    zones is about 1 ms. */
constexpr Duration kRecordResendInterval{ 20'000 };
/** The time without an acknowledgement after which another witness is preferred. */
constexpr Duration kWitnessTimeout{ 120'000 };
/** How long a witness that did not answer in time is avoided. */
constexpr Duration kSuspectTime{ 2'000'000 };
/** The interval at which confirmations are sent when there are no charges to send them with. */
constexpr Duration kConfirmInterval{ 1'000'000 };
/** The minimum time between two registrations. */
constexpr Duration kRegistrationInterval{ 1'000'000 };

bool contains(std::span<const HolderId> ids, const HolderId& id)
{
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

void QuotaManager::Impl::markChanged(const BudgetId& id, Account& account)
{
  changedBudgets_.erase(account.changedClock);
  account.changedClock = ++recordClock_;
  changedBudgets_[account.changedClock] = id;
  account.hasUnsettledTotals = true;
  unsettledBudgets_.insert(id);
  writeJournal(JournalAccount{ account.totals(id) });
}

void QuotaManager::Impl::queueUntilRecorded(std::variant<RequestId, TransferKey> item)
{
  unrecorded_.push_back({ recordClock_, journalCount_, std::move(item) });
}

void QuotaManager::Impl::writeJournal(JournalRecord record)
{
  if (settings_.hasJournal) {
    pendingJournal_.push_back(std::move(record));
    ++journalCount_;
  }
}

void QuotaManager::Impl::journalSynced(Time now, std::uint64_t count)
{
  journalSyncedCount_ = std::max(journalSyncedCount_, count);
  processRecordedItems(now);
  registerIfNeeded(now);
}

void QuotaManager::Impl::markTotalsConfirmed(const BudgetId& id,
                                             Account& account,
                                             std::uint64_t clock)
{
  account.confirmedClock = std::max(account.confirmedClock, clock);
  if (account.changedClock > account.confirmedClock) {
    return;
  }
  changedBudgets_.erase(account.changedClock);
  for (const auto& witness : account.recordedBy) {
    witnessStates_[witness].confirmed.insert(id);
  }
}

bool QuotaManager::Impl::isEffectiveWitness(const HolderId& witness) const
{
  return contains(registeredWitnesses_, witness) &&
         (registerProposal_ == 0 || contains(proposedWitnesses_, witness));
}

bool QuotaManager::Impl::canRecord() const
{
  return !settings_.usesWitnesses ||
         (!registeredWitnesses_.empty() && (activeWitness_.has_value() || settings_.hasJournal));
}

bool QuotaManager::Impl::canReplaceWitness(const HolderId& witness,
                                           std::span<const HolderId> keptWitnesses) const
{
  if (activeWitness_ == witness) {
    return false;
  }
  const auto witnessState = witnessStates_.find(witness);
  const auto acknowledgedClock =
    witnessState == witnessStates_.end() ? 0 : witnessState->second.acknowledgedClock;
  const bool recordsOutdated =
    (changedBudgets_.empty() || changedBudgets_.begin()->first > acknowledgedClock) &&
    std::none_of(
      unsettledCharges_.begin(), unsettledCharges_.end(), [acknowledgedClock](const auto& item) {
        return item.second.clock <= acknowledgedClock;
      });
  const bool coveredByOther =
    std::any_of(keptWitnesses.begin(), keptWitnesses.end(), [&](const HolderId& other) {
      const auto otherState = witnessStates_.find(other);
      return contains(registeredWitnesses_, other) && otherState != witnessStates_.end() &&
             otherState->second.acknowledgedClock >= acknowledgedClock;
    });
  return recordsOutdated || coveredByOther;
}

std::vector<HolderId> QuotaManager::Impl::selectWitnesses() const
{
  const auto candidates = peers_.witnessCandidates();
  const auto peersInZone = peers_.zoneEntries();
  std::vector<HolderId> chosenWitnesses;
  const auto addWitness = [&chosenWitnesses](const HolderId& id) {
    if (chosenWitnesses.size() < kWitnessCount && !contains(chosenWitnesses, id)) {
      chosenWitnesses.push_back(id);
    }
  };
  for (const auto& id : registeredWitnesses_) {
    if (contains(peersInZone, id)) {
      addWitness(id);
    }
  }
  std::for_each(peersInZone.begin(), peersInZone.end(), addWitness);
  for (const auto& id : registeredWitnesses_) {
    if (contains(candidates, id)) {
      addWitness(id);
    }
  }
  std::for_each(candidates.begin(), candidates.end(), addWitness);
  auto desired = chosenWitnesses;
  for (const auto& id : registeredWitnesses_) {
    if (!contains(chosenWitnesses, id) && id != settings_.self &&
        !canReplaceWitness(id, chosenWitnesses)) {
      desired.push_back(id);
    }
  }
  if (settings_.hasJournal) {
    desired.push_back(settings_.self);
  }
  std::sort(desired.begin(), desired.end());
  return desired;
}

void QuotaManager::Impl::registerIfNeeded(Time now)
{
  const bool journalReady = !settings_.hasJournal || journalSyncedCount_ > 0;
  if (registerProposal_ != 0 || now < nextRegisterAt_ || !journalReady || retired_ || draining_) {
    return;
  }
  const auto reserveWitnesses = peers_.reserveWitnesses();
  auto newWitnesses = settings_.usesWitnesses
                        ? selectWitnesses()
                        : std::vector(reserveWitnesses.begin(), reserveWitnesses.end());
  if (newWitnesses == registeredWitnesses_ &&
      (registeredWithoutWitnesses_ || settings_.usesWitnesses)) {
    return;
  }
  // Control must have confirmed all unlocked tokens before other witnesses replace the ones that
  // recorded them.
  const bool unlockUnconfirmed =
    isRegistered() && (pendingUnlock_.has_value() || !isAllUnlockedConfirmed({}));
  if (settings_.usesWitnesses ? newWitnesses.empty() : unlockUnconfirmed) {
    return;
  }
  if (!settings_.usesWitnesses && !contactClocks_.isComplete(now)) {
    return;
  }
  proposedWitnesses_ = std::move(newWitnesses);
  nextRegisterAt_ = now + kRegistrationInterval;
  registerProposal_ = proposer_.propose(now,
                                        RegisterHolder{ settings_.self,
                                                        settings_.zone,
                                                        ++registrationSequence_,
                                                        proposedWitnesses_,
                                                        !settings_.usesWitnesses,
                                                        contactClocks_.readings() });
}

void QuotaManager::Impl::handleRegister(Time now, const RegisterResult& result)
{
  if (result.sequence != registrationSequence_) {
    return;
  }
  registerProposal_ = 0;
  if (!handleVerdict(now, result.verdict)) {
    return;
  }
  registeredWitnesses_ = proposedWitnesses_;
  registeredWithoutWitnesses_ = !settings_.usesWitnesses;
  for (auto witnessState = witnessStates_.begin(); witnessState != witnessStates_.end();) {
    if (contains(registeredWitnesses_, witnessState->first)) {
      ++witnessState;
      continue;
    }
    for (auto& [id, account] : accounts_) {
      std::erase(account.recordedBy, witnessState->first);
    }
    witnessState = witnessStates_.erase(witnessState);
  }
  chooseActiveWitness(now);
  admitWaiting(now);
  requestGrants(now, waitingBudgets());
  requestInitialGrants(now);
  flushRecords(now);
}

void QuotaManager::Impl::setPeers(Time now, std::span<const Peer> peers)
{
  peers_.set(peers);
  std::vector<ProcessId> controls(peers_.controls().begin(), peers_.controls().end());
  if (!settings_.usesWitnesses) {
    contactClocks_.setControls(now, controls);
  }
  proposer_.setControls(std::move(controls));
  entryCount_ = static_cast<std::int64_t>(peers_.transferPeers().size()) + 1;
  dropTransfersToReplaced();
  chooseActiveWitness(now);
  registerIfNeeded(now);
  flushRecords(now);
}

void QuotaManager::Impl::chooseActiveWitness(Time now)
{
  if (!settings_.usesWitnesses) {
    return;
  }
  std::optional<HolderId> bestWitness;
  int bestScore = -1;
  for (const auto& id : registeredWitnesses_) {
    if (id == settings_.self || !isEffectiveWitness(id) || !peers_.isLive(id)) {
      continue;
    }
    const auto peersInZone = peers_.zoneEntries();
    const bool trusted = witnessStates_[id].suspectUntil <= now;
    const int score =
      (trusted ? 4 : 0) + (contains(peersInZone, id) ? 2 : 0) + (activeWitness_ == id ? 1 : 0);
    if (score > bestScore) {
      bestScore = score;
      bestWitness = id;
    }
  }
  activeWitness_ = bestWitness;
}

bool QuotaManager::Impl::hasUnsentChanges(const WitnessState& state) const
{
  const auto sentClock =
    state.sent.empty() ? state.acknowledgedClock : state.sent.rbegin()->second.coveredClock;
  return (!changedBudgets_.empty() && changedBudgets_.rbegin()->first > sentClock) ||
         (!unsettledCharges_.empty() && unsettledCharges_.rbegin()->second.clock > sentClock);
}

void QuotaManager::Impl::flushRecords(Time now)
{
  if (!activeWitness_ || !isEffectiveWitness(*activeWitness_)) {
    return;
  }
  auto& state = witnessStates_[*activeWitness_];
  // Only one record is in flight at a time. Charges made meanwhile are sent together in the next.
  if (state.sent.empty() && hasUnsentChanges(state)) {
    sendRecord(now, *activeWitness_, state);
  }
}

void QuotaManager::Impl::sendRecord(Time now, const HolderId& witness, WitnessState& state)
{
  WitnessRecord message;
  message.sequence = ++recordSequence_;
  message.record.holder = settings_.self;
  message.settledKeyedSequence = settledKeyedSequence_;
  // Only the active witness gets charges; the others get confirmations.
  const bool isActiveWitness = activeWitness_ == witness;
  const auto firstChange =
    isActiveWitness ? changedBudgets_.upper_bound(state.acknowledgedClock) : changedBudgets_.end();
  for (auto change = firstChange; change != changedBudgets_.end(); ++change) {
    auto& account = accounts_.at(change->second);
    message.record.totals.push_back(account.totals(change->second));
    state.confirmed.erase(change->second);
    if (!contains(account.recordedBy, witness)) {
      account.recordedBy.push_back(witness);
    }
  }
  for (const auto& [sequence, unsettledCharge] : unsettledCharges_) {
    if (isActiveWitness && unsettledCharge.clock > state.acknowledgedClock) {
      message.record.keyedCharges.push_back(unsettledCharge.charge);
    }
  }
  message.confirmed.assign(state.confirmed.begin(), state.confirmed.end());
  if (state.sent.empty()) {
    state.firstSentAt = now;
  }
  state.lastSentAt = now;
  state.sent[message.sequence] = { isActiveWitness ? recordClock_ : state.acknowledgedClock,
                                   message.confirmed };
  outgoing_.push_back({ witness.process, std::move(message) });
}

void QuotaManager::Impl::handle(Time now, const ProcessId& /*from*/, const WitnessAck& message)
{
  handleUnlockAck(now, message);
  const auto witnessState = witnessStates_.find(message.witness);
  if (message.holder != settings_.self || witnessState == witnessStates_.end()) {
    return;
  }
  auto& state = witnessState->second;
  const auto sentRecord = state.sent.find(message.sequence);
  if (sentRecord == state.sent.end()) {
    return;
  }
  state.acknowledgedClock = std::max(state.acknowledgedClock, sentRecord->second.coveredClock);
  state.suspectUntil = Time{};
  for (const auto& id : sentRecord->second.confirmed) {
    const auto accountEntry = accounts_.find(id);
    if (state.confirmed.erase(id) > 0 && accountEntry != accounts_.end()) {
      std::erase(accountEntry->second.recordedBy, message.witness);
    }
  }
  state.sent.erase(state.sent.begin(), std::next(sentRecord));
  processRecordedItems(now);
  flushRecords(now);
}

void QuotaManager::Impl::tickWitnesses(Time now)
{
  for (auto& [id, state] : witnessStates_) {
    if (!isEffectiveWitness(id) || !peers_.isLive(id)) {
      continue;
    }
    const bool awaitingAck = !state.sent.empty();
    const bool confirmationsDue =
      !awaitingAck && !state.confirmed.empty() && state.lastSentAt + kConfirmInterval <= now;
    const auto resendInterval = activeWitness_ == id ? kRecordResendInterval : kConfirmInterval;
    if (confirmationsDue || (awaitingAck && state.lastSentAt + resendInterval <= now)) {
      sendRecord(now, id, state);
    }
    if (awaitingAck && state.firstSentAt + kWitnessTimeout <= now && activeWitness_ == id) {
      state.suspectUntil = now + kSuspectTime;
      state.firstSentAt = now;
    }
  }
  chooseActiveWitness(now);
  flushRecords(now);
  processRecordedItems(now);
}

void QuotaManager::Impl::processRecordedItems(Time now)
{
  std::uint64_t coveredClock = 0;
  for (const auto& [id, state] : witnessStates_) {
    if (isEffectiveWitness(id)) {
      coveredClock = std::max(coveredClock, state.acknowledgedClock);
    }
  }
  while (!unrecorded_.empty()) {
    const auto& firstItem = unrecorded_.front();
    const bool synced = !settings_.hasJournal || journalSyncedCount_ >= firstItem.journalCount;
    const bool recordedAtWitness = !settings_.usesWitnesses || coveredClock >= firstItem.clock ||
                                   (settings_.hasJournal && !activeWitness_);
    if (!synced || !recordedAtWitness) {
      return;
    }
    const auto item = firstItem.item;
    unrecorded_.pop_front();
    if (const auto* request = std::get_if<RequestId>(&item)) {
      recordedCharges_.insert(*request);
    }
    if (const auto* transferKey = std::get_if<TransferKey>(&item)) {
      const auto transfer = outTransfers_.find(*transferKey);
      if (transfer != outTransfers_.end()) {
        transfer->second.recorded = true;
        sendTransfer(now, *transferKey, transfer->second);
      }
    }
  }
}

void QuotaManager::Impl::recover(Time now, std::span<const JournalRecord> records)
{
  std::map<HolderId, std::map<BudgetId, AccountTotals>> totals;
  std::map<HolderId, std::map<std::uint64_t, KeyedCharge>> keyedCharges;
  HolderId currentHolder;
  for (const auto& record : records) {
    if (const auto* startRecord = std::get_if<JournalStart>(&record)) {
      currentHolder = startRecord->holder;
      totals[currentHolder];
    } else if (const auto* accountRecord = std::get_if<JournalAccount>(&record)) {
      totals[currentHolder][accountRecord->totals.budget] = accountRecord->totals;
    } else if (const auto* chargeRecord = std::get_if<JournalKeyed>(&record)) {
      keyedCharges[currentHolder][chargeRecord->charge.sequence] = chargeRecord->charge;
    } else if (const auto* settledRecord = std::get_if<JournalSettled>(&record)) {
      auto& charges = keyedCharges[currentHolder];
      charges.erase(charges.begin(), charges.upper_bound(settledRecord->settledKeyedSequence));
    } else if (const auto* closedRecord = std::get_if<JournalClosed>(&record)) {
      totals[currentHolder].erase(closedRecord->budget);
    } else if (const auto* retiredRecord = std::get_if<JournalRetired>(&record)) {
      totals.erase(retiredRecord->holder);
      keyedCharges.erase(retiredRecord->holder);
    }
  }
  for (const auto& [holder, accountTotals] : totals) {
    if (holder == settings_.self) {
      continue;
    }
    auto& record = earlierRecords_[holder];
    record.holder = holder;
    for (const auto& [id, budgetTotals] : accountTotals) {
      record.totals.push_back(budgetTotals);
    }
    for (const auto& [sequence, charge] : keyedCharges[holder]) {
      record.keyedCharges.push_back(charge);
    }
    const auto proposal = proposer_.propose(now, Retire{ holder, holder, record });
    retireProposals_[proposal] = holder;
  }
}

std::vector<JournalRecord> QuotaManager::Impl::compactJournal() const
{
  std::vector<JournalRecord> records;
  for (const auto& [holder, record] : earlierRecords_) {
    records.emplace_back(JournalStart{ holder });
    for (const auto& account : record.totals) {
      records.emplace_back(JournalAccount{ account });
    }
    for (const auto& charge : record.keyedCharges) {
      records.emplace_back(JournalKeyed{ charge });
    }
  }
  records.emplace_back(JournalStart{ settings_.self });
  records.emplace_back(JournalSettled{ settledKeyedSequence_ });
  for (const auto& [id, account] : accounts_) {
    if (account.changedClock > account.confirmedClock) {
      records.emplace_back(JournalAccount{ account.totals(id) });
    }
  }
  for (const auto& [sequence, unsettledCharge] : unsettledCharges_) {
    records.emplace_back(JournalKeyed{ unsettledCharge.charge });
  }
  return records;
}

} // namespace figchute::ledger
