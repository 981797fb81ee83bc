#pragma once

#include "replication/Membership.h"
#include "wire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figchute::replication {

/** What the payload of an entry is. */
enum class EntryKind : std::uint8_t
{
  /** Bytes that the state machine applies. */
  command = 0,
  /** The empty entry that a new leader appends to commit the entries of earlier terms. */
  noop = 1,
  /** An encoded Membership that is in force from its place in the log. */
  membership = 2,
};

} // namespace figchute::replication

MSGPACK_ADD_ENUM(figchute::replication::EntryKind)

namespace figchute::replication {

/** One entry of the log. Two logs with an entry of the same index and term are identical up to it.
 */
struct Entry
{
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::command;
  std::string payload;

  bool operator==(const Entry&) const = default;
  MSGPACK_DEFINE(index, term, kind, payload)
};

/** What a node must not forget over a restart besides its entries. */
struct HardState
{
  Term term = 0;
  /** The process that got this node's vote in @ref term; empty when none did. */
  ProcessId vote;

  bool operator==(const HardState&) const = default;
  MSGPACK_DEFINE(term, vote)
};

/** Describes a snapshot: the last entry that it covers and the members in force there. */
struct SnapshotMeta
{
  LogIndex index = 0;
  Term term = 0;
  Membership members;

  bool operator==(const SnapshotMeta&) const = default;
  MSGPACK_DEFINE(index, term, members)
};

/** The state machine's state after the entry @ref SnapshotMeta::index. */
struct Snapshot
{
  SnapshotMeta meta;
  std::string data;

  bool operator==(const Snapshot&) const = default;
  MSGPACK_DEFINE(meta, data)
};

/** What a node finds in its data folder when it starts. */
struct RecoveredState
{
  /** The id that was created with the data folder. */
  std::string diskId;
  HardState hardState;
  /** The last snapshot; index 0 when there is none. */
  Snapshot snapshot;
  /** The entries after the snapshot, without gaps. */
  std::vector<Entry> entries;
};

} // namespace figchute::replication
