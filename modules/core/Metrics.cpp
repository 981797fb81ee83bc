#include "core/Metrics.h"

#include <algorithm>
#include <boost/histogram.hpp>

namespace figchute {
namespace {

namespace bh = boost::histogram;

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;
using Histogram = decltype(bh::make_histogram(std::declval<LatencyAxis>()));

/** 260 bins over nine decades give a bin width of 8.3%, so the bin centre is within 5%. */
constexpr unsigned kLatencyBins = 260;
constexpr double kMinLatencyUs = 1.0;
constexpr double kMaxLatencyUs = 1e9;

Histogram makeLatencyHistogram()
{
  return bh::make_histogram(LatencyAxis(kLatencyBins, kMinLatencyUs, kMaxLatencyUs));
}

Duration quantile(const Histogram& histogram, double totalCount, double fraction)
{
  double cumulativeCount = 0;
  for (auto&& bin : bh::indexed(histogram, bh::coverage::all)) {
    cumulativeCount += static_cast<double>(*bin);
    if (cumulativeCount >= totalCount * fraction) {
      const double centreUs = std::clamp(bin.bin().center(), kMinLatencyUs, kMaxLatencyUs);
      return Duration(static_cast<std::int64_t>(centreUs));
    }
  }
  return Duration(0);
}

LatencySummary summarize(const Histogram& histogram)
{
  const auto totalCount = static_cast<double>(bh::algorithm::sum(histogram));
  LatencySummary summary;
  summary.count = static_cast<std::uint64_t>(totalCount);
  summary.median = quantile(histogram, totalCount, 0.5);
  summary.p95 = quantile(histogram, totalCount, 0.95);
  summary.p99 = quantile(histogram, totalCount, 0.99);
  return summary;
}

} // namespace

struct Metrics::Store
{
  std::map<std::string, std::uint64_t, std::less<>> counters;
  std::map<std::string, std::uint64_t> gauges;
  std::map<std::string, Histogram, std::less<>> latencies;
};

Metrics::Metrics()
  : store_(std::make_unique<Store>())
{
}

Metrics::~Metrics() = default;

void Metrics::count(std::string_view name, std::uint64_t amount)
{
  const std::lock_guard lock(mutex_);
  auto counter = store_->counters.find(name);
  if (counter == store_->counters.end()) {
    counter = store_->counters.emplace(std::string(name), 0).first;
  }
  counter->second += amount;
}

void Metrics::set(std::string_view name, std::uint64_t value)
{
  const std::lock_guard lock(mutex_);
  store_->gauges.insert_or_assign(std::string(name), value);
}

void Metrics::record(std::string_view name, Duration latency)
{
  const std::lock_guard lock(mutex_);
  auto histogram = store_->latencies.find(name);
  if (histogram == store_->latencies.end()) {
    histogram = store_->latencies.emplace(std::string(name), makeLatencyHistogram()).first;
  }
  histogram->second(static_cast<double>(latency.count()));
}

std::map<std::string, std::uint64_t> Metrics::counters() const
{
  const std::lock_guard lock(mutex_);
  return { store_->counters.begin(), store_->counters.end() };
}

std::map<std::string, std::uint64_t> Metrics::gauges() const
{
  const std::lock_guard lock(mutex_);
  return store_->gauges;
}

std::map<std::string, LatencySummary> Metrics::latencies() const
{
  const std::lock_guard lock(mutex_);
  std::map<std::string, LatencySummary> result;
  for (const auto& [name, histogram] : store_->latencies) {
    result.emplace(name, summarize(histogram));
  }
  return result;
}

} // namespace figchute
