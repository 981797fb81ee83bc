#include "routing/ConcurrencyLimit.h"

#include <algorithm>
#include <cmath>

namespace figchute::routing {
namespace {

/** Prompts of different lengths differ by several hundred ms, so only a clear excess counts. */
constexpr double kSlowFactor = 3;
constexpr double kSlowMarginMicros = 400'000;

constexpr double kDecrease = 0.9;
constexpr Duration kDecreaseInterval = std::chrono::seconds(1);
constexpr double kSmallestPart = 0.25;

/** The shortest latency forgets by this factor per sample, so that it follows an endpoint that
    became slower for good. */
constexpr double kForget = 1.005;

/** Part of the slots held back from batch and prompt work. */
constexpr std::array<double, kRankCount> kHeldBack{ 0, 0.03, 0.06 };

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
  const auto micros = static_cast<double>(latency.count());
  auto& shortest = shortest_[static_cast<std::size_t>(rank)];
  shortest = shortest == 0 ? micros : std::min(shortest * kForget, micros);
  if (micros <= shortest * kSlowFactor + kSlowMarginMicros) {
    limit_ = std::min(limit_ + 1 / limit_, slots_);
    return;
  }
  if (now >= nextDecrease_) {
    nextDecrease_ = now + kDecreaseInterval;
    limit_ = std::max(limit_ * kDecrease, std::max(slots_ * kSmallestPart, 1.0));
  }
}

double ConcurrencyLimit::forRank(Rank rank) const
{
  const double heldBack = std::ceil(slots_ * kHeldBack[static_cast<std::size_t>(rank)]);
  return std::max(limit_ - heldBack, 1.0);
}

} // namespace figchute::routing
