#pragma once

#include "replication/Entry.h"
#include "replication/Membership.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace figchute::replication {

/** Requests a vote, or in a pre-vote queries whether the receiver would grant one. */
struct VoteRequest
{
  /** The disk id of the sender, as in all messages. */
  std::string diskId;
  /** The term of the election; in a pre-vote, the term that the sender would start. */
  Term term = 0;
  bool preVote = false;
  LogIndex lastIndex = 0;
  Term lastTerm = 0;

  MSGPACK_DEFINE(diskId, term, preVote, lastIndex, lastTerm)
};

/** The reply to a VoteRequest. */
struct VoteReply
{
  std::string diskId;
  /** The term of the request when the vote is granted, else the term of the sender. */
  Term term = 0;
  bool preVote = false;
  bool granted = false;

  MSGPACK_DEFINE(diskId, term, preVote, granted)
};

/** Sends entries from the leader to a member; without entries it is a heartbeat or a probe. */
struct AppendRequest
{
  std::string diskId;
  /** The disk id of the receiver as known to the leader; empty when unknown. A receiver with
      another disk id ignores the message. */
  std::string targetDiskId;
  Term term = 0;
  LogIndex prevIndex = 0;
  Term prevTerm = 0;
  std::vector<Entry> entries;
  LogIndex commit = 0;
  /** The leader's time when it sent the message; the reply returns it. */
  Time sentAt;

  MSGPACK_DEFINE(diskId, targetDiskId, term, prevIndex, prevTerm, entries, commit, sentAt)
};

/** The reply to an AppendRequest or to the last SnapshotChunk. */
struct AppendReply
{
  std::string diskId;
  Term term = 0;
  bool accepted = false;
  /** When accepted, the last index up to which the log is known to equal the leader's. */
  LogIndex matchIndex = 0;
  /** When rejected, the index from which the leader should try next. */
  LogIndex conflictIndex = 0;
  /** When rejected, the term of the conflicting entry; 0 when the log is too short. */
  Term conflictTerm = 0;
  Time sentAt;

  MSGPACK_DEFINE(diskId, term, accepted, matchIndex, conflictIndex, conflictTerm, sentAt)
};

/** Sends a part of the leader's snapshot to a member whose next entry is no longer in the log. */
struct SnapshotChunk
{
  std::string diskId;
  std::string targetDiskId;
  Term term = 0;
  SnapshotMeta meta;
  std::uint64_t offset = 0;
  std::string data;
  /** True for the last chunk of the snapshot. */
  bool last = false;
  Time sentAt;

  MSGPACK_DEFINE(diskId, targetDiskId, term, meta, offset, data, last, sentAt)
};

/** The reply to a SnapshotChunk that did not complete the snapshot. */
struct SnapshotReply
{
  std::string diskId;
  Term term = 0;
  /** The index of the snapshot being received. */
  LogIndex index = 0;
  /** The offset of the next byte to send. */
  std::uint64_t nextOffset = 0;
  Time sentAt;

  MSGPACK_DEFINE(diskId, term, index, nextOffset, sentAt)
};

/** Any message between the nodes of a replicated log. */
using Message =
  std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, SnapshotChunk, SnapshotReply>;

/** A message and its destination. */
struct OutgoingMessage
{
  ProcessId to;
  Message message;
};

/** Describes a message in one line for logs and test output.
    Thread safety: safe from any thread. */
std::string describe(const Message& message);

} // namespace figchute::replication
