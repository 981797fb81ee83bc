#pragma once

#include "ControlProcess.h"

#include <deque>
#include <vector>

namespace figchute::simulation {

/** Repairs and changes the membership of the log one step at a time. A step is proposed to the
   leader again until it is committed. */
class Operator
{
public:
  using Processes = std::vector<std::unique_ptr<ControlProcess>>;

  Operator(Processes& processes, const LogTally& tally);

  /** Removes a process whose disk was lost and adds it again. */
  void repair(const ProcessId& process);

  /** Adds a process as a new voter. */
  void add(const ProcessId& process);

  /** Removes a voter. */
  void remove(const ProcessId& process);

  /** Removes completed steps and proposes the next one. */
  void tick();

  /** Returns true if no step is left. */
  [[nodiscard]] bool isIdle() const { return steps_.empty(); }

  /** Returns the number of completed steps. */
  [[nodiscard]] std::uint64_t completedCount() const { return completedCount_; }

private:
  [[nodiscard]] bool isDone(const replication::MembershipChange& step) const;

  Processes& processes_;
  const LogTally& tally_;
  std::deque<replication::MembershipChange> steps_;
  std::uint64_t completedCount_ = 0;
};

} // namespace figchute::simulation
