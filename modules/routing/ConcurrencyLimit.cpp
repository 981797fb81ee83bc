#include "routing/ConcurrencyLimit.h"

#include <algorithm>

namespace figchute::routing {
namespace {

/** Prompt length alone changes the time to first token by several hundred ms, so a sample is slow
    only if it exceeds the minimum by this factor plus this margin. */
constexpr double kSlowFactor = 3;
constexpr double kSlowMarginMicros = 400'000;

/** A decrease at each slow sample and an increase of 1/limit per sample reduced the limits of all
    endpoints under overload, which cost 8% of the capacity. */
constexpr std::uint32_t kConsecutiveSlowSamples = 3;
constexpr double kIncrease = 0.25;
constexpr double kDecrease = 0.9;
constexpr Duration kDecreaseInterval = std::chrono::seconds(1);
constexpr double kMinLimitFraction = 0.25;

/** The minimum latency grows by this factor per sample, so that it adapts to an endpoint that
    became permanently slower. */
constexpr double kMinLatencyGrowth = 1.005;

} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots)
  : slots_(std::max(slots, 1U))
  , limit_(slots_)
{
}

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
  if (slots_ != slots) {
    slots_ = std::max(slots, 1U);
    limit_ = slots_;
  }
}

void ConcurrencyLimit::record(Time now, Rank rank, Duration latency)
{
  if (rank == Rank::batch) {
    return;
  }
  const auto micros = static_cast<double>(latency.count());
  auto& minLatency = minLatencies_[static_cast<std::size_t>(rank)];
  minLatency = minLatency == 0 ? micros : std::min(minLatency * kMinLatencyGrowth, micros);
  if (micros <= minLatency * kSlowFactor + kSlowMarginMicros) {
    consecutiveSlow_ = 0;
    limit_ = std::min(limit_ + kIncrease, slots_);
    return;
  }
  ++consecutiveSlow_;
  if (consecutiveSlow_ >= kConsecutiveSlowSamples && now >= nextDecrease_) {
    consecutiveSlow_ = 0;
    nextDecrease_ = now + kDecreaseInterval;
    limit_ = std::max(limit_ * kDecrease, std::max(slots_ * kMinLimitFraction, 1.0));
  }
}

} // namespace figchute::routing
