#include "dispatch/PlainChoice.h"

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
  double value = std::max(candidate.load / std::max(endpoint.slots, 1), kUncontendedLoad);
  value += now < endpoint.fullUntil ? kFullCost : 0;
  value += now < endpoint.warmupUntil ? kWarmupCost : 0;
  return value + kFailureCost * endpoint.breaker.failureRatio(now);
}

} // namespace

void discountStaleLoads(Time now, Duration serviceTime, std::span<Candidate> candidates)
{
  double sum = 0;
  for (const auto& candidate : candidates) {
    sum += candidate.load - candidate.endpoint->load.own();
  }
  const double mean = sum / static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
  const auto timeConstant = static_cast<double>(std::max<std::int64_t>(serviceTime.count(), 1));
  for (auto& candidate : candidates) {
    const double own = candidate.endpoint->load.own();
    const auto age = static_cast<double>((now - candidate.endpoint->lastReportAt).count());
    const double weight = std::exp(-age / timeConstant);
    candidate.load = own + (candidate.load - own) * weight + mean * (1 - weight);
  }
}

std::size_t pickPlainEndpoint(Time now, std::span<const Candidate> candidates)
{
  const auto best =
    std::min_element(candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) {
      const double costA = cost(now, a);
      const double costB = cost(now, b);
      return costA != costB ? costA < costB : a.inOwnZone && !b.inOwnZone;
    });
  return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace figchute::dispatch
