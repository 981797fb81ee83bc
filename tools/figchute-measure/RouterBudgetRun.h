#pragma once

#include "RouterBudgetFleet.h"

#include <map>
#include <string_view>
#include <vector>

namespace figchute::measure {

/** What happens in one run of the router's budgets. */
struct RouterBudgetScenario
{
  std::string_view name;
  /** The amounts, as a share of what the work will use. */
  double prepaid = 1.3;
  /** The amounts start at 0.6 of this and are raised twice. */
  bool topsUp = false;
  /** Single processes are killed or restarted at random moments. */
  bool restarts = false;
  /** Half of the processes are killed at one moment. */
  bool killsHalf = false;
  /** All processes are cut off from control twice. */
  bool cuts = false;
  /** They are then cut off from each other too. */
  bool cutsEntries = false;
  int holders = 9;
};

/** What one run measured. */
struct RouterBudgetOutcome
{
  double overspend = 0;
  /** Refusals per thousand requests before 97% of the budget was used. */
  double falseRefusals = 0;
  /** The part of them whose upper bound was within the 97%. */
  double avoidableRefusals = 0;
  /** Requests per thousand after 97% of the budget was used that were refused. */
  double trueRefusals = 0;
  /** Requests per thousand that waited, and their longest wait. */
  double waits = 0;
  double longestWaitMs = 0;
  /** Tokens that count as spent and were not, in percent of the budgets. */
  double lost = 0;
  double messages = 0;
  double bytes = 0;
  double commands = 0;
  /** Messages and commands of the whole fleet per second without requests. */
  double idleMessages = 0;
  double idleCommands = 0;
};

/** Drives a fleet with random work and faults in virtual time and keeps its own tally.
    Thread safety: use one instance from one thread only. */
class RouterBudgetRun
{
public:
  RouterBudgetRun(const RouterBudgetScenario& scenario, std::uint64_t seed);

  /** Runs to the end.
      @returns the measurements */
  RouterBudgetOutcome run();

private:
  struct Request
  {
    int holder = 0;
    std::uint64_t life = 0;
    int workspace = 0;
    Tokens bound;
    Tokens cost;
    Duration length{ 0 };
    Time arrival;
  };

  enum class FaultKind : std::uint8_t
  {
    topUp,
    kill,
    killHalf,
    drain,
    cut,
    heal,
  };

  void plan();
  void prepay(double share);
  void apply(FaultKind fault);
  void kill();
  void arrive();
  Request makeRequest();
  void decide(const ledger::Decision& decision);
  void finish(const RequestId& id);
  void countRefusal(const Request& request);
  [[nodiscard]] double rate(int workspace) const;
  [[nodiscard]] RouterBudgetOutcome outcome() const;

  RouterBudgetScenario scenario_;
  Random random_;
  Time now_;
  RouterBudgetFleet fleet_;
  std::multimap<Time, FaultKind> faults_;
  std::map<RequestId, Request> running_;
  std::multimap<Time, RequestId> ends_;
  int topUps_ = 0;
  std::vector<Tokens> prepaid_;
  std::vector<Tokens> used_;
  std::uint64_t requests_ = 0;
  std::uint64_t waits_ = 0;
  std::uint64_t falseRefusals_ = 0;
  std::uint64_t avoidableRefusals_ = 0;
  std::uint64_t trueRefusals_ = 0;
  Duration longestWait_{ 0 };
  RouterBudgetFleet::Traffic busy_;
};

} // namespace figchute::measure
