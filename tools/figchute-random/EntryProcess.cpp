#include "EntryProcess.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr Duration kClaimWait{ 1'000'000 };
constexpr std::string_view kJournalName = "journal";
/** Separates the proposal ids of the wallet, of the claims and of each start. */
constexpr std::uint64_t kStartRange = 1ULL << 32U;
constexpr std::uint64_t kClaimRange = 1ULL << 31U;

} // namespace

EntryProcess::EntryProcess(ProcessId id,
                           bool hasDisk,
                           Schedule& schedule,
                           Random& random,
                           Network& network,
                           LedgerTally& tally)
  : id_(std::move(id))
  , hasDisk_(hasDisk)
  , schedule_(schedule)
  , random_(random)
  , network_(network)
  , tally_(tally)
{
}

void EntryProcess::start(const Peers& peers)
{
  ++starts_;
  ledger::WalletSettings settings;
  settings.self = holder();
  settings.zone = ZoneId("z" + std::to_string(network_.zoneOf(id_)));
  settings.hasJournal = hasDisk_;
  settings.proposalIdBase = starts_ * kStartRange;
  wallet_ = std::make_unique<ledger::Wallet>(settings);
  witness_ = std::make_unique<ledger::Witness>(settings.self);
  proposer_ = std::make_unique<ledger::Proposer>(starts_ * kStartRange + kClaimRange);
  journalCount_ = 0;
  revision_ = 0;
  if (hasDisk_) {
    wallet_->recover(schedule_.now(), readJournal());
  }
  updatePeers(peers);
  flush();
}

std::vector<ledger::JournalRecord> EntryProcess::readJournal()
{
  std::vector<ledger::JournalRecord> records;
  const auto bytes = disk_.read(kJournalName);
  std::uint64_t offset = 0;
  while (bytes && offset < bytes->size()) {
    const auto payload = replication::detail::decodeRecordAt(*bytes, offset);
    if (!payload) {
      require(disk_.truncate(kJournalName, offset).has_value(), "disk: the journal cannot be cut");
      break;
    }
    records.push_back(wire::decode<ledger::JournalRecord>(*payload).value());
    offset += replication::detail::encodedRecordSize(payload->size());
  }
  return records;
}

void EntryProcess::crash()
{
  wallet_.reset();
  witness_.reset();
  proposer_.reset();
  disk_.crash(random_);
  const Active dropped = std::exchange(active_, {});
  for (const auto& [request, running] : dropped) {
    running.finished(running.attempt, false);
  }
}

void EntryProcess::updatePeers(const Peers& peers)
{
  const auto list = peers(id_);
  std::vector<ProcessId> controls;
  for (const auto& peer : list) {
    if (peer.control) {
      controls.push_back(peer.id.process);
    }
  }
  proposer_->setControls(controls);
  wallet_->setPeers(schedule_.now(), list);
}

void EntryProcess::drain()
{
  wallet_->drain(schedule_.now());
  flush();
}

void EntryProcess::tick()
{
  if (!running()) {
    return;
  }
  wallet_->tick(schedule_.now());
  proposer_->tick(schedule_.now());
  abandonLateClaims();
  flush();
}

void EntryProcess::receive(const Packet& packet)
{
  if (!running() || packet.channel != wire::Channel::ledger) {
    return;
  }
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  require(message.has_value(), "codec: a ledger message cannot be decoded");
  const Time now = schedule_.now();
  if (const auto* reply = std::get_if<ledger::ProposeReply>(&*message)) {
    if (const auto result = proposer_->receive(now, packet.from, *reply)) {
      handleReply(*result);
    }
  }
  if (const auto* push = std::get_if<ledger::DocumentPush>(&*message)) {
    handlePush(*push);
  }
  wallet_->receive(now, packet.from, *message);
  witness_->receive(now, packet.from, *message);
  flush();
}

void EntryProcess::flush()
{
  syncJournal();
  for (const auto& decision : wallet_->takeDecisions()) {
    decide(decision);
  }
  for (const auto& request : wallet_->takeRecordedCharges()) {
    const auto found = active_.find(request);
    if (found != active_.end()) {
      tally_.answered(found->second.attempt);
      finish(request, true);
    }
  }
  syncJournal();
  for (const auto& outgoing : wallet_->takeOutgoing()) {
    send(outgoing);
  }
  for (const auto& outgoing : witness_->takeOutgoing()) {
    send(outgoing);
  }
  for (const auto& outgoing : proposer_->takeOutgoing()) {
    send(outgoing);
  }
}

void EntryProcess::syncJournal()
{
  const auto records = wallet_->takeJournal();
  if (records.empty()) {
    return;
  }
  for (const auto& record : records) {
    const auto bytes = replication::detail::encodeRecord(wire::encode(record));
    require(disk_.append(kJournalName, bytes).has_value(), "disk: the journal cannot be written");
  }
  journalCount_ += records.size();
  require(disk_.sync(kJournalName) && disk_.syncFolder(), "disk: the journal cannot be synced");
  wallet_->journalSynced(schedule_.now(), journalCount_);
}

void EntryProcess::send(const ledger::Outgoing& outgoing)
{
  network_.send(Packet{ id_, outgoing.to, wire::Channel::ledger, wire::encode(outgoing.message) });
}

