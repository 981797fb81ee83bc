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

/** Runs are independent of each other; more threads do not change the output. */
constexpr std::size_t kThreads = 4;

struct PolicySetup
{
  std::string_view name;
  bool fifo = false;
  FleetOptions options;
};

/** One row group: a policy in a scenario of a deployment over all seeds. */
struct Experiment
{
  DeploymentSizes sizes;
  Scenario scenario = Scenario::calm;
  PolicySetup policy;
  std::array<RoutingFigures, kSeeds.size()> figures;
  /** Requests of the small workspaces in time when they are alone, by seed. */
  std::array<double, kSeeds.size()> smallAlone{};
};

routing::Policy defaultPolicy()
{
  routing::Policy policy;
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    policy.ranks.at(rank).target = kTargets.at(rank);
  }
  return policy;
}

PolicySetup figchute(std::string_view name = "figchute")
{
  PolicySetup setup;
  setup.name = name;
  setup.options.policy = defaultPolicy();
  return setup;
}

PolicySetup fifoRandom()
{
  PolicySetup setup;
  setup.name = "fifo_random";
  setup.fifo = true;
  setup.options.fifoEngines = true;
  setup.options.quarantine = false;
  return setup;
}

PolicySetup withChoice(std::string_view name, routing::ChoiceStrategy choice)
{
  auto setup = figchute(name);
  setup.options.policy.choice = choice;
  return setup;
}

std::vector<Experiment> plan()
{
  std::vector<Experiment> experiments;
  auto localShare = figchute("local_share");
  localShare.options.exchangeTotals = false;
  auto globalQueue = figchute("global_queue");
  globalQueue.options.oneGlobalQueue = true;
  for (const auto& sizes : deployments()) {
    const auto add = [&](Scenario scenario, const PolicySetup& policy) {
      experiments.push_back({ sizes, scenario, policy, {}, {} });
    };
    for (const auto scenario : { Scenario::calm,
                                 Scenario::floodReports,
                                 Scenario::floodUrgent,
                                 Scenario::zoneCut,
                                 Scenario::crashLoop,
                                 Scenario::plannedStop }) {
      add(scenario, figchute());
      add(scenario, fifoRandom());
    }
    add(Scenario::calm, withChoice("random", routing::ChoiceStrategy::random));
    add(Scenario::calm, withChoice("least_loaded", routing::ChoiceStrategy::leastLoaded));
    add(Scenario::calm, withChoice("two_choices", routing::ChoiceStrategy::twoChoices));
    add(Scenario::skewedShare, figchute());
    add(Scenario::skewedShare, localShare);
    add(Scenario::skewedShare, globalQueue);
  }
  return experiments;
}

RoutingFigures runOnce(const Experiment& experiment, std::uint64_t seed, bool onlySmall)
{
  const auto requests = planRequests(experiment.sizes, experiment.scenario, seed, onlySmall);
  const auto& setup = experiment.policy;
  if (setup.fifo) {
    return RoutingFleet<FifoRandomRouter>(
             experiment.sizes, experiment.scenario, setup.options, requests, seed)
      .run();
  }
  return RoutingFleet<routing::Router>(
           experiment.sizes, experiment.scenario, setup.options, requests, seed)
    .run();
}

void runAll(std::vector<Experiment>& experiments)
{
  std::atomic<std::size_t> next{ 0 };
  const auto work = [&] {
    for (auto i = next++; i < experiments.size() * kSeeds.size(); i = next++) {
      auto& experiment = experiments[i / kSeeds.size()];
      const auto at = i % kSeeds.size();
      experiment.figures.at(at) = runOnce(experiment, kSeeds.at(at), false);
      experiment.smallAlone.at(at) = runOnce(experiment, kSeeds.at(at), true).smallOnTime;
    }
  };
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back(work);
  }
}

void write(RowWriter& rows, const Experiment& experiment)
{
  const auto metric =
    [&](std::string_view name, auto value, std::string_view unit, bool higherIsWorse) {
      std::vector<double> values;
      for (std::size_t i = 0; i < kSeeds.size(); ++i) {
        values.push_back(value(experiment.figures.at(i), experiment.smallAlone.at(i)));
      }
      rows.medianAndWorst(experiment.sizes.name,
                          toString(experiment.scenario),
                          experiment.policy.name,
                          name,
                          values,
                          unit,
                          higherIsWorse);
    };
  using F = RoutingFigures;
  metric(
    "urgent_on_time", [](const F& f, double) { return f.onTime[0]; }, "percent", false);
  metric(
    "short_on_time", [](const F& f, double) { return f.onTime[1]; }, "percent", false);
  metric(
    "report_on_time", [](const F& f, double) { return f.onTime[2]; }, "percent", false);
  metric(
    "capacity_used", [](const F& f, double) { return f.capacityUsed; }, "percent", false);
  const auto small = [](const F& f, double alone) { return 100 * f.smallOnTime / alone; };
  metric("small_vs_alone", small, "percent", false);
  metric(
    "jain", [](const F& f, double) { return f.jain; }, "ratio", false);
  metric(
    "share_error", [](const F& f, double) { return f.shareError; }, "percent", true);
  metric(
    "ttft_p50", [](const F& f, double) { return f.firstTokenMedian; }, "ms", true);
  metric(
    "ttft_p95", [](const F& f, double) { return f.firstTokenP95; }, "ms", true);
  metric(
    "ttft_p99", [](const F& f, double) { return f.firstTokenP99; }, "ms", true);
  metric(
    "cache_hits", [](const F& f, double) { return f.cacheHits; }, "percent", false);
  metric(
    "retries", [](const F& f, double) { return f.retries; }, "per_thousand", true);
  metric(
    "cut_requests", [](const F& f, double) { return f.cutRequests; }, "count", true);
  metric(
    "work_after_leave", [](const F& f, double) { return f.workAfterLeave; }, "count", true);
}

} // namespace

void runRoutingExperiments(RowWriter& rows)
{
  auto experiments = plan();
  runAll(experiments);
  for (const auto& experiment : experiments) {
    write(rows, experiment);
  }
}

} // namespace figchute::measure
