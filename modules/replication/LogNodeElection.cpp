#include "core/Invariant.h"
#include "replication/LogNode.h"

#include <algorithm>
#include <utility>

namespace figchute::replication {

void LogNode::becomeFollower(Term term, std::optional<ProcessId> leader)
{
  if (term > hardState_.term) {
    hardState_ = HardState{ term, ProcessId() };
    hardStateChanged_ = true;
    // Chunks of two leaders must not be mixed: they may encode the same state differently.
    incomingSnapshotMeta_ = {};
    incomingSnapshotData_.clear();
  }
  role_ = Role::follower;
  leader_ = std::move(leader);
  grantedVotes_.clear();
  progress_.clear();
  resetElectionDeadline();
}

void LogNode::startElection(bool preVote)
{
  leader_.reset();
  if (preVote) {
    role_ = Role::preCandidate;
  } else {
    role_ = Role::candidate;
    hardState_ = HardState{ hardState_.term + 1, config_.self };
    hardStateChanged_ = true;
  }
  grantedVotes_ = { { config_.self, diskId_ } };
  resetElectionDeadline();
  const Term term = preVote ? hardState_.term + 1 : hardState_.term;
  for (const auto& member : members().members) {
    if (member.voter && member.id.process != config_.self) {
      send(member.id.process, VoteRequest{ diskId_, term, preVote, lastIndex(), lastTerm() });
    }
  }
  countVotes();
}

void LogNode::countVotes()
{
  std::size_t grantedCount = 0;
  for (const auto& member : members().members) {
    const auto vote = grantedVotes_.find(member.id.process);
    const bool isValid = member.voter && vote != grantedVotes_.end() &&
                         (member.id.diskId.empty() || member.id.diskId == vote->second);
    grantedCount += isValid ? 1U : 0U;
  }
  if (grantedCount < members().quorum()) {
    return;
  }
  if (role_ == Role::preCandidate) {
    startElection(false);
  } else {
    becomeLeader();
  }
}

Membership LogNode::membersWithVoterDiskIds() const
{
  Membership result = members();
  for (auto& member : result.members) {
    const auto vote = grantedVotes_.find(member.id.process);
    if (member.voter && member.id.diskId.empty() && vote != grantedVotes_.end()) {
      member.id.diskId = vote->second;
    }
  }
  return result;
}

void LogNode::becomeLeader()
{
  role_ = Role::leader;
  leader_ = config_.self;
  leaderSince_ = now_;
  progress_.clear();
  updateProgressList();
  if (lastIndex() == 0) {
    appendToLog(EntryKind::membership, wire::encode(membersWithVoterDiskIds()));
  } else {
    appendToLog(EntryKind::noop, {});
  }
  termStartIndex_ = lastIndex();
  lastHeartbeatAt_ = now_;
}

void LogNode::stepDownIfRemoved()
{
  if (isVoter() || hasUncommittedMembership()) {
    return;
  }
  // Reports to the remaining members that the removal is committed before this node stops leading.
  broadcastHeartbeat();
  becomeFollower(hardState_.term, std::nullopt);
}

void LogNode::resetElectionDeadline()
{
  electionDeadline_ = now_ + Duration(random_.between(config_.minElectionTimeout.count(),
                                                      config_.maxElectionTimeout.count()));
}

bool LogNode::isUpToDate(const VoteRequest& request) const
{
  return std::pair(request.lastTerm, request.lastIndex) >= std::pair(lastTerm(), lastIndex());
}

void LogNode::handle(const ProcessId& from, const VoteRequest& request)
{
  // Ignores the request while the leader is reachable, so that a returning member does not depose
  // it.
  if (role_ == Role::leader || now_ - lastLeaderContactAt_ < config_.minElectionTimeout) {
    return;
  }
  if (request.preVote) {
    const bool granted = request.term > hardState_.term && isUpToDate(request);
    send(from, VoteReply{ diskId_, granted ? request.term : hardState_.term, true, granted });
    return;
  }
  if (request.term > hardState_.term) {
    becomeFollower(request.term, std::nullopt);
  }
  // The vote is granted again only to the same disk: a candidate that was elected and then lost its
  // disk may request votes again in a term that already has a leader.
  const bool canVote =
    hardState_.vote.empty() || (hardState_.vote == from && voteDiskId_ == request.diskId);
  const bool granted = request.term == hardState_.term && canVote && isUpToDate(request);
  if (granted) {
    hardStateChanged_ = hardStateChanged_ || hardState_.vote != from;
    hardState_.vote = from;
    voteDiskId_ = request.diskId;
    resetElectionDeadline();
  }
  send(from, VoteReply{ diskId_, hardState_.term, false, granted });
}

void LogNode::handle(const ProcessId& from, const VoteReply& reply)
{
  if (hasOtherDiskId(from, reply.diskId)) {
    return;
  }
  if (reply.term > hardState_.term && !(reply.preVote && reply.granted)) {
    becomeFollower(reply.term, std::nullopt);
    return;
  }
  const bool answersPreVote =
    reply.preVote && role_ == Role::preCandidate && reply.term == hardState_.term + 1;
  const bool answersVote =
    !reply.preVote && role_ == Role::candidate && reply.term == hardState_.term;
  if (reply.granted && (answersPreVote || answersVote)) {
    grantedVotes_[from] = reply.diskId;
    countVotes();
  }
}

bool LogNode::acceptLeader(const ProcessId& from,
                           Term term,
                           const std::string& targetDiskId,
                           Time sentAt)
{
  if (!targetDiskId.empty() && targetDiskId != diskId_) {
    return false;
  }
  if (term < hardState_.term) {
    send(from, AppendReply{ diskId_, hardState_.term, false, 0, 0, 0, sentAt });
    return false;
  }
  invariant(role_ != Role::leader || term > hardState_.term, "a term has one leader");
  if (term > hardState_.term || role_ != Role::follower) {
    becomeFollower(term, from);
  }
  leader_ = from;
  lastLeaderContactAt_ = now_;
  resetElectionDeadline();
  return true;
}

Time LogNode::quorumContactAt(Time now) const
{
  std::vector<Time> contactTimes;
  for (const auto& member : members().members) {
    if (!member.voter) {
      continue;
    }
    const auto progressEntry = progress_.find(member.id.process);
    contactTimes.push_back(progressEntry == progress_.end() ? now
                                                            : progressEntry->second.lastContactAt);
  }
  const std::size_t quorum = members().quorum();
  if (contactTimes.size() < quorum || quorum == 0) {
    return Time{};
  }
  std::sort(contactTimes.begin(), contactTimes.end(), std::greater<>());
  return contactTimes[quorum - 1];
}

} // namespace figchute::replication
