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
  , hard_(std::move(recovered.hardState))
  , entries_(std::move(recovered.entries))
  , base_(recovered.snapshot.meta.index)
  , baseTerm_(recovered.snapshot.meta.term)
  , snapshot_(std::move(recovered.snapshot))
  , commit_(base_)
  , applied_(base_)
  , taken_(base_ + entries_.size())
  , persisted_(taken_)
  , persisting_(taken_)
  , now_(now)
  , leaderHeardAt_(now)
{
  invariant(!diskId_.empty(), "a log node has a disk id");
  invariant(config_.electionMin > config_.heartbeat, "the election time-out exceeds the heartbeat");
  Membership& first = memberships_[base_];
  if (base_ > 0) {
    first = snapshot_.meta.members;
  } else {
    for (const auto& member : config_.initialMembers) {
      first.members.push_back(Member{ member, true });
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
    if (now - std::max(quorumHeardAt(now), leaderSince_) >= config_.electionMin) {
      becomeFollower(hard_.term, std::nullopt);
    } else if (now - heartbeatAt_ >= config_.heartbeat) {
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
  std::visit([&](const auto& body) { handle(from, body); }, message);
}

Expected<LogIndex> LogNode::propose(Time now, std::string bytes)
{
  now_ = now;
  if (!isLeader(now)) {
    return fail(ErrorKind::noQuorum, "this process is not a leader with a majority in reach");
  }
  return appendOwn(EntryKind::command, std::move(bytes));
}

Expected<LogIndex> LogNode::proposeMembershipChange(Time now, const MembershipChange& change)
{
  now_ = now;
  if (!isLeader(now)) {
    return fail(ErrorKind::noQuorum, "this process is not a leader with a majority in reach");
  }
  // Without a committed entry of its own term, a leader may not know of an earlier change.
  if (commit_ < termStart_ || membershipPending()) {
    return fail(ErrorKind::overloaded, "an earlier membership change is not committed yet");
  }
  auto changed = changedMembers(change);
  if (!changed) {
    return tl::unexpected(std::move(changed.error()));
  }
  return appendOwn(EntryKind::membership, wire::encode(*changed));
}

Expected<Membership> LogNode::changedMembers(const MembershipChange& change) const
{
  Membership changed = members();
  const auto& process = change.member.process;
  const auto found =
    std::find_if(changed.members.begin(), changed.members.end(), [&](const Member& member) {
      return member.id.process == process;
    });
  const bool known = found != changed.members.end();
  if (change.kind == MembershipChangeKind::addLearner) {
    if (known || process.empty()) {
      return fail(ErrorKind::badRequest, "process \"" + process.value + "\" is a member already");
    }
    changed.members.push_back(Member{ change.member, false });
    return changed;
  }
  if (!known) {
    return fail(ErrorKind::badRequest, "process \"" + process.value + "\" is not a member");
  }
  if (change.kind == MembershipChangeKind::remove) {
    if (found->voter && changed.voterCount() == 1) {
      return fail(ErrorKind::badRequest, "process \"" + process.value + "\" is the last voter");
    }
    changed.members.erase(found);
    return changed;
  }
  if (found->voter) {
    return fail(ErrorKind::badRequest, "process \"" + process.value + "\" is a voter already");
  }
  if (!hasCaughtUp(*found)) {
    return fail(ErrorKind::overloaded, "learner \"" + process.value + "\" has not caught up");
  }
  found->voter = true;
  found->id.diskId = progress_.at(process).diskId;
  return changed;
}

bool LogNode::membershipPending() const
{
  return memberships_.rbegin()->first > commit_;
}

bool LogNode::hasCaughtUp(const Member& learner) const
{
  const auto found = progress_.find(learner.id.process);
  if (found == progress_.end()) {
    return false;
  }
  const Progress& progress = found->second;
  return !progress.diskId.empty() && progress.matched >= commit_ &&
         now_ - progress.heardAt < config_.electionMin;
}

Ready LogNode::takeReady()
{
  invariant(!persistPending_, "the previous Ready is persisted before the next is taken");
  if (role_ == Role::leader) {
    for (auto& [process, progress] : progress_) {
      sendPending(process, progress);
    }
  }
  Ready ready;
  if (hardChanged_) {
    ready.hardState = hard_;
  }
  if (snapshotReady_) {
    ready.snapshot = snapshot_;
    ready.restoreState = restoreReady_;
  }
  for (LogIndex index = taken_ + 1; index <= lastIndex(); ++index) {
    ready.entries.push_back(entryAt(index));
  }
  for (LogIndex index = applied_ + 1; index <= commit_; ++index) {
    ready.committed.push_back(entryAt(index));
  }
  ready.messages = std::exchange(outgoing_, {});
  hardChanged_ = false;
  snapshotReady_ = false;
  restoreReady_ = false;
  taken_ = lastIndex();
  persisting_ = taken_;
  applied_ = commit_;
  persistPending_ = ready.needsSync();
  return ready;
}

void LogNode::confirmPersisted(Time now)
{
  now_ = now;
  invariant(persistPending_, "persisted() follows a Ready that needed a sync");
  persistPending_ = false;
  persisted_ = persisting_;
  if (role_ == Role::leader) {
    advanceCommit();
  }
}

Expected<void> LogNode::compact(LogIndex index, std::string snapshot)
{
  if (index > applied_ || index <= snapshot_.meta.index) {
    return fail(ErrorKind::badRequest,
                "a snapshot at " + std::to_string(index) + " is outside " +
                  std::to_string(snapshot_.meta.index + 1) + " to " + std::to_string(applied_));
  }
  auto inForce = std::prev(memberships_.upper_bound(index));
  snapshot_ =
    Snapshot{ SnapshotMeta{ index, termAt(index), inForce->second }, std::move(snapshot) };
  snapshotReady_ = true;
  const LogIndex kept = index > config_.trailingEntries ? index - config_.trailingEntries : 0;
  if (kept > base_) {
    const Term keptTerm = termAt(kept);
    entries_.erase(entries_.begin(), entries_.begin() + static_cast<std::ptrdiff_t>(kept - base_));
    base_ = kept;
    baseTerm_ = keptTerm;
    memberships_.erase(memberships_.begin(), std::prev(memberships_.upper_bound(kept)));
  }
  return {};
}

bool LogNode::isLeader(Time now) const
{
  return role_ == Role::leader && now - quorumHeardAt(now) < config_.electionMin;
}

Time LogNode::nextDeadline() const
{
  if (role_ != Role::leader) {
    return electionDeadline_;
  }
  return std::min(heartbeatAt_ + config_.heartbeat,
                  std::max(quorumHeardAt(now_), leaderSince_) + config_.electionMin);
}

LogState LogNode::state() const
{
  LogState state;
  state.self = config_.self;
  state.diskId = diskId_;
  state.role = role_;
  state.term = hard_.term;
  state.vote = hard_.vote;
  state.leader = leader_;
  state.firstIndex = base_ + 1;
  state.lastIndex = lastIndex();
  state.persistedIndex = persisted_;
  state.commitIndex = commit_;
  state.appliedIndex = applied_;
  state.snapshotIndex = snapshot_.meta.index;
  state.members = members();
  for (const auto& [process, progress] : progress_) {
    const auto* member = members().find(process);
    state.progress.push_back(MemberProgress{ MemberId{ process, progress.diskId },
                                             member != nullptr && member->voter,
                                             progress.matched,
                                             progress.heardAt,
                                             progress.snapshotIndex > 0 });
  }
  return state;
}

LogIndex LogNode::appendOwn(EntryKind kind, std::string payload)
{
  entries_.push_back(Entry{ lastIndex() + 1, hard_.term, kind, std::move(payload) });
  if (kind == EntryKind::membership) {
    recordMembership(entries_.back());
    syncProgressWithMembers();
  }
  return lastIndex();
}

void LogNode::truncateFrom(LogIndex index)
{
  invariant(index > commit_, "a committed entry is never removed");
  entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index - base_ - 1), entries_.end());
  memberships_.erase(memberships_.lower_bound(index), memberships_.end());
  taken_ = std::min(taken_, index - 1);
  persisting_ = std::min(persisting_, index - 1);
  persisted_ = std::min(persisted_, index - 1);
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

bool LogNode::isForeignDisk(const ProcessId& from, const std::string& diskId) const
{
  const auto* member = members().find(from);
  return member != nullptr && !member->id.diskId.empty() && member->id.diskId != diskId;
}

Term LogNode::termAt(LogIndex index) const
{
  if (index == base_) {
    return baseTerm_;
  }
  invariant(index > base_ && index <= lastIndex(), "the entry is in the log");
  return entryAt(index).term;
}

bool LogNode::hasEntry(LogIndex index, Term term) const
{
  return index >= base_ && index <= lastIndex() && termAt(index) == term;
}

LogIndex LogNode::conflictStart(LogIndex index) const
{
  const Term term = termAt(index);
  while (index > commit_ + 1 && termAt(index - 1) == term) {
    --index;
  }
  return index;
}

LogIndex LogNode::lastOfTerm(Term term) const
{
  for (LogIndex index = lastIndex(); index > base_ && entryAt(index).term >= term; --index) {
    if (entryAt(index).term == term) {
      return index;
    }
  }
  return 0;
}

void LogNode::send(const ProcessId& to, Message message)
{
  outgoing_.push_back(Outgoing{ to, std::move(message) });
}

} // namespace figchute::replication
