#pragma once

#include "replication/Membership.h"
#include "wire/Codec.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figchute::replication {

/** The kinds of log entry. */
enum class EntryKind : std::uint8_t
{
  /** A command for the state machine. */
  command = 0,
  /** The empty entry that a new leader appends to commit the entries of earlier terms. */
  noop = 1,
  /** An encoded Membership that is in force from this entry on. */
  membership = 2,
};

} // namespace figchute::replication

MSGPACK_ADD_ENUM(figchute::replication::EntryKind)

namespace figchute::replication {

/** One entry of the log. Logs that have an entry of the same index and term are identical up to
    that entry. */
struct Entry
{
  LogIndex index = 0;
  Term term = 0;
  EntryKind kind = EntryKind::command;
  std::string payload;

  bool operator==(const Entry&) const = default;
  MSGPACK_DEFINE(index, term, kind, payload)
};

/** The election state that must survive a restart. */
struct HardState
{
  Term term = 0;
  /** The process that this node voted for in @ref term; empty when it has not voted. */
  ProcessId vote;

  bool operator==(const HardState&) const = default;
  MSGPACK_DEFINE(term, vote)
};

/** The last entry that a snapshot covers, and the members in force at that entry. */
struct SnapshotMeta
{
  LogIndex index = 0;
  Term term = 0;
  Membership members;

  bool operator==(const SnapshotMeta&) const = default;
  MSGPACK_DEFINE(index, term, members)
};

/** The state of the state machine after the entry at SnapshotMeta::index. */
struct Snapshot
{
  SnapshotMeta meta;
  std::string data;

  bool operator==(const Snapshot&) const = default;
  MSGPACK_DEFINE(meta, data)
};

/** The contents of a data folder, read when the node starts. */
struct RecoveredState
{
  /** The id that was created with the data folder. */
  std::string diskId;
  HardState hardState;
  /** The last snapshot; its index is 0 when there is none. */
  Snapshot snapshot;
  /** The entries after the snapshot, without gaps. */
  std::vector<Entry> entries;
};

} // namespace figchute::replication
