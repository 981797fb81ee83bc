#include "dispatch/PlainChoice.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

/** Loads up to this part of the slots count as equal: no request waits there. */
constexpr double kNoWait = 0.34;
/** A full endpoint refuses, so it goes after all that may have room. */
constexpr double kFull = 1;
constexpr double kWarmingUp = 0.5;
constexpr double kFailing = 3;

double cost(Time now, const Candidate& candidate)
{
  const auto& endpoint = *candidate.endpoint;
  double value = std::max(candidate.load / std::max(endpoint.slots, 1), kNoWait);
  value += now < endpoint.fullUntil ? kFull : 0;
  value += now < endpoint.warmUntil ? kWarmingUp : 0;
  return value + kFailing * endpoint.breaker.failureShare(now);
}

} // namespace

void ageLoads(Time now, Duration serviceTime, std::span<Candidate> candidates)
{
  double sum = 0;
  for (const auto& candidate : candidates) {
    sum += candidate.load - candidate.endpoint->load.ownRequests();
  }
  const double mean = sum / static_cast<double>(std::max<std::size_t>(candidates.size(), 1));
  const auto memory = static_cast<double>(std::max<std::int64_t>(serviceTime.count(), 1));
  for (auto& candidate : candidates) {
    const double own = candidate.endpoint->load.ownRequests();
    const auto age = static_cast<double>((now - candidate.endpoint->reportedAt).count());
    const double known = std::exp(-age / memory);
    candidate.load = own + (candidate.load - own) * known + mean * (1 - known);
  }
}

std::size_t pickPlain(Time now, std::span<const Candidate> candidates)
{
  const auto best =
    std::min_element(candidates.begin(), candidates.end(), [&](const auto& a, const auto& b) {
      const double costA = cost(now, a);
      const double costB = cost(now, b);
      return costA != costB ? costA < costB : a.ownZone && !b.ownZone;
    });
  return static_cast<std::size_t>(best - candidates.begin());
}

} // namespace figchute::dispatch
