#include "LedgerExperiments.h"

#include "LedgerRun.h"
#include "RouterBudgetRun.h"

namespace figchute::measure {
namespace {

constexpr std::uint64_t kSeeds[] = { 1, 2, 3 };
constexpr Deployment kDeployments[] = { { "ferreira", 3, Duration{ 1000 } },
                                        { "goggle", 4, Duration{ 500 } } };
constexpr LedgerScenario kScenarios[] = { { "calm", 3.0, 3.5, false },
                                          { "low_budget", 0.7, 0.8, false },
                                          { "partition_topup", 0.5, 1.3, true } };

template<typename Policy>
std::vector<LedgerOutcome> runSeeds(const Deployment& deployment, const LedgerScenario& scenario)
{
  std::vector<LedgerOutcome> outcomes;
  for (const auto seed : kSeeds) {
    Policy policy(deployment, seed, LedgerRun::startTime());
    outcomes.push_back(LedgerRun(deployment, scenario, policy, seed).run());
  }
  return outcomes;
}

void writeLedgerRows(RowWriter& rowWriter,
                     const Deployment& deployment,
                     const LedgerScenario& scenario,
                     std::string_view policy,
                     const std::vector<LedgerOutcome>& outcomes)
{
  const auto writeMetric =
    [&](std::string_view metricName, std::string_view unit, double LedgerOutcome::*member) {
      std::vector<double> values;
      values.reserve(outcomes.size());
      for (const auto& outcome : outcomes) {
        values.push_back(outcome.*member);
      }
      rowWriter.writeMedianAndWorst(
        deployment.name, scenario.name, policy, metricName, values, unit, true);
    };
  writeMetric("overspend", "tokens", &LedgerOutcome::overspentTokens);
  writeMetric("false_refusals", "per_thousand", &LedgerOutcome::falseRefusalsPerThousand);
  writeMetric("avoidable_refusals", "per_thousand", &LedgerOutcome::avoidableRefusalsPerThousand);
  writeMetric("waits", "per_thousand", &LedgerOutcome::waitsPerThousand);
  writeMetric("config_in_force", "ms", &LedgerOutcome::configInForceMs);
  writeMetric("recovery", "ms", &LedgerOutcome::recoveryMs);
}

constexpr std::uint64_t kRouterSeedCount = 12;
constexpr RouterBudgetScenario kRouterScenarios[] = {
  { "router_calm", 1.3, false, false, false, false, false, 9 },
  { "router_restarts", 1.3, true, true, true, false, false, 9 },
  { "router_cuts", 1.3, true, false, false, true, false, 9 },
  { "router_all", 1.3, true, true, true, true, false, 9 },
  { "router_isolated", 1.3, true, false, false, true, true, 9 },
  { "router_exhausted", 0.7, true, true, true, true, false, 9 },
  { "router_85", 1.3, true, true, true, true, false, 85 },
};

void writeRouterRows(RowWriter& rowWriter, const RouterBudgetScenario& scenario)
{
  const auto seedCount = scenario.holderCount > kEntryVmCount ? 2 : kRouterSeedCount;
  std::vector<RouterBudgetOutcome> outcomes;
  for (std::uint64_t seed = 1; seed <= seedCount; ++seed) {
    outcomes.push_back(RouterBudgetRun(scenario, seed).run());
  }
  const auto writeMetric =
    [&](std::string_view metricName, std::string_view unit, double RouterBudgetOutcome::*member) {
      std::vector<double> values;
      values.reserve(outcomes.size());
      for (const auto& outcome : outcomes) {
        values.push_back(outcome.*member);
      }
      rowWriter.writeMedianAndWorst(
        "router", scenario.name, "figchute", metricName, values, unit, true);
    };
  writeMetric("overspend", "tokens", &RouterBudgetOutcome::overspentTokens);
  writeMetric("false_refusals", "per_thousand", &RouterBudgetOutcome::falseRefusalsPerThousand);
  writeMetric(
    "avoidable_refusals", "per_thousand", &RouterBudgetOutcome::avoidableRefusalsPerThousand);
  writeMetric("true_refusals", "per_thousand", &RouterBudgetOutcome::trueRefusalsPerThousand);
  writeMetric("waits", "per_thousand", &RouterBudgetOutcome::waitsPerThousand);
  writeMetric("longest_wait", "ms", &RouterBudgetOutcome::longestWaitMs);
  writeMetric("lost", "percent", &RouterBudgetOutcome::lostPercent);
  writeMetric("messages", "per_request", &RouterBudgetOutcome::messagesPerRequest);
  writeMetric("bytes", "per_request", &RouterBudgetOutcome::bytesPerRequest);
  writeMetric("log_commands", "per_request", &RouterBudgetOutcome::commandsPerRequest);
  writeMetric("idle_messages", "per_second", &RouterBudgetOutcome::idleMessagesPerSecond);
  writeMetric("idle_log_commands", "per_second", &RouterBudgetOutcome::idleCommandsPerSecond);
}

} // namespace

void runLedgerExperiments(RowWriter& rowWriter)
{
  for (const auto& deployment : kDeployments) {
    for (const auto& scenario : kScenarios) {
      writeLedgerRows(rowWriter,
                      deployment,
                      scenario,
                      "figchute",
                      runSeeds<FigchutePolicy>(deployment, scenario));
      writeLedgerRows(rowWriter,
                      deployment,
                      scenario,
                      "equal_split",
                      runSeeds<EqualSplitPolicy>(deployment, scenario));
    }
  }
  for (const auto& scenario : kRouterScenarios) {
    writeRouterRows(rowWriter, scenario);
  }
}

} // namespace figchute::measure
