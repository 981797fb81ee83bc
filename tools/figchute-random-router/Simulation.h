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

/** Returns the names that Options::breakName may have. */
std::vector<std::string> breakNames();

/** One randomised run: all processes of a fleet, the faults and the final check. */
class Simulation
{
public:
  explicit Simulation(Options options);

  /** Runs the steps, ends all faults and checks that the fleet recovers.
      @throws Violation when a rule does not hold */
  void run();

  /** Returns one line that describes the run. */
  [[nodiscard]] std::string summary() const;

  /** Describes the control and entry processes, one a line. */
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

  /** The last requests: each process gets some that every budget covers. */
  struct Probe
  {
    std::string name;
    bool answered = false;
    Answer answer = Answer::failed;
  };

  void addControls();
  void addEntries();
  void addEndpoints();
  ControlProcess& addControl(int zone);
  void startBreak();
  void every(Duration interval, std::function<void()> action);

  void callLater();
  void sendRequest(const CallerRequest& request, int tries);

  void scheduleFault();
  void scheduleEndpointChange();
  void injectFault();
  void killControls();
  void restartControl(ControlProcess& process, Duration wait);
  void spoilDisk();
  void killEntries();
  void restartEntry(EntryProcess& entry, Duration wait);
  void stopEntry();
  void freezeSome();
  void partition();
  void disturbNetwork();
  void loseControl();
  void disturbEndpoint();
  void restartEndpoint(EndpointProcess& endpoint, Duration wait);
  void renewSeeds(const std::vector<ProcessId>& seeds, const ProcessId& gone);
  [[nodiscard]] bool controlsSettled() const;
  [[nodiscard]] std::vector<ProcessId> liveSeeds();

  void checkLeaders() const;
  void endFaults();
  void runUntil(Time end);
  void checkRecovered();
  void probe();
  void sendProbe(EntryProcess& entry, Probe& probe, const CallerRequest& request, int tries);
  void checkProbes() const;
  ControlProcess& anyControl();
  EntryProcess& anyEntry() { return *entries_[world_.random.below(entries_.size())]; }
  Duration span(std::int64_t lowMs, std::int64_t highMs);

  Options options_;
  int zones_;
  World world_;
  Operators operators_;
  std::vector<std::unique_ptr<ControlProcess>> controls_;
  /** Processes at addresses that are no longer used. */
  std::vector<std::unique_ptr<ControlProcess>> formerControls_;
  std::vector<std::unique_ptr<EntryProcess>> entries_;
  std::vector<std::unique_ptr<EndpointProcess>> endpoints_;
  std::vector<std::unique_ptr<Probe>> probes_;
  Counts counts_;
  int lastControl_ = 0;
  int lastEndpoint_ = 0;
  Time quietUntil_;
  bool faults_ = true;
  bool requesting_ = true;
  std::uint64_t lastFingerprint_ = 0;
};

} // namespace figchute::simulation
