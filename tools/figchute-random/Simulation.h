#pragma once

#include "ControlProcess.h"
#include "EntryProcess.h"
#include "Network.h"
#include "Operator.h"
#include "Workload.h"

#include <memory>
#include <string>
#include <vector>

namespace figchute::simulation {

/** The options of a run, set on the command line. */
struct Options
{
  std::uint64_t seed = 1;
  std::uint64_t steps = 200'000;
  /** "ferreira" or "goggle". */
  std::string deployment = "ferreira";
  /** "all", or "log" for the replicated log without the ledger. */
  std::string part = "all";
  /** Divides the delays between faults and before restarts; at 6, most time passes in elections. */
  std::uint64_t intensity = 1;
  /** The name of the invariant to break on purpose; empty for an ordinary run. */
  std::string breakName;
};

/** Returns the valid values of Options::breakName. */
std::vector<std::string> breakNames();

/** One randomised run: all processes, the injected faults and the final check. */
class Simulation
{
public:
  explicit Simulation(Options options);

  /** Runs the steps, ends all faults and checks that the system recovers.
      @throws Violation if an invariant does not hold */
  void run();

  /** Returns a summary of the run in one line. */
  [[nodiscard]] std::string summary() const;

  [[nodiscard]] const Network& network() const { return network_; }
  [[nodiscard]] const Schedule& schedule() const { return schedule_; }

private:
  struct Counts
  {
    std::uint64_t crashes = 0;
    std::uint64_t entryCrashes = 0;
    std::uint64_t diskLosses = 0;
    std::uint64_t partitions = 0;
  };

  void addControls();
  void addEntries();
  void addOperators();
  void addTraffic();
  void breakInvariant();
  void callPeriodically(Duration interval, std::function<void()> action);
  void propose();
  void scheduleFault();
  void injectFault();
  void crashControl(ControlProcess& process);
  void crashEntry();
  void startEntry(EntryProcess& entry);
  void crashAllControls();
  std::vector<ledger::Peer> peersOf(const ProcessId& process) const;
  void updatePeers();
  void checkHeld();
  bool drainEntries();
  void scheduleRestart(ControlProcess& process);
  void partitionNetwork();
  void wipeRandomDisk();
  void changeMembership();
  void checkLeaders() const;
  void endFaults();
  void runUntil(Time end);
  void checkRecovered();
  ControlProcess& randomControl() { return *controls_[random_.below(controls_.size())]; }
  ControlProcess* leader();

  Options options_;
  int zoneCount_;
  Random random_;
  Schedule schedule_;
  Network network_;
  Tallies tallies_;
  Operator::Processes controls_;
  Operator operator_;
  Workload::Entries entries_;
  Workload workload_;
  std::vector<std::unique_ptr<DocumentOperator>> documentOperators_;
  Counts counts_;
  std::uint64_t proposalCount_ = 0;
  bool faultsEnabled_ = true;
  bool proposalsEnabled_ = true;
  bool requestsEnabled_ = true;
  bool drainStarted_ = false;
};

} // namespace figchute::simulation
