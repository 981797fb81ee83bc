#pragma once

#include "control/ControlCore.h"
#include "control/DataFolder.h"
#include "core/core.h"
#include "ledger/ledger.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figchute::control {

/** Requests that the leader add a process to the members of the log. It is sent to the seeds and
    to the known members; a member that is not the leader forwards it to the leader. */
struct JoinRequest
{
  ProcessId process;
  std::string diskId;
  /** The incarnation of the process; filled in by the member that forwards the request. */
  Incarnation incarnation;
  /** True when a member forwarded the request; it is then not forwarded again. */
  bool forwarded = false;

  MSGPACK_DEFINE(process, diskId, incarnation, forwarded)
};

/** The time-outs and intervals of a ControlNode. */
struct ControlTimings
{
  Duration heartbeatInterval = std::chrono::milliseconds(200);
  Duration minElectionTimeout = std::chrono::milliseconds(800);
  Duration maxElectionTimeout = std::chrono::milliseconds(1400);
  /** After this time without contact with the leader, hasLeaderContact() is false, and callers
      should use another process. */
  Duration contactTimeout = std::chrono::milliseconds(600);
  /** A process that has no contact with a leader for this long sends join requests. */
  Duration joinDelay = std::chrono::seconds(1);
  Duration joinInterval = std::chrono::milliseconds(500);
  /** The leader removes a voter that it has had no contact with for this long when the number of
      voters is even, because the remaining voters then tolerate one more failure, or when a
      learner that has caught up can replace the voter. */
  Duration silentVoterTimeout = std::chrono::milliseconds(2500);
  /** After this time without contact, the leader removes a learner always, and a voter when there
      are more than three voters. */
  Duration silentMemberTimeout = std::chrono::seconds(30);
  /** The time from a failure of the data folder to the next attempt to open it. */
  Duration reopenInterval = std::chrono::milliseconds(500);
  /** The same for a corrupt folder. It is longer because each attempt reads the whole folder. */
  Duration corruptReopenInterval = std::chrono::seconds(10);
};

/** The settings of one ControlNode. */
struct ControlNodeSettings
{
  ProcessId self;
  std::string dataFolder;
  /** The addresses of at most three control processes to contact at the start; they may be out of
      date. */
  std::vector<ProcessId> seeds;
  /** Allows the node to form a new group with @ref seeds as initial voters. Set it only at the
      first start of the whole system. */
  bool bootstrap = false;
  /** Seeds the random generator of the election time-outs, the proposal ids and the disk id. It
      must differ between processes and between the starts of one process. */
  std::uint64_t seed = 1;
  ControlTimings timings;
  /** The clock of the VM, for the holders of budgets. */
  BootClock bootClock;
  /** @see CoreConfig::clock */
  std::function<Time()> clock;
  /** Opens the data folder. When it is not set, the node opens @ref dataFolder as a FileDisk. */
  OpenDataFolder openDataFolder;
};

/** What a node has read from its data folder. */
struct RecoveredLog
{
  std::uint64_t snapshotBytes = 0;
  /** The entries after the snapshot. They are applied once the node knows that they are committed.
   */
  std::uint64_t entries = 0;
  std::uint64_t entryBytes = 0;
};

/** A node of the replicated log that needs no operator. It owns the data folder, joins an existing
    group or forms a new one, and as leader adds, promotes, replaces and removes members. It reads
    no clock and opens no sockets.
    Thread safety: use one instance from one thread only. */
class ControlNode
{
public:
  /** Receives the result of a local command, or no_quorum when the log did not reply in time. */
  using Callback = std::function<void(Expected<ledger::Result>)>;

  /** Opens the data folder. When that fails, the node tries again in tick().
      @see storageError() */
  ControlNode(ControlNodeSettings settings, Time now);

  /** Handles a message of the replication, ledger or join channel; others are ignored. The next
      tick() prepares the replies.
      @param now          the current time
      @param from         the authenticated sender
      @param incarnation  the incarnation of the sender */
  void receive(Time now,
               const ProcessId& from,
               Incarnation incarnation,
               wire::Channel channel,
               std::string_view body);

  /** Advances the node to @p now: saves all received entries with one sync, applies committed
      entries, calls callbacks and prepares messages. Call it once per turn of the event loop after
      all calls of receive() and proposeLocal(), and at nextTick(). */
  void tick(Time now);

  /** Returns the time of the next call of tick() if no message arrives before. */
  [[nodiscard]] Time nextTick() const;

  /** Returns true while committed entries wait to be applied. Call tick() again without delay, but
      after messages that have arrived, among which are those of the log's leader. */
  [[nodiscard]] bool hasBacklog() const { return core_ && core_->hasBacklog(); }

  /** Returns the messages to send and clears the list. Ledger messages to this process itself are
      for its other components. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

  /** Replaces the seeds. They are only addresses to contact; the initial voters do not change. */
  void setSeeds(std::vector<ProcessId> seeds);

  /** Proposes a command to the current leader, which may be this node, and retries until there is a
      result.
      @param timeout   after this time the callback receives no_quorum, although the command may
                       still be committed
      @param callback  called once, by tick() */
  void proposeLocal(Time now, const ledger::Command& command, Duration timeout, Callback callback);

