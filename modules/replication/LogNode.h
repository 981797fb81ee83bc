#pragma once

#include "core/Error.h"
#include "core/Random.h"
#include "core/Types.h"
#include "replication/Entry.h"
#include "replication/Membership.h"
#include "replication/Message.h"

#include <cstdint>
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
  /** The voters at the first start; used only while the log and the snapshot are empty. The disk
     ids may be empty: the first leader then needs the votes of all of them and records their ids.
   */
  std::vector<MemberId> initialMembers;
  /** Seeds the election time-outs; give each node another seed. */
  std::uint64_t seed = 1;
  Duration heartbeat{ 50'000 };
  Duration electionMin{ 300'000 };
  Duration electionMax{ 600'000 };
  /** Bounds the payload bytes of one append and of one snapshot chunk. */
  std::size_t maxAppendBytes = 512UL * 1024;
  /** Bounds the appends that are on the way to one member. */
  std::size_t maxInFlight = 4;
  /** Entries kept in memory behind a snapshot, so that a member slightly behind needs no snapshot.
   */
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

/** Returns the name of a role in lower case. Safe from any thread. */
std::string_view toString(Role role);

/** What the caller of LogNode has to do next, in this order: append and sync hard state, entries
   and snapshot; call LogNode::persisted(); send the messages; restore the snapshot when
    @ref restoreState is set; apply the committed entries. */
struct Ready
{
  /** Set when term or vote changed. */
  std::optional<HardState> hardState;
  /** Entries to append; an entry at an index that exists replaces it and all entries after it. */
  std::vector<Entry> entries;
  /** A snapshot to store; older entries and snapshots may then be removed. */
  std::optional<Snapshot> snapshot;
  /** The snapshot came from the leader: it replaces the state machine's state and the whole stored
      log before @ref entries. */
  bool restoreState = false;
  std::vector<Outgoing> messages;
  /** Entries to apply, in order. Kinds other than command need no action by the state machine. */
  std::vector<Entry> committed;

  /** Returns true when something has to be synced to disk. */
  [[nodiscard]] bool needsSync() const
  {
    return hardState.has_value() || !entries.empty() || snapshot.has_value();
  }

  /** Returns true when there is nothing to do. */
  [[nodiscard]] bool empty() const { return !needsSync() && messages.empty() && committed.empty(); }
};

/** What a leader knows of one member. */
struct MemberProgress
{
  MemberId id;
  bool voter = false;
  LogIndex matched = 0;
  /** When the last answered message to the member was sent. */
  Time heardAt;
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
  /** Filled at the leader only. */
  std::vector<MemberProgress> progress;
};

/** One member of a leader-based replicated log. It does no I/O and reads no clock; with the same
    calls and the same seed it gives the same results.
    Thread safety: use one instance from one thread at a time. */
class LogNode
{
public:
  /** Creates a follower.
      @param config     the settings; electionMin must be above heartbeat
      @param recovered  what storage holds; for a new node only its disk id
      @param now        the time of the start; the node gives no vote for electionMin after it,
                        because it may have answered a leader just before the restart */
  LogNode(LogConfig config, RecoveredState recovered, Time now);

  /** Starts elections, sends heartbeats and checks the majority. Call it every 10 ms or so.
      @param now  the current time, never before that of an earlier call */
  void tick(Time now);

  /** Handles a message from another node.
      @param now      the current time
      @param from     the authenticated sender
      @param message  any message; outdated and foreign ones are ignored */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Appends a command at the leader. It is committed when an entry with the same index and term
      comes back in Ready::committed; it may be lost when the leader changes before.
      @param now    the current time
      @param bytes  the command
      @returns the index of the entry; no_quorum when this node is not a leader with a majority in
      reach
      @see leaderHint(), term() */
  Expected<LogIndex> propose(Time now, std::string bytes);

  /** Appends a membership change at the leader. One change is in progress at a time.
      @param now     the current time
      @param change  the change
      @returns the index of the entry; no_quorum when this node is not a leader with a majority in
      reach; overloaded while an earlier change, or the first entry of this leader's term, is not
      committed yet or while a learner to promote has not caught up; bad_request when the change
      does not fit the current members */
  Expected<LogIndex> proposeMembershipChange(Time now, const MembershipChange& change);

  /** Returns the work for the caller and counts it as taken.
      Precondition: persisted() was called for the previous Ready that needed a sync. */
  Ready takeReady();

  /** Reports that all of the last Ready is on disk. The leader then counts its own copy.
      @param now  the current time */
  void confirmPersisted(Time now);

  /** Replaces the log up to an index by a snapshot. The snapshot comes back in the next Ready to be
      stored.
      @param index     the last entry that the snapshot covers
      @param snapshot  the state of the state machine after that entry
      @returns bad_request when the index is not applied yet or is not above the last snapshot */
  Expected<void> compact(LogIndex index, std::string snapshot);

  /** Sends the commit index to one member now and not with the next heartbeat; without effect at a
      node that is not a leader and for processes that are no members. */
  void announceCommit(const ProcessId& to);

  /** Returns true while this node is leader and a majority answered messages that were sent in the
      last electionMin. No other node can be such a leader at the same time when the clocks of the
      processes run at the same speed.
      @param now  the current time */
  [[nodiscard]] bool isLeader(Time now) const;

  /** Tells whether this node, as leader, got answers from a majority to messages that were sent in
      the last @p window. */
  [[nodiscard]] bool heardMajorityWithin(Time now, Duration window) const
  {
    return role_ == Role::leader && now - quorumHeardAt(now) < window;
  }

  /** Tells whether this node, as follower, knows its leader and heard from it in the last
      @p window. */
  [[nodiscard]] bool heardLeaderWithin(Time now, Duration window) const
  {
    return role_ == Role::follower && leader_.has_value() && now - leaderHeardAt_ < window;
  }

  /** Tells whether this node, as a follower, had within the window everything that its leader had
      committed. A follower whose replies are lost hears the leader but gets no further entries. */
  [[nodiscard]] bool caughtUpWithin(Time now, Duration window) const
  {
    return heardLeaderWithin(now, window) && caughtUpAt_ && now - *caughtUpAt_ < window;
  }

  /** Returns the time at which tick() next has something to do when no message comes before. */
  [[nodiscard]] Time nextDeadline() const;

  /** Returns the leader of the current term as far as this node knows; empty when it knows none. */
  [[nodiscard]] std::optional<ProcessId> leaderHint() const { return leader_; }

  /** Returns the id that was created with the data folder. */
  [[nodiscard]] const std::string& diskId() const { return diskId_; }

  /** Returns the current term. */
  [[nodiscard]] Term term() const { return hard_.term; }

  /** Returns the members in force at the end of this node's log. */
  [[nodiscard]] const Membership& members() const { return memberships_.rbegin()->second; }

  /** Returns the index of the last entry that is known to be committed. */
  [[nodiscard]] LogIndex commitIndex() const { return commit_; }

  /** Returns the index of the last snapshot; 0 when there is none. */
  [[nodiscard]] LogIndex snapshotIndex() const { return snapshot_.meta.index; }

  /** Returns the index of the last entry. */
  [[nodiscard]] LogIndex lastIndex() const { return base_ + entries_.size(); }

  /** Returns the state for operators and tests. */
  [[nodiscard]] LogState state() const;

private:
  struct Progress
  {
    std::string diskId;
    LogIndex matched = 0;
    LogIndex next = 1;
    /** No entries are sent until the member's log is found to match before @ref next. */
    bool probing = true;
    /** A probe or a snapshot chunk is on the way. */
    bool paused = false;
    std::vector<LogIndex> inFlight;
    Time heardAt;
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
  void stepDownWhenRemoved();
  void resetElectionDeadline();
  [[nodiscard]] bool isUpToDate(const VoteRequest& request) const;
  [[nodiscard]] Membership boundMembers() const;

  bool acceptLeader(const ProcessId& from, Term term, const std::string& targetDiskId, Time sentAt);
  void followLog(const std::vector<Entry>& entries);
  void installSnapshot();
  void replyMatched(const ProcessId& to, LogIndex matched, Time sentAt);

  Progress* progressOf(const ProcessId& from, const std::string& diskId, Term term, Time sentAt);
  void syncProgressWithMembers();
  void sendPending(const ProcessId& to, Progress& progress);
  void sendHeartbeat(const ProcessId& to, Progress& progress);
  void sendAppend(const ProcessId& to, Progress& progress, bool withEntries);
  void sendSnapshotChunk(const ProcessId& to, Progress& progress);
  void broadcastHeartbeat();
  void advanceCommit();
  void send(const ProcessId& to, Message message);

  LogIndex appendOwn(EntryKind kind, std::string payload);
  void truncateFrom(LogIndex index);
  void recordMembership(const Entry& entry);
  Expected<Membership> changedMembers(const MembershipChange& change) const;
  [[nodiscard]] bool membershipPending() const;
  [[nodiscard]] bool hasCaughtUp(const Member& learner) const;
  [[nodiscard]] bool isSelf(const MemberId& id) const;
  [[nodiscard]] bool isVoter() const;
  [[nodiscard]] bool isForeignDisk(const ProcessId& from, const std::string& diskId) const;
  [[nodiscard]] std::string diskIdOf(const ProcessId& process) const;
  [[nodiscard]] Term termAt(LogIndex index) const;
  [[nodiscard]] bool hasEntry(LogIndex index, Term term) const;
  [[nodiscard]] LogIndex conflictStart(LogIndex index) const;
  [[nodiscard]] LogIndex lastOfTerm(Term term) const;
  [[nodiscard]] const Entry& entryAt(LogIndex index) const { return entries_[index - base_ - 1]; }
  [[nodiscard]] Term lastTerm() const { return termAt(lastIndex()); }
  [[nodiscard]] Time quorumHeardAt(Time now) const;

  LogConfig config_;
  std::string diskId_;
  Random random_;
  HardState hard_;
  /** The disk id of the process that has this node's vote; empty after a restart. */
  std::string voteDiskId_;
  bool hardChanged_ = false;
  Role role_ = Role::follower;
  std::optional<ProcessId> leader_;

  /** The entries after base_; base_ is at or before the snapshot. */
  std::vector<Entry> entries_;
  LogIndex base_ = 0;
  Term baseTerm_ = 0;
  Snapshot snapshot_;
  /** The members by the index of the entry that put them in force; never empty. */
  std::map<LogIndex, Membership> memberships_;

  LogIndex commit_ = 0;
  LogIndex applied_ = 0;
  LogIndex taken_ = 0;
  LogIndex persisted_ = 0;
  LogIndex persisting_ = 0;
  bool persistPending_ = false;
  bool snapshotReady_ = false;
  bool restoreReady_ = false;
  std::vector<Outgoing> outgoing_;

  /** The time of the last call. */
  Time now_;
  Time electionDeadline_;
  Time leaderHeardAt_;
  /** When an append of the leader last left nothing committed to fetch. */
  std::optional<Time> caughtUpAt_;
  Time heartbeatAt_;
  Time leaderSince_;
  LogIndex termStart_ = 0;
  std::map<ProcessId, std::string> votes_;
  std::map<ProcessId, Progress> progress_;

  SnapshotMeta receivingMeta_;
  std::string receiving_;
};

} // namespace figchute::replication
