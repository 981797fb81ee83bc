#pragma once

#include "ledger/ledger.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <span>
#include <string>
#include <vector>

namespace figchute::measure {

/** The zones and the network of one deployment. */
struct Deployment
{
  std::string_view name;
  int zoneCount = 3;
  /** One-way delay between zones. */
  Duration crossZoneDelay{ 1000 };
};

/** Number of entry VMs in every experiment. */
constexpr int kEntryVmCount = 9;

/** The policy under test, which decides on the requests at the entry VMs.
    Thread safety: use one instance from one thread only. */
class BudgetPolicy
{
public:
  virtual ~BudgetPolicy() = default;

  /** Applies a document with the cumulative purchases of each budget. */
  virtual void applyPurchases(Time now, const std::vector<ledger::Purchase>& purchases) = 0;

  /** Requests a reservation. If the request has to wait, takeDecisions() returns the decision. */
  virtual ledger::Decision reserve(Time now,
                                   int vm,
                                   const RequestId& request,
                                   std::span<const BudgetId> budgets,
                                   Tokens bound) = 0;

  /** Lowers the reservation of a request to @p bound. */
  virtual void reduceReservation(Time now, int vm, const RequestId& request, Tokens bound) = 0;

  /** Charges a request for the tokens that it used and ends its reservation. */
  virtual void charge(Time now, int vm, const RequestId& request, Tokens actual) = 0;

  /** Returns and clears the decisions of a VM on waiting requests. */
  virtual std::vector<ledger::Decision> takeDecisions(int vm) = 0;

  /** Returns and clears the requests of a VM whose charge is recorded, so that their last byte may
      be sent. */
  virtual std::vector<RequestId> takeRecordedCharges(int vm) = 0;

  /** Runs all deliveries, restarts and timers that are due by @p now. */
  virtual void advance(Time now) = 0;

  /** Crashes a VM. It restarts without state after @p restartDelay. */
  virtual void crash(Time now, int vm, Duration restartDelay) = 0;

  /** Partitions a zone from the others; -1 ends the partition. */
  virtual void setPartitionedZone(int zone) = 0;

  /** Returns the tokens of a budget that a VM can still reserve without sending a message. */
  [[nodiscard]] virtual Tokens available(int vm, const BudgetId& budget) const = 0;

  /** Returns true if a VM has the latest document. */
  [[nodiscard]] virtual bool hasLatestDocument(int vm) const = 0;

  /** Returns true if the accounts have caught up: all charges are settled and no tokens are
      stranded.
      @param totalCharged  the sum of all charges */
  [[nodiscard]] virtual bool isRecovered(Tokens totalCharged) const = 0;
};

/** The ledger of this repository: quota managers and witnesses with one control state, connected by
   a network with delay, jitter and loss. */
class FigchutePolicy : public BudgetPolicy
{
public:
  FigchutePolicy(const Deployment& deployment, std::uint64_t seed, Time startTime);

  void applyPurchases(Time now, const std::vector<ledger::Purchase>& purchases) override;
  ledger::Decision reserve(Time now,
                           int vm,
                           const RequestId& request,
                           std::span<const BudgetId> budgets,
                           Tokens bound) override;
  void reduceReservation(Time now, int vm, const RequestId& request, Tokens bound) override;
  void charge(Time now, int vm, const RequestId& request, Tokens actual) override;
  std::vector<ledger::Decision> takeDecisions(int vm) override;
  std::vector<RequestId> takeRecordedCharges(int vm) override;
  void advance(Time now) override;
  void crash(Time now, int vm, Duration restartDelay) override;
  void setPartitionedZone(int zone) override;
  [[nodiscard]] Tokens available(int vm, const BudgetId& budget) const override;
  [[nodiscard]] bool hasLatestDocument(int vm) const override;
  [[nodiscard]] bool isRecovered(Tokens totalCharged) const override;

