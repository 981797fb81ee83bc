#include "fleet/EndpointStore.h"

#include <algorithm>
#include <tuple>

namespace figchute::fleet {
namespace {

/** The remaining warm-up time decreases with each announcement. Only its end, or a longer time,
    counts as a change. */
bool isWarmupUnchanged(std::int64_t recordedMs, std::int64_t announcedMs)
{
  return (recordedMs > 0) == (announcedMs > 0) && announcedMs <= recordedMs;
}

bool hasSameContent(const EndpointRecord& record, const Announcement& announcement)
{
  const auto& a = announcement;
  return std::tie(record.startedAtMs,
                  record.service,
                  record.address,
                  record.zone,
                  record.softwareVersion) ==
           std::tie(a.startedAtMs, a.service, a.address, a.zone, a.softwareVersion) &&
         record.slots == a.slots && record.state == a.state &&
         isWarmupUnchanged(record.warmupMs, a.warmupMs);
}

EndpointRecord makeRecord(std::uint64_t revision, const Announcement& announcement)
{
  const auto& a = announcement;
  return { a.id,       a.service,  a.address,     a.zone,   a.slots,          a.state,
           a.warmupMs, a.sequence, a.startedAtMs, revision, a.softwareVersion };
}

} // namespace

AnnouncementEffect EndpointStore::classify(const Announcement& announcement) const
{
  if (isBlockedByTombstone(announcement)) {
    return AnnouncementEffect::outdated;
  }
  if (const auto entry = entries_.find(announcement.id); entry != entries_.end()) {
    const auto& [record, sequence] = entry->second;
    if (std::tie(announcement.startedAtMs, announcement.sequence) <
        std::tie(record.startedAtMs, sequence)) {
      return AnnouncementEffect::outdated;
    }
    if (hasSameContent(record, announcement)) {
      return AnnouncementEffect::unchanged;
    }
  }
  // At equal start times the greater id wins, so that two endpoints do not replace each other
  // alternately.
  const auto* otherRecord = findOtherAtAddress(announcement);
  const bool losesAddress =
    otherRecord != nullptr && std::tie(announcement.startedAtMs, announcement.id) <
                                std::tie(otherRecord->startedAtMs, otherRecord->id);
  return losesAddress ? AnnouncementEffect::outdated : AnnouncementEffect::modifies;
}

bool EndpointStore::isBlockedByTombstone(const Announcement& announcement) const
{
  const auto tombstoneEntry = tombstones_.find(announcement.id);
  if (tombstoneEntry == tombstones_.end() ||
      announcement.startedAtMs > tombstoneEntry->second.startedAtMs) {
    return false;
  }
  const auto& tombstone = tombstoneEntry->second;
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

const EndpointRecord* EndpointStore::findOtherAtAddress(const Announcement& announcement) const
{
  const auto registeredId = idByAddress_.find(announcement.address);
  if (registeredId == idByAddress_.end() || registeredId->second == announcement.id) {
    return nullptr;
  }
  return find(registeredId->second);
}

bool EndpointStore::apply(std::uint64_t index, Time time, const PutEndpoint& command)
{
  const auto& announcement = command.announcement;
  switch (classify(announcement)) {
    case AnnouncementEffect::outdated:
      return false;
    case AnnouncementEffect::unchanged: {
      auto& entry = entries_.at(announcement.id);
      // AnnouncementTracker proposes a warm-up only if it began, so this one began again.
      const bool restartsWarmup =
        announcement.warmupMs > 0 && announcement.sequence > entry.sequence;
      entry.sequence = std::max(entry.sequence, announcement.sequence);
      if (restartsWarmup) {
        entry.record = makeRecord(index, announcement);
        revision_ = index;
      }
      return restartsWarmup;
    }
    case AnnouncementEffect::modifies:
      break;
  }
  if (const auto* otherRecord = findOtherAtAddress(announcement)) {
    const auto sequence = sequenceOf(otherRecord->id);
    replaceWithTombstone(index,
                         otherRecord->id,
                         { otherRecord->startedAtMs,
                           sequence,
                           otherRecord->address,
                           TombstoneReason::replaced,
                           time,
                           index });
  }
  tombstones_.erase(announcement.id);
  auto& entry = entries_[announcement.id];
  endVersion(time, entry.record);
  // A new entry has an empty address, which is not in the index.
  idByAddress_.erase(entry.record.address);
  entry = { makeRecord(index, announcement), announcement.sequence };
  idByAddress_[announcement.address] = announcement.id;
  revision_ = index;
  return true;
}

bool EndpointStore::apply(std::uint64_t index, Time time, const RemoveEndpoint& command)
{
  const auto entry = entries_.find(command.id);
  if (entry == entries_.end()) {
    addTombstoneForUnknown(time, command);
    return false;
  }
  const auto& [record, sequence] = entry->second;
  // The start time is 0 if the process that received the request had no record. The sequence is
  // not compared: it may come from an older copy of the registry, and an endpoint announces nothing
  // after its removal.
  if (command.startedAtMs != 0 && command.startedAtMs < record.startedAtMs) {
    return false;
  }
  replaceWithTombstone(index,
                       command.id,
                       { std::max(command.startedAtMs, record.startedAtMs),
                         std::max(command.sequence, sequence),
                         record.address,
                         TombstoneReason::removed,
                         time,
                         index });
  return true;
}

bool EndpointStore::apply(std::uint64_t index, Time time, const ExpireEndpoint& command)
{
  const auto entry = entries_.find(command.id);
  if (entry == entries_.end()) {
    return false;
  }
  const auto& [record, sequence] = entry->second;
  if (command.startedAtMs != record.startedAtMs || command.sequence < sequence) {
    return false;
  }
  replaceWithTombstone(index,
                       command.id,
                       { command.startedAtMs,
                         command.sequence,
                         record.address,
                         TombstoneReason::expired,
                         time,
                         index });
  return true;
}

void EndpointStore::replaceWithTombstone(std::uint64_t index, EndpointId id, Tombstone tombstone)
{
  idByAddress_.erase(tombstone.address);
  if (const auto entry = entries_.find(id); entry != entries_.end()) {
    endVersion(tombstone.time, entry->second.record);
    entries_.erase(entry);
  }
  tombstones_[std::move(id)] = std::move(tombstone);
  revision_ = index;
}

void EndpointStore::endVersion(Time time, const EndpointRecord& record)
{
  // A new entry has a record without a service.
  if (!record.service.empty()) {
    endedVersions_.add(time, record.service, record.softwareVersion);
  }
}

std::optional<std::string> EndpointStore::onlyVersionOf(const ServiceName& service) const
{
  std::optional<std::string> version;
  for (const auto& [ended, time] : endedVersions_.of(service)) {
    if (version) {
      return std::nullopt;
    }
    version = ended;
  }
  for (const auto& [id, entry] : entries_) {
    const auto& record = entry.record;
    if (record.service != service) {
      continue;
    }
    if (version && *version != record.softwareVersion) {
      return std::nullopt;
    }
    version = record.softwareVersion;
  }
  return version;
}

void EndpointStore::addTombstoneForUnknown(Time time, const RemoveEndpoint& command)
{
  auto& tombstone = tombstones_[command.id];
  if (command.startedAtMs != 0 && command.startedAtMs < tombstone.startedAtMs) {
    return;
  }
  tombstone.startedAtMs = std::max(command.startedAtMs, tombstone.startedAtMs);
  tombstone.sequence = std::max(command.sequence, tombstone.sequence);
  tombstone.reason = TombstoneReason::removed;
  tombstone.time = time;
}

void EndpointStore::forget(Time time)
{
  endedVersions_.forget(time);
  std::erase_if(tombstones_, [this, time](const auto& item) {
    const bool isExpired = item.second.time + kTombstoneRetention <= time;
    if (isExpired) {
      maxForgottenRevision_ = std::max(maxForgottenRevision_, item.second.revision);
    }
    return isExpired;
  });
}

const EndpointRecord* EndpointStore::find(const EndpointId& id) const
{
  const auto entry = entries_.find(id);
  return entry == entries_.end() ? nullptr : &entry->second.record;
}

std::uint64_t EndpointStore::sequenceOf(const EndpointId& id) const
{
  const auto entry = entries_.find(id);
  return entry == entries_.end() ? 0 : entry->second.sequence;
}

RemoveEndpoint EndpointStore::removalOf(const EndpointId& id) const
{
  if (const auto entry = entries_.find(id); entry != entries_.end()) {
    return { id, entry->second.record.startedAtMs, entry->second.sequence };
  }
  if (const auto tombstone = tombstones_.find(id); tombstone != tombstones_.end()) {
    return { id, tombstone->second.startedAtMs, tombstone->second.sequence };
  }
  return { id, 0, 0 };
}

bool EndpointStore::isRemoved(const EndpointId& id, std::int64_t startedAtMs) const
{
  const auto tombstoneEntry = tombstones_.find(id);
  if (tombstoneEntry == tombstones_.end()) {
    return false;
  }
  const auto& tombstone = tombstoneEntry->second;
  return startedAtMs < tombstone.startedAtMs ||
         (startedAtMs == tombstone.startedAtMs && tombstone.reason == TombstoneReason::removed);
}

std::vector<EndpointRecord> EndpointStore::records() const
{
  std::vector<EndpointRecord> records;
  records.reserve(entries_.size());
  for (const auto& [id, entry] : entries_) {
    records.push_back(entry.record);
  }
  return records;
}

EndpointChanges EndpointStore::changesSince(std::uint64_t revision) const
{
  EndpointChanges changes;
  changes.revision = revision_;
  changes.complete = revision == 0 || revision < maxForgottenRevision_;
  if (changes.complete) {
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

void EndpointStore::rebuildIndex()
{
  idByAddress_.clear();
  for (const auto& [id, entry] : entries_) {
    idByAddress_[entry.record.address] = id;
  }
}

} // namespace figchute::fleet
