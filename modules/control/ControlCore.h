#pragma once

#include "control/CommandPacer.h"
#include "control/LogWork.h"
#include "control/PendingProposals.h"
#include "control/ProposalQueue.h"
#include "control/ReportMessages.h"
#include "core/core.h"
#include "ledger/ledger.h"
#include "replication/replication.h"
#include "wire/wire.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace figchute::control {

/** A command as the log stores it. It carries the leader's time, so that all replicas compute the
    same result. */
struct TimedCommand
{
  Time time;
  std::string command;

  MSGPACK_DEFINE(time, command)
};

/** A message to send to another process. */
struct OutgoingMessage
{
  ProcessId to;
  wire::Channel channel = wire::Channel::replication;
  std::string body;
};

/** The state of a control VM, shown to operators. */
struct ControlDump
{
  replication::LogState log;
  std::uint64_t revision = 0;
  std::size_t pendingProposals = 0;
  std::size_t claims = 0;
  std::size_t keyedBillCount = 0;
};

/** The last document poll of a process. */
struct LastPoll
{
  /** The revision of the documents that the process uses. */
  std::uint64_t revision = 0;
  Time time;
};

/** What became of the proposals that a control process received. */
struct ProposalCounts
{
  /** Appended to the log. */
  std::uint64_t appended = 0;
  /** Received again while the first copy was not committed. */
  std::uint64_t repeated = 0;
  /** The most proposals that waited to be appended, and the longest time that one waited. */
  std::uint64_t maxQueued = 0;
  Duration maxQueueTime{ 0 };
  /** Answered with the name of the leader. */
  std::uint64_t redirected = 0;
  /** Appended grant requests, and the budgets that they name. */
  std::uint64_t grants = 0;
  std::uint64_t grantItems = 0;
  /** Appended settlements, and the accounts whose totals they report. */
  std::uint64_t settles = 0;
  std::uint64_t settleItems = 0;
  /** The longest time from the receipt of a proposal to the reply. */
  Duration maxAge{ 0 };
};

/** Converts the times that a node is called with to readings of its VM's boot clock. */
struct BootClock
{
  /** Identifies one boot of the VM, @see ledger::ClockReading::clock. 0 if it is unknown; the node
      then gives no readings. */
  std::uint64_t id = 0;
  /** The time that the node is called with when the clock reads 0. */
  Time origin;

  [[nodiscard]] ledger::ClockReading readingAt(Time now) const
  {
    return id == 0 ? ledger::ClockReading{} : ledger::ClockReading{ id, Time{} + (now - origin) };
  }
};

/** The settings of a ControlCore. */
struct CoreConfig
{
  /** The number of applied entries after which a snapshot is taken, unless the last snapshot is
      larger than these entries. The same holds for snapshotIntervalBytes. */
  std::uint64_t snapshotIntervalEntries = 4096;
  /** The total payload bytes of applied entries after which a snapshot is taken. */
  std::uint64_t snapshotIntervalBytes = std::numeric_limits<std::uint64_t>::max();
  /** Promotes learners that have caught up. False when the owner of the core changes the members
      itself. */
  bool promoteLearners = true;
  /** The clock of this VM that continues across restarts of the process. */
  BootClock bootClock;
  /** The number of entries that one call of advance() applies at most, so that the caller can
     handle messages in between. */
  std::size_t maxEntriesPerAdvance = std::numeric_limits<std::size_t>::max();
  /** Measures the times of LogWork. Nothing else depends on it; unset, these times are 0. */
  std::function<Time()> clock;
};

/** The replicated state machine of one control VM: a LogNode, its storage and the ControlState to
    which committed commands are applied.
    Thread safety: use one instance from one thread only. */
class ControlCore
{
public:
  /** Writes a Ready durably. @see replication::LogStorage::save() */
  using Save = std::function<Expected<void>(const replication::Ready&)>;

  /** Creates the core from the contents of a data folder.
      @param save       writes to the storage that @p recovered was read from
      @param log        the settings of the log
      @param recovered  the result of the storage's recover()
      @param now        the time of the start
      @param config     the settings of the core
      @returns storage_corrupt when the snapshot cannot be decoded */
  static Expected<ControlCore> create(Save save,
                                      replication::LogConfig log,
                                      replication::RecoveredState recovered,
                                      Time now,
                                      CoreConfig config = {});

  /** Handles a message of the replication, ledger or report channel. Messages of other channels and
      messages that cannot be decoded are ignored. */
  void receive(Time now,
               const ProcessId& from,
               Incarnation incarnation,
               wire::Channel channel,
               std::string_view body);

  /** Advances the log to @p now, saves what must be durable, applies committed entries and prepares
      messages. Call it again without delay while hasBacklog() returns true.
      @returns storage_failed when the data folder cannot be written. The core must then be
      discarded, because it is not known which data reached the disk. */
  Expected<void> advance(Time now);

  /** Returns true while committed entries wait for the next call of advance(). */
  [[nodiscard]] bool hasBacklog() const { return node_.hasUnappliedEntries(); }

  /** Returns when advance() has to be called for proposals that wait to be appended; nothing if
      there are none. */
  [[nodiscard]] std::optional<Time> appendDueAt() const;

