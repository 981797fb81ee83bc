#include "routing/OutlierDetector.h"

#include <algorithm>

namespace figchute::routing {
namespace {

constexpr std::uint32_t kConsecutiveFailures = 3;
constexpr std::uint32_t kMinSamples = 10;
constexpr double kSmoothingFactor = 0.1;

/** An endpoint is slow if its latency exceeds three times the median of its peers plus 300 ms. This
    is more than the variation caused by different prompt lengths. */
constexpr double kSlowFactor = 3;
constexpr double kSlowMarginMicros = 300'000;

constexpr Duration kInitialEjection = std::chrono::seconds(5);
constexpr std::uint32_t kMaxDoublings = 3;
constexpr std::size_t kEjectableDivisor = 3;

} // namespace

void OutlierDetector::recordSuccess(const EndpointId& endpoint, Duration latency)
{
  auto& stats = stats_[endpoint];
  const auto micros = static_cast<double>(latency.count());
  stats.consecutiveFailures = 0;
  stats.latencyMicros = stats.samples == 0
                          ? micros
                          : stats.latencyMicros + kSmoothingFactor * (micros - stats.latencyMicros);
  ++stats.samples;
}

void OutlierDetector::recordFailure(const EndpointId& endpoint)
{
  ++stats_[endpoint].consecutiveFailures;
}

bool OutlierDetector::isOutlier(const EndpointStats& stats, double medianMicros) const
{
  if (stats.consecutiveFailures >= kConsecutiveFailures) {
    return true;
  }
  return stats.samples >= kMinSamples && medianMicros > 0 &&
         stats.latencyMicros > kSlowFactor * medianMicros + kSlowMarginMicros;
}

double OutlierDetector::medianLatency(std::span<const EndpointId> peers) const
{
  std::vector<double> latencies;
  for (const auto& peer : peers) {
    const auto entry = stats_.find(peer);
    if (entry != stats_.end() && entry->second.samples >= kMinSamples) {
      latencies.push_back(entry->second.latencyMicros);
    }
  }
  if (latencies.size() < kEjectableDivisor) {
    return 0;
  }
  const auto medianPosition = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), medianPosition, latencies.end());
  return *medianPosition;
}

void OutlierDetector::ejectOutliers(Time now, std::span<const EndpointId> peers)
{
  const double median = medianLatency(peers);
  auto ejectedCount = static_cast<std::size_t>(std::count_if(
    peers.begin(), peers.end(), [&](const EndpointId& peer) { return isEjected(now, peer); }));
  for (const auto& peer : peers) {
    const auto entry = stats_.find(peer);
    if (entry == stats_.end() || isEjected(now, peer) || !isOutlier(entry->second, median)) {
      continue;
    }
    if (ejectedCount >= peers.size() / kEjectableDivisor) {
      return;
    }
    auto& stats = entry->second;
    stats.ejectedUntil = now + kInitialEjection * (1U << std::min(stats.ejections, kMaxDoublings));
    lastEjectionEnd_ = std::max(lastEjectionEnd_, stats.ejectedUntil);
    ++stats.ejections;
    stats.consecutiveFailures = 0;
    stats.samples = 0;
    ++ejectedCount;
  }
}

bool OutlierDetector::isEjected(Time now, const EndpointId& endpoint) const
{
  if (now >= lastEjectionEnd_) {
    return false;
  }
  const auto entry = stats_.find(endpoint);
  return entry != stats_.end() && now < entry->second.ejectedUntil;
}

void OutlierDetector::remove(const EndpointId& endpoint)
{
  stats_.erase(endpoint);
}

} // namespace figchute::routing
