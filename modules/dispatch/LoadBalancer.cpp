#include "dispatch/LoadBalancer.h"

#include "dispatch/EngineSelector.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>
#include <vector>

namespace figchute::dispatch {
namespace {

/** Engines that a choice compares. With 2, half as many requests again were late, because a process
    knows only some of the loads and the random choice leaves the caches; above 16 nothing is
   gained. The figures of docs/design/even-load.md are the reason for all constants here. */
constexpr std::size_t kDraws = 16;

/** Cost of a load equal to the mean, as waiting time. With 150 ms the busiest engine had 3.3
    instead of 3.1 times the mean load in calm; 600 ms gained 0.1 and made no first token earlier.
 */
constexpr double kMeanLoadCostMicros = 300'000;

/** A prefix uses at least two engines, and three in a service of at least 60 engines: there, an
    engine that is slowed for a moment would send too many requests to others. With three of 12
    engines, 43% more shared tokens were prefilled again in the scenario calm of figchute-measure.
    The number follows from the registry, so that all processes agree; if it followed from their own
    request rates, more shared tokens were prefilled than with either number. */
constexpr std::size_t kMinPreferredEngines = 2;
constexpr std::size_t kMinPreferredEnginesOfLargeService = 3;
constexpr std::size_t kLargeService = 60;
/** Share of an engine's time that the prefill of one prefix's requests may take. */
constexpr double kMaxEngineShare = 0.2;
/** Shared tokens that may be prefilled again, per own token of the requests with the prefix. */
constexpr double kMaxPrefilledAgain = 0.07;
/** Cost of each place by which an engine is further along the placement order than the first one,
    as a multiple of the time to prefill the prefix. All processes know the order, so the requests
    of a rare prefix meet at its first engine although no process knows who else sends them. */
constexpr double kStepPrefills = 1;
/** Time for which an engine keeps an unused prefix at least, in seconds. */
constexpr double kPrefixRetentionSeconds = 10;
/** Prompt tokens that an engine prefills in a second, as in TimeToFirstTokenModel. */
constexpr double kPrefillTokensPerSecond = 61'000;

/** Requests begin to leave the preferred engines at this multiple of the mean load, or when the
    predicted wait is this share of the target. All of them leave at twice these values. */
constexpr double kSpillLoad = 1.5;
constexpr double kSpillTargetShare = 0.6;
/** Engines further along the placement order that take these requests. */
constexpr std::size_t kSpillEngines = 4;

/** Limits of the learned speeds, against wrong figures of single engines. */
constexpr double kMinSpeed = 0.3;
constexpr double kMaxSpeed = 3;

/** Returns the weight of the last load report, between 0 and 1. */
double reportWeight(Time now, Duration serviceTime, const Candidate& candidate)
{
  const auto age = static_cast<double>((now - candidate.endpoint->lastReportAt).count());
  const auto timeConstant = static_cast<double>(std::max<std::int64_t>(serviceTime.count(), 1));
  return std::exp(-age / timeConstant);
}

/** Returns the load that the last report attributes to other processes. */
double reportedByOthers(const Candidate& candidate)
{
  return candidate.load - candidate.endpoint->load.ownRequests();
}

/** Fills in the speeds relative to the geometric mean of the known ones. */
void estimateSpeeds(std::span<Candidate> candidates)
{
  double logarithms = 0;
  double known = 0;
  for (const auto& candidate : candidates) {
    const double microsPerToken = candidate.endpoint->speed.microsPerToken();
    logarithms += microsPerToken > 0 ? std::log(microsPerToken) : 0;
    known += microsPerToken > 0 ? 1 : 0;
  }
  const double mean = std::exp(logarithms / std::max(known, 1.0));
  for (auto& candidate : candidates) {
    const double microsPerToken = candidate.endpoint->speed.microsPerToken();
    candidate.speed =
      microsPerToken > 0 ? std::clamp(mean / microsPerToken, kMinSpeed, kMaxSpeed) : 1;
  }
}

} // namespace

void LoadBalancer::estimate(Time now, Duration serviceTime, std::span<Candidate> candidates)
{
  constexpr double kMinWeight = 1e-9;
  double weights = 0;
  double weightedLoads = 0;
  for (const auto& candidate : candidates) {
    const double weight = reportWeight(now, serviceTime, candidate);
    weights += weight;
    weightedLoads += weight * reportedByOthers(candidate);
  }
  const double meanOfOthers = weights > kMinWeight ? weightedLoads / weights : 0;
  double sum = 0;
  for (auto& candidate : candidates) {
    const double weight = reportWeight(now, serviceTime, candidate);
    candidate.load = candidate.endpoint->load.ownRequests() + weight * reportedByOthers(candidate) +
                     (1 - weight) * meanOfOthers;
    sum += candidate.load;
    figures_.largestLoad = std::max(figures_.largestLoad, candidate.load);
  }
  meanLoad_ = sum / static_cast<double>(candidates.size());
  estimateSpeeds(candidates);
  const auto [slowest, fastest] =
    std::minmax_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
      return a.speed < b.speed;
    });
  figures_.lowestSpeed = slowest->speed;
  figures_.highestSpeed = fastest->speed;
}

