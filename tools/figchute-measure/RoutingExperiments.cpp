#include "RoutingExperiments.h"

#include "FifoRandomRouter.h"
#include "RoutingFleet.h"

#include <array>
#include <atomic>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace figchute::measure {
namespace {

constexpr std::array<std::uint64_t, 3> kSeeds{ 1, 2, 3 };

/** The runs are independent of each other, so that the number of threads does not change the
    output. */
constexpr std::size_t kThreadCount = 4;

struct PolicySetup
{
  std::string_view name;
  bool usesFifoRouter = false;
  FleetOptions options;
};

/** One group of rows: a policy in a scenario of a deployment over all seeds. */
struct Experiment
{
  DeploymentSizes sizes;
  Scenario scenario = Scenario::calm;
  PolicySetup policy;
  std::array<RoutingFigures, kSeeds.size()> figures;
  /** For each seed, the requests of the small workspaces served on time without other load. */
  std::array<double, kSeeds.size()> smallWorkspacesAlone{};
};

routing::Policy defaultPolicy()
{
  routing::Policy policy;
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    policy.ranks.at(rank).target = kFirstTokenTargets.at(rank);
  }
  return policy;
}

PolicySetup figchuteSetup(std::string_view name = "figchute")
{
  PolicySetup setup;
  setup.name = name;
  setup.options.policy = defaultPolicy();
  return setup;
}

PolicySetup fifoRandomSetup()
{
  PolicySetup setup;
  setup.name = "fifo_random";
  setup.usesFifoRouter = true;
  setup.options.hasFifoEngines = true;
  setup.options.quarantinesCrashingRequests = false;
  return setup;
}

PolicySetup setupWithChoice(std::string_view name, routing::SelectionStrategy choiceStrategy)
{
  auto setup = figchuteSetup(name);
  setup.options.policy.choice = choiceStrategy;
  return setup;
}

std::vector<Experiment> planExperiments()
{
  std::vector<Experiment> experiments;
  auto localShare = figchuteSetup("local_share");
  localShare.options.exchangesUsageTotals = false;
  auto globalQueue = figchuteSetup("global_queue");
  globalQueue.options.usesOneGlobalQueue = true;
  for (const auto& sizes : deployments()) {
    const auto addExperiment = [&](Scenario scenario, const PolicySetup& policy) {
      experiments.push_back({ sizes, scenario, policy, {}, {} });
    };
    for (const auto scenario : { Scenario::calm,
                                 Scenario::floodReports,
                                 Scenario::floodUrgent,
                                 Scenario::zoneCut,
                                 Scenario::crashLoop,
                                 Scenario::plannedStop }) {
      addExperiment(scenario, figchuteSetup());
      addExperiment(scenario, fifoRandomSetup());
    }
    addExperiment(Scenario::calm, setupWithChoice("random", routing::SelectionStrategy::random));
    addExperiment(Scenario::calm,
                  setupWithChoice("least_loaded", routing::SelectionStrategy::leastLoaded));
    addExperiment(Scenario::calm,
                  setupWithChoice("two_choices", routing::SelectionStrategy::twoChoices));
    addExperiment(Scenario::skewedShare, figchuteSetup());
    addExperiment(Scenario::skewedShare, localShare);
    addExperiment(Scenario::skewedShare, globalQueue);
    addExperiment(Scenario::skewedZones, figchuteSetup());
    addExperiment(Scenario::skewedZones, globalQueue);
  }
  return experiments;
}

RoutingFigures runOnce(const Experiment& experiment, std::uint64_t seed, bool onlySmallWorkspaces)
{
  const auto requests =
    planRequests(experiment.sizes, experiment.scenario, seed, onlySmallWorkspaces);
  const auto& setup = experiment.policy;
  if (setup.usesFifoRouter) {
    return RoutingFleet<FifoRandomRouter>(
             experiment.sizes, experiment.scenario, setup.options, requests, seed)
      .run();
  }
  return RoutingFleet<routing::Router>(
           experiment.sizes, experiment.scenario, setup.options, requests, seed)
    .run();
}

