#pragma once

#include "ControlProcess.h"
#include "LogTally.h"
#include "Network.h"
#include "Operator.h"

#include <memory>
#include <string>
#include <vector>

namespace figchute::simulation {

/** What the command line chooses. */
struct Options
{
  std::uint64_t seed = 1;
  std::uint64_t steps = 200'000;
  /** "ferreira" or "goggle". */
  std::string deployment = "ferreira";
  /** The name of the invariant to break on purpose; empty for an ordinary run. */
  std::string breakName;
};

/** One randomised run: all processes, the faults and the final check. */
class Simulation
{
public:
  explicit Simulation(Options options);

  /** Runs the steps, ends all faults and checks that the system recovers.
      @throws Violation when an invariant does not hold */
  void run();

  /** Returns one line that describes the run. */
  [[nodiscard]] std::string summary() const;

  [[nodiscard]] const Network& network() const { return network_; }
  [[nodiscard]] const Schedule& schedule() const { return schedule_; }

private:
  struct Counts
  {
    std::uint64_t crashes = 0;
    std::uint64_t diskLosses = 0;
    std::uint64_t partitions = 0;
  };

  void addControls();
  void breakInvariant();
  void every(Duration interval, std::function<void()> action);
  void propose();
  void scheduleFault();
  void injectFault();
  void crash(ControlProcess& process);
  void crashAll();
  void restartLater(ControlProcess& process);
  void partition();
  void loseDisk();
  void changeMembers();
  void checkLeaders() const;
  void endFaults();
  void runUntil(Time end);
  void checkRecovered();
  ControlProcess& anyControl() { return *controls_[random_.below(controls_.size())]; }
  ControlProcess* leader();

  Options options_;
  int zones_;
  Random random_;
  Schedule schedule_;
  Network network_;
  LogTally tally_;
  Operator::Processes controls_;
  Operator operator_;
  Counts counts_;
  std::uint64_t proposals_ = 0;
  bool faults_ = true;
  bool proposing_ = true;
};

} // namespace figchute::simulation
