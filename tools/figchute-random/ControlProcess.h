#pragma once

#include "ledger/ledger.h"
#include "LedgerTally.h"
#include "LogTally.h"
#include "Network.h"
#include "replication/replication.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace figchute::simulation {

/** What every control process of one run is given. */
struct ControlSettings
{
  std::vector<replication::MemberId> initialMembers;
  /** Entries between snapshots; smaller than in production, so that short runs have many. */
  replication::LogIndex snapshotEvery = 200;
  std::size_t maxAppendBytes = 4096;
};

/** Faults that a run can switch on to show that a check finds them. */
struct BrokenParts
{
  /** Changes one committed entry at one process. */
  bool committedEntry = false;
  /** Acknowledges a command as soon as it is in the leader's log. */
  bool acknowledgedEntry = false;
};

/** The independent records that all processes of a run report to. */
struct Tallies
{
  LogTally log;
  LedgerTally ledger;
};

/** One control VM: a LogNode on a simulated disk, with the ledger as its state machine. */
class ControlProcess
{
public:
  ControlProcess(ProcessId id,
                 ControlSettings settings,
                 Schedule& schedule,
                 Random& random,
                 Network& network,
                 Tallies& tallies);

  /** Starts the process from its disk. */
  void start();

  /** Ends the process; unsynced writes are lost. */
  void crash();

  /** Ends the process and empties its disk. */
  void loseDisk();

  /** Lets the disk fail after some operations, so that the process ends in the middle of a write.
   */
  void crashDuringWrite(std::uint64_t operations) { disk_->failAfterOperations(operations); }

  void tick();
  void receive(const Packet& packet);

  /** Asks the witnesses of retiring holders for their reports, when this process is the leader. */
  void requestReports();

  /** Proposes a command for a client in the same process. */
  bool propose(const std::string& bytes);

  /** Proposes a membership change for an operator. */
  bool change(const replication::MembershipChange& change);

  /** Switches on faults. */
  void setBroken(const BrokenParts& broken) { broken_ = broken; }

  [[nodiscard]] bool running() const { return node_.has_value(); }
  [[nodiscard]] bool isLeader() const { return node_ && node_->isLeader(localNow()); }
  [[nodiscard]] const ProcessId& id() const { return id_; }
  [[nodiscard]] const replication::LogNode& node() const { return *node_; }
  [[nodiscard]] std::uint64_t restores() const { return restores_; }
  [[nodiscard]] replication::MemoryDisk& disk() { return *disk_; }
  [[nodiscard]] HolderId holder() const { return { id_, Incarnation{ starts_ } }; }
  [[nodiscard]] const ledger::ControlState& ledgerState() const { return state_; }

private:
  /** Who waits for the result of an entry. */
  struct Pending
  {
    replication::Term term = 0;
    ProcessId from;
    std::uint64_t proposalId = 0;
  };

  [[nodiscard]] Time localNow() const { return schedule_.now() + clockOffset_; }
  void pump();
  bool pumpOnce();
  std::optional<replication::LogIndex> append(const std::string& command);
  void receiveLedger(const Packet& packet);
  void handlePropose(const ProcessId& from, const ledger::Propose& propose);
  void apply(const replication::Entry& entry);
  std::string applyCommand(const replication::Entry& entry);
  void answer(const replication::Entry& entry, const std::string& result);
  void sendLedger(const ledger::Outgoing& outgoing);
  void restore(replication::LogIndex index, const std::string& data);
  [[nodiscard]] std::string snapshotState() const;

  ProcessId id_;
  ControlSettings settings_;
  Schedule& schedule_;
  Random& random_;
  Network& network_;
  Tallies& tallies_;
  BrokenParts broken_;
  std::unique_ptr<replication::MemoryDisk> disk_;
  std::optional<replication::LogStorage<replication::MemoryDisk>> storage_;
  std::optional<replication::LogNode> node_;
  /** Clocks of different processes differ; only their speed is the same. */
  Duration clockOffset_{ 0 };
  ledger::ControlState state_;
  std::unique_ptr<ledger::Witness> witness_;
  std::uint64_t starts_ = 0;
  replication::LogIndex applied_ = 0;
  Fingerprint hash_ = 0;
  std::map<replication::LogIndex, Pending> pending_;
  std::uint64_t restores_ = 0;
};

} // namespace figchute::simulation
