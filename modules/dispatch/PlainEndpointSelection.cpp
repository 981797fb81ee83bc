#include "dispatch/PlainEndpointSelection.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

/** Loads below this share of the slots count as equal, because no request waits there. */
constexpr double kUncontendedLoad = 0.34;
/** A full endpoint refuses requests, so it ranks behind all endpoints that may accept them. */
constexpr double kFullCost = 1;
constexpr double kWarmupCost = 0.5;
constexpr double kFailureCost = 3;

double cost(Time now, const Candidate& candidate)
{
  const auto& endpoint = *candidate.endpoint;
  double loadCost = std::max(candidate.load / std::max(endpoint.slots, 1), kUncontendedLoad);
  loadCost += now < endpoint.fullUntil ? kFullCost : 0;
  loadCost += now < endpoint.warmupUntil ? kWarmupCost : 0;
  return loadCost + kFailureCost * endpoint.breaker.failureRatio(now);
}

} // namespace

void discountStaleLoads(Time now, Duration serviceTime, std::span<Candidate> candidates)
{
  double totalOtherLoad = 0;
  for (const auto& candidate : candidates) {
    totalOtherLoad += candidate.load - candidate.endpoint->load.ownRequests();
  }
  const double meanOtherLoad =
    totalOtherLoad / static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
  const auto timeConstantMicros =
    static_cast<double>(std::max<std::int64_t>(serviceTime.count(), 1));
  for (auto& candidate : candidates) {
    const double ownLoad = candidate.endpoint->load.ownRequests();
    const auto ageMicros = static_cast<double>((now - candidate.endpoint->lastReportAt).count());
    const double reportWeight = std::exp(-ageMicros / timeConstantMicros);
    candidate.load =
      ownLoad + (candidate.load - ownLoad) * reportWeight + meanOtherLoad * (1 - reportWeight);
  }
}

std::size_t pickPlainEndpoint(Time now, std::span<const Candidate> candidates)
{
  const auto bestCandidate =
    std::min_element(candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) {
      const double costA = cost(now, a);
      const double costB = cost(now, b);
      return costA != costB ? costA < costB : a.inOwnZone && !b.inOwnZone;
    });
  return static_cast<std::size_t>(bestCandidate - candidates.begin());
}

} // namespace figchute::dispatch
