#pragma once

#include "core/Error.h"
#include "core/Random.h"
#include "core/Types.h"
#include "replication/Entry.h"
#include "replication/Membership.h"
#include "replication/Message.h"

#include <cstdint>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::replication {

/** The settings of one LogNode. */
struct LogConfig
{
  /** The process that runs the node. */
  ProcessId self;
  /** The initial voters, used only while the log and the snapshot are empty. Their disk ids may be
      empty: the first leader then needs the votes of all of them and records their ids. */
  std::vector<MemberId> initialMembers;
  /** Seeds the random election time-outs; it must differ between the nodes. */
  std::uint64_t seed = 1;
  Duration heartbeatInterval{ 50'000 };
  Duration minElectionTimeout{ 300'000 };
  Duration maxElectionTimeout{ 600'000 };
  /** The maximum payload bytes of one append or snapshot chunk; a larger entry is sent alone. */
  std::size_t maxAppendBytes = 512UL * 1024;
  /** The maximum number of unacknowledged appends to one member. */
  std::size_t maxInFlightAppends = 4;
  /** The number of entries kept in memory behind a snapshot, so that members that lag slightly need
      no snapshot. */
  LogIndex trailingEntries = 256;
};

/** The roles of a node. */
enum class Role : std::uint8_t
{
  follower,
  preCandidate,
  candidate,
  leader,
};

/** Returns the name of a role in lower case.
    Thread safety: safe from any thread. */
std::string_view toString(Role role);

/** The work for the caller of LogNode, in this order: store and sync hard state, entries and
    snapshot; call LogNode::confirmPersisted(); send the messages; restore the snapshot when
    @ref restoreState is set; apply the committed entries. */
struct Ready
{
  /** Set when the term or the vote changed. */
  std::optional<HardState> hardState;
  /** Entries to store. An entry replaces a stored entry of the same index and all later ones. */
  std::vector<Entry> entries;
  /** A snapshot to store; the entries that it covers and older snapshots may then be removed. */
  std::optional<Snapshot> snapshot;
  /** True for a snapshot from the leader. It replaces the state of the state machine and the whole
      stored log before @ref entries. */
  bool restoreState = false;
  std::vector<OutgoingMessage> messages;
  /** Committed entries in order. The state machine applies only those of kind command. */
  std::vector<Entry> committed;

  /** Returns true when the caller must store and sync something. */
  [[nodiscard]] bool needsSync() const
  {
    return hardState.has_value() || !entries.empty() || snapshot.has_value();
  }

  /** Returns true when there is nothing to do. */
  [[nodiscard]] bool empty() const { return !needsSync() && messages.empty() && committed.empty(); }
};

/** The replication progress of one member, as known to the leader. */
struct MemberProgress
{
  MemberId id;
  bool voter = false;
  LogIndex matchIndex = 0;
  /** The sending time of the latest message that the member replied to. */
  Time lastContactAt;
  bool receivingSnapshot = false;
};

/** The state of a node, for operators and tests. */
struct LogState
{
  ProcessId self;
  std::string diskId;
  Role role = Role::follower;
  Term term = 0;
  ProcessId vote;
  std::optional<ProcessId> leader;
  LogIndex firstIndex = 1;
  LogIndex lastIndex = 0;
  LogIndex persistedIndex = 0;
  LogIndex commitIndex = 0;
  LogIndex appliedIndex = 0;
  LogIndex snapshotIndex = 0;
  Membership members;
  /** The progress of the other members; empty on nodes that are not the leader. */
  std::vector<MemberProgress> progress;
};

/** One node of a leader-based replicated log. It does no I/O and reads no clock; the same calls
    with the same seed give the same results.
    Thread safety: use one instance from one thread at a time. */
class LogNode
{
public:
  /** Creates a follower.
      @param config     the settings; minElectionTimeout must exceed heartbeatInterval
      @param recovered  the stored state; for a new node only the disk id
      @param now        the time of the start; the node grants no vote for minElectionTimeout after
                        it, because it may have replied to a leader just before the restart */
  LogNode(LogConfig config, RecoveredState recovered, Time now);

  /** Starts elections, sends heartbeats and steps down when a leader has lost contact with the
      majority. Call it about every 10 ms or at nextDeadline().
      @param now  the current time; it must not go backwards between calls */
  void tick(Time now);

  /** Handles a message from another node.
      @param now      the current time
      @param from     the authenticated sender
      @param message  the message; it is ignored when it is outdated or from a wrong disk */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Appends a command if this node is the leader. The command is committed when an entry of the
      same index and term occurs in Ready::committed. It may be lost when the leader changes before.
      @param now      the current time
      @param command  the encoded command
      @returns the index of the entry; no_quorum when this node is not a leader in contact with a
      majority
      @see leaderHint(), term() */
  Expected<LogIndex> propose(Time now, std::string command);

  /** Appends a membership change if this node is the leader. Only one change may be in progress at
      a time, because the majorities before and after two changes need not overlap.
      @param now     the current time
      @param change  the change
      @returns the index of the entry; no_quorum when this node is not a leader in contact with a
      majority; overloaded while an earlier change, or the first entry of this leader's term, is not
      committed yet or while a learner to promote has not caught up; bad_request when the change
      is not possible with the current members */
  Expected<LogIndex> proposeMembershipChange(Time now, const MembershipChange& change);

  /** Returns the work that is due; later calls do not return it again.
      Precondition: confirmPersisted() was called for the previous Ready that needed a sync.
      @param maxCommitted  the number of committed entries that are returned at most; a later call
                           returns the others */
  Ready takeReady(std::size_t maxCommitted = std::numeric_limits<std::size_t>::max());

  /** Returns true while committed entries wait for the next Ready. */
  [[nodiscard]] bool hasUnappliedEntries() const { return appliedIndex_ < commitIndex_; }

  /** Reports that the last Ready is stored and synced. A leader then counts its own log for the
      majority.
      @param now  the current time */
  void confirmPersisted(Time now);

  /** Replaces the log up to an index by a snapshot. The next Ready contains the snapshot, which the
      caller must store.
      @param index     the last entry that the snapshot covers
      @param snapshot  the state of the state machine after that entry
      @returns bad_request when the index is not applied yet or is not above the last snapshot */
  Expected<void> compact(LogIndex index, std::string snapshot);

  /** Sends the commit index to one member at once instead of with the next heartbeat. It has no
      effect when this node is not the leader or the process is not a member. */
  void sendCommitIndex(const ProcessId& to);

  /** Returns true while this node is the leader and a majority replied to messages sent within the
      last minElectionTimeout. As long as the clocks of the processes run at the same speed, this
      holds for at most one node at a time.
      @param now  the current time */
  [[nodiscard]] bool isLeader(Time now) const;

  /** Returns true when this node is the leader and a majority replied to messages sent within
      @p window. */
  [[nodiscard]] bool hasMajorityContactWithin(Time now, Duration window) const
  {
    return role_ == Role::leader && now - quorumContactAt(now) < window;
  }

  /** Returns true when this node is a follower and received a message from its leader within
      @p window. */
  [[nodiscard]] bool hasLeaderContactWithin(Time now, Duration window) const
  {
    return role_ == Role::follower && leader_.has_value() && now - lastLeaderContactAt_ < window;
  }

  /** Returns true when this node is a follower in contact with its leader and, within @p window,
      had all entries that the leader had committed. A follower whose replies are lost receives
      messages from the leader but no further entries. */
  [[nodiscard]] bool hasCaughtUpWithin(Time now, Duration window) const
  {
    return hasLeaderContactWithin(now, window) && caughtUpAt_ && now - *caughtUpAt_ < window;
  }

  /** Returns the time of the next call of tick() if no message arrives before. */
  [[nodiscard]] Time nextDeadline() const;

  /** Returns the leader of the current term if it is known. */
  [[nodiscard]] std::optional<ProcessId> leaderHint() const { return leader_; }

  /** Returns the id that was created with the data folder. */
  [[nodiscard]] const std::string& diskId() const { return diskId_; }

  /** Returns the current term. */
  [[nodiscard]] Term term() const { return hardState_.term; }

  /** Returns the members in force at the end of this node's log. */
  [[nodiscard]] const Membership& members() const { return memberships_.rbegin()->second; }

  /** Returns the index of the last entry that is known at this node to be committed. */
  [[nodiscard]] LogIndex commitIndex() const { return commitIndex_; }

  /** Returns the index of the last snapshot; 0 when there is none. */
  [[nodiscard]] LogIndex snapshotIndex() const { return snapshot_.meta.index; }

  /** Returns the index of the last entry. */
  [[nodiscard]] LogIndex lastIndex() const { return baseIndex_ + entries_.size(); }

  /** Returns the state for operators and tests. */
  [[nodiscard]] LogState state() const;

private:
  struct Progress
  {
    std::string diskId;
    LogIndex matchIndex = 0;
    LogIndex nextIndex = 1;
    /** True until a reply confirms that the member's log matches before @ref nextIndex. No entries
        are sent until then. */
    bool probing = true;
    /** True while a probe or a snapshot chunk has no reply. */
    bool awaitingReply = false;
    /** The last index of each append without a reply. */
    std::vector<LogIndex> inFlight;
    Time lastContactAt;
    LogIndex snapshotIndex = 0;
    std::uint64_t snapshotOffset = 0;
    Time chunkSentAt;
  };

  void handle(const ProcessId& from, const VoteRequest& request);
  void handle(const ProcessId& from, const VoteReply& reply);
  void handle(const ProcessId& from, const AppendRequest& request);
  void handle(const ProcessId& from, const AppendReply& reply);
  void handle(const ProcessId& from, const SnapshotChunk& chunk);
  void handle(const ProcessId& from, const SnapshotReply& reply);

  void becomeFollower(Term term, std::optional<ProcessId> leader);
  void startElection(bool preVote);
  void countVotes();
  void becomeLeader();
  void stepDownIfRemoved();
  void resetElectionDeadline();
  [[nodiscard]] bool isUpToDate(const VoteRequest& request) const;
  [[nodiscard]] Membership membersWithVoterDiskIds() const;

  bool acceptLeader(const ProcessId& from, Term term, const std::string& targetDiskId, Time sentAt);
  void mergeEntries(const std::vector<Entry>& entries);
  void installSnapshot();
  void sendAccepted(const ProcessId& to, LogIndex matchIndex, Time sentAt);

  Progress* updateProgress(const ProcessId& from,
                           const std::string& diskId,
                           Term term,
                           Time sentAt);
  void updateProgressList();
  void replicateTo(const ProcessId& to, Progress& progress);
  void sendHeartbeat(const ProcessId& to, Progress& progress);
  void sendAppend(const ProcessId& to, Progress& progress, bool withEntries);
  void sendSnapshotChunk(const ProcessId& to, Progress& progress);
  void broadcastHeartbeat();
  void advanceCommit();
  void send(const ProcessId& to, Message message);

  LogIndex appendToLog(EntryKind kind, std::string payload);
  void truncateFrom(LogIndex index);
  void recordMembership(const Entry& entry);
  Expected<Membership> membershipAfter(const MembershipChange& change) const;
  [[nodiscard]] bool hasUncommittedMembership() const;
  [[nodiscard]] bool hasCaughtUp(const Member& learner) const;
  [[nodiscard]] bool isSelf(const MemberId& id) const;
  [[nodiscard]] bool isVoter() const;
  [[nodiscard]] bool hasOtherDiskId(const ProcessId& from, const std::string& diskId) const;
  [[nodiscard]] std::string diskIdOf(const ProcessId& process) const;
  [[nodiscard]] Term termAt(LogIndex index) const;
  [[nodiscard]] bool hasEntry(LogIndex index, Term term) const;
  [[nodiscard]] LogIndex firstConflictIndex(LogIndex index) const;
  [[nodiscard]] LogIndex lastIndexOfTerm(Term term) const;
  [[nodiscard]] const Entry& entryAt(LogIndex index) const
  {
    return entries_[index - baseIndex_ - 1];
  }
  [[nodiscard]] Term lastTerm() const { return termAt(lastIndex()); }
  [[nodiscard]] Time quorumContactAt(Time now) const;

  LogConfig config_;
  std::string diskId_;
  Random random_;
  HardState hardState_;
  /** The disk id of the process that this node voted for; empty after a restart. */
  std::string voteDiskId_;
  bool hardStateChanged_ = false;
  Role role_ = Role::follower;
  std::optional<ProcessId> leader_;

  /** The entries after baseIndex_, which is not above the index of the snapshot. */
  std::vector<Entry> entries_;
  LogIndex baseIndex_ = 0;
  Term baseTerm_ = 0;
  Snapshot snapshot_;
  /** The members by the index of the entry that put them in force; never empty. */
  std::map<LogIndex, Membership> memberships_;

  LogIndex commitIndex_ = 0;
  LogIndex appliedIndex_ = 0;
  /** The last entry that a Ready contained. */
  LogIndex takenIndex_ = 0;
  LogIndex persistedIndex_ = 0;
  /** The last entry of the Ready that is being stored. */
  LogIndex persistingIndex_ = 0;
  bool awaitingPersist_ = false;
  bool snapshotPending_ = false;
  bool restorePending_ = false;
  std::vector<OutgoingMessage> outgoing_;

  /** The time of the last call. */
  Time now_;
  Time electionDeadline_;
  Time lastLeaderContactAt_;
  /** The last time at which an append left this follower with all committed entries. */
  std::optional<Time> caughtUpAt_;
  Time lastHeartbeatAt_;
  Time leaderSince_;
  /** The first entry of this leader's term. */
  LogIndex termStartIndex_ = 0;
  /** The disk ids of the processes that granted a vote. */
  std::map<ProcessId, std::string> grantedVotes_;
  std::map<ProcessId, Progress> progress_;

  SnapshotMeta incomingSnapshotMeta_;
  std::string incomingSnapshotData_;
};

} // namespace figchute::replication
