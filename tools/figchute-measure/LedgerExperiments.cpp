#include "LedgerExperiments.h"

#include "LedgerRun.h"

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

} // namespace

void runLedgerExperiments(RowWriter& rows)
{
  for (const auto& site : kSites) {
    for (const auto& scenario : kScenarios) {
      write(rows, site, scenario, "figchute", runSeeds<FigchutePolicy>(site, scenario));
      write(rows, site, scenario, "equal_split", runSeeds<EqualSplitPolicy>(site, scenario));
    }
  }
}

} // namespace figchute::measure
