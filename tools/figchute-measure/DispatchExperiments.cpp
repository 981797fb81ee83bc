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
/** Runs are independent of each other; more threads do not change the output. */
constexpr std::size_t kThreads = 3;

struct Experiment
{
  DispatchScenario scenario = DispatchScenario::calm;
  std::string_view policy;
  std::optional<routing::ChoiceStrategy> strategy;
  std::array<DispatchFigures, kSeeds.size()> figures;
};

std::vector<Experiment> plan()
{
  using routing::ChoiceStrategy;
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
    experiments.push_back({ scenario, "random", ChoiceStrategy::random, {} });
    experiments.push_back({ scenario, "two_choices", ChoiceStrategy::twoChoices, {} });
    experiments.push_back({ scenario, "least_loaded", ChoiceStrategy::leastLoaded, {} });
  }
  return experiments;
}

void runAll(std::vector<Experiment>& experiments)
{
  std::atomic<std::size_t> next{ 0 };
  const auto work = [&] {
    for (auto i = next++; i < experiments.size() * kSeeds.size(); i = next++) {
      auto& experiment = experiments[i / kSeeds.size()];
      const auto at = i % kSeeds.size();
      experiment.figures.at(at) =
        DispatchFleet(experiment.scenario, experiment.strategy, kSeeds.at(at)).run();
    }
  };
  std::vector<std::jthread> threads;
  for (std::size_t i = 0; i < kThreads; ++i) {
    threads.emplace_back(work);
  }
}

void write(RowWriter& rows, const Experiment& experiment)
{
  const auto metric = [&](const std::string& name,
                          auto value,
                          std::string_view unit,
                          bool higherIsWorse) {
    std::vector<double> values;
    for (const auto& figures : experiment.figures) {
      values.push_back(value(figures));
    }
    rows.medianAndWorst(
      "site", toString(experiment.scenario), experiment.policy, name, values, unit, higherIsWorse);
  };
  using F = DispatchFigures;
  for (std::size_t kind = 0; kind < kWorkKinds; ++kind) {
    const std::string name(traitsOf(static_cast<WorkKind>(kind)).name);
    metric(
      name + "_on_time", [kind](const F& f) { return f.onTime.at(kind); }, "percent", false);
  }
  metric(
    "credit", [](const F& f) { return f.credit; }, "percent", false);
  metric(
    "reread_tokens", [](const F& f) { return f.reread; }, "percent", true);
  metric(
    "refused", [](const F& f) { return f.refused; }, "per_thousand", true);
  metric(
    "failed", [](const F& f) { return f.failed; }, "per_thousand", true);
  metric(
    "repeats", [](const F& f) { return f.repeats; }, "per_thousand", true);
  metric(
    "cross_zone", [](const F& f) { return f.crossZone; }, "percent", true);
  metric(
    "cross_zone_bytes", [](const F& f) { return f.crossZoneKilobytes; }, "KB/s", true);
  metric(
    "ttft_p50", [](const F& f) { return f.firstEventMedian; }, "ms", true);
  metric(
    "ttft_p95", [](const F& f) { return f.firstEventP95; }, "ms", true);
  metric(
    "guide_ttft_p95", [](const F& f) { return f.guideP95; }, "ms", true);
  metric(
    "gaps_missed", [](const F& f) { return f.gapsMissed; }, "per_thousand", true);
  for (const auto kind : { WorkKind::guide, WorkKind::chat, WorkKind::label }) {
    const auto place = static_cast<std::size_t>(kind);
    metric(
      std::string(traitsOf(kind).name) + "_paused",
      [place](const F& f) { return f.paused.at(place); },
      "percent",
      true);
  }
  metric(
    "read", [](const F& f) { return f.readRate; }, "kilotokens/s", true);
  metric(
    "read_again", [](const F& f) { return f.rereadRate; }, "kilotokens/s", true);
  metric(
    "crashes", [](const F& f) { return f.crashes; }, "count", true);
}

} // namespace

void runDispatchExperiments(RowWriter& rows)
{
  auto experiments = plan();
  runAll(experiments);
  for (const auto& experiment : experiments) {
    write(rows, experiment);
  }
}

} // namespace figchute::measure