  /** Returns the size of all sent messages in bytes. */
  [[nodiscard]] std::uint64_t sentBytes() const { return sentBytes_; }
  /** Returns the number of committed commands. */
  [[nodiscard]] std::uint64_t committedCommands() const { return commandIndex_; }
  [[nodiscard]] const ledger::ControlState& control() const { return control_; }

private:
  struct EntryVm
  {
    Incarnation incarnation{ 1 };
    std::unique_ptr<ledger::QuotaManager> quotaManager;
    std::unique_ptr<ledger::Witness> witness;
    std::uint64_t documentRevision = 0;
  };

  /** Index of the control VM, which is in the first zone. */
  static constexpr int kControlVm = kEntryVmCount;

  struct Packet
  {
    int from = 0;
    int to = 0;
    std::string bytes;
  };

  [[nodiscard]] int zoneOf(int process) const;
  [[nodiscard]] static ProcessId processIdOf(int process);
  [[nodiscard]] static int processIndexOf(const ProcessId& id);
  void startVm(Time now, int vm);
  void updatePeers(Time now);
  void send(Time now,
            int from,
            const ledger::OutgoingMessage& outgoing,
            Duration extraDelay = Duration{ 0 });
  void sendOutgoing(Time now, int process);
  void deliver(Time now, const Packet& packet);
  void deliverToControl(Time now, int from, const ledger::Message& message);
  void runTimers(Time now);

  Deployment deployment_;
  Random random_;
  ledger::ControlState control_;
  ledger::Witness controlWitness_;
  std::uint64_t commandIndex_ = 0;
  std::uint64_t documentVersion_ = 0;
  std::vector<EntryVm> entryVms_;
  std::multimap<Time, Packet> packetsInFlight_;
  std::multimap<Time, int> pendingRestarts_;
  Time nextTickTime_;
  int partitionedZone_ = -1;
  std::uint64_t sentBytes_ = 0;
};

/** The baseline: each entry VM owns a fixed ninth of each budget. Its counters survive a crash. */
class EqualSplitPolicy : public BudgetPolicy
{
public:
  EqualSplitPolicy(const Deployment& deployment, std::uint64_t seed, Time startTime);

  void applyPurchases(Time now, const std::vector<ledger::Purchase>& purchases) override;
  ledger::Decision reserve(Time now,
                           int vm,
                           const RequestId& request,
                           std::span<const BudgetId> budgets,
                           Tokens bound) override;
  void reduceReservation(Time now, int vm, const RequestId& request, Tokens bound) override;
  void charge(Time now, int vm, const RequestId& request, Tokens actual) override;
  std::vector<ledger::Decision> takeDecisions(int vm) override;
  std::vector<RequestId> takeRecordedCharges(int vm) override;
  void advance(Time now) override;
  void crash(Time now, int vm, Duration restartDelay) override;
  void setPartitionedZone(int zone) override;
  [[nodiscard]] Tokens available(int vm, const BudgetId& budget) const override;
  [[nodiscard]] bool hasLatestDocument(int vm) const override;
  [[nodiscard]] bool isRecovered(Tokens totalCharged) const override;

private:
  struct Reservation
  {
    std::vector<BudgetId> budgets;
    Tokens bound;
  };

  struct VmShare
  {
    std::map<BudgetId, Tokens> purchased;
    std::map<BudgetId, Tokens> usedTokens;
    std::map<RequestId, Reservation> reservations;
    std::vector<RequestId> recordedCharges;
    std::uint64_t documentRevision = 0;
    Time nextPollTime;
  };

  [[nodiscard]] int zoneOf(int vm) const { return vm % deployment_.zoneCount; }
  void releaseTokens(VmShare& vmShare, const Reservation& reservation, Tokens amount);

  Deployment deployment_;
  std::map<BudgetId, Tokens> purchased_;
  std::uint64_t documentRevision_ = 0;
  std::vector<VmShare> vmShares_;
  int partitionedZone_ = -1;
};

} // namespace figchute::measure
