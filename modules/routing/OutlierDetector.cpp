#include "routing/OutlierDetector.h"

#include <algorithm>

namespace figchute::routing {
namespace {

constexpr std::uint32_t kFailuresInRow = 3;
constexpr std::uint32_t kSmallestSampleCount = 10;
constexpr double kSmoothing = 0.1;

/** Far from the peers: three times their median and 300 ms more, which is above the spread that
    prompts of different lengths cause. */
constexpr double kSlowFactor = 3;
constexpr double kSlowMarginMicros = 300'000;

constexpr Duration kFirstEjection = std::chrono::seconds(5);
constexpr std::uint32_t kMostDoublings = 3;
constexpr std::size_t kEjectableDivisor = 3;

} // namespace

void OutlierDetector::recordSuccess(const EndpointId& endpoint, Duration latency)
{
  auto& record = records_[endpoint];
  const auto micros = static_cast<double>(latency.count());
  record.failuresInRow = 0;
  record.latencyMicros = record.samples == 0
                           ? micros
                           : record.latencyMicros + kSmoothing * (micros - record.latencyMicros);
  ++record.samples;
}

void OutlierDetector::recordFailure(const EndpointId& endpoint)
{
  ++records_[endpoint].failuresInRow;
}

bool OutlierDetector::isOutlier(const Record& record, double medianMicros) const
{
  if (record.failuresInRow >= kFailuresInRow) {
    return true;
  }
  return record.samples >= kSmallestSampleCount && medianMicros > 0 &&
         record.latencyMicros > kSlowFactor * medianMicros + kSlowMarginMicros;
}

double OutlierDetector::medianLatency(std::span<const EndpointId> peers) const
{
  std::vector<double> latencies;
  for (const auto& peer : peers) {
    const auto found = records_.find(peer);
    if (found != records_.end() && found->second.samples >= kSmallestSampleCount) {
      latencies.push_back(found->second.latencyMicros);
    }
  }
  if (latencies.size() < kEjectableDivisor) {
    return 0;
  }
  const auto middle = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() / 2);
  std::nth_element(latencies.begin(), middle, latencies.end());
  return *middle;
}

void OutlierDetector::evaluate(Time now, std::span<const EndpointId> peers)
{
  const double median = medianLatency(peers);
  auto out = static_cast<std::size_t>(std::count_if(
    peers.begin(), peers.end(), [&](const EndpointId& peer) { return isEjected(now, peer); }));
  for (const auto& peer : peers) {
    const auto found = records_.find(peer);
    if (found == records_.end() || isEjected(now, peer) || !isOutlier(found->second, median)) {
      continue;
    }
    if (out >= peers.size() / kEjectableDivisor) {
      return;
    }
    auto& record = found->second;
    record.ejectedUntil = now + kFirstEjection * (1U << std::min(record.ejections, kMostDoublings));
    lastEjectionEnd_ = std::max(lastEjectionEnd_, record.ejectedUntil);
    ++record.ejections;
    record.failuresInRow = 0;
    record.samples = 0;
    ++out;
  }
}

bool OutlierDetector::isEjected(Time now, const EndpointId& endpoint) const
{
  if (now >= lastEjectionEnd_) {
    return false;
  }
  const auto found = records_.find(endpoint);
  return found != records_.end() && now < found->second.ejectedUntil;
}

void OutlierDetector::forget(const EndpointId& endpoint)
{
  records_.erase(endpoint);
}

} // namespace figchute::routing
