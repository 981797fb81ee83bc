#pragma once

#include "ControlProcess.h"

#include <deque>
#include <vector>

namespace figchute::simulation {

/** Repairs and changes the membership of the log, one step at a time, by asking the leader again
    until a step is committed. */
class Operator
{
public:
  using Processes = std::vector<std::unique_ptr<ControlProcess>>;

  Operator(Processes& processes, const LogTally& tally);

  /** Removes a process and adds it again; its disk was lost. */
  void repair(const ProcessId& process);

  /** Adds a process as a new voter. */
  void add(const ProcessId& process);

  /** Removes a voter. */
  void remove(const ProcessId& process);

  /** Tries the next step. */
  void tick();

  /** Returns true when no step is left. */
  [[nodiscard]] bool idle() const { return steps_.empty(); }

  /** Returns how many steps were completed. */
  [[nodiscard]] std::uint64_t completed() const { return completed_; }

private:
  [[nodiscard]] bool done(const replication::MembershipChange& step) const;

  Processes& processes_;
  const LogTally& tally_;
  std::deque<replication::MembershipChange> steps_;
  std::uint64_t completed_ = 0;
};

} // namespace figchute::simulation
