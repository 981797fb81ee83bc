#include "fleet/AnnouncementDesk.h"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace figchute::fleet {

std::optional<EndpointCommand> AnnouncementDesk::announce(Time now,
                                                          const Announcement& announcement)
{
  const auto verdict = state_->endpoints.judge(announcement);
  if (verdict == AnnouncementVerdict::outdated || isSuperseded(announcement)) {
    return std::nullopt;
  }
  const bool settled = verdict == AnnouncementVerdict::unchanged;
  auto& seen =
    note(now, { announcement.id, announcement.startedAtMs }, announcement.sequence, settled);
  seen.here = now;
  if (settled) {
    return std::nullopt;
  }
  return PutEndpoint{ announcement };
}

bool AnnouncementDesk::isSuperseded(const Announcement& announcement) const
{
  const auto after =
    seen_.upper_bound({ announcement.id, std::numeric_limits<std::int64_t>::max() });
  if (after == seen_.begin() || std::prev(after)->first.first != announcement.id) {
    return false;
  }
  const auto& [key, seen] = *std::prev(after);
  // A later announcement that is not committed yet must not cause an acknowledgement of this one.
  return seen.settled && std::tie(announcement.startedAtMs, announcement.sequence) <
                           std::tie(key.second, seen.sequence);
}

std::optional<EndpointCommand> AnnouncementDesk::withdraw(const RemoveEndpoint& command) const
{
  if (state_->endpoints.isRemoved(command.id, command.startedAtMs)) {
    return std::nullopt;
  }
  return command;
}

AnnouncementDesk::Seen& AnnouncementDesk::note(Time last,
                                               const IncarnationKey& key,
                                               std::uint64_t sequence,
                                               bool settled)
{
  auto& seen = seen_[key];
  if (sequence >= seen.sequence) {
    seen.sequence = sequence;
    seen.settled = settled;
  }
  seen.last = std::max(seen.last, last);
  return seen;
}

void AnnouncementDesk::heard(Time now, std::span<const Heard> batch)
{
  for (const auto& item : batch) {
    const auto last = now - std::chrono::milliseconds(std::max<std::int64_t>(item.ageMs, 0));
    note(last, { item.endpoint, item.startedAtMs }, item.sequence, false);
  }
}

std::vector<Heard> AnnouncementDesk::recent(Time now) const
{
  std::vector<Heard> batch;
  for (const auto& [key, seen] : seen_) {
    if (seen.here && now - *seen.here <= kReportWindow) {
      const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - *seen.here);
      batch.push_back({ key.first, key.second, age.count(), seen.sequence });
    }
  }
  return batch;
}

void AnnouncementDesk::setLeader(Time now, bool leader)
{
  if (leader && !leader_) {
    restartTimers(now);
  }
  leader_ = leader;
}

void AnnouncementDesk::restartTimers(Time now)
{
  countFrom_ = now;
  lastLook_ = now;
}

std::vector<ExpireEndpoint> AnnouncementDesk::proposeExpirations(Time now)
{
  if (now - lastLook_ > kLongestPause) {
    restartTimers(now);
  }
  lastLook_ = now;
  std::erase_if(seen_, [this, now](const auto& item) {
    const auto* record = state_->endpoints.find(item.first.first);
    const bool held = record != nullptr && record->startedAtMs == item.first.second;
    return !held && now - item.second.last > kForgetAfter;
  });
  std::vector<ExpireEndpoint> commands;
  for (const auto& record : state_->endpoints.records()) {
    // A record that another process entered counts from the first look at it, also by a follower.
    auto& seen = seen_.try_emplace({ record.id, record.startedAtMs }, Seen{ 0, false, now, {}, {} })
                   .first->second;
    const bool silent = now - std::max(seen.last, countFrom_) >= kExpireAfter;
    const bool due = !seen.proposed || now - *seen.proposed >= kProposeAgainAfter;
    if (leader_ && silent && due) {
      seen.proposed = now;
      const auto sequence = std::max(seen.sequence, state_->endpoints.sequenceOf(record.id));
      commands.push_back({ record.id, record.startedAtMs, sequence });
    }
  }
  return commands;
}

} // namespace figchute::fleet
