#include "core/Invariant.h"
#include "replication/LogNode.h"

#include <algorithm>
#include <utility>

namespace figchute::replication {

void LogNode::becomeFollower(Term term, std::optional<ProcessId> leader)
{
  if (term > hard_.term) {
    hard_ = HardState{ term, ProcessId() };
    hardChanged_ = true;
    // Two leaders may encode the same state as different bytes.
    receivingMeta_ = {};
    receiving_.clear();
  }
  role_ = Role::follower;
  leader_ = std::move(leader);
  votes_.clear();
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
    hard_ = HardState{ hard_.term + 1, config_.self };
    hardChanged_ = true;
  }
  votes_ = { { config_.self, diskId_ } };
  resetElectionDeadline();
  const Term term = preVote ? hard_.term + 1 : hard_.term;
  for (const auto& member : members().members) {
    if (member.voter && member.id.process != config_.self) {
      send(member.id.process, VoteRequest{ diskId_, term, preVote, lastIndex(), lastTerm() });
    }
  }
  countVotes();
}

void LogNode::countVotes()
{
  std::size_t granted = 0;
  for (const auto& member : members().members) {
    const auto vote = votes_.find(member.id.process);
    const bool counts = member.voter && vote != votes_.end() &&
                        (member.id.diskId.empty() || member.id.diskId == vote->second);
    granted += counts ? 1U : 0U;
  }
  if (granted < members().quorum()) {
    return;
  }
  if (role_ == Role::preCandidate) {
    startElection(false);
  } else {
    becomeLeader();
  }
}

Membership LogNode::boundMembers() const
{
  Membership bound = members();
  for (auto& member : bound.members) {
    const auto vote = votes_.find(member.id.process);
    if (member.voter && member.id.diskId.empty() && vote != votes_.end()) {
      member.id.diskId = vote->second;
    }
  }
  return bound;
}

void LogNode::becomeLeader()
{
  role_ = Role::leader;
  leader_ = config_.self;
  leaderSince_ = now_;
  progress_.clear();
  syncProgressWithMembers();
  if (lastIndex() == 0) {
    appendOwn(EntryKind::membership, wire::encode(boundMembers()));
  } else {
    appendOwn(EntryKind::noop, {});
  }
  termStart_ = lastIndex();
  heartbeatAt_ = now_;
}

void LogNode::stepDownWhenRemoved()
{
  if (isVoter() || membershipPending()) {
    return;
  }
  // The remaining members learn that the removal is committed before the leader goes silent.
  broadcastHeartbeat();
  becomeFollower(hard_.term, std::nullopt);
}

void LogNode::resetElectionDeadline()
{
  electionDeadline_ =
    now_ + Duration(random_.between(config_.electionMin.count(), config_.electionMax.count()));
}

bool LogNode::isUpToDate(const VoteRequest& request) const
{
  return std::pair(request.lastTerm, request.lastIndex) >= std::pair(lastTerm(), lastIndex());
}

void LogNode::handle(const ProcessId& from, const VoteRequest& request)
{
  // A leader in reach keeps its followers, so a member that comes back does not depose it.
  if (role_ == Role::leader || now_ - leaderHeardAt_ < config_.electionMin) {
    return;
  }
  if (request.preVote) {
    const bool granted = request.term > hard_.term && isUpToDate(request);
    send(from, VoteReply{ diskId_, granted ? request.term : hard_.term, true, granted });
    return;
  }
  if (request.term > hard_.term) {
    becomeFollower(request.term, std::nullopt);
  }
  // A candidate that lost its disk after it was elected asks again in a term that has had a leader.
  const bool free = hard_.vote.empty() || (hard_.vote == from && voteDiskId_ == request.diskId);
  const bool granted = request.term == hard_.term && free && isUpToDate(request);
  if (granted) {
    hardChanged_ = hardChanged_ || hard_.vote != from;
    hard_.vote = from;
    voteDiskId_ = request.diskId;
    resetElectionDeadline();
  }
  send(from, VoteReply{ diskId_, hard_.term, false, granted });
}

void LogNode::handle(const ProcessId& from, const VoteReply& reply)
{
  if (isForeignDisk(from, reply.diskId)) {
    return;
  }
  if (reply.term > hard_.term && !(reply.preVote && reply.granted)) {
    becomeFollower(reply.term, std::nullopt);
    return;
  }
  const bool answersPreVote =
    reply.preVote && role_ == Role::preCandidate && reply.term == hard_.term + 1;
  const bool answersVote = !reply.preVote && role_ == Role::candidate && reply.term == hard_.term;
  if (reply.granted && (answersPreVote || answersVote)) {
    votes_[from] = reply.diskId;
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
  if (term < hard_.term) {
    send(from, AppendReply{ diskId_, hard_.term, false, 0, 0, 0, sentAt });
    return false;
  }
  invariant(role_ != Role::leader || term > hard_.term, "a term has one leader");
  if (term > hard_.term || role_ != Role::follower) {
    becomeFollower(term, from);
  }
  leader_ = from;
  leaderHeardAt_ = now_;
  resetElectionDeadline();
  return true;
}

Time LogNode::quorumHeardAt(Time now) const
{
  std::vector<Time> heard;
  for (const auto& member : members().members) {
    if (!member.voter) {
      continue;
    }
    const auto found = progress_.find(member.id.process);
    heard.push_back(found == progress_.end() ? now : found->second.heardAt);
  }
  const std::size_t quorum = members().quorum();
  if (heard.size() < quorum || quorum == 0) {
    return Time{};
  }
  std::sort(heard.begin(), heard.end(), std::greater<>());
  return heard[quorum - 1];
}

} // namespace figchute::replication
