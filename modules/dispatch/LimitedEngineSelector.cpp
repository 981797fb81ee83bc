#include "dispatch/LimitedEngineSelector.h"

#include "dispatch/EngineSelector.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** Weight of the delay of one running stream against that of the request itself. */
constexpr double kStreamDelayWeight = 1.0 / 12;

/** Returns what the prefill of a prompt costs the streams that run on an engine. */
Duration delayOfStreams(const Candidate& candidate)
{
  const auto delayMicros =
    static_cast<double>(candidate.prefill.count()) * candidate.load * kStreamDelayWeight;
  return Duration(static_cast<std::int64_t>(delayMicros));
}

} // namespace

const Candidate* LimitedEngineSelector::pick(Time now,
                                             const RequestInfo& requestInfo,
                                             const Allowance& allowance,
                                             std::span<const Candidate> limited,
                                             const Candidate& alternative) const
{
  if (limited.empty() || !isLongEnough(now, requestInfo.promptTokens, allowance, limited.size())) {
    return nullptr;
  }
  const auto best =
    std::min_element(limited.begin(), limited.end(), [](const auto& a, const auto& b) {
      return EngineSelector::costOf(a) < EngineSelector::costOf(b);
    });
  const auto costOfAlternative = EngineSelector::costOf(alternative) + delayOfStreams(alternative);
  return EngineSelector::costOf(*best) < costOfAlternative ? &*best : nullptr;
}

bool LimitedEngineSelector::isLongEnough(Time now,
                                         std::int64_t promptTokens,
                                         const Allowance& allowance,
                                         std::size_t availableEngines) const
{
  // The fewer engines can be used at the moment, the longer a prompt must be.
  const auto engines = std::max(allowance.engines, availableEngines);
  const auto availablePart = static_cast<double>(availableEngines) / static_cast<double>(engines);
  return promptTokens >=
         requestSizes_.sizeExceededAt(now, availablePart * allowance.requestsPerSecond);
}

} // namespace figchute::dispatch
