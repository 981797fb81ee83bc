#include "EntryProcess.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr Duration kClaimTimeout{ 1'000'000 };
constexpr std::string_view kJournalFile = "journal";
/** Keep the proposal ids of the quota manager, of the claims and of each start apart. */
constexpr std::uint64_t kProposalIdsPerStart = 1ULL << 32U;
constexpr std::uint64_t kClaimIdOffset = 1ULL << 31U;

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

void EntryProcess::start(const PeerProvider& peersOf)
{
  ++startCount_;
  ledger::QuotaSettings settings;
  settings.self = holder();
  settings.zone = ZoneId("z" + std::to_string(network_.zoneOf(id_)));
  settings.hasJournal = hasDisk_;
  settings.proposalIdBase = startCount_ * kProposalIdsPerStart;
  quotaManager_ = std::make_unique<ledger::QuotaManager>(settings);
  witness_ = std::make_unique<ledger::Witness>(settings.self);
  proposer_ =
    std::make_unique<ledger::Proposer>(startCount_ * kProposalIdsPerStart + kClaimIdOffset);
  journalRecordCount_ = 0;
  revision_ = 0;
  if (hasDisk_) {
    quotaManager_->recover(schedule_.now(), readJournal());
  }
  updatePeers(peersOf);
  flush();
}

std::vector<ledger::JournalRecord> EntryProcess::readJournal()
{
  std::vector<ledger::JournalRecord> records;
  const auto bytes = disk_.read(kJournalFile);
  std::uint64_t offset = 0;
  while (bytes && offset < bytes->size()) {
    const auto payload = replication::detail::decodeRecordAt(*bytes, offset);
    if (!payload) {
      require(disk_.truncate(kJournalFile, offset).has_value(),
              "disk: the journal cannot be truncated");
      break;
    }
    records.push_back(wire::decode<ledger::JournalRecord>(*payload).value());
    offset += replication::detail::encodedRecordSize(payload->size());
  }
  return records;
}

void EntryProcess::crash()
{
  quotaManager_.reset();
  witness_.reset();
  proposer_.reset();
  disk_.crash(random_);
  const ActiveRequests droppedRequests = std::exchange(activeRequests_, {});
  for (const auto& [requestId, activeRequest] : droppedRequests) {
    activeRequest.onFinished(activeRequest.attempt, false);
  }
}

void EntryProcess::updatePeers(const PeerProvider& peersOf)
{
  const auto peers = peersOf(id_);
  std::vector<ProcessId> controls;
  for (const auto& peer : peers) {
    if (peer.control) {
      controls.push_back(peer.id.process);
    }
  }
  proposer_->setControls(controls);
  quotaManager_->setPeers(schedule_.now(), peers);
}

void EntryProcess::drain()
{
  quotaManager_->drain(schedule_.now());
  flush();
}

void EntryProcess::tick()
{
  if (!isRunning()) {
    return;
  }
  quotaManager_->tick(schedule_.now());
  proposer_->tick(schedule_.now());
  abandonTimedOutClaims();
  flush();
}

