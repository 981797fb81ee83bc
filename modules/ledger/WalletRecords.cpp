#include "ledger/WalletImpl.h"

#include <algorithm>

namespace figchute::ledger {
namespace {

/** The number of witnesses registered with control. With two, a holder can continue to record when
    one of them dies while control is unreachable. With more, each retirement would wait for more
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

void Wallet::Impl::markChanged(const BudgetId& id, Account& account)
{
  changedBudgets_.erase(account.changedClock);
  account.changedClock = ++recordClock_;
  changedBudgets_[account.changedClock] = id;
  account.dirty = true;
  dirtyBudgets_.insert(id);
  writeJournal(JournalAccount{ account.totals(id) });
}

void Wallet::Impl::awaitRecord(std::variant<RequestId, TransferKey> item)
{
  unrecorded_.push_back({ recordClock_, journalCount_, std::move(item) });
}

void Wallet::Impl::writeJournal(JournalRecord record)
{
  if (settings_.hasJournal) {
    pendingJournal_.push_back(std::move(record));
    ++journalCount_;
  }
}

void Wallet::Impl::journalSynced(Time now, std::uint64_t count)
{
  journalSynced_ = std::max(journalSynced_, count);
  releaseRecorded(now);
  registerIfNeeded(now);
}

void Wallet::Impl::confirmTotals(const BudgetId& id, Account& account, std::uint64_t clock)
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

bool Wallet::Impl::isLive(const HolderId& id) const
{
  return std::any_of(
    peers_.begin(), peers_.end(), [&id](const Peer& peer) { return peer.id == id && peer.live; });
}

bool Wallet::Impl::isEffectiveWitness(const HolderId& witness) const
{
  return contains(registeredWitnesses_, witness) &&
         (registerProposal_ == 0 || contains(proposedWitnesses_, witness));
}

bool Wallet::Impl::canRecord() const
{
  return !settings_.usesWitnesses ||
         (!registeredWitnesses_.empty() && (activeWitness_.has_value() || settings_.hasJournal));
}

std::vector<HolderId> Wallet::Impl::rotatedFromSelf(std::vector<HolderId> peers) const
{
  const auto& own = settings_.self.process;
  const auto first = std::find_if(
    peers.begin(), peers.end(), [&own](const HolderId& id) { return id.process > own; });
  std::rotate(peers.begin(), first, peers.end());
  return peers;
}

std::vector<HolderId> Wallet::Impl::witnessCandidates() const
{
  auto candidates = rotatedFromSelf(zonePeers());
  const auto own = settings_.self.process;
  for (const bool sameZone : { true, false }) {
    for (const auto& peer : peers_) {
      const bool usable = peer.control && peer.live && peer.id.process != own;
      if (usable && (peer.zone == settings_.zone) == sameZone && !contains(candidates, peer.id)) {
        candidates.push_back(peer.id);
      }
    }
  }
  return candidates;
}

bool Wallet::Impl::removable(const HolderId& witness, std::span<const HolderId> kept) const
{
  if (activeWitness_ == witness) {
    return false;
  }
  const auto state = witnessStates_.find(witness);
  const auto acknowledgedClock =
    state == witnessStates_.end() ? 0 : state->second.acknowledgedClock;
  const bool outdated =
    (changedBudgets_.empty() || changedBudgets_.begin()->first > acknowledgedClock) &&
    std::none_of(
      unsettledCharges_.begin(), unsettledCharges_.end(), [acknowledgedClock](const auto& item) {
        return item.second.clock <= acknowledgedClock;
      });
  const bool covered = std::any_of(kept.begin(), kept.end(), [&](const HolderId& other) {
    const auto found = witnessStates_.find(other);
    return contains(registeredWitnesses_, other) && found != witnessStates_.end() &&
           found->second.acknowledgedClock >= acknowledgedClock;
  });
  return outdated || covered;
}

std::vector<HolderId> Wallet::Impl::desiredWitnesses() const
{
  const auto candidates = witnessCandidates();
  const auto zone = zonePeers();
  std::vector<HolderId> chosen;
  const auto add = [&chosen](const HolderId& id) {
    if (chosen.size() < kWitnessCount && !contains(chosen, id)) {
      chosen.push_back(id);
    }
  };
  for (const auto& id : registeredWitnesses_) {
    if (contains(zone, id)) {
      add(id);
    }
  }
  std::for_each(zone.begin(), zone.end(), add);
  for (const auto& id : registeredWitnesses_) {
    if (contains(candidates, id)) {
      add(id);
    }
  }
  std::for_each(candidates.begin(), candidates.end(), add);
  auto desired = chosen;
  for (const auto& id : registeredWitnesses_) {
    if (!contains(chosen, id) && id != settings_.self && !removable(id, chosen)) {
      desired.push_back(id);
    }
  }
  if (settings_.hasJournal) {
    desired.push_back(settings_.self);
  }
  std::sort(desired.begin(), desired.end());
  return desired;
}

void Wallet::Impl::registerIfNeeded(Time now)
{
  const bool journalReady = !settings_.hasJournal || journalSynced_ > 0;
  if (registerProposal_ != 0 || now < nextRegisterAt_ || !journalReady || retired_ || draining_) {
    return;
  }
  auto desired = settings_.usesWitnesses ? desiredWitnesses() : reserveWitnesses();
  if (desired == registeredWitnesses_ && (registeredWithoutWitnesses_ || settings_.usesWitnesses)) {
    return;
  }
  // Control must have confirmed all unlocked tokens before other witnesses replace the ones that
  // recorded them.
  const bool unlockUnconfirmed =
    isRegistered() && (pendingUnlock_.has_value() || !allUnlockedConfirmed());
  if (settings_.usesWitnesses ? desired.empty() : unlockUnconfirmed) {
    return;
  }
  proposedWitnesses_ = std::move(desired);
  nextRegisterAt_ = now + kRegistrationInterval;
  lastContactAt_ = now;
  registerProposal_ = proposer_.propose(now,
                                        RegisterHolder{ settings_.self,
                                                        settings_.zone,
                                                        ++registrationSequence_,
                                                        proposedWitnesses_,
                                                        !settings_.usesWitnesses,
                                                        settings_.startedAt });
}

void Wallet::Impl::handleRegister(Time now, const RegisterResult& result)
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
  for (auto state = witnessStates_.begin(); state != witnessStates_.end();) {
    if (contains(registeredWitnesses_, state->first)) {
      ++state;
      continue;
    }
    for (auto& [id, account] : accounts_) {
      std::erase(account.recordedBy, state->first);
    }
    state = witnessStates_.erase(state);
  }
  chooseWitness(now);
  admitWaiting(now);
  requestGrants(now, waitingBudgets());
  requestInitialGrants(now);
  flushRecords(now);
}

void Wallet::Impl::setPeers(Time now, std::span<const Peer> peers)
{
  peers_.assign(peers.begin(), peers.end());
  std::sort(peers_.begin(), peers_.end(), [](const Peer& a, const Peer& b) { return a.id < b.id; });
  std::vector<ProcessId> controls;
  for (const auto& peer : peers_) {
    if (peer.control) {
      controls.push_back(peer.id.process);
    }
  }
  proposer_.setControls(std::move(controls));
  entryCount_ = static_cast<std::int64_t>(transferPeers().size()) + 1;
  chooseWitness(now);
  registerIfNeeded(now);
  flushRecords(now);
}

void Wallet::Impl::chooseWitness(Time now)
{
  if (!settings_.usesWitnesses) {
    return;
  }
  std::optional<HolderId> choice;
  int best = -1;
  for (const auto& id : registeredWitnesses_) {
    if (id == settings_.self || !isEffectiveWitness(id) || !isLive(id)) {
      continue;
    }
    const auto zone = zonePeers();
    const bool trusted = witnessStates_[id].suspectUntil <= now;
    const int score =
      (trusted ? 4 : 0) + (contains(zone, id) ? 2 : 0) + (activeWitness_ == id ? 1 : 0);
    if (score > best) {
      best = score;
      choice = id;
    }
  }
  activeWitness_ = choice;
}

bool Wallet::Impl::hasUnsentChanges(const WitnessState& state) const
{
  const auto covered =
    state.sent.empty() ? state.acknowledgedClock : state.sent.rbegin()->second.coveredClock;
  return (!changedBudgets_.empty() && changedBudgets_.rbegin()->first > covered) ||
         (!unsettledCharges_.empty() && unsettledCharges_.rbegin()->second.clock > covered);
}

void Wallet::Impl::flushRecords(Time now)
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

void Wallet::Impl::sendRecord(Time now, const HolderId& witness, WitnessState& state)
{
  WitnessRecord message;
  message.sequence = ++recordSequence_;
  message.record.holder = settings_.self;
  message.keyedSettledThrough = keyedSettledThrough_;
  // Only the active witness gets charges; the others get confirmations.
  const bool inUse = activeWitness_ == witness;
  const auto first =
    inUse ? changedBudgets_.upper_bound(state.acknowledgedClock) : changedBudgets_.end();
  for (auto at = first; at != changedBudgets_.end(); ++at) {
    auto& account = accounts_.at(at->second);
    message.record.totals.push_back(account.totals(at->second));
    state.confirmed.erase(at->second);
    if (!contains(account.recordedBy, witness)) {
      account.recordedBy.push_back(witness);
    }
  }
  for (const auto& [sequence, pending] : unsettledCharges_) {
    if (inUse && pending.clock > state.acknowledgedClock) {
      message.record.keyed.push_back(pending.charge);
    }
  }
  message.confirmed.assign(state.confirmed.begin(), state.confirmed.end());
  if (state.sent.empty()) {
    state.firstSentAt = now;
  }
  state.lastSentAt = now;
  state.sent[message.sequence] = { inUse ? recordClock_ : state.acknowledgedClock,
                                   message.confirmed };
  outgoing_.push_back({ witness.process, std::move(message) });
}

void Wallet::Impl::handle(Time now, const ProcessId& /*from*/, const WitnessAck& message)
{
  handleUnlockAck(now, message);
  const auto found = witnessStates_.find(message.witness);
  if (message.holder != settings_.self || found == witnessStates_.end()) {
    return;
  }
  auto& state = found->second;
  const auto sent = state.sent.find(message.sequence);
  if (sent == state.sent.end()) {
    return;
  }
  state.acknowledgedClock = std::max(state.acknowledgedClock, sent->second.coveredClock);
  state.suspectUntil = Time{};
  for (const auto& id : sent->second.confirmed) {
    const auto account = accounts_.find(id);
    if (state.confirmed.erase(id) > 0 && account != accounts_.end()) {
      std::erase(account->second.recordedBy, message.witness);
    }
  }
  state.sent.erase(state.sent.begin(), std::next(sent));
  releaseRecorded(now);
  flushRecords(now);
}

void Wallet::Impl::tickWitnesses(Time now)
{
  for (auto& [id, state] : witnessStates_) {
    if (!isEffectiveWitness(id) || !isLive(id)) {
      continue;
    }
    const bool unanswered = !state.sent.empty();
    const bool confirmationsDue =
      !unanswered && !state.confirmed.empty() && state.lastSentAt + kConfirmInterval <= now;
    const auto resend = activeWitness_ == id ? kRecordResendInterval : kConfirmInterval;
    if (confirmationsDue || (unanswered && state.lastSentAt + resend <= now)) {
      sendRecord(now, id, state);
    }
    if (unanswered && state.firstSentAt + kWitnessTimeout <= now && activeWitness_ == id) {
      state.suspectUntil = now + kSuspectTime;
      state.firstSentAt = now;
    }
  }
  chooseWitness(now);
  flushRecords(now);
  releaseRecorded(now);
}

void Wallet::Impl::releaseRecorded(Time now)
{
  std::uint64_t covered = 0;
  for (const auto& [id, state] : witnessStates_) {
    if (isEffectiveWitness(id)) {
      covered = std::max(covered, state.acknowledgedClock);
    }
  }
  while (!unrecorded_.empty()) {
    const auto& first = unrecorded_.front();
    const bool synced = !settings_.hasJournal || journalSynced_ >= first.journalCount;
    const bool witnessed = !settings_.usesWitnesses || covered >= first.clock ||
                           (settings_.hasJournal && !activeWitness_);
    if (!synced || !witnessed) {
      return;
    }
    const auto item = first.item;
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

void Wallet::Impl::recover(Time now, std::span<const JournalRecord> records)
{
  std::map<HolderId, std::map<BudgetId, AccountTotals>> totals;
  std::map<HolderId, std::map<std::uint64_t, KeyedCharge>> keyed;
  HolderId current;
  for (const auto& record : records) {
    if (const auto* start = std::get_if<JournalStart>(&record)) {
      current = start->holder;
      totals[current];
    } else if (const auto* account = std::get_if<JournalAccount>(&record)) {
      totals[current][account->totals.budget] = account->totals;
    } else if (const auto* charge = std::get_if<JournalKeyed>(&record)) {
      keyed[current][charge->charge.sequence] = charge->charge;
    } else if (const auto* settled = std::get_if<JournalSettled>(&record)) {
      auto& charges = keyed[current];
      charges.erase(charges.begin(), charges.upper_bound(settled->keyedThrough));
    } else if (const auto* closed = std::get_if<JournalClosed>(&record)) {
      totals[current].erase(closed->budget);
    } else if (const auto* retired = std::get_if<JournalRetired>(&record)) {
      totals.erase(retired->holder);
      keyed.erase(retired->holder);
    }
  }
  for (const auto& [holder, accountTotals] : totals) {
    if (holder == settings_.self) {
      continue;
    }
    auto& record = earlierRecords_[holder];
    record.holder = holder;
    for (const auto& [id, account] : accountTotals) {
      record.totals.push_back(account);
    }
    for (const auto& [sequence, charge] : keyed[holder]) {
      record.keyed.push_back(charge);
    }
    const auto proposal = proposer_.propose(now, Retire{ holder, holder, record });
    retireProposals_[proposal] = holder;
  }
}

std::vector<JournalRecord> Wallet::Impl::compactJournal() const
{
  std::vector<JournalRecord> records;
  for (const auto& [holder, record] : earlierRecords_) {
    records.emplace_back(JournalStart{ holder });
    for (const auto& account : record.totals) {
      records.emplace_back(JournalAccount{ account });
    }
    for (const auto& charge : record.keyed) {
      records.emplace_back(JournalKeyed{ charge });
    }
  }
  records.emplace_back(JournalStart{ settings_.self });
  records.emplace_back(JournalSettled{ keyedSettledThrough_ });
  for (const auto& [id, account] : accounts_) {
    if (account.changedClock > account.confirmedClock) {
      records.emplace_back(JournalAccount{ account.totals(id) });
    }
  }
  for (const auto& [sequence, pending] : unsettledCharges_) {
    records.emplace_back(JournalKeyed{ pending.charge });
  }
  return records;
}

} // namespace figchute::ledger
