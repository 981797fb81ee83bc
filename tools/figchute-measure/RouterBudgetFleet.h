#pragma once

#include "ledger/ledger.h"

#include <map>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace figchute::measure {

/** Entry processes of the router daemon and one control state, connected by a network with delay,
    jitter and loss. A partition separates all entry processes from control.
    Thread safety: use one instance from one thread only. */
class RouterBudgetFleet
{
public:
  /** The messages sent and the commands committed so far. */
  struct Traffic
  {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;
    std::uint64_t commands = 0;
  };

  /** Creates the fleet and starts all entry processes at @p startTime. */
  RouterBudgetFleet(int holderCount, std::uint64_t seed, Time startTime);

  /** Sets the prepaid budgets at control. Entry processes receive them once they can reach
      control. */
  void setPrepaidBudgets(Time now, std::vector<ledger::PrepaidBudget> budgets);

  /** Runs all deliveries, restarts and timers that are due by @p now. */
  void advance(Time now);

  /** Crashes a process. Its next incarnation starts after @p restartDelay. */
  void crash(Time now, int holder, Duration restartDelay);

  /** Drains a process, which stops once it has returned its tokens. Its next incarnation starts
      @p restartDelay later. */
  void drain(Time now, int holder, Duration restartDelay);

  /** Partitions all entry processes from control, or ends the partition.
      @param fromControl    true to partition the entry processes from control
      @param fromEachOther  true to partition them from each other as well */
  void setPartition(Time now, bool fromControl, bool fromEachOther);

  /** Returns true if a process accepts requests: it runs, has a configuration and is not
      draining. */
  [[nodiscard]] bool isServing(int holder) const;

  /** Returns the incarnation number of a process, which counts its starts. */
  [[nodiscard]] std::uint64_t incarnationNumber(int holder) const;

  /** Returns the quota manager of a process, which must be running. */
  [[nodiscard]] ledger::QuotaManager& quotaManager(int holder);

  /** Returns and clears the decisions of a process on waiting requests. */
  std::vector<ledger::Decision> takeDecisions(int holder);

  [[nodiscard]] int holderCount() const { return static_cast<int>(entryProcesses_.size()); }
  [[nodiscard]] const Traffic& traffic() const { return traffic_; }
  [[nodiscard]] const ledger::ControlState& control() const { return control_; }

private:
  struct EntryProcess
  {
    Incarnation incarnation{ 1 };
    std::unique_ptr<ledger::QuotaManager> quotaManager;
    bool isConfigured = false;
    bool isDraining = false;
    Duration restartDelay{ 0 };
  };

  struct Packet
  {
    int from = 0;
    int to = 0;
    std::string bytes;
  };

  [[nodiscard]] int controlIndex() const { return holderCount(); }
  [[nodiscard]] static ProcessId processIdOf(int process);
  [[nodiscard]] static int processIndexOf(const ProcessId& id);
  void startProcess(Time now, int holder);
  void distributeConfiguration(Time now);
  void send(Time now,
            int from,
            const ledger::OutgoingMessage& outgoing,
            Duration extraDelay = Duration{ 0 });
  void sendOutgoing(Time now, int process);
  void deliver(Time now, const Packet& packet);
  void stopDrainedProcesses(Time now);

  Random random_;
  ledger::ControlState control_;
  std::vector<ledger::PrepaidBudget> budgets_;
  std::vector<EntryProcess> entryProcesses_;
  std::multimap<Time, Packet> packetsInFlight_;
  std::multimap<Time, int> pendingRestarts_;
  Time nextTickTime_;
  bool isControlPartitioned_ = false;
  bool areEntriesPartitioned_ = false;
  Traffic traffic_;
};

} // namespace figchute::measure