void EntryProcess::receive(const Packet& packet)
{
  if (!isRunning() || packet.channel != wire::Channel::ledger) {
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
  quotaManager_->receive(now, packet.from, *message);
  witness_->receive(now, packet.from, *message);
  flush();
}

void EntryProcess::flush()
{
  syncJournal();
  for (const auto& decision : quotaManager_->takeDecisions()) {
    handleDecision(decision);
  }
  for (const auto& requestId : quotaManager_->takeRecordedCharges()) {
    const auto requestIt = activeRequests_.find(requestId);
    if (requestIt != activeRequests_.end()) {
      tally_.checkAnswer(requestIt->second.attempt);
      finish(requestId, true);
    }
  }
  syncJournal();
  for (const auto& outgoing : quotaManager_->takeOutgoing()) {
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
  const auto records = quotaManager_->takeJournal();
  if (records.empty()) {
    return;
  }
  for (const auto& record : records) {
    const auto bytes = replication::detail::encodeRecord(wire::encode(record));
    require(disk_.append(kJournalFile, bytes).has_value(), "disk: the journal cannot be written");
  }
  journalRecordCount_ += records.size();
  require(disk_.sync(kJournalFile) && disk_.syncFolder(), "disk: the journal cannot be synced");
  quotaManager_->journalSynced(schedule_.now(), journalRecordCount_);
}

void EntryProcess::send(const ledger::OutgoingMessage& outgoing)
{
  network_.send(Packet{ id_, outgoing.to, wire::Channel::ledger, wire::encode(outgoing.message) });
}

void EntryProcess::pollDocuments(const ProcessId& control)
{
  if (isRunning()) {
    send({ control, ledger::DocumentPoll{ revision_, 0 } });
  }
}

void EntryProcess::handlePush(const ledger::DocumentPush& push)
{
  if (push.revision < revision_ && !faults_.applyOldRevision) {
    return;
  }
  revision_ = push.revision;
  tally_.checkActiveRevision(holder(), revision_);
}

void EntryProcess::submit(const Attempt& attempt, const FinishedCallback& onFinished)
{
  auto& activeRequest = activeRequests_[attempt.requestId];
  activeRequest.attempt = attempt;
  activeRequest.onFinished = onFinished;
  if (attempt.isBooking) {
    startBooking(activeRequest);
  } else {
    startModelCall(activeRequest);
  }
  flush();
}

void EntryProcess::startModelCall(ActiveRequest& activeRequest)
{
  const Attempt& attempt = activeRequest.attempt;
  std::optional<ledger::RequestKey> key;
  if (!attempt.key.empty()) {
    const std::string billingKey =
      faults_.billPerAttempt ? attempt.key + attempt.requestId.value : attempt.key;
    key = ledger::RequestKey{ attempt.caller, billingKey };
  }
  handleDecision(quotaManager_->reserve(
    schedule_.now(), attempt.requestId, key, attempt.budgets, attempt.maxTokens));
}

void EntryProcess::handleDecision(const ledger::Decision& decision)
{
  const auto requestIt = activeRequests_.find(decision.request);
  if (requestIt == activeRequests_.end() || decision.status == ledger::ReserveStatus::waiting) {
    return;
  }
  if (decision.status == ledger::ReserveStatus::refused) {
    if (faults_.answerRefused) {
      tally_.checkAnswer(requestIt->second.attempt);
    }
    finish(decision.request, false);
    return;
  }
  runAfterServiceTime(decision.request,
                      [this](ActiveRequest& activeRequest) { completeModelCall(activeRequest); });
}

/** Runs an action of a request after a random service time, unless the process or the request has
    ended by then. */
void EntryProcess::runAfterServiceTime(const RequestId& requestId,
                                       std::function<void(ActiveRequest&)> action)
{
  const Duration serviceTime(random_.between(5'000, 800'000));
  schedule_.callAt(schedule_.now() + serviceTime,
                   [this, requestId, startNumber = startCount_, action = std::move(action)] {
                     const auto requestIt = activeRequests_.find(requestId);
                     if (startNumber == startCount_ && isRunning() &&
                         requestIt != activeRequests_.end()) {
                       action(requestIt->second);
                       flush();
                     }
                   });
}

void EntryProcess::completeModelCall(ActiveRequest& activeRequest)
{
  const Attempt attempt = activeRequest.attempt;
  if (random_.chance(0.05)) {
    quotaManager_->release(schedule_.now(), attempt.requestId);
    finish(attempt.requestId, false);
    return;
  }
  quotaManager_->reduceReservation(
    schedule_.now(), attempt.requestId, std::max(attempt.actualTokens, Tokens{ 1 }));
  tally_.recordCharge(attempt);
  const auto chargeResult =
    quotaManager_->charge(schedule_.now(), attempt.requestId, attempt.actualTokens);
  require(chargeResult.has_value(), "quota manager: an admitted request has no reservation");
}

void EntryProcess::finish(const RequestId& requestId, bool answered)
{
  const auto activeNode = activeRequests_.extract(requestId);
  activeNode.mapped().onFinished(activeNode.mapped().attempt, answered);
}

void EntryProcess::startBooking(ActiveRequest& activeRequest)
{
  const Attempt& attempt = activeRequest.attempt;
  activeRequest.deadline = schedule_.now() + kClaimTimeout;
  activeRequest.claimProposalId = proposer_->propose(
    schedule_.now(),
    ledger::Claim{
      holder(), attempt.caller, attempt.key, attempt.requestId, fingerprintOf("body") });
}

void EntryProcess::abandonTimedOutClaims()
{
  for (auto requestIt = activeRequests_.begin(); requestIt != activeRequests_.end();) {
    ActiveRequest& activeRequest = requestIt->second;
    const RequestId requestId = requestIt->first;
    ++requestIt;
    if (activeRequest.claimProposalId != 0 && schedule_.now() >= activeRequest.deadline) {
      proposer_->abandon(activeRequest.claimProposalId);
      proposeOutcome(activeRequest, ledger::OutcomeKind::notRun);
      finish(requestId, false);
    }
  }
}

void EntryProcess::proposeOutcome(ActiveRequest& activeRequest, ledger::OutcomeKind kind)
{
  const Attempt& attempt = activeRequest.attempt;
  activeRequest.outcomeProposalId = proposer_->propose(
    schedule_.now(),
    ledger::Outcome{
      holder(), attempt.caller, attempt.key, attempt.requestId, kind, 200, activeRequest.body });
}

void EntryProcess::handleReply(const ledger::Proposer::Reply& reply)
{
  for (auto& [requestId, activeRequest] : activeRequests_) {
    if (activeRequest.claimProposalId == reply.proposalId) {
      activeRequest.claimProposalId = 0;
      handleClaimResult(activeRequest, std::get<ledger::ClaimResult>(reply.result));
      return;
    }
    if (activeRequest.outcomeProposalId == reply.proposalId) {
      if (activeRequest.hasRun && std::get<ledger::OutcomeResult>(reply.result).verdict.ok()) {
        tally_.checkBookingResult(activeRequest.attempt, activeRequest.body);
        finish(requestId, true);
      } else {
        finish(requestId, false);
      }
      return;
    }
  }
}

void EntryProcess::handleClaimResult(ActiveRequest& activeRequest,
                                     const ledger::ClaimResult& result)
{
  const RequestId requestId = activeRequest.attempt.requestId;
  const bool isClaimed = result.replay || !result.verdict.ok();
  if (result.replay && !faults_.runAlreadyClaimed) {
    tally_.checkBookingResult(activeRequest.attempt, result.body);
  }
  if (isClaimed && !faults_.runAlreadyClaimed) {
    finish(requestId, result.replay);
    return;
  }
  runAfterServiceTime(requestId,
                      [this](ActiveRequest& claimedRequest) { runBooking(claimedRequest); });
}

void EntryProcess::runBooking(ActiveRequest& activeRequest)
{
  if (random_.chance(0.1)) {
    proposeOutcome(activeRequest, ledger::OutcomeKind::notRun);
    return;
  }
  activeRequest.hasRun = true;
  activeRequest.body = "ran as " + activeRequest.attempt.requestId.value;
  tally_.checkRun(activeRequest.attempt);
  proposeOutcome(activeRequest, ledger::OutcomeKind::done);
}

} // namespace figchute::simulation
