#include "dispatch/PlainChoice.h"

#include <algorithm>

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
