#pragma once

#include "ledger/ledger.h"
#include "LedgerTally.h"
#include "Network.h"
#include "replication/replication.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace figchute::simulation {

/** Faults of entry VMs that a run can switch on to show that a check finds them. */
struct BrokenEntry
{
  /** Answers requests that the wallet refused. */
  bool overspend = false;
  /** Bills each attempt of a keyed request under a key of its own. */
  bool bill = false;
  /** Runs a claimed request that another attempt claimed before. */
  bool run = false;
  /** Takes documents of a lower revision. */
  bool revision = false;
};

/** One entry VM: wallet, witness, claims and document polls. Some entry VMs have a disk. */
class EntryProcess
{
public:
  /** How an attempt ended; the caller may try again elsewhere when it was not answered. */
  using Finished = std::function<void(const Attempt&, bool answered)>;
  using Peers = std::function<std::vector<ledger::Peer>(const ProcessId&)>;

  EntryProcess(ProcessId id,
               bool hasDisk,
               Schedule& schedule,
               Random& random,
               Network& network,
               LedgerTally& tally);

  void start(const Peers& peers);
  void crash();
  void tick();
  void receive(const Packet& packet);
  void poll(const ProcessId& control);
  void updatePeers(const Peers& peers);
  void drain();

  /** Starts an attempt; the process must be running. */
  void submit(const Attempt& attempt, const Finished& finished);

  void setBroken(const BrokenEntry& broken) { broken_ = broken; }
  [[nodiscard]] bool running() const { return wallet_ != nullptr; }
  [[nodiscard]] bool retired() const { return wallet_ != nullptr && wallet_->retired(); }
  [[nodiscard]] const ledger::Wallet& wallet() const { return *wallet_; }
  [[nodiscard]] HolderId holder() const { return { id_, Incarnation{ starts_ } }; }
  [[nodiscard]] const ProcessId& id() const { return id_; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
  struct Running
  {
    Attempt attempt;
    Finished finished;
    Time deadline;
    std::uint64_t claimProposal = 0;
    std::uint64_t outcomeProposal = 0;
    std::string body;
    bool ran = false;
  };
  using Active = std::map<RequestId, Running>;

  void startModelCall(Running& running);
  void startBooking(Running& running);
  void decide(const ledger::Decision& decision);
  void later(const RequestId& request, std::function<void(Running&)> action);
  void complete(Running& running);
  void runBooking(Running& running);
  void proposeOutcome(Running& running, ledger::OutcomeKind kind);
  void handleReply(const ledger::Proposer::Reply& reply);
  void handleClaim(Running& running, const ledger::ClaimResult& result);
  void abandonLateClaims();
  void finish(const RequestId& request, bool answered);
  void handlePush(const ledger::DocumentPush& push);
  void flush();
  void syncJournal();
  std::vector<ledger::JournalRecord> readJournal();
  void send(const ledger::Outgoing& outgoing);

  ProcessId id_;
  bool hasDisk_;
  Schedule& schedule_;
  Random& random_;
  Network& network_;
  LedgerTally& tally_;
  BrokenEntry broken_;
  replication::MemoryDisk disk_;
  std::uint64_t starts_ = 0;
  std::unique_ptr<ledger::Wallet> wallet_;
  std::unique_ptr<ledger::Witness> witness_;
  std::unique_ptr<ledger::Proposer> proposer_;
  Active active_;
  std::uint64_t journalCount_ = 0;
  std::uint64_t revision_ = 0;
};

} // namespace figchute::simulation
