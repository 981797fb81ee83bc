#include "dispatch/PrefixPrefillRates.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

constexpr Duration kRateWindow = std::chrono::seconds(10);
constexpr std::size_t kMinEngines = 2;
/** Share of an engine's time that the prefill of one prefix's requests may take. A larger share
    causes queues of prompts that pause the streams of the engine for longer than is still on time.
 */
constexpr double kMaxEngineShare = 0.2;
constexpr std::size_t kMaxTrackedPrefixes = 1024;
constexpr double kNegligiblePrefillSeconds = 1e-4;

} // namespace

void PrefixPrefillRates::add(Time now, Fingerprint prefix, Duration prefill)
{
  if (prefillSeconds_.size() > kMaxTrackedPrefixes) {
    prune(now);
  }
  auto& prefixSeconds = prefillSeconds_.try_emplace(prefix, kRateWindow).first->second;
  prefixSeconds.add(now, static_cast<double>(prefill.count()) * 1e-6);
}

std::size_t PrefixPrefillRates::preferredEngineCount(Time now,
                                                     Fingerprint prefix,
                                                     double trafficShare) const
{
  const double engineCount = perSecond(now, prefix) / trafficShare / kMaxEngineShare;
  return std::max(kMinEngines, static_cast<std::size_t>(std::ceil(engineCount)));
}

double PrefixPrefillRates::perSecond(Time now, Fingerprint prefix) const
{
  const auto prefixSeconds = prefillSeconds_.find(prefix);
  return prefixSeconds == prefillSeconds_.end() ? 0 : prefixSeconds->second.perSecond(now);
}

void PrefixPrefillRates::prune(Time now)
{
  std::erase_if(prefillSeconds_, [&](const auto& entry) {
    return entry.second.at(now) < kNegligiblePrefillSeconds;
  });
  if (prefillSeconds_.size() > kMaxTrackedPrefixes) {
    prefillSeconds_.clear();
  }
}

} // namespace figchute::dispatch
