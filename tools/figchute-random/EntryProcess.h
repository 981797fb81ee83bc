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

/** Faults that a run can enable in an entry VM to show that a check detects them. */
struct EntryFaults
{
  /** Answers requests that the quota manager refused. */
  bool answerRefused = false;
  /** Charges each attempt of a keyed request under a separate key. */
  bool billPerAttempt = false;
  /** Runs a request that another attempt has already claimed. */
  bool runAlreadyClaimed = false;
  /** Applies documents with a lower revision. */
  bool applyOldRevision = false;
};

/** One entry VM with quota manager, witness, claims and document polls. Some entry VMs have a disk.
 */
class EntryProcess
{
public:
  /** Called when an attempt ends. If it was not answered, the caller may retry at another VM. */
  using FinishedCallback = std::function<void(const Attempt&, bool answered)>;
  using PeerProvider = std::function<std::vector<ledger::Peer>(const ProcessId&)>;

  EntryProcess(ProcessId id,
               bool hasDisk,
               Schedule& schedule,
               Random& random,
               Network& network,
               LedgerTally& tally);

  void start(const PeerProvider& peersOf);
  void crash();
  void tick();
  void receive(const Packet& packet);
  void pollDocuments(const ProcessId& control);
  void updatePeers(const PeerProvider& peersOf);
  void drain();

  /** Starts an attempt. Precondition: the process is running. */
  void submit(const Attempt& attempt, const FinishedCallback& onFinished);

  void setFaults(const EntryFaults& faults) { faults_ = faults; }
  [[nodiscard]] bool isRunning() const { return quotaManager_ != nullptr; }
  [[nodiscard]] bool isRetired() const
  {
    return quotaManager_ != nullptr && quotaManager_->isRetired();
  }
  [[nodiscard]] const ledger::QuotaManager& quotaManager() const { return *quotaManager_; }
  [[nodiscard]] HolderId holder() const { return { id_, Incarnation{ startCount_ } }; }
  [[nodiscard]] const ProcessId& id() const { return id_; }
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
  struct ActiveRequest
  {
    Attempt attempt;
    FinishedCallback onFinished;
    Time deadline;
    std::uint64_t claimProposalId = 0;
    std::uint64_t outcomeProposalId = 0;
    std::string body;
    bool hasRun = false;
  };
  using ActiveRequests = std::map<RequestId, ActiveRequest>;

  void startModelCall(ActiveRequest& activeRequest);
  void startBooking(ActiveRequest& activeRequest);
  void handleDecision(const ledger::Decision& decision);
  void runAfterServiceTime(const RequestId& requestId, std::function<void(ActiveRequest&)> action);
  void completeModelCall(ActiveRequest& activeRequest);
  void runBooking(ActiveRequest& activeRequest);
  void proposeOutcome(ActiveRequest& activeRequest, ledger::OutcomeKind kind);
  void handleReply(const ledger::Proposer::Reply& reply);
  void handleClaimResult(ActiveRequest& activeRequest, const ledger::ClaimResult& result);
  void abandonTimedOutClaims();
  void finish(const RequestId& requestId, bool answered);
  void handlePush(const ledger::DocumentPush& push);
  void flush();
  void syncJournal();
  std::vector<ledger::JournalRecord> readJournal();
  void send(const ledger::OutgoingMessage& outgoing);

  ProcessId id_;
  bool hasDisk_;
  Schedule& schedule_;
  Random& random_;
  Network& network_;
  LedgerTally& tally_;
  EntryFaults faults_;
  replication::MemoryDisk disk_;
  std::uint64_t startCount_ = 0;
  std::unique_ptr<ledger::QuotaManager> quotaManager_;
  std::unique_ptr<ledger::Witness> witness_;
  std::unique_ptr<ledger::Proposer> proposer_;
  ActiveRequests activeRequests_;
  std::uint64_t journalRecordCount_ = 0;
  std::uint64_t revision_ = 0;
};

} // namespace figchute::simulation
