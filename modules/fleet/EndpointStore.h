#pragma once

#include "core/core.h"
#include "fleet/Commands.h"
#include "fleet/EndedVersions.h"
#include "fleet/Endpoint.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace figchute::fleet {

/** The effect of an announcement on the registry. */
enum class AnnouncementEffect : std::uint8_t
{
  /** The record already has this content. */
  unchanged,
  /** The announcement was delayed, belongs to a replaced endpoint or follows a removal; it changes
      nothing. */
  outdated,
  /** The announcement creates or changes a record. */
  modifies,
};

/** The changes of the registry since a revision. */
struct EndpointChanges
{
  /** Whether @ref endpoints contains all records, because the revision is 0 or too old. */
  bool complete = false;
  /** The revision that the changes lead to. */
  std::uint64_t revision = 0;
  std::vector<EndpointRecord> endpoints;
  /** Endpoints removed since the revision; empty if @ref complete is set. */
  std::vector<EndpointId> removed;
};

/** Why an endpoint has no record. */
enum class TombstoneReason : std::uint8_t
{
  /** It shut down; this incarnation cannot be registered again. */
  removed = 0,
  /** It stopped announcing itself; a later announcement registers the same incarnation again. */
  expired = 1,
  /** An endpoint with a later start time uses its address; it can be registered again only with
      another address. */
  replaced = 2,
};

} // namespace figchute::fleet

MSGPACK_ADD_ENUM(figchute::fleet::TombstoneReason)

namespace figchute::fleet {

/** The endpoint registry, as part of the replicated state. It is deterministic: all times come from
    log entries.
    Thread safety: use one instance from one thread only. */
class EndpointStore
{
public:
  /** Tombstones are kept for this time, to recognize late announcements and to report removals to
      subscribers. */
  static constexpr Duration kTombstoneRetention = std::chrono::seconds(60);

  /** Returns the effect that an announcement would have. */
  [[nodiscard]] AnnouncementEffect classify(const Announcement& announcement) const;

  /** Applies a command of the log.
      @param index  index of the log entry; becomes the revision if a record changes
      @returns whether a record changed */
  bool apply(std::uint64_t index, Time time, const PutEndpoint& command);
  bool apply(std::uint64_t index, Time time, const RemoveEndpoint& command);
  bool apply(std::uint64_t index, Time time, const ExpireEndpoint& command);

  /** Removes tombstones that are older than kTombstoneRetention. */
  void forget(Time time);

  /** Returns the log index of the last change of any record; 0 if there was none. */
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /** Returns a record, or nullptr. The result is valid until the next command. */
  [[nodiscard]] const EndpointRecord* find(const EndpointId& id) const;

  /** Returns the highest sequence committed for the incarnation of a record; 0 if there is no
      record. It is higher than the sequence in the record after an announcement that changed
      nothing. */
  [[nodiscard]] std::uint64_t sequenceOf(const EndpointId& id) const;

  /** Returns the command that removes the newest known incarnation of an endpoint. An endpoint
      without a record, for example one that expired, is removed as well, because it could announce
      itself again. */
  [[nodiscard]] RemoveEndpoint removalOf(const EndpointId& id) const;

  /** Returns whether an incarnation was removed or a later one has left the registry; false if it
      only expired. */
  [[nodiscard]] bool isRemoved(const EndpointId& id, std::int64_t startedAtMs) const;

  /** Returns all records in order of their ids. */
  [[nodiscard]] std::vector<EndpointRecord> records() const;

  [[nodiscard]] std::size_t size() const { return entries_.size(); }

  /** Returns the software version of a service if its endpoints, and those that left it within
      EndedVersions::kRetention, have only one. */
  [[nodiscard]] std::optional<std::string> onlyVersionOf(const ServiceName& service) const;

  /** Returns the changes after a revision, or all records if removals since then have been
      forgotten. There are no changes after a revision that has not been reached yet. */
  [[nodiscard]] EndpointChanges changesSince(std::uint64_t revision) const;

  /** Rebuilds the index, which is not part of a snapshot. Call it after decoding. */
  void rebuildIndex();

  MSGPACK_DEFINE(revision_, maxForgottenRevision_, entries_, tombstones_, endedVersions_)

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
    /** Index of the log entry that removed the record; 0 if there was no record. */
    std::uint64_t revision = 0;

    MSGPACK_DEFINE(startedAtMs, sequence, address, reason, time, revision)
  };

  [[nodiscard]] bool isBlockedByTombstone(const Announcement& announcement) const;
  [[nodiscard]] const EndpointRecord* findOtherAtAddress(const Announcement& announcement) const;
  void replaceWithTombstone(std::uint64_t index, EndpointId id, Tombstone tombstone);
  /** Records that an endpoint no longer serves with the version of its record. */
  void endVersion(Time time, const EndpointRecord& record);
  void addTombstoneForUnknown(Time time, const RemoveEndpoint& command);

  std::uint64_t revision_ = 0;
  /** Highest revision of a removed tombstone; subscribers with an older revision need all records.
   */
  std::uint64_t maxForgottenRevision_ = 0;
  std::map<EndpointId, Entry> entries_;
  /** An id never has both an entry and a tombstone. */
  std::map<EndpointId, Tombstone> tombstones_;
  EndedVersions endedVersions_;
  std::unordered_map<std::string, EndpointId> idByAddress_;
};

} // namespace figchute::fleet
