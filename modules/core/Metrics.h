#pragma once

#include "core/Types.h"

#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace figchute {

/** The number of recorded latencies and their quantiles at one point in time. */
struct LatencySummary
{
  std::uint64_t count = 0;
  Duration median{ 0 };
  Duration p95{ 0 };
  Duration p99{ 0 };
};

/** Named counters, gauges and latency histograms of one process.
    Thread safety: every method is safe from any thread. */
class Metrics
{
public:
  Metrics();
  ~Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;

  /** Adds @p amount to the counter @p name, which starts at 0. */
  void count(std::string_view name, std::uint64_t amount = 1);

  /** Sets the gauge @p name, a value that can also fall. */
  void set(std::string_view name, std::uint64_t value);

  /** Records one latency in the histogram @p name: 1 us to 1,000 s, relative error below 5%. */
  void record(std::string_view name, Duration latency);

  /** Returns all counters by name. */
  [[nodiscard]] std::map<std::string, std::uint64_t> counters() const;

  /** Returns all gauges by name. */
  [[nodiscard]] std::map<std::string, std::uint64_t> gauges() const;

  /** Returns a summary of each histogram by name. */
  [[nodiscard]] std::map<std::string, LatencySummary> latencies() const;

private:
  struct Store;
  mutable std::mutex mutex_;
  std::unique_ptr<Store> store_;
};

} // namespace figchute
