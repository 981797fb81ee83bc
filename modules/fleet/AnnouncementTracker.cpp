#include "fleet/AnnouncementTracker.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace figchute::fleet {

std::optional<EndpointCommand> AnnouncementTracker::announce(Time now,
                                                             const Announcement& announcement)
{
  const auto effect = state_->endpoints.classify(announcement);
  if (effect == AnnouncementEffect::outdated || isSuperseded(announcement)) {
    return std::nullopt;
  }
  const IncarnationKey key{ announcement.id, announcement.startedAtMs };
  const bool startsAgain = startsWarmup(now, announcement, effect, incarnations_[key]);
  const bool committed = effect == AnnouncementEffect::unchanged && !startsAgain;
  auto& state = recordAnnouncement(now, key, announcement.sequence, committed);
  state.lastReceivedHereAt = now;
  if (committed) {
    return std::nullopt;
  }
  return PutEndpoint{ announcement };
}

bool AnnouncementTracker::startsWarmup(Time now,
                                       const Announcement& announcement,
                                       AnnouncementEffect effect,
                                       IncarnationState& state) const
{
  const auto committedSequence = state_->endpoints.sequenceOf(announcement.id);
  if (const auto* record = state_->endpoints.find(announcement.id)) {
    updateWarmupEnd(now, *record, state);
  }
  const auto end = now + std::chrono::milliseconds(announcement.warmupMs);
  if (announcement.sequence <= committedSequence) {
    return false;
  }
  if (announcement.warmupMs <= 0) {
    return false;
  }
  if (effect == AnnouncementEffect::unchanged && end - state.warmupEnd <= kWarmupTolerance) {
    return false;
  }
  state.newWarmupEnd = end;
  state.newWarmupSequence = announcement.sequence;
  return true;
}

void AnnouncementTracker::updateWarmupEnd(Time now,
                                          const EndpointRecord& record,
                                          IncarnationState& state)
{
  if (record.revision == state.warmupRevision) {
    return;
  }
  state.warmupRevision = record.revision;
  const bool isOwn = state.newWarmupEnd && record.sequence == state.newWarmupSequence;
  state.warmupEnd = isOwn ? *state.newWarmupEnd : now + std::chrono::milliseconds(record.warmupMs);
}

bool AnnouncementTracker::isSuperseded(const Announcement& announcement) const
{
  const auto nextIncarnation =
    incarnations_.upper_bound({ announcement.id, std::numeric_limits<std::int64_t>::max() });
  if (nextIncarnation == incarnations_.begin() ||
      std::prev(nextIncarnation)->first.first != announcement.id) {
    return false;
  }
  const auto& [key, state] = *std::prev(nextIncarnation);
  // A later announcement that is not committed yet must not lead to the acknowledgement of this
  // one.
  return state.committed && std::tie(announcement.startedAtMs, announcement.sequence) <
                              std::tie(key.second, state.sequence);
}

std::optional<EndpointCommand> AnnouncementTracker::withdraw(const EndpointId& id) const
{
  auto command = state_->endpoints.removalOf(id);
  if (state_->endpoints.isRemoved(command.id, command.startedAtMs)) {
    return std::nullopt;
  }
  return command;
}

AnnouncementTracker::IncarnationState& AnnouncementTracker::recordAnnouncement(
  Time lastAnnouncedAt,
  const IncarnationKey& key,
  std::uint64_t sequence,
  bool committed)
{
  auto& state = incarnations_[key];
  if (sequence >= state.sequence) {
    state.sequence = sequence;
    state.committed = committed;
  }
  state.lastAnnouncedAt = std::max(state.lastAnnouncedAt, lastAnnouncedAt);
  return state;
}

void AnnouncementTracker::mergeAnnouncements(Time now,
                                             std::span<const ReceivedAnnouncement> announcements)
{
  for (const auto& received : announcements) {
    const auto lastAnnouncedAt =
      now - std::chrono::milliseconds(std::max<std::int64_t>(received.ageMs, 0));
    recordAnnouncement(
      lastAnnouncedAt, { received.endpoint, received.startedAtMs }, received.sequence, false);
  }
}

std::vector<ReceivedAnnouncement> AnnouncementTracker::recentAnnouncements(Time now) const
{
  std::vector<ReceivedAnnouncement> announcements;
  for (const auto& [key, state] : incarnations_) {
    if (state.lastReceivedHereAt && now - *state.lastReceivedHereAt <= kReportWindow) {
      const auto age =
        std::chrono::duration_cast<std::chrono::milliseconds>(now - *state.lastReceivedHereAt);
      announcements.push_back({ key.first, key.second, age.count(), state.sequence });
    }
  }
  return announcements;
}

void AnnouncementTracker::setLeader(Time now, bool leader)
{
  if (leader && !leader_) {
    restartTimers(now);
  }
  leader_ = leader;
}

void AnnouncementTracker::restartTimers(Time now)
{
  timersStartedAt_ = now;
  lastCheckAt_ = now;
}

std::vector<ExpireEndpoint> AnnouncementTracker::proposeExpirations(Time now)
{
  if (now - lastCheckAt_ > kMaxCheckInterval) {
    restartTimers(now);
  }
  lastCheckAt_ = now;
  std::erase_if(incarnations_, [this, now](const auto& entry) {
    const auto* record = state_->endpoints.find(entry.first.first);
    const bool isRegistered = record != nullptr && record->startedAtMs == entry.first.second;
    return !isRegistered && now - entry.second.lastAnnouncedAt > kStateRetention;
  });
  std::vector<ExpireEndpoint> commands;
  for (const auto& record : state_->endpoints.records()) {
    // The timer of a record that another process registered starts at the first check. Followers
    // check too, because otherwise it would start after the election at a new leader.
    auto& state =
      incarnations_
        .try_emplace({ record.id, record.startedAtMs }, IncarnationState{ 0, false, now, {}, {} })
        .first->second;
    updateWarmupEnd(now, record, state);
    const bool isSilent = now - std::max(state.lastAnnouncedAt, timersStartedAt_) >= kExpiryTimeout;
    const bool isProposalDue =
      !state.proposedAt || now - *state.proposedAt >= kProposalRetryInterval;
    if (leader_ && isSilent && isProposalDue) {
      state.proposedAt = now;
      const auto sequence = std::max(state.sequence, state_->endpoints.sequenceOf(record.id));
      commands.push_back({ record.id, record.startedAtMs, sequence });
    }
  }
  return commands;
}

} // namespace figchute::fleet
