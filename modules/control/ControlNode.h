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

/** Asks to become a member of the log. Sent to seeds and known members; a member that is not the
    leader forwards it to the leader once. */
struct JoinRequest
{
  ProcessId process;
  std::string diskId;
  /** The incarnation of the process; filled in by the member that forwards the request. */
  Incarnation incarnation;
  bool forwarded = false;

  MSGPACK_DEFINE(process, diskId, incarnation, forwarded)
};

/** The timings of a ControlNode and the rules by which its leader changes the members. */
struct ControlTimings
{
  Duration heartbeat = std::chrono::milliseconds(200);
  Duration electionMin = std::chrono::milliseconds(800);
  Duration electionMax = std::chrono::milliseconds(1400);
  /** Without a word from the leader for this long, callers are told to use another process. */
  Duration contact = std::chrono::milliseconds(600);
  /** Without a leader for this long, a process asks to join. */
  Duration joinAfter = std::chrono::seconds(1);
  Duration joinInterval = std::chrono::milliseconds(500);
  /** A silent voter is removed after this time when that improves the fault tolerance or when a
      learner that has caught up replaces it. */
  Duration silentVoter = std::chrono::milliseconds(2500);
  /** A silent voter is removed after this time when more than three voters are left without it,
      and a silent learner always. */
  Duration silentMember = std::chrono::seconds(30);
  /** A data folder that cannot be used is tried again after this time. */
  Duration recoverInterval = std::chrono::milliseconds(500);
  /** A corrupt folder is read as a whole at each try, so it is tried less often. */
  Duration corruptInterval = std::chrono::seconds(10);
};

/** The settings of one ControlNode. */
struct ControlNodeSettings
{
  ProcessId self;
  std::string dataFolder;
  /** The control processes that are known at the start, at most three; may be out of date. */
  std::vector<ProcessId> seeds;
  /** True only at the first start of the whole system. */
  bool bootstrap = false;
  /** Seeds the election time-outs and the ids of proposals and of the disk. It must differ at each
      start and between processes. */
  std::uint64_t seed = 1;
  ControlTimings timings;
  /** Opens the folder; when it is empty, a FileDisk on @ref dataFolder. */
  OpenDataFolder openDataFolder;
};

/** One process's part in the replicated log: it owns the data folder, finds or founds the group,
    and keeps the members of the log up without an operator. It reads no clock and has no sockets.
    Thread safety: use one instance from one thread only. */
class ControlNode
{
public:
  /** Gets the result of a local command, or no_quorum when none came in time. */
  using Callback = std::function<void(Expected<ledger::Result>)>;

  /** Opens the data folder. When that fails, the node tries again in tick().
      @see storageError() */
  ControlNode(ControlNodeSettings settings, Time now);

  /** Handles a message of the replication, ledger or join channel; others are ignored. The answers
      come with the next tick().
      @param now          the current time
      @param from         the authenticated sender
      @param incarnation  the incarnation of the sender */
  void receive(Time now,
               const ProcessId& from,
               Incarnation incarnation,
               wire::Channel channel,
               std::string_view body);

  /** Advances time, writes to the data folder with one sync for all that was received, applies what
      is committed, calls callbacks and prepares messages. Call it after receive() and
      proposeLocal(), once for all of one turn of the event loop, and at nextTick(). */
  void tick(Time now);

  /** Returns when tick() has something to do if nothing is received before. */
  [[nodiscard]] Time nextTick() const;