void runExperiments(std::vector<Experiment>& experiments)
{
  std::atomic<std::size_t> nextRun{ 0 };
  const auto executeRuns = [&] {
    for (auto run = nextRun++; run < experiments.size() * kSeeds.size(); run = nextRun++) {
      auto& experiment = experiments[run / kSeeds.size()];
      const auto seedIndex = run % kSeeds.size();
      experiment.figures.at(seedIndex) = runOnce(experiment, kSeeds.at(seedIndex), false);
      experiment.smallWorkspacesAlone.at(seedIndex) =
        runOnce(experiment, kSeeds.at(seedIndex), true).smallWorkspacesOnTimeCount;
    }
  };
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < kThreadCount; ++i) {
    threads.emplace_back(executeRuns);
  }
}

void writeRoutingRows(RowWriter& rowWriter, const Experiment& experiment)
{
  const auto writeMetric =
    [&](std::string_view metricName, auto valueOf, std::string_view unit, bool higherIsWorse) {
      std::vector<double> values;
      for (std::size_t i = 0; i < kSeeds.size(); ++i) {
        values.push_back(valueOf(experiment.figures.at(i), experiment.smallWorkspacesAlone.at(i)));
      }
      rowWriter.writeMedianAndWorst(experiment.sizes.name,
                                    toString(experiment.scenario),
                                    experiment.policy.name,
                                    metricName,
                                    values,
                                    unit,
                                    higherIsWorse);
    };
  using Figures = RoutingFigures;
  writeMetric(
    "urgent_on_time",
    [](const Figures& figures, double) { return figures.onTimePercent[0]; },
    "percent",
    false);
  writeMetric(
    "short_on_time",
    [](const Figures& figures, double) { return figures.onTimePercent[1]; },
    "percent",
    false);
  writeMetric(
    "report_on_time",
    [](const Figures& figures, double) { return figures.onTimePercent[2]; },
    "percent",
    false);
  writeMetric(
    "capacity_used",
    [](const Figures& figures, double) { return figures.capacityUsedPercent; },
    "percent",
    false);
  const auto smallVersusAlone = [](const Figures& figures, double smallWorkspacesAlone) {
    return 100 * figures.smallWorkspacesOnTimeCount / smallWorkspacesAlone;
  };
  writeMetric("small_vs_alone", smallVersusAlone, "percent", false);
  writeMetric(
    "jain", [](const Figures& figures, double) { return figures.jainIndex; }, "ratio", false);
  writeMetric(
    "share_error",
    [](const Figures& figures, double) { return figures.shareErrorPercent; },
    "percent",
    true);
  writeMetric(
    "ttft_p50",
    [](const Figures& figures, double) { return figures.firstTokenMedianMs; },
    "ms",
    true);
  writeMetric(
    "ttft_p95", [](const Figures& figures, double) { return figures.firstTokenP95Ms; }, "ms", true);
  writeMetric(
    "ttft_p99", [](const Figures& figures, double) { return figures.firstTokenP99Ms; }, "ms", true);
  writeMetric(
    "cache_hits",
    [](const Figures& figures, double) { return figures.cacheHitsPercent; },
    "percent",
    false);
  writeMetric(
    "retries",
    [](const Figures& figures, double) { return figures.retriesPerThousand; },
    "per_thousand",
    true);
  writeMetric(
    "cut_requests",
    [](const Figures& figures, double) { return figures.interruptedRequestCount; },
    "count",
    true);
  writeMetric(
    "work_after_leave",
    [](const Figures& figures, double) { return figures.arrivalsAfterLeaveCount; },
    "count",
    true);
}

} // namespace

void runRoutingExperiments(RowWriter& rowWriter)
{
  auto experiments = planExperiments();
  runExperiments(experiments);
  for (const auto& experiment : experiments) {
    writeRoutingRows(rowWriter, experiment);
  }
}

} // namespace figchute::measure
