#pragma once

#include "ControlProcess.h"
#include "EndpointProcess.h"
#include "EntryProcess.h"
#include "Operator.h"
#include "World.h"

#include <memory>
#include <string>
#include <vector>

namespace figchute::simulation {

/** Returns the valid values of Options::breakName. */
std::vector<std::string> breakNames();

/** One randomised run: all processes of a fleet, the injected faults and the final check. */
class Simulation
{
public:
  explicit Simulation(Options options);

  /** Runs the steps, ends all faults and checks that the fleet recovers.
      @throws Violation if a rule does not hold */
  void run();

  /** Returns a summary of the run in one line. */
  [[nodiscard]] std::string summary() const;

  /** Returns a description of the control and entry processes, one per line. */
  [[nodiscard]] std::string describe() const;

  [[nodiscard]] const World& world() const { return world_; }

private:
  struct Counts
  {
    std::uint64_t faults = 0;
    std::uint64_t controlKills = 0;
    std::uint64_t entryKills = 0;
    std::uint64_t wipes = 0;
    std::uint64_t replacements = 0;
    std::uint64_t partitions = 0;
    std::uint64_t freezes = 0;
    std::uint64_t requests = 0;
    std::uint64_t answered = 0;
    std::uint64_t budgetRefusals = 0;
  };

  /** One of the final requests. Each entry process receives some that every budget covers. */
  struct Probe
  {
    std::string name;
    bool isCompleted = false;
    RequestOutcome outcome = RequestOutcome::failed;
  };

  void addControls();
  void addEntries();
  void addEndpoints();
  ControlProcess& addControl(int zone);
  void breakRule();
  void callPeriodically(Duration interval, std::function<void()> action);

  void scheduleRequest();
  void sendRequest(const CallerRequest& request, int attemptsLeft);

  void scheduleFault();
  void scheduleEndpointChange();
  void injectFault();
  void killControls();
  void restartControl(ControlProcess& process, Duration delay);
  void failDisk();
  void killEntries();
  void restartEntry(EntryProcess& entry, Duration delay);
  void stopEntry();
  void freezeRandomProcess();
  void partitionNetwork();
  void degradeNetwork();
  void wipeOrReplaceControl();
  void disruptEndpoint();
  void disruptService(const ServiceName& service);
  void restartEndpoint(EndpointProcess& endpoint, Duration delay);
  void updateSeeds(const std::vector<ProcessId>& seeds, const ProcessId& removedId);
  [[nodiscard]] bool isControlGroupStable() const;
  [[nodiscard]] std::vector<ProcessId> selectSeeds();

  void checkLeaders() const;
  void endFaults();
  void runUntil(Time end);
  void checkRecovered();
  void sendProbes();
  void sendProbe(EntryProcess& entry, Probe& probe, const CallerRequest& request, int attemptsLeft);
  void checkProbes() const;
  ControlProcess& randomControl();
  EntryProcess& randomEntry() { return *entries_[world_.random.below(entries_.size())]; }
  Duration randomDuration(std::int64_t minMs, std::int64_t maxMs);

  Options options_;
  int zoneCount_;
  World world_;
  Operators operators_;
  std::vector<std::unique_ptr<ControlProcess>> controls_;
  /** Replaced processes, whose addresses are no longer used. */
  std::vector<std::unique_ptr<ControlProcess>> formerControls_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::vector<std::unique_ptr<EndpointProcess>> endpoints_;
  std::vector<std::unique_ptr<Probe>> probes_;
  Counts counts_;
  int lastControl_ = 0;
  int lastEndpoint_ = 0;
  Time noFaultsUntil_;
  /** The end of a period without requests, in which holders have nothing to report. */
  Time noRequestsUntil_;
  bool faultsEnabled_ = true;
  bool requestsEnabled_ = true;
  std::uint64_t lastFingerprint_ = 0;
};

} // namespace figchute::simulation
