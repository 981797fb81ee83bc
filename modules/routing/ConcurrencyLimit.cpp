#include "routing/ConcurrencyLimit.h"

#include <algorithm>

namespace figchute::routing {
namespace {

/** Prompts of different lengths differ by several hundred ms, so only a clear excess counts. */
constexpr double kSlowFactor = 3;
constexpr double kSlowMarginMicros = 400'000;

/** With a decrease at each slow sample and an increase of 1/limit, the limits of all endpoints sank
    in a flood and cost 8% of the capacity. */
constexpr std::uint32_t kSlowInRow = 3;
constexpr double kIncrease = 0.25;
constexpr double kDecrease = 0.9;
constexpr Duration kDecreaseInterval = std::chrono::seconds(1);
constexpr double kSmallestPart = 0.25;

/** The shortest latency forgets by this factor per sample, so that it follows an endpoint that
    became slower for good. */
constexpr double kForget = 1.005;

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
  auto& shortest = shortest_[static_cast<std::size_t>(rank)];
  shortest = shortest == 0 ? micros : std::min(shortest * kForget, micros);
  if (micros <= shortest * kSlowFactor + kSlowMarginMicros) {
    slowInRow_ = 0;
    limit_ = std::min(limit_ + kIncrease, slots_);
    return;
  }
  ++slowInRow_;
  if (slowInRow_ >= kSlowInRow && now >= nextDecrease_) {
    slowInRow_ = 0;
    nextDecrease_ = now + kDecreaseInterval;
    limit_ = std::max(limit_ * kDecrease, std::max(slots_ * kSmallestPart, 1.0));
  }
}

} // namespace figchute::routing
