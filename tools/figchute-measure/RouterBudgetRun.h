#pragma once

#include "RouterBudgetFleet.h"

#include <map>
#include <string_view>
#include <vector>

namespace figchute::measure {

/** The budgets and faults of one run with the router daemon. */
struct RouterBudgetScenario
{
  std::string_view name;
  /** Size of the budgets as a share of the expected use of the whole run. */
  double prepaidShare = 1.3;
  /** The budgets start at 0.6 of this size and are raised twice. */
  bool hasTopUps = false;
  /** Single processes are killed or restarted at random times. */
  bool hasRestarts = false;
  /** Half of the processes are killed at the same time. */
  bool killsHalf = false;
  /** All processes are partitioned from control twice. */
  bool hasControlPartitions = false;
  /** During these partitions, they are also partitioned from each other. */
  bool partitionsEntries = false;
  int holderCount = 9;
};

/** The measurements of one run. */
struct RouterBudgetOutcome
{
  double overspentTokens = 0;
  /** Refusals per thousand requests while less than 97% of the budget was used. */
  double falseRefusalsPerThousand = 0;
  /** Those refusals, per thousand requests, whose upper bound was within the 97%. */
  double avoidableRefusalsPerThousand = 0;
  /** Refusals per thousand requests after 97% of the budget was used. */
  double trueRefusalsPerThousand = 0;
  /** Requests per thousand that waited, and the longest wait. */
  double waitsPerThousand = 0;
  double longestWaitMs = 0;
  /** Tokens that are settled as spent but were not used, in percent of the budgets. */
  double lostPercent = 0;
  double messagesPerRequest = 0;
  double bytesPerRequest = 0;
  double commandsPerRequest = 0;
  /** Messages and commands of the whole fleet per second while there are no requests. */
  double idleMessagesPerSecond = 0;
  double idleCommandsPerSecond = 0;
};

/** Runs a fleet under random load and faults in virtual time and keeps its own accounts.
    Thread safety: use one instance from one thread only. */
class RouterBudgetRun
{
public:
  RouterBudgetRun(const RouterBudgetScenario& scenario, std::uint64_t seed);

  /** Runs the simulation to its end.
      @returns the measurements */
  RouterBudgetOutcome run();

private:
  struct Request
  {
    int holder = 0;
    std::uint64_t incarnationNumber = 0;
    int workspace = 0;
    Tokens bound;
    Tokens cost;
    Duration duration{ 0 };
    Time arrival;
  };

  enum class EventKind : std::uint8_t
  {
    topUp,
    kill,
    killHalf,
    drain,
    startPartition,
    endPartition,
  };

  void scheduleEvents();
  void setPrepaidBudgets(double share);
  void applyEvent(EventKind event);
  void killRandomProcess();
  void generateArrival();
  Request drawRequest();
  void applyDecision(const ledger::Decision& decision);
  void finishRequest(const RequestId& id);
  void countRefusal(const Request& request);
  [[nodiscard]] double requestsPerSecond(int workspace) const;
  [[nodiscard]] RouterBudgetOutcome outcome() const;

  RouterBudgetScenario scenario_;
  Random random_;
  Time now_;
  RouterBudgetFleet fleet_;
  std::multimap<Time, EventKind> scheduledEvents_;
  std::map<RequestId, Request> activeRequests_;
  std::multimap<Time, RequestId> requestEnds_;
  int topUpCount_ = 0;
  std::vector<Tokens> prepaidTokens_;
  std::vector<Tokens> usedTokens_;
  std::uint64_t requestCount_ = 0;
  std::uint64_t waitCount_ = 0;
  std::uint64_t falseRefusalCount_ = 0;
  std::uint64_t avoidableRefusalCount_ = 0;
  std::uint64_t trueRefusalCount_ = 0;
  Duration longestWait_{ 0 };
  RouterBudgetFleet::Traffic trafficUnderLoad_;
};

} // namespace figchute::measure
