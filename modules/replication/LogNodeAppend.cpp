#include "core/Invariant.h"
#include "replication/LogNode.h"

#include <algorithm>
#include <utility>

namespace figchute::replication {

void LogNode::handle(const ProcessId& from, const AppendRequest& request)
{
  if (!acceptLeader(from, request.term, request.targetDiskId, request.sentAt)) {
    return;
  }
  if (request.prevIndex > lastIndex()) {
    send(from,
         AppendReply{ diskId_, hardState_.term, false, 0, lastIndex() + 1, 0, request.sentAt });
    return;
  }
  // Entries up to the commit index equal those of the leader, so only later ones can conflict.
  if (request.prevIndex > commitIndex_ && termAt(request.prevIndex) != request.prevTerm) {
    send(from,
         AppendReply{ diskId_,
                      hardState_.term,
                      false,
                      0,
                      firstConflictIndex(request.prevIndex),
                      termAt(request.prevIndex),
                      request.sentAt });
    return;
  }
  mergeEntries(request.entries);
  const LogIndex matchIndex = request.prevIndex + request.entries.size();
  commitIndex_ = std::max(commitIndex_, std::min({ request.commit, matchIndex, lastIndex() }));
  if (commitIndex_ >= request.commit) {
    caughtUpAt_ = now_;
  }
  sendAccepted(from, matchIndex, request.sentAt);
}

void LogNode::mergeEntries(const std::vector<Entry>& entries)
{
  for (const auto& entry : entries) {
    if (entry.index <= commitIndex_ || hasEntry(entry.index, entry.term)) {
      continue;
    }
    if (entry.index <= lastIndex()) {
      truncateFrom(entry.index);
    }
    invariant(entry.index == lastIndex() + 1, "appended entries leave no gap");
    entries_.push_back(entry);
    recordMembership(entry);
  }
}

void LogNode::sendAccepted(const ProcessId& to, LogIndex matchIndex, Time sentAt)
{
  send(to, AppendReply{ diskId_, hardState_.term, true, matchIndex, 0, 0, sentAt });
}

void LogNode::handle(const ProcessId& from, const SnapshotChunk& chunk)
{
  if (!acceptLeader(from, chunk.term, chunk.targetDiskId, chunk.sentAt)) {
    return;
  }
  if (hasEntry(chunk.meta.index, chunk.meta.term) || chunk.meta.index <= commitIndex_) {
    commitIndex_ = std::max(commitIndex_, chunk.meta.index);
    sendAccepted(from, chunk.meta.index, chunk.sentAt);
    return;
  }
  if (incomingSnapshotMeta_ != chunk.meta) {
    incomingSnapshotMeta_ = chunk.meta;
    incomingSnapshotData_.clear();
  }
  if (chunk.offset == incomingSnapshotData_.size()) {
    incomingSnapshotData_ += chunk.data;
    if (chunk.last) {
      installSnapshot();
      sendAccepted(from, snapshot_.meta.index, chunk.sentAt);
      return;
    }
  }
  send(from,
       SnapshotReply{
         diskId_, hardState_.term, chunk.meta.index, incomingSnapshotData_.size(), chunk.sentAt });
}

void LogNode::installSnapshot()
{
  snapshot_ =
    Snapshot{ std::exchange(incomingSnapshotMeta_, {}), std::exchange(incomingSnapshotData_, {}) };
  const LogIndex index = snapshot_.meta.index;
  entries_.clear();
  baseIndex_ = index;
  baseTerm_ = snapshot_.meta.term;
  memberships_ = { { index, snapshot_.meta.members } };
  commitIndex_ = index;
  appliedIndex_ = index;
  takenIndex_ = index;
  persistingIndex_ = index;
  persistedIndex_ = index;
  snapshotPending_ = true;
  restorePending_ = true;
}

void LogNode::handle(const ProcessId& from, const AppendReply& reply)
{
  Progress* progress = updateProgress(from, reply.diskId, reply.term, reply.sentAt);
  if (progress == nullptr) {
    return;
  }
  if (!reply.accepted) {
    if (reply.conflictIndex <= progress->matchIndex) {
      return;
    }
    const LogIndex lastKnownIndex =
      reply.conflictTerm == 0 ? 0 : lastIndexOfTerm(reply.conflictTerm);
    const LogIndex nextIndex = lastKnownIndex == 0 ? reply.conflictIndex : lastKnownIndex + 1;
    progress->nextIndex = std::clamp(nextIndex, progress->matchIndex + 1, progress->nextIndex);
    progress->probing = true;
    progress->inFlight.clear();
    // A rejected heartbeat must not send a snapshot chunk again that is still in flight.
    progress->awaitingReply = progress->awaitingReply && progress->snapshotIndex > 0;
    return;
  }
  invariant(reply.matchIndex <= lastIndex(),
            "a member matches no more entries than the leader has");
  progress->probing = false;
  progress->awaitingReply = false;
  progress->matchIndex = std::max(progress->matchIndex, reply.matchIndex);
  progress->nextIndex = std::max(progress->nextIndex, progress->matchIndex + 1);
  std::erase_if(progress->inFlight, [&](LogIndex index) { return index <= progress->matchIndex; });
  if (progress->nextIndex > baseIndex_) {
    progress->snapshotIndex = 0;
  }
  advanceCommit();
}

void LogNode::handle(const ProcessId& from, const SnapshotReply& reply)
{
  Progress* progress = updateProgress(from, reply.diskId, reply.term, reply.sentAt);
  if (progress == nullptr || reply.index != progress->snapshotIndex) {
    return;
  }
  if (reply.nextOffset > progress->snapshotOffset || reply.nextOffset == 0) {
    progress->snapshotOffset = reply.nextOffset;
    progress->awaitingReply = false;
  }
}

LogNode::Progress* LogNode::updateProgress(const ProcessId& from,
                                           const std::string& diskId,
                                           Term term,
                                           Time sentAt)
{
  if (hasOtherDiskId(from, diskId)) {
    return nullptr;
  }
  if (term > hardState_.term) {
    becomeFollower(term, std::nullopt);
    return nullptr;
  }
  const auto progressEntry = progress_.find(from);
  if (role_ != Role::leader || term < hardState_.term || progressEntry == progress_.end()) {
    return nullptr;
  }
  Progress& progress = progressEntry->second;
  if (progress.diskId != diskId) {
    // A delayed reply from a learner's lost disk must not replace the id of its new disk.
    if (!progress.diskId.empty() && sentAt <= progress.lastContactAt) {
      return nullptr;
    }
    const bool isFirstDisk = progress.diskId.empty();
    progress.diskId = diskId;
    if (!isFirstDisk) {
      progress.matchIndex = 0;
      progress.probing = true;
      progress.inFlight.clear();
      progress.snapshotIndex = 0;
    }
  }
  progress.lastContactAt = std::max(progress.lastContactAt, sentAt);
  return &progress;
}

void LogNode::updateProgressList()
{
  std::erase_if(progress_, [&](const auto& item) { return members().find(item.first) == nullptr; });
  for (const auto& member : members().members) {
    if (member.id.process == config_.self) {
      continue;
    }
    const auto [progressEntry, added] = progress_.try_emplace(member.id.process);
    if (added) {
      progressEntry->second.diskId = member.id.diskId;
      progressEntry->second.nextIndex = lastIndex() + 1;
      progressEntry->second.lastContactAt = now_ - config_.minElectionTimeout;
    }
  }
}

void LogNode::replicateTo(const ProcessId& to, Progress& progress)
{
  if (progress.nextIndex <= baseIndex_) {
    const bool isReachable = now_ - progress.lastContactAt < config_.minElectionTimeout;
    const bool isChunkLost = now_ - progress.chunkSentAt >= config_.minElectionTimeout;
    if (!progress.awaitingReply || (isReachable && isChunkLost)) {
      sendSnapshotChunk(to, progress);
    }
    return;
  }
  if (progress.probing) {
    if (!progress.awaitingReply) {
      sendAppend(to, progress, false);
      progress.awaitingReply = true;
    }
    return;
  }
  while (progress.inFlight.size() < config_.maxInFlightAppends &&
         progress.nextIndex <= lastIndex()) {
    sendAppend(to, progress, true);
  }
}

void LogNode::sendHeartbeat(const ProcessId& to, Progress& progress)
{
  if (now_ - progress.lastContactAt >= config_.minElectionTimeout) {
    progress.probing = true;
    progress.inFlight.clear();
  }
  // If an append was lost, the member lacks the previous entry and rejects the heartbeat, which
  // makes this node send the entries again.
  sendAppend(to, progress, false);
}

void LogNode::sendAppend(const ProcessId& to, Progress& progress, bool withEntries)
{
  const LogIndex previousIndex = std::max(progress.nextIndex - 1, baseIndex_);
  AppendRequest request{
    diskId_,      diskIdOf(to), hardState_.term, previousIndex, termAt(previousIndex), {},
    commitIndex_, now_
  };
  std::size_t payloadBytes = 0;
  LogIndex nextIndex = progress.nextIndex;
  while (withEntries && nextIndex <= lastIndex()) {
    payloadBytes += entryAt(nextIndex).payload.size();
    if (!request.entries.empty() && payloadBytes > config_.maxAppendBytes) {
      break;
    }
    request.entries.push_back(entryAt(nextIndex));
    ++nextIndex;
  }
  if (!request.entries.empty()) {
    progress.nextIndex = nextIndex;
    progress.inFlight.push_back(nextIndex - 1);
  }
  send(to, std::move(request));
}

void LogNode::sendSnapshotChunk(const ProcessId& to, Progress& progress)
{
  if (progress.snapshotIndex != snapshot_.meta.index) {
    progress.snapshotIndex = snapshot_.meta.index;
    progress.snapshotOffset = 0;
  }
  const std::size_t offset = std::min<std::size_t>(progress.snapshotOffset, snapshot_.data.size());
  std::string data = snapshot_.data.substr(offset, config_.maxAppendBytes);
  const bool isLastChunk = offset + data.size() == snapshot_.data.size();
  send(to,
       SnapshotChunk{ diskId_,
                      diskIdOf(to),
                      hardState_.term,
                      snapshot_.meta,
                      offset,
                      std::move(data),
                      isLastChunk,
                      now_ });
  progress.awaitingReply = true;
  progress.chunkSentAt = now_;
}

std::string LogNode::diskIdOf(const ProcessId& process) const
{
  const auto* member = members().find(process);
  return member == nullptr ? std::string() : member->id.diskId;
}

void LogNode::sendCommitIndex(const ProcessId& to)
{
  const auto progressEntry = progress_.find(to);
  if (role_ == Role::leader && progressEntry != progress_.end()) {
    sendAppend(to, progressEntry->second, false);
  }
}

void LogNode::broadcastHeartbeat()
{
  lastHeartbeatAt_ = now_;
  for (auto& [process, progress] : progress_) {
    sendHeartbeat(process, progress);
  }
}

void LogNode::advanceCommit()
{
  std::vector<LogIndex> matchIndexes;
  for (const auto& member : members().members) {
    if (!member.voter) {
      continue;
    }
    const auto progressEntry = progress_.find(member.id.process);
    matchIndexes.push_back(progressEntry == progress_.end() ? persistedIndex_
                                                            : progressEntry->second.matchIndex);
  }
  const std::size_t quorum = members().quorum();
  if (matchIndexes.size() < quorum || quorum == 0) {
    return;
  }
  std::sort(matchIndexes.begin(), matchIndexes.end(), std::greater<>());
  const LogIndex index = matchIndexes[quorum - 1];
  if (index > commitIndex_ && termAt(index) == hardState_.term) {
    commitIndex_ = index;
    stepDownIfRemoved();
  }
}

} // namespace figchute::replication
