#include "ledger/WalletImpl.h"

#include <algorithm>

namespace figchute::ledger {
namespace {

/** Witnesses registered with control. With two, a holder keeps recording when one of them dies
   while control is out of reach; more would make each retirement wait for more reports. */
constexpr std::size_t kWitnesses = 2;
/** An unacknowledged record is sent again after this time; zones are about 1 ms apart. */
constexpr Duration kRecordResend{ 20'000 };
/** A witness that acknowledged nothing for this time is passed over. */
constexpr Duration kWitnessTimeout{ 120'000 };
/** A witness that was passed over is tried again after this time. */
constexpr Duration kSuspectTime{ 2'000'000 };
/** Confirmations without a charge to carry them are sent in this interval. */
constexpr Duration kConfirmInterval{ 1'000'000 };
/** Pause between two registrations. */
constexpr Duration kRegistrationPause{ 1'000'000 };

bool contains(std::span<const HolderId> ids, const HolderId& id)
{
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

} // namespace

void Wallet::Impl::touch(const BudgetId& id, Account& account)
{
  changes_.erase(account.changed);
  account.changed = ++clock_;
  changes_[account.changed] = id;
  account.dirty = true;
  dirty_.insert(id);
  writeJournal(JournalAccount{ account.totals(id) });
}

void Wallet::Impl::await(std::variant<RequestId, TransferName> what)
{
  unrecorded_.push_back({ clock_, journalCount_, std::move(what) });
}

void Wallet::Impl::writeJournal(JournalRecord record)
{
  if (settings_.hasJournal) {
    journalOut_.push_back(std::move(record));
    ++journalCount_;
  }
}

void Wallet::Impl::journalSynced(Time now, std::uint64_t count)
{
  journalSynced_ = std::max(journalSynced_, count);
  popRecorded(now);
  registerIfNeeded(now);
}

void Wallet::Impl::confirmLine(const BudgetId& id, Account& account, std::uint64_t clock)
{
  account.confirmed = std::max(account.confirmed, clock);
  if (account.changed > account.confirmed) {
    return;
  }
  changes_.erase(account.changed);
  for (const auto& witness : account.recordedAt) {
    links_[witness].confirmed.insert(id);
  }
}

bool Wallet::Impl::isLive(const HolderId& id) const
{
  return std::any_of(
    peers_.begin(), peers_.end(), [&id](const Peer& peer) { return peer.id == id && peer.live; });
}

bool Wallet::Impl::counts(const HolderId& witness) const
{
  return contains(registered_, witness) && (registerProposal_ == 0 || contains(proposed_, witness));
}

bool Wallet::Impl::canRecord() const
{
  return !settings_.witnesses ||
         (!registered_.empty() && (active_.has_value() || settings_.hasJournal));
}

std::vector<HolderId> Wallet::Impl::fromOwnName(std::vector<HolderId> peers) const
{
  const auto& own = settings_.self.process;
  const auto first = std::find_if(
    peers.begin(), peers.end(), [&own](const HolderId& id) { return id.process > own; });
  std::rotate(peers.begin(), first, peers.end());
  return peers;
}

std::vector<HolderId> Wallet::Impl::witnessCandidates() const
{
  auto candidates = fromOwnName(zonePeers());
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
  if (active_ == witness) {
    return false;
  }
  const auto link = links_.find(witness);
  const auto acked = link == links_.end() ? 0 : link->second.acked;
  const bool outdated = (changes_.empty() || changes_.begin()->first > acked) &&
                        std::none_of(keyed_.begin(), keyed_.end(), [acked](const auto& item) {
                          return item.second.clock <= acked;
                        });
  const bool covered = std::any_of(kept.begin(), kept.end(), [&](const HolderId& other) {
    const auto found = links_.find(other);
    return contains(registered_, other) && found != links_.end() && found->second.acked >= acked;
  });
  return outdated || covered;
}

std::vector<HolderId> Wallet::Impl::desiredWitnesses() const
{
  const auto candidates = witnessCandidates();
  const auto zone = zonePeers();
  std::vector<HolderId> chosen;
  const auto add = [&chosen](const HolderId& id) {
    if (chosen.size() < kWitnesses && !contains(chosen, id)) {
      chosen.push_back(id);
    }
  };
  for (const auto& id : registered_) {
    if (contains(zone, id)) {
      add(id);
    }
  }
  std::for_each(zone.begin(), zone.end(), add);
  for (const auto& id : registered_) {
    if (contains(candidates, id)) {
      add(id);
    }
  }
  std::for_each(candidates.begin(), candidates.end(), add);
  auto desired = chosen;
  for (const auto& id : registered_) {
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
  if (registerProposal_ != 0 || now < registerAt_ || !journalReady || retired_ || draining_) {
    return;
  }
  auto desired = settings_.witnesses ? desiredWitnesses() : reserveWitnesses();
  if (desired == registered_ && (registeredAlone_ || settings_.witnesses)) {
    return;
  }
  // Control must know what the present witnesses know before it asks others in their place.
  const bool busy = registered() && (opening_.has_value() || !openedConfirmed());
  if (settings_.witnesses ? desired.empty() : busy) {
    return;
  }
  proposed_ = std::move(desired);
  registerAt_ = now + kRegistrationPause;
  contactAt_ = now;
  registerProposal_ = proposer_.propose(now,
                                        RegisterHolder{ settings_.self,
                                                        settings_.zone,
                                                        ++registration_,
                                                        proposed_,
                                                        !settings_.witnesses,
                                                        settings_.startedAt });
}

void Wallet::Impl::handleRegister(Time now, const RegisterResult& result)
{
  if (result.sequence != registration_) {
    return;
  }
  registerProposal_ = 0;
  if (!handleVerdict(now, result.verdict)) {
    return;
  }
  registered_ = proposed_;
  registeredAlone_ = !settings_.witnesses;
  for (auto link = links_.begin(); link != links_.end();) {
    if (contains(registered_, link->first)) {
      ++link;
      continue;
    }
    for (auto& [id, account] : accounts_) {
      std::erase(account.recordedAt, link->first);
    }
    link = links_.erase(link);
  }
  chooseWitness(now);
  admitWaiting(now);
  askGrants(now, waitingBudgets());
  askStartGrants(now);
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
  entries_ = static_cast<std::int64_t>(transferPeers().size()) + 1;
  chooseWitness(now);
  registerIfNeeded(now);
  flushRecords(now);
}

void Wallet::Impl::chooseWitness(Time now)
{
  if (!settings_.witnesses) {
    return;
  }
  std::optional<HolderId> choice;
  int best = -1;
  for (const auto& id : registered_) {
    if (id == settings_.self || !counts(id) || !isLive(id)) {
      continue;
    }
    const auto zone = zonePeers();
    const bool trusted = links_[id].suspectUntil <= now;
    const int score = (trusted ? 4 : 0) + (contains(zone, id) ? 2 : 0) + (active_ == id ? 1 : 0);
    if (score > best) {
      best = score;
      choice = id;
    }
  }
  active_ = choice;
}

bool Wallet::Impl::hasNewsFor(const Link& link) const
{
  const auto covered = link.sent.empty() ? link.acked : link.sent.rbegin()->second.covers;
  return (!changes_.empty() && changes_.rbegin()->first > covered) ||
         (!keyed_.empty() && keyed_.rbegin()->second.clock > covered);
}

void Wallet::Impl::flushRecords(Time now)
{
  if (!active_ || !counts(*active_)) {
    return;
  }
  auto& link = links_[*active_];
  // One record is in flight at a time; what is charged meanwhile shares the next one.
  if (link.sent.empty() && hasNewsFor(link)) {
    sendRecord(now, *active_, link);
  }
}

void Wallet::Impl::sendRecord(Time now, const HolderId& witness, Link& link)
{
  WitnessRecord message;
  message.sequence = ++recordSequence_;
  message.record.holder = settings_.self;
  message.keyedSettledThrough = keyedThrough_;
  // A witness that is not in use gets confirmations only.
  const bool inUse = active_ == witness;
  const auto first = inUse ? changes_.upper_bound(link.acked) : changes_.end();
  for (auto at = first; at != changes_.end(); ++at) {
    auto& account = accounts_.at(at->second);
    message.record.totals.push_back(account.totals(at->second));
    link.confirmed.erase(at->second);
    if (!contains(account.recordedAt, witness)) {
      account.recordedAt.push_back(witness);
    }
  }
  for (const auto& [sequence, pending] : keyed_) {
    if (inUse && pending.clock > link.acked) {
      message.record.keyed.push_back(pending.charge);
    }
  }
  message.confirmed.assign(link.confirmed.begin(), link.confirmed.end());
  if (link.sent.empty()) {
    link.firstSentAt = now;
  }
  link.lastSentAt = now;
  link.sent[message.sequence] = { inUse ? clock_ : link.acked, message.confirmed };
  outgoing_.push_back({ witness.process, std::move(message) });
}

void Wallet::Impl::handle(Time now, const ProcessId& /*from*/, const WitnessAck& message)
{
  acknowledgeOpening(now, message);
  const auto found = links_.find(message.witness);
  if (message.holder != settings_.self || found == links_.end()) {
    return;
  }
  auto& link = found->second;
  const auto sent = link.sent.find(message.sequence);
  if (sent == link.sent.end()) {
    return;
  }
  link.acked = std::max(link.acked, sent->second.covers);
  link.suspectUntil = Time{};
  for (const auto& id : sent->second.confirmed) {
    const auto account = accounts_.find(id);
    if (link.confirmed.erase(id) > 0 && account != accounts_.end()) {
      std::erase(account->second.recordedAt, message.witness);
    }
  }
  link.sent.erase(link.sent.begin(), std::next(sent));
  popRecorded(now);
  flushRecords(now);
}

void Wallet::Impl::tickWitnesses(Time now)
{
  for (auto& [id, link] : links_) {
    if (!counts(id) || !isLive(id)) {
      continue;
    }
    const bool unanswered = !link.sent.empty();
    const bool idleConfirm =
      !unanswered && !link.confirmed.empty() && link.lastSentAt + kConfirmInterval <= now;
    const auto resend = active_ == id ? kRecordResend : kConfirmInterval;
    if (idleConfirm || (unanswered && link.lastSentAt + resend <= now)) {
      sendRecord(now, id, link);
    }
    if (unanswered && link.firstSentAt + kWitnessTimeout <= now && active_ == id) {
      link.suspectUntil = now + kSuspectTime;
      link.firstSentAt = now;
    }
  }
  chooseWitness(now);
  flushRecords(now);
  popRecorded(now);
}

void Wallet::Impl::popRecorded(Time now)
{
  std::uint64_t covered = 0;
  for (const auto& [id, link] : links_) {
    if (counts(id)) {
      covered = std::max(covered, link.acked);
    }
  }
  while (!unrecorded_.empty()) {
    const auto& first = unrecorded_.front();
    const bool synced = !settings_.hasJournal || journalSynced_ >= first.journal;
    const bool witnessed =
      !settings_.witnesses || covered >= first.clock || (settings_.hasJournal && !active_);
    if (!synced || !witnessed) {
      return;
    }
    const auto what = first.what;
    unrecorded_.pop_front();
    if (const auto* request = std::get_if<RequestId>(&what)) {
      recorded_.insert(*request);
    }
    if (const auto* name = std::get_if<TransferName>(&what)) {
      const auto transfer = transfers_.find(*name);
      if (transfer != transfers_.end()) {
        transfer->second.recorded = true;
        sendTransfer(now, *name, transfer->second);
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
    } else if (const auto* line = std::get_if<JournalAccount>(&record)) {
      totals[current][line->totals.budget] = line->totals;
    } else if (const auto* charge = std::get_if<JournalKeyed>(&record)) {
      keyed[current][charge->charge.sequence] = charge->charge;
    } else if (const auto* settled = std::get_if<JournalSettled>(&record)) {
      auto& charges = keyed[current];
      charges.erase(charges.begin(), charges.upper_bound(settled->keyedThrough));
    } else if (const auto* closed = std::get_if<JournalClosed>(&record)) {
      totals[current].erase(closed->budget);
    } else if (const auto* done = std::get_if<JournalRetired>(&record)) {
      totals.erase(done->holder);
      keyed.erase(done->holder);
    }
  }
  for (const auto& [holder, lines] : totals) {
    if (holder == settings_.self) {
      continue;
    }
    auto& record = earlier_[holder];
    record.holder = holder;
    for (const auto& [id, line] : lines) {
      record.totals.push_back(line);
    }
    for (const auto& [sequence, charge] : keyed[holder]) {
      record.keyed.push_back(charge);
    }
    const auto proposal = proposer_.propose(now, Retire{ holder, holder, record });
    retirements_[proposal] = holder;
  }
}

std::vector<JournalRecord> Wallet::Impl::compactJournal() const
{
  std::vector<JournalRecord> records;
  for (const auto& [holder, record] : earlier_) {
    records.emplace_back(JournalStart{ holder });
    for (const auto& line : record.totals) {
      records.emplace_back(JournalAccount{ line });
    }
    for (const auto& charge : record.keyed) {
      records.emplace_back(JournalKeyed{ charge });
    }
  }
  records.emplace_back(JournalStart{ settings_.self });
  records.emplace_back(JournalSettled{ keyedThrough_ });
  for (const auto& [id, account] : accounts_) {
    if (account.changed > account.confirmed) {
      records.emplace_back(JournalAccount{ account.totals(id) });
    }
  }
  for (const auto& [sequence, pending] : keyed_) {
    records.emplace_back(JournalKeyed{ pending.charge });
  }
  return records;
}

} // namespace figchute::ledger
