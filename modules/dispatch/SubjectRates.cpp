#include "dispatch/SubjectRates.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

constexpr Duration kWindow = std::chrono::seconds(10);
constexpr std::size_t kMinEngines = 2;
/** Share of an engine's time that the prefill of one prefix's requests may take. A larger share
    causes queues of prompts that pause the streams of the engine for longer than is still on time.
 */
constexpr double kMaxEngineShare = 0.2;
constexpr std::size_t kPruneThreshold = 1024;
constexpr double kNegligible = 1e-4;

} // namespace

void SubjectRates::add(Time now, Fingerprint prefix, Duration prefill)
{
  if (prefillSeconds_.size() > kPruneThreshold) {
    prune(now);
  }
  auto& sum = prefillSeconds_.try_emplace(prefix, kWindow).first->second;
  sum.add(now, static_cast<double>(prefill.count()) * 1e-6);
}

std::size_t SubjectRates::preferredEngineCount(Time now,
                                               Fingerprint prefix,
                                               double trafficShare) const
{
  const auto found = prefillSeconds_.find(prefix);
  if (found == prefillSeconds_.end()) {
    return kMinEngines;
  }
  const double engines = found->second.perSecond(now) / trafficShare / kMaxEngineShare;
  return std::max(kMinEngines, static_cast<std::size_t>(std::ceil(engines)));
}

void SubjectRates::prune(Time now)
{
  std::erase_if(prefillSeconds_,
                [&](const auto& entry) { return entry.second.at(now) < kNegligible; });
  if (prefillSeconds_.size() > kPruneThreshold) {
    prefillSeconds_.clear();
  }
}

} // namespace figchute::dispatch
