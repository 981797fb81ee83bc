#include "replication/LogNode.h"

#include "core/Invariant.h"

#include <algorithm>
#include <utility>

namespace figchute::replication {

std::string_view toString(Role role)
{
  switch (role) {
    case Role::follower:
      return "follower";
    case Role::preCandidate:
      return "precandidate";
    case Role::candidate:
      return "candidate";
    case Role::leader:
      break;
  }
  return "leader";
}

LogNode::LogNode(LogConfig config, RecoveredState recovered, Time now)
  : config_(std::move(config))
  , diskId_(std::move(recovered.diskId))
  , random_(config_.seed)
  , hardState_(std::move(recovered.hardState))
  , entries_(std::move(recovered.entries))
  , baseIndex_(recovered.snapshot.meta.index)
  , baseTerm_(recovered.snapshot.meta.term)
  , snapshot_(std::move(recovered.snapshot))
  , commitIndex_(baseIndex_)
  , appliedIndex_(baseIndex_)
  , takenIndex_(baseIndex_ + entries_.size())
  , persistedIndex_(takenIndex_)
  , persistingIndex_(takenIndex_)
  , now_(now)
  , lastLeaderContactAt_(now)
{
  invariant(!diskId_.empty(), "a log node has a disk id");
  invariant(config_.minElectionTimeout > config_.heartbeatInterval,
            "the election time-out exceeds the heartbeat interval");
  Membership& initialMembership = memberships_[baseIndex_];
  if (baseIndex_ > 0) {
    initialMembership = snapshot_.meta.members;
  } else {
    for (const auto& member : config_.initialMembers) {
      initialMembership.members.push_back(Member{ member, true });
    }
  }
  for (const auto& entry : entries_) {
    recordMembership(entry);
  }
  resetElectionDeadline();
}

void LogNode::tick(Time now)
{
  now_ = now;
  if (role_ == Role::leader) {
    if (now - std::max(quorumContactAt(now), leaderSince_) >= config_.minElectionTimeout) {
      becomeFollower(hardState_.term, std::nullopt);
    } else if (now - lastHeartbeatAt_ >= config_.heartbeatInterval) {
      broadcastHeartbeat();
    }
    return;
  }
  if (now >= electionDeadline_) {
    leader_.reset();
    if (isVoter()) {
      startElection(true);
    } else {
      resetElectionDeadline();
    }
  }
}

void LogNode::receive(Time now, const ProcessId& from, const Message& message)
{
  now_ = now;
  if (from == config_.self) {
    return;
  }
  std::visit([&](const auto& typedMessage) { handle(from, typedMessage); }, message);
}

Expected<LogIndex> LogNode::propose(Time now, std::string command)
{
  now_ = now;
  if (!isLeader(now)) {
    return fail(ErrorKind::noQuorum, "this process is not a leader in contact with a majority");
  }
  return appendToLog(EntryKind::command, std::move(command));
}

Expected<LogIndex> LogNode::proposeMembershipChange(Time now, const MembershipChange& change)
{
  now_ = now;
  if (!isLeader(now)) {
    return fail(ErrorKind::noQuorum, "this process is not a leader in contact with a majority");
  }
  // Until an entry of its own term is committed, a leader cannot always determine whether an
  // earlier change is committed.
  if (commitIndex_ < termStartIndex_ || hasUncommittedMembership()) {
    return fail(ErrorKind::overloaded, "an earlier membership change is not committed yet");
  }
  auto newMembership = membershipAfter(change);
  if (!newMembership) {
    return tl::unexpected(std::move(newMembership.error()));
  }
  return appendToLog(EntryKind::membership, wire::encode(*newMembership));
}

Expected<Membership> LogNode::membershipAfter(const MembershipChange& change) const
{
  Membership newMembership = members();
  const auto& process = change.member.process;
  const auto existingMember =
    std::find_if(newMembership.members.begin(),
                 newMembership.members.end(),
                 [&](const Member& member) { return member.id.process == process; });
  const bool isMember = existingMember != newMembership.members.end();
  if (change.kind == MembershipChangeKind::addLearner) {
    if (isMember || process.empty()) {
      return fail(ErrorKind::badRequest, "process \"" + process.value + "\" is already a member");
    }
    newMembership.members.push_back(Member{ change.member, false });
    return newMembership;
  }
  if (!isMember) {
    return fail(ErrorKind::badRequest, "process \"" + process.value + "\" is not a member");
  }
  if (change.kind == MembershipChangeKind::remove) {
    if (existingMember->voter && newMembership.voterCount() == 1) {
      return fail(ErrorKind::badRequest, "process \"" + process.value + "\" is the last voter");
    }
    newMembership.members.erase(existingMember);
    return newMembership;
  }
  if (existingMember->voter) {
    return fail(ErrorKind::badRequest, "process \"" + process.value + "\" is already a voter");
  }
  if (!hasCaughtUp(*existingMember)) {
    return fail(ErrorKind::overloaded, "learner \"" + process.value + "\" has not caught up");
  }
  existingMember->voter = true;
  existingMember->id.diskId = progress_.at(process).diskId;
  return newMembership;
}

bool LogNode::hasUncommittedMembership() const
{
  return memberships_.rbegin()->first > commitIndex_;
}

bool LogNode::hasCaughtUp(const Member& learner) const
{
  const auto progressEntry = progress_.find(learner.id.process);
  if (progressEntry == progress_.end()) {
    return false;
  }
  const Progress& progress = progressEntry->second;
  return !progress.diskId.empty() && progress.matchIndex >= commitIndex_ &&
         now_ - progress.lastContactAt < config_.minElectionTimeout;
}

Ready LogNode::takeReady(std::size_t maxCommitted)
{
  invariant(!awaitingPersist_, "the previous Ready is persisted before the next is taken");
  if (role_ == Role::leader) {
    for (auto& [process, progress] : progress_) {
      replicateTo(process, progress);
    }
  }
  Ready ready;
  if (hardStateChanged_) {
    ready.hardState = hardState_;
  }
  if (snapshotPending_) {
    ready.snapshot = snapshot_;
    ready.restoreState = restorePending_;
  }
  for (LogIndex index = takenIndex_ + 1; index <= lastIndex(); ++index) {
    ready.entries.push_back(entryAt(index));
  }
  while (appliedIndex_ < commitIndex_ && ready.committed.size() < maxCommitted) {
    ready.committed.push_back(entryAt(++appliedIndex_));
  }
  ready.messages = std::exchange(outgoing_, {});
  hardStateChanged_ = false;
  snapshotPending_ = false;
  restorePending_ = false;
  takenIndex_ = lastIndex();
  persistingIndex_ = takenIndex_;
  awaitingPersist_ = ready.needsSync();
  return ready;
}

void LogNode::confirmPersisted(Time now)
{
  now_ = now;
  invariant(awaitingPersist_, "confirmPersisted() follows a Ready that needed a sync");
  awaitingPersist_ = false;
  persistedIndex_ = persistingIndex_;
  if (role_ == Role::leader) {
    advanceCommit();
  }
}

Expected<void> LogNode::compact(LogIndex index, std::string snapshot)
{
  if (index > appliedIndex_ || index <= snapshot_.meta.index) {
    return fail(ErrorKind::badRequest,
                "a snapshot at " + std::to_string(index) + " is outside the range " +
                  std::to_string(snapshot_.meta.index + 1) + " to " +
                  std::to_string(appliedIndex_));
  }
  auto membership = std::prev(memberships_.upper_bound(index));
  snapshot_ =
    Snapshot{ SnapshotMeta{ index, termAt(index), membership->second }, std::move(snapshot) };
  snapshotPending_ = true;
  const LogIndex newBaseIndex =
    index > config_.trailingEntries ? index - config_.trailingEntries : 0;
  if (newBaseIndex > baseIndex_) {
    const Term newBaseTerm = termAt(newBaseIndex);
    entries_.erase(entries_.begin(),
                   entries_.begin() + static_cast<std::ptrdiff_t>(newBaseIndex - baseIndex_));
    baseIndex_ = newBaseIndex;
    baseTerm_ = newBaseTerm;
    memberships_.erase(memberships_.begin(), std::prev(memberships_.upper_bound(newBaseIndex)));
  }
  return {};
}

bool LogNode::isLeader(Time now) const
{
  return role_ == Role::leader && now - quorumContactAt(now) < config_.minElectionTimeout;
}

Time LogNode::nextDeadline() const
{
  if (role_ != Role::leader) {
    return electionDeadline_;
  }
  return std::min(lastHeartbeatAt_ + config_.heartbeatInterval,
                  std::max(quorumContactAt(now_), leaderSince_) + config_.minElectionTimeout);
}

LogState LogNode::state() const
{
  LogState state;
  state.self = config_.self;
  state.diskId = diskId_;
  state.role = role_;
  state.term = hardState_.term;
  state.vote = hardState_.vote;
  state.leader = leader_;
  state.firstIndex = baseIndex_ + 1;
  state.lastIndex = lastIndex();
  state.persistedIndex = persistedIndex_;
  state.commitIndex = commitIndex_;
  state.appliedIndex = appliedIndex_;
  state.snapshotIndex = snapshot_.meta.index;
  state.members = members();
  for (const auto& [process, progress] : progress_) {
    const auto* member = members().find(process);
    state.progress.push_back(MemberProgress{ MemberId{ process, progress.diskId },
                                             member != nullptr && member->voter,
                                             progress.matchIndex,
                                             progress.lastContactAt,
                                             progress.snapshotIndex > 0 });
  }
  return state;
}

LogIndex LogNode::appendToLog(EntryKind kind, std::string payload)
{
  entries_.push_back(Entry{ lastIndex() + 1, hardState_.term, kind, std::move(payload) });
  if (kind == EntryKind::membership) {
    recordMembership(entries_.back());
    updateProgressList();
  }
  return lastIndex();
}

void LogNode::truncateFrom(LogIndex index)
{
  invariant(index > commitIndex_, "a committed entry is never removed");
  entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index - baseIndex_ - 1),
                 entries_.end());
  memberships_.erase(memberships_.lower_bound(index), memberships_.end());
  takenIndex_ = std::min(takenIndex_, index - 1);
  persistingIndex_ = std::min(persistingIndex_, index - 1);
  persistedIndex_ = std::min(persistedIndex_, index - 1);
}

