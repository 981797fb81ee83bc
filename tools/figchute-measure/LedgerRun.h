#pragma once

#include "LedgerFleet.h"

#include <map>
#include <string>
#include <vector>

namespace figchute::measure {

/** What happens in one run. */
struct LedgerScenario
{
  std::string_view name;
  /** Tokens bought at the start, as a share of what the work will use. */
  double boughtAtStart = 3.0;
  /** The same after a top-up in the middle of the run. */
  double boughtAfterTopUp = 3.0;
  /** Cuts off the last zone for the middle third of the run. */
  bool cutsZone = false;
};

/** What one run measured. */
struct LedgerOutcome
{
  double overspend = 0;
  /** Refusals per thousand requests while the true cost was unreserved within reach. */
  double falseRefusals = 0;
  /** The part of them whose upper bound was unreserved within reach. */
  double avoidableRefusals = 0;
  /** Requests per thousand that waited for a grant. */
  double waits = 0;
  double configInForceMs = 0;
  double recoveryMs = 0;
};

/** Drives one policy with random work in virtual time and keeps its own tally of bills and
    reservations.
    Thread safety: use one instance from one thread only. */
class LedgerRun
{
public:
  /** @param site      the deployment
      @param scenario  the faults and amounts
      @param policy    the object of the run; started at start()
      @param seed      the seed of the work, so that policies meet the same requests */
  LedgerRun(const Site& site,
            const LedgerScenario& scenario,
            BudgetPolicy& policy,
            std::uint64_t seed);

  /** Runs to the end.
      @returns the measurements */
  LedgerOutcome run();

  /** Returns the time at which every run starts. */
  static Time start() { return Time{ 1'700'000'000'000'000 }; }

private:
  struct Request
  {
    int vm = 0;
    std::uint64_t life = 0;
    std::vector<BudgetId> budgets;
    Tokens promptBound;
    Tokens prompt;
    Tokens maxTokens;
    Tokens generated;
    Tokens reserved;
    Tokens charged{ -1 };
  };

  struct Event
  {
    RequestId request;
    bool first = false;
  };

  void buy(double share);
  void schedule();
  void arrive();
  void decide(const ledger::Decision& decision);
  void handle(const Event& event);
  void crashVm();
  void countRefusal(const Request& request);
  [[nodiscard]] Tokens reachable(int vm, const BudgetId& budget) const;
  [[nodiscard]] bool isCut(int vm) const;
  void watch();
  [[nodiscard]] double overspend() const;

  Site site_;
  LedgerScenario scenario_;
  BudgetPolicy& policy_;
  Random random_;
  Time now_;
  std::vector<std::uint64_t> lives_;
  std::vector<Time> downUntil_;
  int cutZone_ = -1;
  std::uint64_t requests_ = 0;
  std::uint64_t waits_ = 0;
  std::uint64_t falseRefusals_ = 0;
  std::uint64_t avoidableRefusals_ = 0;
  std::map<RequestId, Request> running_;
  std::multimap<Time, Event> events_;
  std::map<BudgetId, Tokens> bought_;
  std::map<BudgetId, Tokens> spent_;
  std::map<BudgetId, Tokens> reserved_;
  std::map<BudgetId, Tokens> delivered_;
  Tokens billed_;
  Time changedAt_;
  Time healedAt_;
  double configMs_ = -1;
  Time recoverFrom_;
  Tokens recoverBilled_;
  double recoveryMs_ = -1;
};

} // namespace figchute::measure