void EntryProcess::poll(const ProcessId& control)
{
  if (running()) {
    send({ control, ledger::DocumentPoll{ revision_, 0 } });
  }
}

void EntryProcess::handlePush(const ledger::DocumentPush& push)
{
  if (push.revision < revision_ && !broken_.revision) {
    return;
  }
  revision_ = push.revision;
  tally_.inForce(holder(), revision_);
}

void EntryProcess::submit(const Attempt& attempt, const Finished& finished)
{
  auto& running = active_[attempt.request];
  running.attempt = attempt;
  running.finished = finished;
  if (attempt.booking) {
    startBooking(running);
  } else {
    startModelCall(running);
  }
  flush();
}

void EntryProcess::startModelCall(Running& running)
{
  const Attempt& attempt = running.attempt;
  std::optional<ledger::RequestKey> key;
  if (!attempt.key.empty()) {
    const std::string own = broken_.bill ? attempt.key + attempt.request.value : attempt.key;
    key = ledger::RequestKey{ attempt.caller, own };
  }
  decide(wallet_->reserve(schedule_.now(), attempt.request, key, attempt.budgets, attempt.bound));
}

void EntryProcess::decide(const ledger::Decision& decision)
{
  const auto found = active_.find(decision.request);
  if (found == active_.end() || decision.status == ledger::ReserveStatus::waiting) {
    return;
  }
  if (decision.status == ledger::ReserveStatus::refused) {
    if (broken_.overspend) {
      tally_.answered(found->second.attempt);
    }
    finish(decision.request, false);
    return;
  }
  later(decision.request, [this](Running& running) { complete(running); });
}

/** Runs an action of a request after its service time, unless the process or the request ended. */
void EntryProcess::later(const RequestId& request, std::function<void(Running&)> action)
{
  const Duration wait(random_.between(5'000, 800'000));
  schedule_.add(schedule_.now() + wait,
                [this, request, start = starts_, action = std::move(action)] {
                  const auto found = active_.find(request);
                  if (start == starts_ && running() && found != active_.end()) {
                    action(found->second);
                    flush();
                  }
                });
}

void EntryProcess::complete(Running& running)
{
  const Attempt attempt = running.attempt;
  if (random_.chance(0.05)) {
    wallet_->release(schedule_.now(), attempt.request);
    finish(attempt.request, false);
    return;
  }
  wallet_->reduceReservation(
    schedule_.now(), attempt.request, std::max(attempt.actual, Tokens{ 1 }));
  tally_.charged(attempt);
  const auto charged = wallet_->charge(schedule_.now(), attempt.request, attempt.actual);
  require(charged.has_value(), "wallet: an admitted request has no reservation");
}

void EntryProcess::finish(const RequestId& request, bool answered)
{
  const auto node = active_.extract(request);
  node.mapped().finished(node.mapped().attempt, answered);
}

void EntryProcess::startBooking(Running& running)
{
  const Attempt& attempt = running.attempt;
  running.deadline = schedule_.now() + kClaimWait;
  running.claimProposal = proposer_->propose(
    schedule_.now(),
    ledger::Claim{ holder(), attempt.caller, attempt.key, attempt.request, fingerprintOf("body") });
}

void EntryProcess::abandonLateClaims()
{
  for (auto at = active_.begin(); at != active_.end();) {
    Running& running = at->second;
    const RequestId request = at->first;
    ++at;
    if (running.claimProposal != 0 && schedule_.now() >= running.deadline) {
      proposer_->abandon(running.claimProposal);
      proposeOutcome(running, ledger::OutcomeKind::notRun);
      finish(request, false);
    }
  }
}

void EntryProcess::proposeOutcome(Running& running, ledger::OutcomeKind kind)
{
  const Attempt& attempt = running.attempt;
  running.outcomeProposal = proposer_->propose(
    schedule_.now(),
    ledger::Outcome{
      holder(), attempt.caller, attempt.key, attempt.request, kind, 200, running.body });
}

void EntryProcess::handleReply(const ledger::Proposer::Reply& reply)
{
  for (auto& [request, running] : active_) {
    if (running.claimProposal == reply.proposalId) {
      running.claimProposal = 0;
      handleClaim(running, std::get<ledger::ClaimResult>(reply.result));
      return;
    }
    if (running.outcomeProposal == reply.proposalId) {
      if (running.ran && std::get<ledger::OutcomeResult>(reply.result).verdict.ok()) {
        tally_.booked(running.attempt, running.body);
        finish(request, true);
      } else {
        finish(request, false);
      }
      return;
    }
  }
}

void EntryProcess::handleClaim(Running& running, const ledger::ClaimResult& result)
{
  const RequestId request = running.attempt.request;
  const bool taken = result.replay || !result.verdict.ok();
  if (result.replay && !broken_.run) {
    tally_.booked(running.attempt, result.body);
  }
  if (taken && !broken_.run) {
    finish(request, result.replay);
    return;
  }
  later(request, [this](Running& claimed) { runBooking(claimed); });
}

void EntryProcess::runBooking(Running& running)
{
  if (random_.chance(0.1)) {
    proposeOutcome(running, ledger::OutcomeKind::notRun);
    return;
  }
  running.ran = true;
  running.body = "ran as " + running.attempt.request.value;
  tally_.ran(running.attempt);
  proposeOutcome(running, ledger::OutcomeKind::done);
}

} // namespace figchute::simulation
