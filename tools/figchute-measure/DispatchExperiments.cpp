#include "DispatchExperiments.h"

#include "DispatchFleet.h"

#include <array>
#include <atomic>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

namespace figchute::measure {
namespace {

constexpr std::array<std::uint64_t, 3> kSeeds{ 1, 2, 3 };
/** The runs are independent of each other, so that the number of threads does not change the
    output. */
constexpr std::size_t kThreadCount = 3;

struct Experiment
{
  DispatchScenario scenario = DispatchScenario::calm;
  std::string_view policy;
  std::optional<routing::SelectionStrategy> strategy;
  std::array<DispatchFigures, kSeeds.size()> figures;
};

std::vector<Experiment> planExperiments()
{
  using routing::SelectionStrategy;
  std::vector<Experiment> experiments;
  for (const auto scenario : { DispatchScenario::calm,
                               DispatchScenario::floodGuides,
                               DispatchScenario::floodChats,
                               DispatchScenario::hotSubject,
                               DispatchScenario::grey,
                               DispatchScenario::dark,
                               DispatchScenario::crash,
                               DispatchScenario::plainShed,
                               DispatchScenario::skewed }) {
    experiments.push_back({ scenario, "figchute", std::nullopt, {} });
    experiments.push_back({ scenario, "random", SelectionStrategy::random, {} });
    experiments.push_back({ scenario, "two_choices", SelectionStrategy::twoChoices, {} });
    experiments.push_back({ scenario, "least_loaded", SelectionStrategy::leastLoaded, {} });
  }
  return experiments;
}

void runExperiments(std::vector<Experiment>& experiments)
{
  std::atomic<std::size_t> nextRun{ 0 };
  const auto executeRuns = [&] {
    for (auto run = nextRun++; run < experiments.size() * kSeeds.size(); run = nextRun++) {
      auto& experiment = experiments[run / kSeeds.size()];
      const auto seedIndex = run % kSeeds.size();
      experiment.figures.at(seedIndex) =
        DispatchFleet(experiment.scenario, experiment.strategy, kSeeds.at(seedIndex)).run();
    }
  };
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < kThreadCount; ++i) {
    threads.emplace_back(executeRuns);
  }
}

void writeDispatchRows(RowWriter& rowWriter, const Experiment& experiment)
{
  const auto writeMetric =
    [&](const std::string& metricName, auto valueOf, std::string_view unit, bool higherIsWorse) {
      std::vector<double> values;
      for (const auto& figures : experiment.figures) {
        values.push_back(valueOf(figures));
      }
      rowWriter.writeMedianAndWorst("site",
                                    toString(experiment.scenario),
                                    experiment.policy,
                                    metricName,
                                    values,
                                    unit,
                                    higherIsWorse);
    };
  using Figures = DispatchFigures;
  for (std::size_t kind = 0; kind < kWorkKindCount; ++kind) {
    const std::string kindName(traitsOf(static_cast<WorkKind>(kind)).name);
    writeMetric(
      kindName + "_on_time",
      [kind](const Figures& figures) { return figures.onTimePercent.at(kind); },
      "percent",
      false);
  }
  writeMetric(
    "credit", [](const Figures& figures) { return figures.creditPercent; }, "percent", false);
  writeMetric(
    "reread_tokens",
    [](const Figures& figures) { return figures.repeatedPrefillPercent; },
    "percent",
    true);
  writeMetric(
    "refused",
    [](const Figures& figures) { return figures.refusedPerThousand; },
    "per_thousand",
    true);
  writeMetric(
    "failed",
    [](const Figures& figures) { return figures.failedPerThousand; },
    "per_thousand",
    true);
  writeMetric(
    "repeats",
    [](const Figures& figures) { return figures.repeatsPerThousand; },
    "per_thousand",
    true);
  writeMetric(
    "cross_zone", [](const Figures& figures) { return figures.crossZonePercent; }, "percent", true);
  writeMetric(
    "cross_zone_bytes",
    [](const Figures& figures) { return figures.crossZoneKilobytesPerSecond; },
    "KB/s",
    true);
  writeMetric(
    "ttft_p50", [](const Figures& figures) { return figures.firstEventMedianMs; }, "ms", true);
  writeMetric(
    "ttft_p95", [](const Figures& figures) { return figures.firstEventP95Ms; }, "ms", true);
  writeMetric(
    "guide_ttft_p95",
    [](const Figures& figures) { return figures.guideFirstEventP95Ms; },
    "ms",
    true);
  writeMetric(
    "gaps_missed",
    [](const Figures& figures) { return figures.longGapsPerThousand; },
    "per_thousand",
    true);
  for (const auto kind : { WorkKind::guide, WorkKind::chat, WorkKind::label }) {
    const auto kindIndex = static_cast<std::size_t>(kind);
    writeMetric(
      std::string(traitsOf(kind).name) + "_paused",
      [kindIndex](const Figures& figures) { return figures.pausedPercent.at(kindIndex); },
      "percent",
      true);
  }
  writeMetric(
    "read",
    [](const Figures& figures) { return figures.prefilledKilotokensPerSecond; },
    "kilotokens/s",
    true);
  writeMetric(
    "read_again",
    [](const Figures& figures) { return figures.repeatedPrefillKilotokensPerSecond; },
    "kilotokens/s",
    true);
  writeMetric(
    "crashes", [](const Figures& figures) { return figures.crashCount; }, "count", true);
}

} // namespace

void runDispatchExperiments(RowWriter& rowWriter)
{
  auto experiments = planExperiments();
  runExperiments(experiments);
  for (const auto& experiment : experiments) {
    writeDispatchRows(rowWriter, experiment);
  }
}

} // namespace figchute::measure
