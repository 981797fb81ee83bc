#pragma once

#include "replication/Entry.h"
#include "replication/Membership.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figchute::replication {

/** Asks for a vote, or in the pre-vote asks whether a vote would be given. */
struct VoteRequest
{
  /** The disk id of the sender. */
  std::string diskId;
  /** The term of the election; in the pre-vote, the term that the sender would start. */
  Term term = 0;
  bool preVote = false;
  LogIndex lastIndex = 0;
  Term lastTerm = 0;

  MSGPACK_DEFINE(diskId, term, preVote, lastIndex, lastTerm)
};

/** Answers a VoteRequest. */
struct VoteReply
{
  std::string diskId;
  /** The term of the request when granted, else the term of the sender. */
  Term term = 0;
  bool preVote = false;
  bool granted = false;

  MSGPACK_DEFINE(diskId, term, preVote, granted)
};

/** Carries entries from the leader; without entries it is a heartbeat. */
struct AppendRequest
{
  std::string diskId;
  /** The disk id that the leader knows for the receiver; empty when it knows none. A receiver with
      another disk id ignores the message. */
  std::string targetDiskId;
  Term term = 0;
  LogIndex prevIndex = 0;
  Term prevTerm = 0;
  std::vector<Entry> entries;
  LogIndex commit = 0;
  /** The leader's time when it sent the message; the reply carries it back. */
  Time sentAt;

  MSGPACK_DEFINE(diskId, targetDiskId, term, prevIndex, prevTerm, entries, commit, sentAt)
};

/** Answers an AppendRequest or the last SnapshotChunk. */
struct AppendReply
{
  std::string diskId;
  Term term = 0;
  bool accepted = false;
  /** When accepted, the last index that is known to equal the leader's log. */
  LogIndex matched = 0;
  /** When refused, the place from which the leader tries next. */
  LogIndex conflictIndex = 0;
  /** When refused, the term of the entry that differs; 0 when the log is too short. */
  Term conflictTerm = 0;
  Time sentAt;

  MSGPACK_DEFINE(diskId, term, accepted, matched, conflictIndex, conflictTerm, sentAt)
};

/** Carries a part of the leader's snapshot to a member whose next entry is no longer in the log. */
struct SnapshotChunk
{
  std::string diskId;
  std::string targetDiskId;
  Term term = 0;
  SnapshotMeta meta;
  std::uint64_t offset = 0;
  std::string data;
  /** True for the chunk that ends the snapshot. */
  bool last = false;
  Time sentAt;

  MSGPACK_DEFINE(diskId, targetDiskId, term, meta, offset, data, last, sentAt)
};

/** Answers a SnapshotChunk that did not complete the snapshot. */
struct SnapshotReply
{
  std::string diskId;
  Term term = 0;
  /** The index of the snapshot that is being received. */
  LogIndex index = 0;
  /** The offset of the next byte that the receiver needs. */
  std::uint64_t nextOffset = 0;
  Time sentAt;

  MSGPACK_DEFINE(diskId, term, index, nextOffset, sentAt)
};

/** Any message between the nodes of one log. */
using Message =
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply>;

/** A message with the process that it goes to. */
struct Outgoing
{
  ProcessId to;
  Message message;
};

/** Describes a message in one line for logs and test output. Safe from any thread. */
std::string describe(const Message& message);

} // namespace figchute::replication