std::size_t LoadBalancer::preferredEngineCount(std::size_t engines,
                                               double prefillRate,
                                               std::int64_t prefixTokens)
{
  const double ownTokens = prefillRate * kPrefillTokensPerSecond;
  const double wanted = std::max(prefillRate / kMaxEngineShare,
                                 ownTokens * kMaxPrefilledAgain * kPrefixRetentionSeconds /
                                   static_cast<double>(std::max<std::int64_t>(prefixTokens, 1)));
  const auto least =
    engines < kLargeService ? kMinPreferredEngines : kMinPreferredEnginesOfLargeService;
  return std::max(least, static_cast<std::size_t>(std::ceil(wanted)));
}

double LoadBalancer::costOf(const Candidate& candidate) const
{
  // Engines reserved for long prompts have few requests, which must not attract others: a long
  // prompt pauses their streams. Otherwise twice as many chats paused in the scenario skewed.
  const double load =
    candidate.reservedForLongPrompts ? std::max(candidate.load, meanLoad_) : candidate.load;
  return static_cast<double>(EngineSelector::costOf(candidate).count()) +
         kMeanLoadCostMicros * load / (meanLoad_ + 1);
}

std::size_t LoadBalancer::draw(std::span<const Candidate> candidates,
                               std::span<const std::size_t> indexes,
                               double stepCost)
{
  // A partial shuffle draws distinct engines in random order.
  std::vector<std::size_t> places(indexes.size());
  std::iota(places.begin(), places.end(), 0);
  const auto count = std::min(places.size(), kDraws);
  std::size_t best = 0;
  double bestCost = 0;
  for (std::size_t i = 0; i < count; ++i) {
    std::swap(places[i], places[i + random_.below(places.size() - i)]);
    const auto index = indexes[places[i]];
    const double cost = costOf(candidates[index]) + stepCost * static_cast<double>(places[i]);
    if (i == 0 || cost < bestCost) {
      best = index;
      bestCost = cost;
    }
  }
  figures_.candidatesDrawn += count;
  return best;
}

std::size_t LoadBalancer::pick(std::span<const Candidate> candidates)
{
  std::vector<std::size_t> indexes(candidates.size());
  std::iota(indexes.begin(), indexes.end(), 0);
  ++figures_.choices;
  return draw(candidates, indexes, 0);
}

double LoadBalancer::spillProbability(const RequestInfo& requestInfo,
                                      const Candidate& candidate) const
{
  const double load = (candidate.load + 1) / (meanLoad_ + 1) / kSpillLoad;
  const auto wait = static_cast<double>((candidate.predictedTtft + candidate.penalty).count());
  const double maxWait =
    kSpillTargetShare * static_cast<double>(std::max<std::int64_t>(requestInfo.target.count(), 1));
  return std::clamp(std::max(load, wait / maxWait) - 1, 0.0, 1.0);
}

std::optional<std::size_t> LoadBalancer::pickForPrefix(const RequestInfo& requestInfo,
                                                       std::span<const Candidate> candidates,
                                                       const PrefixPlacement& placement)
{
  const auto& order = placement.order;
  const auto preferred = order.first(std::min(placement.preferredCount, order.size()));
  const auto others = order.subspan(preferred.size());
  const double stepCost = kStepPrefills * static_cast<double>(placement.prefill.count());
  auto best = draw(candidates, preferred, stepCost);
  if (!others.empty() && random_.chance(spillProbability(requestInfo, candidates[best]))) {
    const auto other =
      draw(candidates, others.first(std::min(kSpillEngines, others.size())), stepCost);
    if (costOf(candidates[other]) < costOf(candidates[best])) {
      best = other;
      ++figures_.spills;
    }
  }
  if (candidates[best].predictedTtft > requestInfo.target) {
    return std::nullopt;
  }
  ++figures_.choices;
  return best;
}

LoadBalancerFigures LoadBalancer::takeFigures()
{
  auto figures = std::exchange(figures_, {});
  figures.meanLoad = meanLoad_;
  return figures;
}

} // namespace figchute::dispatch