  /** Returns the messages to send and forgets them. Ledger messages to the process itself are for
      other parts of it. */
  std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }

  /** Replaces the seeds. They are only addresses to ask; the founders do not change. */
  void setSeeds(std::vector<ProcessId> seeds);

  /** Proposes a command of this process, at whichever process leads, and sends it again until it is
      answered.
      @param timeout   after it, the callback gets no_quorum; the command may still be committed
      @param callback  called once, by tick() */
  void proposeLocal(Time now, const ledger::Command& command, Duration timeout, Callback callback);

  /** Returns the applied state. After a failure of the data folder, the state before it is returned
      until the recovered one has caught up, so it never goes back. */
  [[nodiscard]] const ledger::ControlState& state() const;

  /** Returns the holders with reserves that were retired since the last call, for logs. */
  std::vector<ledger::RetirementView> takeRetirements();

  /** Returns the index of the last entry that state() contains. */
  [[nodiscard]] replication::LogIndex appliedIndex() const;

  /** Sets a function that tick() calls after appliedIndex() has grown. */
  void onApplied(std::function<void()> handler) { onApplied_ = std::move(handler); }

  /** Tells whether this node leads and a majority answered within the election time-out before
      @p now. */
  [[nodiscard]] bool isLeader(Time now) const { return core_ && core_->isLeader(now); }

  /** Returns the leader as far as this node knows it. */
  [[nodiscard]] std::optional<ProcessId> leaderHint() const;

  /** Returns the members of the log as this node knows them. */
  [[nodiscard]] const replication::Membership& members() const;

  /** Tells whether a leader, or as leader a majority, was heard within ControlTimings::contact. A
      follower that lacks entries which the leader had committed before that time has no contact:
      its state is old although it hears the leader, as when its own messages are lost. */
  [[nodiscard]] bool hasLeaderContact(Time now) const;

  /** Returns why the data folder cannot be used, or nothing while it works. */
  [[nodiscard]] const std::optional<Error>& storageError() const { return storageError_; }

  /** Returns the log, or null while the data folder cannot be used. The pointer is valid until the
      next call of tick(). */
  [[nodiscard]] const replication::LogNode* log() const { return core_ ? &core_->log() : nullptr; }

private:
  struct Waiting
  {
    Time deadline;
    Callback callback;
  };
  struct Finished
  {
    Callback callback;
    Expected<ledger::Result> result;
  };
  struct Join
  {
    std::string diskId;
    Incarnation incarnation;
    Time receivedAt;
  };

  [[nodiscard]] const ControlTimings& timings() const { return settings_.timings; }
  [[nodiscard]] bool hasContact(Time now, Duration window) const;
  void open(Time now);
  Expected<void> tryOpen(Time now);
  Expected<Origin> originOf(DataFolder& folder, const replication::RecoveredState& recovered) const;
  void failStorage(Time now, Error error);
  [[nodiscard]] bool servesKeptState() const;
  void settle(Time now);
  bool deliverOwn(Time now, Outgoing message);
  bool receiveReply(Time now, const ProcessId& from, const ledger::Message& message);
  void receiveJoin(Time now, const ProcessId& from, Incarnation incarnation, JoinRequest request);
  void sendJoin(Time now);
  void updateControls();
  void expireProposals(Time now);
  void notify();
  void changeMembers(Time now);
  [[nodiscard]] std::optional<replication::MembershipChange> nextChange(Time now) const;
  [[nodiscard]] std::vector<ProcessId> knownProcesses() const;

  ControlNodeSettings settings_;
  Random random_;
  std::unique_ptr<DataFolder> folder_;
  std::optional<ControlCore> core_;
  std::optional<Error> storageError_;
  bool failedBefore_ = false;
  Time retryAt_;
  Time now_;

  /** The state, index and members from before a failure of the data folder. */
  std::optional<ledger::ControlState> keptState_;
  replication::LogIndex keptIndex_ = 0;
  replication::Membership keptMembers_;
  replication::LogIndex notifiedIndex_ = 0;
  std::function<void()> onApplied_;

  ledger::Proposer proposer_;
  std::map<std::uint64_t, Waiting> waiting_;
  std::vector<Finished> finished_;
  std::optional<ProcessId> proposerLeader_;

  std::map<ProcessId, Join> joins_;
  /** The latest incarnation that asked to join, so that a delayed request of a lost disk does not
      replace its successor. */
  std::map<ProcessId, Incarnation> latestJoin_;
  Time nextJoinAt_;
  Time nextChangeAt_;
  std::optional<Time> leaderSince_;

  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::control
