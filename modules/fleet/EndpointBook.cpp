#include "fleet/EndpointBook.h"

#include <algorithm>
#include <tuple>

namespace figchute::fleet {
namespace {

/** The remaining warm-up falls with each announcement; only its end and a longer one are changes.
 */
bool sameWarmup(std::int64_t recorded, std::int64_t announced)
{
  return (recorded > 0) == (announced > 0) && announced <= recorded;
}

bool sameContent(const EndpointRecord& record, const Announcement& announcement)
{
  const auto& a = announcement;
  return std::tie(record.startedAtMs, record.service, record.address, record.zone) ==
           std::tie(a.startedAtMs, a.service, a.address, a.zone) &&
         record.slots == a.slots && record.state == a.state &&
         sameWarmup(record.warmupMs, a.warmupMs);
}

EndpointRecord recordOf(std::uint64_t revision, const Announcement& announcement)
{
  const auto& a = announcement;
  return { a.id,    a.service,  a.address,  a.zone,        a.slots,
           a.state, a.warmupMs, a.sequence, a.startedAtMs, revision };
}

} // namespace

AnnouncementVerdict EndpointBook::judge(const Announcement& announcement) const
{
  if (isBuried(announcement)) {
    return AnnouncementVerdict::outdated;
  }
  if (const auto found = entries_.find(announcement.id); found != entries_.end()) {
    const auto& [record, sequence] = found->second;
    if (std::tie(announcement.startedAtMs, announcement.sequence) <
        std::tie(record.startedAtMs, sequence)) {
      return AnnouncementVerdict::outdated;
    }
    if (sameContent(record, announcement)) {
      return AnnouncementVerdict::unchanged;
    }
  }
  // At equal start times the greater id wins, so that two endpoints do not replace each other in
  // turn.
  const auto* occupant = occupantOf(announcement);
  const bool late = occupant != nullptr && std::tie(announcement.startedAtMs, announcement.id) <
                                             std::tie(occupant->startedAtMs, occupant->id);
  return late ? AnnouncementVerdict::outdated : AnnouncementVerdict::changes;
}

bool EndpointBook::isBuried(const Announcement& announcement) const
{
  const auto found = tombstones_.find(announcement.id);
  if (found == tombstones_.end() || announcement.startedAtMs > found->second.startedAtMs) {
    return false;
  }
  const auto& tombstone = found->second;
  if (announcement.startedAtMs < tombstone.startedAtMs ||
      announcement.sequence <= tombstone.sequence) {
    return true;
  }
  switch (tombstone.reason) {
    case TombstoneReason::removed:
      return true;
    case TombstoneReason::expired:
      return false;
    case TombstoneReason::replaced:
      break;
  }
  return announcement.address == tombstone.address;
}

const EndpointRecord* EndpointBook::occupantOf(const Announcement& announcement) const
{
  const auto found = byAddress_.find(announcement.address);
  if (found == byAddress_.end() || found->second == announcement.id) {
    return nullptr;
  }
  return find(found->second);
}

bool EndpointBook::apply(std::uint64_t index, Time time, const PutEndpoint& command)
{
  const auto& announcement = command.announcement;
  switch (judge(announcement)) {
    case AnnouncementVerdict::outdated:
      return false;
    case AnnouncementVerdict::unchanged: {
      auto& sequence = entries_.at(announcement.id).sequence;
      sequence = std::max(sequence, announcement.sequence);
      return false;
    }
    case AnnouncementVerdict::changes:
      break;
  }
  if (const auto* occupant = occupantOf(announcement)) {
    const auto sequence = sequenceOf(occupant->id);
    bury(index,
         occupant->id,
         { occupant->startedAtMs,
           sequence,
           occupant->address,
           TombstoneReason::replaced,
           time,
           index });
  }
  tombstones_.erase(announcement.id);
  auto& entry = entries_[announcement.id];
  // Without a former record the address is empty and in no index.
  byAddress_.erase(entry.record.address);
  entry = { recordOf(index, announcement), announcement.sequence };
  byAddress_[announcement.address] = announcement.id;
  revision_ = index;
  return true;
}

bool EndpointBook::apply(std::uint64_t index, Time time, const RemoveEndpoint& command)
{
  const auto found = entries_.find(command.id);
  if (found == entries_.end()) {
    buryUnknown(time, command);
    return false;
  }
  const auto& [record, sequence] = found->second;
  if (std::tie(command.startedAtMs, command.sequence) < std::tie(record.startedAtMs, sequence)) {
    return false;
  }
  bury(index,
       command.id,
       { command.startedAtMs,
         command.sequence,
         record.address,
         TombstoneReason::removed,
         time,
         index });
  return true;
}

bool EndpointBook::apply(std::uint64_t index, Time time, const ExpireEndpoint& command)
{
  const auto found = entries_.find(command.id);
  if (found == entries_.end()) {
    return false;
  }
  const auto& [record, sequence] = found->second;
  if (command.startedAtMs != record.startedAtMs || command.sequence < sequence) {
    return false;
  }
  bury(index,
       command.id,
       { command.startedAtMs,
         command.sequence,
         record.address,
         TombstoneReason::expired,
         time,
         index });
  return true;
}

void EndpointBook::bury(std::uint64_t index, EndpointId id, Tombstone tombstone)
{
  byAddress_.erase(tombstone.address);
  entries_.erase(id);
  tombstones_[std::move(id)] = std::move(tombstone);
  revision_ = index;
}

void EndpointBook::buryUnknown(Time time, const RemoveEndpoint& command)
{
  auto& tombstone = tombstones_[command.id];
  if (std::tie(command.startedAtMs, command.sequence) <
      std::tie(tombstone.startedAtMs, tombstone.sequence)) {
    return;
  }
  tombstone.startedAtMs = command.startedAtMs;
  tombstone.sequence = command.sequence;
  tombstone.reason = TombstoneReason::removed;
  tombstone.time = time;
}

void EndpointBook::forget(Time time)
{
  std::erase_if(tombstones_, [this, time](const auto& item) {
    const bool old = item.second.time + kTombstoneTime <= time;
    if (old) {
      forgottenRevision_ = std::max(forgottenRevision_, item.second.revision);
    }
    return old;
  });
}

const EndpointRecord* EndpointBook::find(const EndpointId& id) const
{
  const auto found = entries_.find(id);
  return found == entries_.end() ? nullptr : &found->second.record;
}

std::uint64_t EndpointBook::sequenceOf(const EndpointId& id) const
{
  const auto found = entries_.find(id);
  return found == entries_.end() ? 0 : found->second.sequence;
}

bool EndpointBook::isRemoved(const EndpointId& id, std::int64_t born) const
{
  const auto found = tombstones_.find(id);
  if (found == tombstones_.end()) {
    return false;
  }
  const auto& tombstone = found->second;
  return born < tombstone.startedAtMs ||
         (born == tombstone.startedAtMs && tombstone.reason == TombstoneReason::removed);
}

std::vector<EndpointRecord> EndpointBook::records() const
{
  std::vector<EndpointRecord> records;
  records.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    records.push_back(entry.record);
  }
  return records;
}

EndpointChanges EndpointBook::changesSince(std::uint64_t revision) const
{
  EndpointChanges changes;
  changes.revision = revision_;
  changes.whole = revision == 0 || revision < forgottenRevision_;
  if (changes.whole) {
    changes.endpoints = records();
    return changes;
  }
  for (const auto& [id, entry] : entries_) {
    if (entry.record.revision > revision) {
      changes.endpoints.push_back(entry.record);
    }
  }
  for (const auto& [id, tombstone] : tombstones_) {
    if (tombstone.revision > revision) {
      changes.removed.push_back(id);
    }
  }
  return changes;
}

void EndpointBook::rebuildIndex()
{
  byAddress_.clear();
  for (const auto& [id, entry] : entries_) {
    byAddress_[entry.record.address] = id;
  }
}

} // namespace figchute::fleet
