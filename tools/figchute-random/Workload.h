#pragma once

#include "EntryProcess.h"

#include <memory>
#include <string>
#include <vector>

namespace figchute::simulation {

/** Callers that send requests to entry VMs and retry elsewhere under the same key. */
class Workload
{
public:
  using Entries = std::vector<std::unique_ptr<EntryProcess>>;

  Workload(Entries& entries, Schedule& schedule, Random& random);

  /** Sends one new request. */
  void sendRequest();

private:
  void attempt(Attempt request, int tries);
  EntryProcess* anyEntry();

  Entries& entries_;
  Schedule& schedule_;
  Random& random_;
  std::uint64_t requests_ = 0;
  std::uint64_t attempts_ = 0;
};

/** An operator who changes documents and tops up budgets, in a race with another one. */
class DocumentOperator
{
public:
  DocumentOperator(ProcessId id, Schedule& schedule, Random& random, Network& network);

  /** Sends a change, or sends the last one again. */
  void act();
  void tick();
  void receive(const Packet& packet);
  void setControls(const std::vector<ProcessId>& controls) { proposer_.setControls(controls); }

private:
  void flush();

  ProcessId id_;
  Schedule& schedule_;
  Random& random_;
  Network& network_;
  ledger::Proposer proposer_;
  ledger::ApplyDocument last_;
  std::map<std::uint64_t, TeamId> proposed_;
  std::map<TeamId, std::uint64_t> versions_;
  std::uint64_t changes_ = 0;
};

/** The teams of every run. */
std::vector<TeamId> teams();

/** The budgets of a team: two workspaces and two callers, one in each. */
std::vector<BudgetId> budgetsOf(const TeamId& team);

} // namespace figchute::simulation