void LogNode::recordMembership(const Entry& entry)
{
  if (entry.kind != EntryKind::membership) {
    return;
  }
  auto members = wire::decode<Membership>(entry.payload);
  invariant(members.has_value(), "a membership entry can be decoded");
  memberships_[entry.index] = std::move(*members);
}

bool LogNode::isSelf(const MemberId& id) const
{
  return id.process == config_.self && (id.diskId.empty() || id.diskId == diskId_);
}

bool LogNode::isVoter() const
{
  const auto* member = members().find(config_.self);
  return member != nullptr && member->voter && isSelf(member->id);
}

bool LogNode::hasOtherDiskId(const ProcessId& from, const std::string& diskId) const
{
  const auto* member = members().find(from);
  return member != nullptr && !member->id.diskId.empty() && member->id.diskId != diskId;
}

Term LogNode::termAt(LogIndex index) const
{
  if (index == baseIndex_) {
    return baseTerm_;
  }
  invariant(index > baseIndex_ && index <= lastIndex(), "the entry is in the log");
  return entryAt(index).term;
}

bool LogNode::hasEntry(LogIndex index, Term term) const
{
  return index >= baseIndex_ && index <= lastIndex() && termAt(index) == term;
}

LogIndex LogNode::firstConflictIndex(LogIndex index) const
{
  const Term term = termAt(index);
  while (index > commitIndex_ + 1 && termAt(index - 1) == term) {
    --index;
  }
  return index;
}

LogIndex LogNode::lastIndexOfTerm(Term term) const
{
  for (LogIndex index = lastIndex(); index > baseIndex_ && entryAt(index).term >= term; --index) {
    if (entryAt(index).term == term) {
      return index;
    }
  }
  return 0;
}

void LogNode::send(const ProcessId& to, Message message)
{
  outgoing_.push_back(OutgoingMessage{ to, std::move(message) });
}

} // namespace figchute::replication
