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

/** The settings of every control process of a run. */
struct ControlSettings
{
  std::vector<replication::MemberId> initialMembers;
  /** Entries between snapshots; lower than in production, so that short runs have many. */
  replication::LogIndex entriesPerSnapshot = 200;
  std::size_t maxAppendBytes = 4096;
};

/** Faults that a run can enable in a control process to show that a check detects them. */
struct ControlFaults
{
  /** Changes one committed entry at one process. */
  bool alterCommittedEntry = false;
  /** Acknowledges a command as soon as it is in the leader's log, before it is committed. */
  bool acknowledgeUncommittedEntry = false;
};

/** The independent checks that all processes of a run report to. */
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

  /** Terminates the process; unsynced writes are lost. */
  void crash();

  /** Terminates the process and replaces its disk with an empty one. */
  void crashAndWipeDisk();

  /** Makes the disk fail after some operations, so that the process crashes during a write. */
  void crashDuringWrite(std::uint64_t operations) { disk_->failAfterOperations(operations); }

  void tick();
  void receive(const Packet& packet);

  /** Requests reports from the witnesses of retiring holders if this process is the leader. */
  void requestReports();

  /** Proposes a command for a client in the same process. */
  bool propose(const std::string& bytes);

  /** Proposes a membership change for an operator. */
  bool proposeMembershipChange(const replication::MembershipChange& change);

  /** Sets the faults that are enabled. */
  void setFaults(const ControlFaults& faults) { faults_ = faults; }

  [[nodiscard]] bool isRunning() const { return node_.has_value(); }
  [[nodiscard]] bool isLeader() const { return node_ && node_->isLeader(localNow()); }
  [[nodiscard]] const ProcessId& id() const { return id_; }
  [[nodiscard]] const replication::LogNode& node() const { return *node_; }
  [[nodiscard]] std::uint64_t restoreCount() const { return restoreCount_; }
  [[nodiscard]] replication::MemoryDisk& disk() { return *disk_; }
  [[nodiscard]] HolderId holder() const { return { id_, Incarnation{ startCount_ } }; }
  [[nodiscard]] const ledger::ControlState& ledgerState() const { return state_; }

private:
  /** The proposer that waits for the result of an entry. */
  struct PendingProposal
  {
    replication::Term term = 0;
    ProcessId from;
    std::uint64_t proposalId = 0;
  };

  [[nodiscard]] Time localNow() const { return schedule_.now() + clockOffset_; }
  void processReady();
  bool processNextReady();
  std::optional<replication::LogIndex> append(const std::string& command);
  void receiveLedger(const Packet& packet);
  void handlePropose(const ProcessId& from, const ledger::Propose& propose);
  void apply(const replication::Entry& entry);
  std::string applyCommand(const replication::Entry& entry);
  void replyToProposer(const replication::Entry& entry, const std::string& result);
  void sendLedger(const ledger::OutgoingMessage& outgoing);
  void restore(replication::LogIndex index, const std::string& data);
  [[nodiscard]] std::string snapshotState() const;

  ProcessId id_;
  ControlSettings settings_;
  Schedule& schedule_;
  Random& random_;
  Network& network_;
  Tallies& tallies_;
  ControlFaults faults_;
  std::unique_ptr<replication::MemoryDisk> disk_;
  std::optional<replication::LogStorage<replication::MemoryDisk>> storage_;
  std::optional<replication::LogNode> node_;
  /** Clocks of different processes differ by an offset but run at the same rate. */
  Duration clockOffset_{ 0 };
  ledger::ControlState state_;
  std::unique_ptr<ledger::Witness> witness_;
  std::uint64_t startCount_ = 0;
  replication::LogIndex appliedIndex_ = 0;
  Fingerprint hash_ = 0;
  std::map<replication::LogIndex, PendingProposal> pendingProposals_;
  std::uint64_t restoreCount_ = 0;
};

} // namespace figchute::simulation