  /** Returns the applied state. After a failure of the data folder, this is the state before the
      failure until the recovered state has caught up with it, so callers never see older state. */
  [[nodiscard]] const ledger::ControlState& state() const;

  /** Returns the retirements of holders with reserves since the last call, for logging. */
  std::vector<ledger::RetirementView> takeRetirements();

  /** Returns the proposals since the last call and starts again at 0. */
  ProposalCounts takeProposalCounts();

  /** Returns the work for the log since the last call and starts again at 0. */
  LogWork takeLogWork();

  /** Adds time that the caller spent on messages and commands of the ledger, without waiting for
     the disk. Holders are told to send fewer commands when it is a large part. */
  void addLedgerTime(Time now, Duration time);

  /** Returns what was read from the data folder when it was opened last. */
  [[nodiscard]] const RecoveredLog& recoveredLog() const { return recoveredLog_; }

  /** Returns the index of the last entry that state() contains. */
  [[nodiscard]] replication::LogIndex appliedIndex() const;

  /** Sets a function that tick() calls after appliedIndex() has grown. */
  void onApplied(std::function<void()> handler) { onApplied_ = std::move(handler); }

  /** Returns true while this node is the leader and a majority replied within the election time-out
      before @p now. */
  [[nodiscard]] bool isLeader(Time now) const { return core_ && core_->isLeader(now); }

  /** Returns the leader if it is known. */
  [[nodiscard]] std::optional<ProcessId> leaderHint() const;

  /** Returns the members of the log as known to this node. */
  [[nodiscard]] const replication::Membership& members() const;

  /** Returns true when, within ControlTimings::contactTimeout, this node as leader received replies
      from a majority or as follower had all entries that its leader had committed. Messages from
      the leader are not sufficient: a follower whose own messages are lost receives no entries, so
      its state becomes outdated. */
  [[nodiscard]] bool hasLeaderContact(Time now) const;

  /** Returns the error that makes the data folder unusable, or nothing while it works. */
  [[nodiscard]] const std::optional<Error>& storageError() const { return storageError_; }

  /** Returns the log, or null while the data folder cannot be used. The pointer is valid until the
      next call of tick(). */
  [[nodiscard]] const replication::LogNode* log() const { return core_ ? &core_->log() : nullptr; }

private:
  struct LocalProposal
  {
    Time deadline;
    Callback callback;
  };
  struct CompletedProposal
  {
    Callback callback;
    Expected<ledger::Result> result;
  };
  struct PendingJoin
  {
    std::string diskId;
    Incarnation incarnation;
    Time receivedAt;
  };

  [[nodiscard]] const ControlTimings& timings() const { return settings_.timings; }
  [[nodiscard]] bool hasContactWithin(Time now, Duration window) const;
  void open(Time now);
  Expected<void> tryOpen(Time now);
  Expected<Origin> readOrCreateOrigin(DataFolder& folder,
                                      const replication::RecoveredState& recovered) const;
  void handleStorageFailure(Time now, Error error);
  [[nodiscard]] bool usesStateBeforeFailure() const;
  void advanceCore(Time now);
  bool deliverToSelf(Time now, OutgoingMessage message);
  bool handleProposeReply(Time now, const ProcessId& from, const ledger::Message& message);
  void handleJoinRequest(Time now,
                         const ProcessId& from,
                         Incarnation incarnation,
                         JoinRequest request);
  void sendJoinRequests(Time now);
  void updateProposer();
  void expireProposals(Time now);
  void runCallbacks();
  void proposeNextMembershipChange(Time now);
  [[nodiscard]] std::optional<replication::MembershipChange> nextMembershipChange(Time now) const;
  [[nodiscard]] std::vector<ProcessId> knownProcesses() const;

  ControlNodeSettings settings_;
  Random random_;
  std::unique_ptr<DataFolder> folder_;
  std::optional<ControlCore> core_;
  std::optional<Error> storageError_;
  bool storageHasFailed_ = false;
  Time reopenAt_;
  Time now_;
  RecoveredLog recoveredLog_;

  /** The state, its index and the members before a failure of the data folder. */
  std::optional<ledger::ControlState> stateBeforeFailure_;
  replication::LogIndex indexBeforeFailure_ = 0;
  replication::Membership membersBeforeFailure_;
  replication::LogIndex reportedIndex_ = 0;
  std::function<void()> onApplied_;

  ledger::Proposer proposer_;
  std::map<std::uint64_t, LocalProposal> localProposals_;
  std::vector<CompletedProposal> completedProposals_;
  std::optional<ProcessId> lastLeaderHint_;

  std::map<ProcessId, PendingJoin> pendingJoins_;
  /** The latest incarnation of each process that requested to join. A delayed request that names a
      lost disk comes from an earlier incarnation and is ignored. */
  std::map<ProcessId, Incarnation> latestJoinIncarnations_;
  Time nextJoinAt_;
  Time nextMembershipCheckAt_;
  std::optional<Time> leaderSince_;

  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::control
