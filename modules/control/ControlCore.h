#pragma once

#include "control/Report.h"
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

/** A command as the log stores it: the leader's time makes every replica apply it alike. */
struct TimedCommand
{
  Time time;
  std::string command;

  MSGPACK_DEFINE(time, command)
};

/** A message to another process. */
struct Outgoing
{
  ProcessId to;
  wire::Channel channel = wire::Channel::replication;
  std::string body;
};

/** What operators see of a control VM. */
struct ControlDump
{
  replication::LogState log;
  std::uint64_t revision = 0;
  std::size_t pendingProposals = 0;
  std::size_t claims = 0;
  std::size_t keyedBills = 0;
};

/** The last document poll of a process: the revision that it has in force. */
struct LastPoll
{
  std::uint64_t revision = 0;
  Time time;
};

/** What differs between the programs that run a ControlCore. */
struct CoreConfig
{
  /** A snapshot is taken after this many applied entries, */
  std::uint64_t snapshotEntries = 4096;
  /** or when the applied entries since the last one have this many bytes. */
  std::uint64_t snapshotBytes = std::numeric_limits<std::uint64_t>::max();
  /** Promotes learners that have caught up; false when the owner decides on the members. */
  bool promoteLearners = true;
};

/** Connects a LogNode, its storage and the ControlState of one control VM.
    Thread safety: use one instance from one thread only. */
class ControlCore
{
public:
  /** Makes a Ready durable, as LogStorage::save() does. */
  using Save = std::function<Expected<void>(const replication::Ready&)>;

  /** Creates the core of a recovered node.
      @param save       writes to the recovered storage of the same data folder
      @param log        the settings of the log
      @param recovered  what the storage returned
      @param now        the time of the start
      @param config     the settings of the core
      @returns storage_corrupt when the snapshot cannot be decoded */
  static Expected<ControlCore> create(Save save,
                                      replication::LogConfig log,
                                      replication::RecoveredState recovered,
                                      Time now,
                                      CoreConfig config = {});

  /** Handles a message of the replication, ledger or report channel; others are ignored. */
  void receive(Time now,
               const ProcessId& from,
               Incarnation incarnation,
               wire::Channel channel,
               std::string_view body);

  /** Advances time, makes everything durable that needs it, applies what is committed and prepares
      messages.
      @returns storage_failed when the data folder cannot be written; the process must then stop,
      because it is not known what reached the disk */
  Expected<void> settle(Time now);

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }

  /** Returns the applied state. */
  [[nodiscard]] const ledger::ControlState& state() const { return state_; }
  /** Returns the holders with reserves that were retired since the last call, for logs. */
  std::vector<ledger::RetirementView> takeRetirements() { return state_.takeRetirements(); }

  /** Tells whether this node is the leader with a majority in reach. */
  [[nodiscard]] bool isLeader(Time now) const { return node_.isLeader(now); }

  /** Returns the members of the log as the replicated log knows them. */
  [[nodiscard]] const replication::Membership& members() const { return node_.members(); }

  /** Returns the log. */
  [[nodiscard]] const replication::LogNode& log() const { return node_; }

  /** Returns the index of the last applied entry. */
  [[nodiscard]] replication::LogIndex appliedIndex() const { return applied_; }

  /** Proposes a membership change. @see replication::LogNode::proposeMembershipChange() */
  Expected<replication::LogIndex> changeMembers(Time now,
                                                const replication::MembershipChange& change)
  {
    return node_.proposeMembershipChange(now, change);
  }

  /** Moves the applied state out.
      Postcondition: only the destructor may be called. */
  ledger::ControlState takeState() { return std::move(state_); }

  /** Returns the last poll of each process that polled this node. */
  [[nodiscard]] const std::map<ProcessId, LastPoll>& polls() const { return polls_; }

  /** Returns the state for operators. */
  [[nodiscard]] ControlDump dump() const;

private:
  /** Who waits for the result of an entry. */
  struct Waiter
  {
    ProcessId from;
    std::uint64_t proposalId = 0;
    replication::Term term = 0;
  };

  ControlCore(Save save, replication::LogNode node, CoreConfig config);

  void handle(Time now, const ProcessId& from, const ledger::Propose& propose);
  void handle(Time now, const ProcessId& from, const ledger::DocumentPoll& poll);
  void handle(Time now, const ProcessId& from, const ledger::WitnessReport& report);
  template<typename Other>
  void handle(Time /*now*/, const ProcessId& /*from*/, const Other& /*message*/)
  {
  }

  void answerReport(Time now, const ProcessId& from, const ReportRequest& request);
  [[nodiscard]] bool alreadyWaiting(const ProcessId& from, std::uint64_t proposalId) const;
  Expected<replication::LogIndex> append(Time now, std::string command);
  void proposeMember(Time now, const ledger::Command& command);
  void redirect(const ProcessId& to, std::uint64_t proposalId);
  void reply(const ProcessId& to, ledger::ProposeReply reply);
  void sendLedger(const ProcessId& to, const ledger::Message& message);
  Expected<void> handleReady(Time now, replication::Ready ready);
  void applyEntry(Time now, const replication::Entry& entry);
  void compactWhenDue();
  void sendReportRequests(Time now);
  void promoteLearners(Time now);

  Save save_;
  CoreConfig config_;
  replication::LogNode node_;
  ledger::ControlState state_;
  std::map<replication::LogIndex, Waiter> waiters_;
  std::map<ProcessId, LastPoll> polls_;
  std::vector<Outgoing> outgoing_;
  replication::LogIndex applied_ = 0;
  std::uint64_t bytesSinceSnapshot_ = 0;
  Time lastStamp_;
  Time nextReportRequest_;
  Time nextPromotion_;
};

} // namespace figchute::control
