#pragma once

#include "EntryProcess.h"

#include <memory>
#include <string>
#include <vector>

namespace figchute::simulation {

/** Callers that send requests to entry VMs and retry at other VMs with the same key. */
class Workload
{
public:
  using Entries = std::vector<std::unique_ptr<EntryProcess>>;

  Workload(Entries& entries, Schedule& schedule, Random& random);

  /** Sends one new request. */
  void sendRequest();

private:
  void startAttempt(Attempt attempt, int previousAttempts);
  EntryProcess* randomRunningEntry();

  Entries& entries_;
  Schedule& schedule_;
  Random& random_;
  std::uint64_t requestCount_ = 0;
  std::uint64_t attemptCount_ = 0;
};

/** An operator that changes documents and tops up budgets in a race with another operator. */
class DocumentOperator
{
public:
  DocumentOperator(ProcessId id, Schedule& schedule, Random& random, Network& network);

  /** Sends a new change, or sends the last one again. */
  void sendChange();
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
  ledger::ApplyDocument lastChange_;
  std::map<std::uint64_t, TeamId> teamByProposal_;
  std::map<TeamId, std::uint64_t> teamVersions_;
  std::uint64_t changeCount_ = 0;
};

/** Returns the teams of every run. */
std::vector<TeamId> teams();

/** Returns the budgets of a team: two workspaces and two callers, one in each workspace. */
std::vector<BudgetId> budgetsOf(const TeamId& team);

} // namespace figchute::simulation