  /** Adds time that the event loop spent on messages and commands of the ledger. Holders are told
     to send fewer commands when it is a large part. */
  void addLedgerTime(Time now, Duration time) { pacer_.addTime(now, time); }

  /** Returns the messages to send and clears the list. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

  /** Returns the applied state. */
  [[nodiscard]] const ledger::ControlState& state() const { return state_; }

  /** Returns the retirements of holders with reserves since the last call, for logging. */
  std::vector<ledger::RetirementView> takeRetirements() { return state_.takeRetirements(); }

  /** Returns the proposals since the last call and starts again at 0. */
  ProposalCounts takeProposalCounts() { return std::exchange(proposalCounts_, {}); }

  /** Returns the work for the log since the last call and starts again at 0. */
  LogWork takeLogWork() { return std::exchange(logWork_, {}); }

  /** Returns true while this node is the leader and in contact with a majority.
      @see replication::LogNode::isLeader() */
  [[nodiscard]] bool isLeader(Time now) const { return node_.isLeader(now); }

  /** Returns the members in force at the end of this node's log. */
  [[nodiscard]] const replication::Membership& members() const { return node_.members(); }

  [[nodiscard]] const replication::LogNode& log() const { return node_; }

  /** Returns the index of the last applied entry. */
  [[nodiscard]] replication::LogIndex appliedIndex() const { return appliedIndex_; }

  /** Proposes a membership change. @see replication::LogNode::proposeMembershipChange() */
  Expected<replication::LogIndex> proposeMembershipChange(
    Time now,
    const replication::MembershipChange& change)
  {
    return node_.proposeMembershipChange(now, change);
  }

  /** Moves the applied state out.
      Postcondition: the core may only be destroyed. */
  ledger::ControlState takeState() { return std::move(state_); }

  /** Returns the last document poll of each process that polled this node. */
  [[nodiscard]] const std::map<ProcessId, LastPoll>& polls() const { return polls_; }

  /** Returns the state of this control VM for operators. */
  [[nodiscard]] ControlDump dump() const;

private:
  ControlCore(Save save, replication::LogNode node, CoreConfig config);

  void handle(Time now, const ProcessId& from, const ledger::Propose& propose);
  void handle(Time now, const ProcessId& from, const ledger::DocumentPoll& poll);
  void handle(Time now, const ProcessId& from, const ledger::WitnessReport& report);
  void handle(Time now, const ProcessId& from, const ledger::ClockRequest& request);
  template<typename Other>
  void handle(Time /*now*/, const ProcessId& /*from*/, const Other& /*message*/)
  {
  }

  void replyToReportRequest(Time now, const ProcessId& from, const ReportRequest& request);
  /** Appends a proposal to the log, or replies with the leader when that is not possible. */
  void append(Time now, QueuedProposal proposal);
  /** Appends queued proposals, in batches, while few entries wait to be applied. A proposal of a
      member is not queued, so it waits for these few only. */
  void appendQueued(Time now);
  [[nodiscard]] bool mayAppendQueued() const;
  /** Names the leader to the holders whose proposals are queued. */
  void redirectQueued();
  Expected<replication::LogIndex> appendCommand(Time now, std::string command);
  void proposeMemberCommand(Time now, const ledger::Command& command);
  void countAppended(const ledger::Command& command);
  void replyWithLeaderHint(const ProcessId& to, std::uint64_t proposalId);
  void reply(const ProcessId& to, ledger::ProposeReply reply);
  void sendLedger(const ProcessId& to, const ledger::Message& message);
  Expected<void> handleReady(Time now, replication::Ready ready);
  void applyEntry(Time now, const replication::Entry& entry);
  /** Applies a command and returns its encoded result; empty if the command cannot be decoded. */
  std::string applyCommand(Time now, replication::LogIndex index, const TimedCommand& timedCommand);
  /** Takes the messages that a command caused, without recalls for which there is no time. */
  void takeLedgerMessages(const ledger::Command& command, Time now);
  [[nodiscard]] Time clockTime() const { return config_.clock ? config_.clock() : Time{}; }
  void compactIfDue();
  void sendReportRequests(Time now);
  void promoteLearners(Time now);

  Save save_;
  CoreConfig config_;
  replication::LogNode node_;
  ledger::ControlState state_;
  PendingProposals pendingProposals_;
  ProposalQueue queuedProposals_;
  Time nextAppendAt_;
  CommandPacer pacer_;
  ProposalCounts proposalCounts_;
  LogWork logWork_;
  std::map<ProcessId, LastPoll> polls_;
  std::vector<OutgoingMessage> outgoing_;
  /** Messages that applied commands caused. Only the leader sends them. */
  std::vector<ledger::OutgoingMessage> ledgerMessages_;
  replication::LogIndex appliedIndex_ = 0;
  std::uint64_t bytesSinceSnapshot_ = 0;
  /** The size of the last snapshot. */
  std::uint64_t snapshotBytes_ = 0;
  Time lastCommandTime_;
  Time nextReportRequestAt_;
  Time nextPromotionAt_;
};

} // namespace figchute::control
