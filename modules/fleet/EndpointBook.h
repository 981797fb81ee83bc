#pragma once

#include "core/core.h"
#include "fleet/Commands.h"
#include "fleet/Endpoint.h"

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace figchute::fleet {

/** What an announcement means to the registry. */
enum class AnnouncementVerdict : std::uint8_t
{
  /** The record says the same. */
  unchanged,
  /** It was delayed, replaced or comes after the removal; it changes nothing. */
  outdated,
  /** It makes or changes a record. */
  changes,
};

/** What changed in the registry since a revision. */
struct EndpointChanges
{
  /** True when @ref endpoints are all records, because the revision is 0 or too old. */
  bool whole = false;
  /** The revision after the changes. */
  std::uint64_t revision = 0;
  std::vector<EndpointRecord> endpoints;
  /** Removed since the revision; empty when @ref whole is set. */
  std::vector<EndpointId> removed;
};

/** Why an endpoint has no record. */
enum class TombstoneReason : std::uint8_t
{
  /** It left; this incarnation never returns. */
  removed = 0,
  /** It was silent; a later announcement of the same incarnation brings it back. */
  expired = 1,
  /** A younger endpoint has its address; it may return only at another one. */
  replaced = 2,
};

} // namespace figchute::fleet

MSGPACK_ADD_ENUM(figchute::fleet::TombstoneReason)

namespace figchute::fleet {

/** The endpoint registry as part of the replicated state. It is deterministic: time comes from the
    log entries.
    Thread safety: use one instance from one thread only. */
class EndpointBook
{
public:
  /** Removed ids are kept this long to recognise late announcements and to tell subscribers. */
  static constexpr Duration kTombstoneTime = std::chrono::seconds(60);

  /** Tells what an announcement means, without a change. */
  [[nodiscard]] AnnouncementVerdict judge(const Announcement& announcement) const;

  /** Applies a command of the log.
      @param index  index of the log entry; becomes the revision when a record changes
      @returns whether a record changed */
  bool apply(std::uint64_t index, Time time, const PutEndpoint& command);
  bool apply(std::uint64_t index, Time time, const RemoveEndpoint& command);
  bool apply(std::uint64_t index, Time time, const ExpireEndpoint& command);

  /** Forgets tombstones that are older than kTombstoneTime. */
  void forget(Time time);

  /** Returns the log index of the last change of a record; 0 before the first one. */
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /** Returns one record, or nullptr. It is valid until the next command. */
  [[nodiscard]] const EndpointRecord* find(const EndpointId& id) const;

  /** Returns the highest sequence that the log has of a record's incarnation; 0 without a record.
      It is above the record's own sequence after an announcement that changed nothing. */
  [[nodiscard]] std::uint64_t sequenceOf(const EndpointId& id) const;

  /** Tells whether an incarnation has been removed (not only expired). */
  [[nodiscard]] bool isRemoved(const EndpointId& id, std::int64_t startedAtMs) const;

  /** Returns all records by id. */
  [[nodiscard]] std::vector<EndpointRecord> records() const;

  /** Returns the number of records. */
  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  /** Returns what changed after a revision; everything when removals since then are forgotten. A
      revision that is not reached yet has no changes. */
  [[nodiscard]] EndpointChanges changesSince(std::uint64_t revision) const;

  /** Rebuilds what a snapshot does not contain. */
  void rebuildIndex();

  MSGPACK_DEFINE(revision_, forgottenRevision_, entries_, tombstones_)

private:
  struct Entry
  {
    EndpointRecord record;
    std::uint64_t sequence = 0;

    MSGPACK_DEFINE(record, sequence)
  };

  struct Tombstone
  {
    std::int64_t startedAtMs = 0;
    std::uint64_t sequence = 0;
    std::string address;
    TombstoneReason reason = TombstoneReason::removed;
    Time time;
    /** Index of the entry that removed the record; 0 when there was none. */
    std::uint64_t revision = 0;

    MSGPACK_DEFINE(startedAtMs, sequence, address, reason, time, revision)
  };

  [[nodiscard]] bool isBuried(const Announcement& announcement) const;
  [[nodiscard]] const EndpointRecord* occupantOf(const Announcement& announcement) const;
  void bury(std::uint64_t index, EndpointId id, Tombstone tombstone);
  void buryUnknown(Time time, const RemoveEndpoint& command);

  std::uint64_t revision_ = 0;
  /** The highest revision of a forgotten tombstone; older subscribers need all records. */
  std::uint64_t forgottenRevision_ = 0;
  std::map<EndpointId, Entry> entries_;
  /** An id has an entry or a tombstone, never both. */
  std::map<EndpointId, Tombstone> tombstones_;
  std::unordered_map<std::string, EndpointId> byAddress_;
};

} // namespace figchute::fleet
