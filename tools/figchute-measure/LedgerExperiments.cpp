#include "LedgerExperiments.h"

#include "LedgerRun.h"
#include "RouterBudgetRun.h"

namespace figchute::measure {
namespace {

constexpr std::uint64_t kSeeds[] = { 1, 2, 3 };
constexpr Site kSites[] = { { "ferreira", 3, Duration{ 1000 } }, { "goggle", 4, Duration{ 500 } } };
constexpr LedgerScenario kScenarios[] = { { "calm", 3.0, 3.5, false },
                                          { "low_budget", 0.7, 0.8, false },
                                          { "partition_topup", 0.5, 1.3, true } };

template<typename Policy>
std::vector<LedgerOutcome> runSeeds(const Site& site, const LedgerScenario& scenario)
{
  std::vector<LedgerOutcome> outcomes;
  for (const auto seed : kSeeds) {
    Policy policy(site, seed, LedgerRun::start());
    outcomes.push_back(LedgerRun(site, scenario, policy, seed).run());
  }
  return outcomes;
}

void write(RowWriter& rows,
           const Site& site,
           const LedgerScenario& scenario,
           std::string_view policy,
           const std::vector<LedgerOutcome>& outcomes)
{
  const auto metric =
    [&](std::string_view name, std::string_view unit, double LedgerOutcome::*value) {
      std::vector<double> values;
      values.reserve(outcomes.size());
      for (const auto& outcome : outcomes) {
        values.push_back(outcome.*value);
      }
      rows.medianAndWorst(site.name, scenario.name, policy, name, values, unit, true);
    };
  metric("overspend", "tokens", &LedgerOutcome::overspend);
  metric("false_refusals", "per_thousand", &LedgerOutcome::falseRefusals);
  metric("avoidable_refusals", "per_thousand", &LedgerOutcome::avoidableRefusals);
  metric("waits", "per_thousand", &LedgerOutcome::waits);
  metric("config_in_force", "ms", &LedgerOutcome::configInForceMs);
  metric("recovery", "ms", &LedgerOutcome::recoveryMs);
}

constexpr std::uint64_t kRouterSeeds = 12;
constexpr RouterBudgetScenario kRouterScenarios[] = {
  { "router_calm", 1.3, false, false, false, false, false, 9 },
  { "router_restarts", 1.3, true, true, true, false, false, 9 },
  { "router_cuts", 1.3, true, false, false, true, false, 9 },
  { "router_all", 1.3, true, true, true, true, false, 9 },
  { "router_isolated", 1.3, true, false, false, true, true, 9 },
  { "router_exhausted", 0.7, true, true, true, true, false, 9 },
  { "router_85", 1.3, true, true, true, true, false, 85 },
};

void writeRouter(RowWriter& rows, const RouterBudgetScenario& scenario)
{
  const auto seeds = scenario.holders > kEntryVms ? 2 : kRouterSeeds;
  std::vector<RouterBudgetOutcome> outcomes;
  for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
    outcomes.push_back(RouterBudgetRun(scenario, seed).run());
  }
  const auto metric =
    [&](std::string_view name, std::string_view unit, double RouterBudgetOutcome::*value) {
      std::vector<double> values;
      values.reserve(outcomes.size());
      for (const auto& outcome : outcomes) {
        values.push_back(outcome.*value);
      }
      rows.medianAndWorst("router", scenario.name, "figchute", name, values, unit, true);
    };
  metric("overspend", "tokens", &RouterBudgetOutcome::overspend);
  metric("false_refusals", "per_thousand", &RouterBudgetOutcome::falseRefusals);
  metric("avoidable_refusals", "per_thousand", &RouterBudgetOutcome::avoidableRefusals);
  metric("true_refusals", "per_thousand", &RouterBudgetOutcome::trueRefusals);
  metric("waits", "per_thousand", &RouterBudgetOutcome::waits);
  metric("longest_wait", "ms", &RouterBudgetOutcome::longestWaitMs);
  metric("lost", "percent", &RouterBudgetOutcome::lost);
  metric("messages", "per_request", &RouterBudgetOutcome::messages);
  metric("bytes", "per_request", &RouterBudgetOutcome::bytes);
  metric("log_commands", "per_request", &RouterBudgetOutcome::commands);
  metric("idle_messages", "per_second", &RouterBudgetOutcome::idleMessages);
  metric("idle_log_commands", "per_second", &RouterBudgetOutcome::idleCommands);
}

} // namespace

void runLedgerExperiments(RowWriter& rows)
{
  for (const auto& site : kSites) {
    for (const auto& scenario : kScenarios) {
      write(rows, site, scenario, "figchute", runSeeds<FigchutePolicy>(site, scenario));
      write(rows, site, scenario, "equal_split", runSeeds<EqualSplitPolicy>(site, scenario));
    }
  }
  for (const auto& scenario : kRouterScenarios) {
    writeRouter(rows, scenario);
  }
}

} // namespace figchute::measure
