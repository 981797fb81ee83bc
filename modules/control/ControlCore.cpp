#include "control/ControlCore.h"

#include "control/ReportBuilder.h"

#include <algorithm>

namespace figchute::control {
namespace {

/** The bytes that an entry takes in the log in addition to its payload. */
constexpr std::uint64_t kEntryOverheadBytes = 16;
/** The interval at which the leader requests missing witness reports and promotes learners. */
constexpr Duration kMaintenanceInterval = std::chrono::seconds(1);

/** The leader appends no proposals of holders while this many entries wait to be applied. Few,
    because a command of an operator waits for all of them; enough for a disk that takes 0.1 s per
    sync. */
constexpr replication::LogIndex kMaxUnappliedEntries = 512;
/** The minimum time between two batches of proposals of holders. Each batch costs a sync of the
   disk on each member, during which the event loop waits: 5 ms on some disks. */
constexpr Duration kAppendInterval = std::chrono::milliseconds(20);

/** Returns the membership change that a member command requests, or nothing for other commands. */
std::optional<replication::MembershipChange> membershipChangeOf(const ledger::Command& command)
{
  using replication::MembershipChangeKind;
  if (const auto* add = std::get_if<ledger::AddMember>(&command)) {
    return replication::MembershipChange{ MembershipChangeKind::addLearner,
                                          { add->process, add->diskId } };
  }
  if (const auto* promote = std::get_if<ledger::PromoteMember>(&command)) {
    return replication::MembershipChange{ MembershipChangeKind::promote,
                                          { promote->process, promote->diskId } };
  }
  if (const auto* remove = std::get_if<ledger::RemoveMember>(&command)) {
    return replication::MembershipChange{ MembershipChangeKind::remove,
                                          { remove->process, remove->diskId } };
  }
  return std::nullopt;
}

} // namespace

ControlCore::ControlCore(Save save, replication::LogNode node, CoreConfig config)
  : save_(std::move(save))
  , config_(std::move(config))
  , node_(std::move(node))
{
}

Expected<ControlCore> ControlCore::create(Save save,
                                          replication::LogConfig log,
                                          replication::RecoveredState recovered,
                                          Time now,
                                          CoreConfig config)
{
  const auto snapshot = recovered.snapshot;
  ControlCore core(std::move(save),
                   replication::LogNode(std::move(log), std::move(recovered), now),
                   std::move(config));
  if (snapshot.meta.index > 0) {
    if (auto restored = core.state_.restore(snapshot.data); !restored) {
      return fail(ErrorKind::storageCorrupt,
                  "cannot decode the snapshot: " + restored.error().detail);
    }
    core.appliedIndex_ = snapshot.meta.index;
    core.snapshotBytes_ = snapshot.data.size();
  }
  return core;
}

void ControlCore::receive(Time now,
                          const ProcessId& from,
                          Incarnation /*incarnation*/,
                          wire::Channel channel,
                          std::string_view body)
{
  if (channel == wire::Channel::replication) {
    if (const auto message = wire::decode<replication::Message>(body)) {
      node_.receive(now, from, *message);
    }
    return;
  }
  if (channel == wire::Channel::report) {
    const auto message = wire::decode<ReportMessage>(body);
    if (message && std::holds_alternative<ReportRequest>(*message)) {
      replyToReportRequest(now, from, std::get<ReportRequest>(*message));
    }
    return;
  }
  if (channel != wire::Channel::ledger) {
    return;
  }
  if (const auto message = wire::decode<ledger::Message>(body)) {
    std::visit([&](const auto& typedMessage) { handle(now, from, typedMessage); }, *message);
  }
}

void ControlCore::handle(Time now, const ProcessId& from, const ledger::Propose& propose)
{
  if (!node_.isLeader(now)) {
    ++proposalCounts_.redirected;
    replyWithLeaderHint(from, propose.proposalId);
    return;
  }
  if (pendingProposals_.contains(from, propose.proposalId) ||
      queuedProposals_.contains(from, propose.proposalId)) {
    ++proposalCounts_.repeated;
    return;
  }
  QueuedProposal proposal{ from, propose.proposalId, propose.command, now };
  // Members propose what operators and endpoints request.
  if (node_.members().find(from) != nullptr) {
    append(now, std::move(proposal));
    return;
  }
  pacer_.addHolder(now, from);
  queuedProposals_.push(std::move(proposal));
  proposalCounts_.maxQueued =
    std::max<std::uint64_t>(proposalCounts_.maxQueued, queuedProposals_.size());
}

void ControlCore::append(Time now, QueuedProposal proposal)
{
  const auto command = wire::decode<ledger::Command>(proposal.command);
  if (command) {
    proposeMemberCommand(now, *command);
  }
  const auto index = appendCommand(now, std::move(proposal.command));
  if (!index) {
    replyWithLeaderHint(proposal.from, proposal.proposalId);
    return;
  }
  ++proposalCounts_.appended;
  if (command) {
    countAppended(*command);
  }
  pendingProposals_.add(*index,
                        { proposal.from, proposal.proposalId, node_.term(), proposal.receivedAt });
}

bool ControlCore::mayAppendQueued() const
{
  return !queuedProposals_.empty() && node_.lastIndex() < appliedIndex_ + kMaxUnappliedEntries;
}

std::optional<Time> ControlCore::appendDueAt() const
{
  return mayAppendQueued() ? std::optional(nextAppendAt_) : std::nullopt;
}

void ControlCore::appendQueued(Time now)
{
  if (now < nextAppendAt_ || !mayAppendQueued()) {
    return;
  }
  nextAppendAt_ = now + kAppendInterval;
  while (mayAppendQueued()) {
    auto proposal = queuedProposals_.pop();
    proposalCounts_.maxQueueTime =
      std::max(proposalCounts_.maxQueueTime, now - proposal.receivedAt);
    append(now, std::move(proposal));
  }
}

void ControlCore::redirectQueued()
{
  for (const auto& proposal : queuedProposals_.takeAll()) {
    replyWithLeaderHint(proposal.from, proposal.proposalId);
  }
}

void ControlCore::handle(Time now, const ProcessId& from, const ledger::DocumentPoll& poll)
{
  polls_[from] = { poll.revision, now };
  const auto push = state_.documentsSince(poll);
  if (push.revision > poll.revision || push.quarantineRevision > poll.quarantineRevision) {
    sendLedger(from, push);
  }
}

void ControlCore::handle(Time now, const ProcessId& /*from*/, const ledger::WitnessReport& report)
{
  if (node_.isLeader(now)) {
    const ledger::Command command = ledger::ControlState::makeRetireCommand(report);
    // When the proposal fails, the next report request makes the witness report again.
    static_cast<void>(appendCommand(now, wire::encode(command)));
  }
}

void ControlCore::handle(Time now, const ProcessId& from, const ledger::ClockRequest& request)
{
  sendLedger(from, ledger::ClockReply{ request.holder, config_.bootClock.readingAt(now) });
}

void ControlCore::replyToReportRequest(Time now,
                                       const ProcessId& from,
                                       const ReportRequest& request)
{
  ReportReply reply;
  reply.id = request.id;
  reply.leaderHint = node_.leaderHint().value_or(ProcessId());
  reply.answered = node_.isLeader(now);
  if (reply.answered) {
    const auto report = makeReport(now, *this, request.kind, request.argument);
    reply.found = report.has_value();
    reply.json = report ? json::dump(*report) : std::string();
  }
  outgoing_.push_back({ from, wire::Channel::report, wire::encode(ReportMessage(reply)) });
}

Expected<replication::LogIndex> ControlCore::appendCommand(Time now, std::string command)
{
  lastCommandTime_ = std::max(lastCommandTime_, now);
  const TimedCommand timedCommand{ lastCommandTime_, std::move(command) };
  return node_.propose(now, wire::encode(timedCommand));
}

void ControlCore::proposeMemberCommand(Time now, const ledger::Command& command)
{
  if (const auto change = membershipChangeOf(command)) {
    // An operator finds a rejected change in the list of members and repeats the command.
    static_cast<void>(node_.proposeMembershipChange(now, *change));
  }
}

void ControlCore::countAppended(const ledger::Command& command)
{
  if (const auto* grant = std::get_if<ledger::Grant>(&command)) {
    ++proposalCounts_.grants;
    proposalCounts_.grantItems += grant->items.size();
  } else if (const auto* settle = std::get_if<ledger::Settle>(&command)) {
    ++proposalCounts_.settles;
    proposalCounts_.settleItems += settle->totals.size();
  }
}

void ControlCore::replyWithLeaderHint(const ProcessId& to, std::uint64_t proposalId)
{
  ledger::ProposeReply proposeReply;
  proposeReply.proposalId = proposalId;
  proposeReply.leaderHint = node_.leaderHint().value_or(ProcessId());
  reply(to, std::move(proposeReply));
}

void ControlCore::reply(const ProcessId& to, ledger::ProposeReply reply)
{
  sendLedger(to, std::move(reply));
}

void ControlCore::sendLedger(const ProcessId& to, const ledger::Message& message)
{
  outgoing_.push_back({ to, wire::Channel::ledger, wire::encode(message) });
}

Expected<void> ControlCore::advance(Time now)
{
  node_.tick(now);
  if (node_.isLeader(now)) {
    appendQueued(now);
  } else {
    redirectQueued();
  }
  for (auto remaining = config_.maxEntriesPerAdvance; remaining > 0;) {
    auto ready = node_.takeReady(remaining);
    if (ready.empty()) {
      break;
    }
    remaining -= ready.committed.size();
    if (auto handleResult = handleReady(now, std::move(ready)); !handleResult) {
      return handleResult;
    }
  }
  const auto ledgerMessages = std::exchange(ledgerMessages_, {});
  if (!node_.isLeader(now)) {
    return {};
  }
  for (const auto& [to, message] : ledgerMessages) {
    sendLedger(to, message);
  }
  sendReportRequests(now);
  if (config_.promoteLearners) {
    promoteLearners(now);
  }
  return {};
}

Expected<void> ControlCore::handleReady(Time now, replication::Ready ready)
{
  if (ready.needsSync()) {
    const auto startedAt = clockTime();
    auto saveResult = save_(ready);
    ++logWork_.saves;
    logWork_.saveTime += clockTime() - startedAt;
    if (!saveResult) {
      return saveResult;
    }
    node_.confirmPersisted(now);
  }
  for (const auto& [to, message] : ready.messages) {
    outgoing_.push_back({ to, wire::Channel::replication, wire::encode(message) });
  }
  if (ready.restoreState && ready.snapshot) {
    const auto restoreResult = state_.restore(ready.snapshot->data);
    invariant(restoreResult.has_value(), "a snapshot from the leader can be decoded");
    appliedIndex_ = ready.snapshot->meta.index;
    bytesSinceSnapshot_ = 0;
    snapshotBytes_ = ready.snapshot->data.size();
    // The results of the entries that the snapshot covers are unknown here. Their proposers send
    // the proposals again; a remaining pending proposal of the same id would suppress them.
    pendingProposals_.removeUpTo(appliedIndex_);
  }
  for (const auto& entry : ready.committed) {
    applyEntry(now, entry);
  }
  compactIfDue();
  return {};
}

void ControlCore::applyEntry(Time now, const replication::Entry& entry)
{
  appliedIndex_ = entry.index;
  bytesSinceSnapshot_ += entry.payload.size();
  std::string result;
  if (entry.kind == replication::EntryKind::command) {
    const auto timedCommand = wire::decode<TimedCommand>(entry.payload);
    if (timedCommand) {
      lastCommandTime_ = std::max(lastCommandTime_, timedCommand->time);
      result = applyCommand(now, entry.index, *timedCommand);
    }
  }
  const auto pendingProposal = pendingProposals_.take(entry.index);
  if (!pendingProposal) {
    return;
  }
  proposalCounts_.maxAge = std::max(proposalCounts_.maxAge, now - pendingProposal->receivedAt);
  // Another leader may have replaced the proposed entry.
  const bool accepted = pendingProposal->term == entry.term && !result.empty();
  ledger::ProposeReply proposeReply;
  proposeReply.proposalId = pendingProposal->proposalId;
  proposeReply.accepted = accepted;
  proposeReply.result = accepted ? std::move(result) : std::string();
  proposeReply.clockReading = config_.bootClock.readingAt(now);
  pacer_.addCommand(now);
  proposeReply.grantIntervalMicros = pacer_.grantInterval(now, queuedProposals_.age(now)).count();
  // A proposer that is a member can read its own state only after it has applied this entry.
  node_.sendCommitIndex(pendingProposal->from);
  reply(pendingProposal->from, std::move(proposeReply));
}

std::string ControlCore::applyCommand(Time now,
                                      replication::LogIndex index,
                                      const TimedCommand& timedCommand)
{
  const auto startedAt = clockTime();
  const auto command = wire::decode<ledger::Command>(timedCommand.command);
  if (!command) {
    state_.skip(index);
    return {};
  }
  const auto result = state_.apply(index, timedCommand.time, *command);
  takeLedgerMessages(*command, now);
  auto encoded = wire::encode(result);
  logWork_.addCommand(*command, result, timedCommand.command.size(), clockTime() - startedAt);
  return encoded;
}

void ControlCore::takeLedgerMessages(const ledger::Command& command, Time now)
{
  // A holder that is not recalled for a grant has another chance: the grant is requested again.
  const bool isForGrant = std::holds_alternative<ledger::Grant>(command);
  for (auto& outgoing : state_.takeOutgoing()) {
    const bool isRecall = std::holds_alternative<ledger::Recall>(outgoing.message);
    if (!isForGrant || !isRecall || pacer_.takeRecall(now, queuedProposals_.age(now))) {
      ledgerMessages_.push_back(std::move(outgoing));
    }
  }
}

void ControlCore::compactIfDue()
{
  const auto entries = appliedIndex_ - node_.snapshotIndex();
  const bool isSnapshotDue = entries >= config_.snapshotIntervalEntries ||
                             bytesSinceSnapshot_ >= config_.snapshotIntervalBytes;
  // Each snapshot encodes and writes the whole state, so it must not be larger than the entries
  // that it replaces.
  const bool isWorthwhile = bytesSinceSnapshot_ + entries * kEntryOverheadBytes >= snapshotBytes_;
  if (entries == 0 || !isSnapshotDue || !isWorthwhile) {
    return;
  }
  bytesSinceSnapshot_ = 0;
  const auto startedAt = clockTime();
  auto snapshot = state_.snapshot();
  snapshotBytes_ = snapshot.size();
  ++logWork_.snapshots;
  logWork_.snapshotBytes += snapshotBytes_;
  logWork_.snapshotTime += clockTime() - startedAt;
  const auto compactResult = node_.compact(appliedIndex_, std::move(snapshot));
  invariant(compactResult.has_value(), "an applied entry can be covered by a snapshot");
}

void ControlCore::sendReportRequests(Time now)
{
  if (now < nextReportRequestAt_) {
    return;
  }
  nextReportRequestAt_ = now + kMaintenanceInterval;
  for (const auto& [to, message] : state_.reportRequests()) {
    sendLedger(to, message);
  }
}

void ControlCore::promoteLearners(Time now)
{
  if (now < nextPromotionAt_) {
    return;
  }
  nextPromotionAt_ = now + kMaintenanceInterval;
  for (const auto& member : node_.members().members) {
    if (!member.voter) {
      using replication::MembershipChangeKind;
      // Rejected until the learner has caught up; the next interval tries again.
      static_cast<void>(
        node_.proposeMembershipChange(now, { MembershipChangeKind::promote, member.id }));
      return;
    }
  }
}

ControlDump ControlCore::dump() const
{
  ControlDump dump;
  dump.log = node_.state();
  dump.revision = state_.revision();
  dump.pendingProposals = pendingProposals_.size();
  dump.claims = state_.claims().size();
  dump.keyedBillCount = state_.keyedBillCount();
  return dump;
}

} // namespace figchute::control
