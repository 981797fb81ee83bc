#include "control/ControlCore.h"

#include "control/Reports.h"

#include <algorithm>

namespace figchute::control {
namespace {

/** Witnesses are asked for missing reports, and learners are promoted, this often. */
constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);

/** Returns the membership change behind a member command, or nothing for other commands. */
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
  , config_(config)
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
  ControlCore core(
    std::move(save), replication::LogNode(std::move(log), std::move(recovered), now), config);
  if (snapshot.meta.index > 0) {
    if (auto restored = core.state_.restore(snapshot.data); !restored) {
      return fail(ErrorKind::storageCorrupt, "snapshot: " + restored.error().detail);
    }
    core.applied_ = snapshot.meta.index;
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
      answerReport(now, from, std::get<ReportRequest>(*message));
    }
    return;
  }
  if (channel != wire::Channel::ledger) {
    return;
  }
  if (const auto message = wire::decode<ledger::Message>(body)) {
    std::visit([&](const auto& typed) { handle(now, from, typed); }, *message);
  }
}

void ControlCore::handle(Time now, const ProcessId& from, const ledger::Propose& propose)
{
  if (!node_.isLeader(now)) {
    redirect(from, propose.proposalId);
    return;
  }
  if (alreadyWaiting(from, propose.proposalId)) {
    return;
  }
  if (const auto command = wire::decode<ledger::Command>(propose.command)) {
    proposeMember(now, *command);
  }
  const auto index = append(now, propose.command);
  if (!index) {
    redirect(from, propose.proposalId);
    return;
  }
  waiters_[*index] = { from, propose.proposalId, node_.term() };
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
    const ledger::Command command = ledger::ControlState::retireFrom(report);
    // A lost proposal is repeated with the next report request.
    static_cast<void>(append(now, wire::encode(command)));
  }
}

void ControlCore::answerReport(Time now, const ProcessId& from, const ReportRequest& request)
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

bool ControlCore::alreadyWaiting(const ProcessId& from, std::uint64_t proposalId) const
{
  return std::any_of(waiters_.begin(), waiters_.end(), [&](const auto& entry) {
    return entry.second.proposalId == proposalId && entry.second.from == from;
  });
}

Expected<replication::LogIndex> ControlCore::append(Time now, std::string command)
{
  lastStamp_ = std::max(lastStamp_, now);
  const TimedCommand timed{ lastStamp_, std::move(command) };
  return node_.propose(now, wire::encode(timed));
}

void ControlCore::proposeMember(Time now, const ledger::Command& command)
{
  if (const auto change = membershipChangeOf(command)) {
    // A refused change shows in the log's member list; the operator repeats the command.
    static_cast<void>(node_.proposeMembershipChange(now, *change));
  }
}

void ControlCore::redirect(const ProcessId& to, std::uint64_t proposalId)
{
  ledger::ProposeReply answer;
  answer.proposalId = proposalId;
  answer.leaderHint = node_.leaderHint().value_or(ProcessId());
  reply(to, std::move(answer));
}

void ControlCore::reply(const ProcessId& to, ledger::ProposeReply reply)
{
  sendLedger(to, std::move(reply));
}

void ControlCore::sendLedger(const ProcessId& to, const ledger::Message& message)
{
  outgoing_.push_back({ to, wire::Channel::ledger, wire::encode(message) });
}

Expected<void> ControlCore::settle(Time now)
{
  node_.tick(now);
  while (true) {
    auto ready = node_.takeReady();
    if (ready.empty()) {
      break;
    }
    if (auto handled = handleReady(now, std::move(ready)); !handled) {
      return handled;
    }
  }
  auto caused = state_.takeOutgoing();
  if (!node_.isLeader(now)) {
    return {};
  }
  for (auto& [to, message] : caused) {
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
    if (auto saved = save_(ready); !saved) {
      return saved;
    }
    node_.confirmPersisted(now);
  }
  for (const auto& [to, message] : ready.messages) {
    outgoing_.push_back({ to, wire::Channel::replication, wire::encode(message) });
  }
  if (ready.restoreState && ready.snapshot) {
    const auto restored = state_.restore(ready.snapshot->data);
    invariant(restored.has_value(), "a snapshot from the leader can be decoded");
    applied_ = ready.snapshot->meta.index;
    bytesSinceSnapshot_ = 0;
    // The results of the entries that the snapshot covers are not known here. The proposers send
    // again, which a waiter that stays would suppress.
    std::erase_if(waiters_, [&](const auto& waiter) { return waiter.first <= applied_; });
  }
  for (const auto& entry : ready.committed) {
    applyEntry(now, entry);
  }
  compactWhenDue();
  return {};
}

void ControlCore::applyEntry(Time /*now*/, const replication::Entry& entry)
{
  applied_ = entry.index;
  bytesSinceSnapshot_ += entry.payload.size();
  std::string result;
  if (entry.kind == replication::EntryKind::command) {
    const auto timed = wire::decode<TimedCommand>(entry.payload);
    if (timed) {
      lastStamp_ = std::max(lastStamp_, timed->time);
      result = state_.applyEncoded(entry.index, timed->time, timed->command).value_or("");
    }
  }
  const auto waiter = waiters_.find(entry.index);
  if (waiter == waiters_.end()) {
    return;
  }
  const bool own = waiter->second.term == entry.term && !result.empty();
  ledger::ProposeReply answer;
  answer.proposalId = waiter->second.proposalId;
  answer.accepted = own;
  answer.result = own ? std::move(result) : std::string();
  // A proposer that is a member reads its own state when it has applied this entry.
  node_.announceCommit(waiter->second.from);
  reply(waiter->second.from, std::move(answer));
  waiters_.erase(waiter);
}

void ControlCore::compactWhenDue()
{
  const bool due = applied_ >= node_.snapshotIndex() + config_.snapshotEntries ||
                   bytesSinceSnapshot_ >= config_.snapshotBytes;
  if (!due || applied_ <= node_.snapshotIndex()) {
    return;
  }
  bytesSinceSnapshot_ = 0;
  const auto compacted = node_.compact(applied_, state_.snapshot());
  invariant(compacted.has_value(), "an applied entry can be covered by a snapshot");
}

void ControlCore::sendReportRequests(Time now)
{
  if (now < nextReportRequest_) {
    return;
  }
  nextReportRequest_ = now + kHousekeepingInterval;
  for (const auto& [to, message] : state_.reportRequests()) {
    sendLedger(to, message);
  }
}

void ControlCore::promoteLearners(Time now)
{
  if (now < nextPromotion_) {
    return;
  }
  nextPromotion_ = now + kHousekeepingInterval;
  for (const auto& member : node_.members().members) {
    if (!member.voter) {
      using replication::MembershipChangeKind;
      // Refused until the learner has caught up; tried again at the next interval.
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
  dump.pendingProposals = waiters_.size();
  dump.claims = state_.claims().size();
  dump.keyedBills = state_.keyedBills();
  return dump;
}

} // namespace figchute::control
