#pragma once

#include "LedgerFleet.h"

#include <map>
#include <string>
#include <vector>

namespace figchute::measure {

/** The purchases and faults of one run. */
struct LedgerScenario
{
  std::string_view name;
  /** Tokens bought at the start, as a share of the expected use of the whole run. */
  double purchasedShareAtStart = 3.0;
  /** The cumulative share after a top-up in the middle of the run. */
  double purchasedShareAfterTopUp = 3.0;
  /** Partitions the last zone from the others for the middle third of the run. */
  bool partitionsZone = false;
};

/** The measurements of one run. */
struct LedgerOutcome
{
  double overspentTokens = 0;
  /** Refused requests whose true cost was covered by unreserved tokens within reach, per thousand
      requests. */
  double falseRefusalsPerThousand = 0;
  /** Those of them whose upper bound was covered by unreserved tokens within reach. */
  double avoidableRefusalsPerThousand = 0;
  /** Requests per thousand that waited for a grant. */
  double waitsPerThousand = 0;
  double configInForceMs = 0;
  double recoveryMs = 0;
};

/** Runs one policy under random load in virtual time and keeps its own accounts of charges and
    reservations.
    Thread safety: use one instance from one thread only. */
class LedgerRun
{
public:
  /** Creates a run.
      @param deployment  the zones and the network
      @param scenario    the purchases and faults
      @param policy      the policy under test, which must have been started at startTime()
      @param seed        the seed of the load, so that all policies receive the same requests */
  LedgerRun(const Deployment& deployment,
            const LedgerScenario& scenario,
            BudgetPolicy& policy,
            std::uint64_t seed);

  /** Runs the simulation to its end.
      @returns the measurements */
  LedgerOutcome run();

  /** Returns the time at which every run starts. */
  static Time startTime() { return Time{ 1'700'000'000'000'000 }; }

private:
  struct Request
  {
    int vm = 0;
    std::uint64_t incarnation = 0;
    std::vector<BudgetId> budgets;
    Tokens promptBound;
    Tokens promptTokens;
    Tokens maxTokens;
    Tokens generatedTokens;
    Tokens reserved;
    Tokens charged{ -1 };
  };

  struct Event
  {
    RequestId request;
    bool isFirstToken = false;
  };

  void purchaseBudgets(double useShare);
  void applyScheduledChanges();
  void generateArrival();
  void applyDecision(const ledger::Decision& decision);
  void handleEvent(const Event& event);
  void crashVm();
  void countRefusal(const Request& request);
  [[nodiscard]] Tokens reachableTokens(int vm, const BudgetId& budget) const;
  [[nodiscard]] bool isPartitioned(int vm) const;
  void pollPolicy();
  [[nodiscard]] double overspentTokens() const;

  Deployment deployment_;
  LedgerScenario scenario_;
  BudgetPolicy& policy_;
  Random random_;
  Time now_;
  std::vector<std::uint64_t> incarnations_;
  std::vector<Time> restartTimes_;
  int partitionedZone_ = -1;
  std::uint64_t requestCount_ = 0;
  std::uint64_t waitCount_ = 0;
  std::uint64_t falseRefusalCount_ = 0;
  std::uint64_t avoidableRefusalCount_ = 0;
  std::map<RequestId, Request> activeRequests_;
  std::multimap<Time, Event> scheduledEvents_;
  std::map<BudgetId, Tokens> purchased_;
  std::map<BudgetId, Tokens> spent_;
  std::map<BudgetId, Tokens> reserved_;
  std::map<BudgetId, Tokens> delivered_;
  Tokens totalCharged_;
  Time topUpTime_;
  Time partitionEndTime_;
  double configInForceMs_ = -1;
  Time recoveryStartTime_;
  Tokens chargedBeforeRecovery_;
  double recoveryMs_ = -1;
};

} // namespace figchute::measure
