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
    send(from, AppendReply{ diskId_, hard_.term, false, 0, lastIndex() + 1, 0, request.sentAt });
    return;
  }
  // Entries up to the commit index equal those of every later leader.
  if (request.prevIndex > commit_ && termAt(request.prevIndex) != request.prevTerm) {
    send(from,
         AppendReply{ diskId_,
                      hard_.term,
                      false,
                      0,
                      conflictStart(request.prevIndex),
                      termAt(request.prevIndex),
                      request.sentAt });
    return;
  }
  followLog(request.entries);
  const LogIndex matched = request.prevIndex + request.entries.size();
  commit_ = std::max(commit_, std::min({ request.commit, matched, lastIndex() }));
  if (commit_ >= request.commit) {
    caughtUpAt_ = now_;
  }
  replyMatched(from, matched, request.sentAt);
}

void LogNode::followLog(const std::vector<Entry>& entries)
{
  for (const auto& entry : entries) {
    if (entry.index <= commit_ || hasEntry(entry.index, entry.term)) {
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

void LogNode::replyMatched(const ProcessId& to, LogIndex matched, Time sentAt)
{
  send(to, AppendReply{ diskId_, hard_.term, true, matched, 0, 0, sentAt });
}

void LogNode::handle(const ProcessId& from, const SnapshotChunk& chunk)
{
  if (!acceptLeader(from, chunk.term, chunk.targetDiskId, chunk.sentAt)) {
    return;
  }
  if (hasEntry(chunk.meta.index, chunk.meta.term) || chunk.meta.index <= commit_) {
    commit_ = std::max(commit_, chunk.meta.index);
    replyMatched(from, chunk.meta.index, chunk.sentAt);
    return;
  }
  if (receivingMeta_ != chunk.meta) {
    receivingMeta_ = chunk.meta;
    receiving_.clear();
  }
  if (chunk.offset == receiving_.size()) {
    receiving_ += chunk.data;
    if (chunk.last) {
      installSnapshot();
      replyMatched(from, snapshot_.meta.index, chunk.sentAt);
      return;
    }
  }
  send(from,
       SnapshotReply{ diskId_, hard_.term, chunk.meta.index, receiving_.size(), chunk.sentAt });
}

void LogNode::installSnapshot()
{
  snapshot_ = Snapshot{ std::exchange(receivingMeta_, {}), std::exchange(receiving_, {}) };
  const LogIndex index = snapshot_.meta.index;
  entries_.clear();
  base_ = index;
  baseTerm_ = snapshot_.meta.term;
  memberships_ = { { index, snapshot_.meta.members } };
  commit_ = index;
  applied_ = index;
  taken_ = index;
  persisting_ = index;
  persisted_ = index;
  snapshotReady_ = true;
  restoreReady_ = true;
}

void LogNode::handle(const ProcessId& from, const AppendReply& reply)
{
  Progress* progress = progressOf(from, reply.diskId, reply.term, reply.sentAt);
  if (progress == nullptr) {
    return;
  }
  if (!reply.accepted) {
    if (reply.conflictIndex <= progress->matched) {
      return;
    }
    const LogIndex known = reply.conflictTerm == 0 ? 0 : lastOfTerm(reply.conflictTerm);
    const LogIndex next = known == 0 ? reply.conflictIndex : known + 1;
    progress->next = std::clamp(next, progress->matched + 1, progress->next);
    progress->probing = true;
    progress->inFlight.clear();
    // While a snapshot chunk is on the way, a refused heartbeat must not send it again.
    progress->paused = progress->paused && progress->snapshotIndex > 0;
    return;
  }
  invariant(reply.matched <= lastIndex(), "a member matches no more than the leader has");
  progress->probing = false;
  progress->paused = false;
  progress->matched = std::max(progress->matched, reply.matched);
  progress->next = std::max(progress->next, progress->matched + 1);
  std::erase_if(progress->inFlight, [&](LogIndex index) { return index <= progress->matched; });
  if (progress->next > base_) {
    progress->snapshotIndex = 0;
  }
  advanceCommit();
}

void LogNode::handle(const ProcessId& from, const SnapshotReply& reply)
{
  Progress* progress = progressOf(from, reply.diskId, reply.term, reply.sentAt);
  if (progress == nullptr || reply.index != progress->snapshotIndex) {
    return;
  }
  if (reply.nextOffset > progress->snapshotOffset || reply.nextOffset == 0) {
    progress->snapshotOffset = reply.nextOffset;
    progress->paused = false;
  }
}

LogNode::Progress* LogNode::progressOf(const ProcessId& from,
                                       const std::string& diskId,
                                       Term term,
                                       Time sentAt)
{
  if (isForeignDisk(from, diskId)) {
    return nullptr;
  }
  if (term > hard_.term) {
    becomeFollower(term, std::nullopt);
    return nullptr;
  }
  const auto found = progress_.find(from);
  if (role_ != Role::leader || term < hard_.term || found == progress_.end()) {
    return nullptr;
  }
  Progress& progress = found->second;
  if (progress.diskId != diskId) {
    // A late reply from the disk that a learner lost must not replace the id of its new disk.
    if (!progress.diskId.empty() && sentAt <= progress.heardAt) {
      return nullptr;
    }
    const bool first = progress.diskId.empty();
    progress.diskId = diskId;
    if (!first) {
      progress.matched = 0;
      progress.probing = true;
      progress.inFlight.clear();
      progress.snapshotIndex = 0;
    }
  }
  progress.heardAt = std::max(progress.heardAt, sentAt);
  return &progress;
}

void LogNode::syncProgressWithMembers()
{
  std::erase_if(progress_, [&](const auto& item) { return members().find(item.first) == nullptr; });
  for (const auto& member : members().members) {
    if (member.id.process == config_.self) {
      continue;
    }
    const auto [place, added] = progress_.try_emplace(member.id.process);
    if (added) {
      place->second.diskId = member.id.diskId;
      place->second.next = lastIndex() + 1;
      place->second.heardAt = now_ - config_.electionMin;
    }
  }
}

void LogNode::sendPending(const ProcessId& to, Progress& progress)
{
  if (progress.next <= base_) {
    const bool inReach = now_ - progress.heardAt < config_.electionMin;
    const bool lost = now_ - progress.chunkSentAt >= config_.electionMin;
    if (!progress.paused || (inReach && lost)) {
      sendSnapshotChunk(to, progress);
    }
    return;
  }
  if (progress.probing) {
    if (!progress.paused) {
      sendAppend(to, progress, false);
      progress.paused = true;
    }
    return;
  }
  while (progress.inFlight.size() < config_.maxInFlight && progress.next <= lastIndex()) {
    sendAppend(to, progress, true);
  }
}

void LogNode::sendHeartbeat(const ProcessId& to, Progress& progress)
{
  if (now_ - progress.heardAt >= config_.electionMin) {
    progress.probing = true;
    progress.inFlight.clear();
  }
  // When an append was lost, the member refuses this one, whose previous entry it does not have.
  sendAppend(to, progress, false);
}

void LogNode::sendAppend(const ProcessId& to, Progress& progress, bool withEntries)
{
  const LogIndex previous = std::max(progress.next - 1, base_);
  AppendRequest request{ diskId_,          diskIdOf(to), hard_.term, previous,
                         termAt(previous), {},           commit_,    now_ };
  std::size_t bytes = 0;
  LogIndex next = progress.next;
  while (withEntries && next <= lastIndex()) {
    bytes += entryAt(next).payload.size();
    if (!request.entries.empty() && bytes > config_.maxAppendBytes) {
      break;
    }
    request.entries.push_back(entryAt(next));
    ++next;
  }
  if (!request.entries.empty()) {
    progress.next = next;
    progress.inFlight.push_back(next - 1);
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
  const bool last = offset + data.size() == snapshot_.data.size();
  send(to,
       SnapshotChunk{
         diskId_, diskIdOf(to), hard_.term, snapshot_.meta, offset, std::move(data), last, now_ });
  progress.paused = true;
  progress.chunkSentAt = now_;
}

std::string LogNode::diskIdOf(const ProcessId& process) const
{
  const auto* member = members().find(process);
  return member == nullptr ? std::string() : member->id.diskId;
}

void LogNode::announceCommit(const ProcessId& to)
{
  const auto found = progress_.find(to);
  if (role_ == Role::leader && found != progress_.end()) {
    sendAppend(to, found->second, false);
  }
}

void LogNode::broadcastHeartbeat()
{
  heartbeatAt_ = now_;
  for (auto& [process, progress] : progress_) {
    sendHeartbeat(process, progress);
  }
}

void LogNode::advanceCommit()
{
  std::vector<LogIndex> matched;
  for (const auto& member : members().members) {
    if (!member.voter) {
      continue;
    }
    const auto found = progress_.find(member.id.process);
    matched.push_back(found == progress_.end() ? persisted_ : found->second.matched);
  }
  const std::size_t quorum = members().quorum();
  if (matched.size() < quorum || quorum == 0) {
    return;
  }
  std::sort(matched.begin(), matched.end(), std::greater<>());
  const LogIndex index = matched[quorum - 1];
  if (index > commit_ && termAt(index) == hard_.term) {
    commit_ = index;
    stepDownWhenRemoved();
  }
}

} // namespace figchute::replication
