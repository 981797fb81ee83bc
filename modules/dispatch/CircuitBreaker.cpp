#include "dispatch/CircuitBreaker.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

constexpr std::uint32_t kFailuresInRow = 3;
/** An endpoint that fails 45% of its requests shows it within a few of them; healthy ones fail
    below 1%. */
constexpr double kFailureShare = 0.2;
constexpr double kSmallestFailures = 1.3;
constexpr double kWeakWeight = 0.7;

constexpr Duration kFirstBackOff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMostDoublings = 3;
/** An endpoint that fails 45% of its requests passes one trial more often than not. */
constexpr std::uint32_t kTrialSuccesses = 2;
constexpr std::uint32_t kMostTrialSuccesses = 6;
/** Time without an opening after which earlier ones are forgotten. */
constexpr Duration kForgetOpenings = std::chrono::seconds(20);

} // namespace

bool CircuitBreaker::recordSuccess(Time now)
{
  const bool afterLostConnection = isAfterLostConnection();
  successes_.add(now, 1);
  failuresInRow_ = 0;
  last_ = Fault::weak;
  trialInFlight_ = false;
  if (!open_) {
    return false;
  }
  ++trialSuccesses_;
  if (afterLostConnection) {
    open_ = false;
    return true;
  }
  const auto needed = std::min(kTrialSuccesses * openings_, kMostTrialSuccesses);
  if (trialSuccesses_ < needed) {
    return false;
  }
  reset();
  closedAt_ = now;
  return true;
}

void CircuitBreaker::recordFailure(Time now, Fault fault)
{
  failures_.add(now, fault == Fault::weak ? kWeakWeight : 1);
  ++failuresInRow_;
  last_ = fault;
  trialInFlight_ = false;
}

bool CircuitBreaker::wantsOpen(Time now) const
{
  return last_ == Fault::absent || last_ == Fault::broken || failuresInRow_ >= kFailuresInRow ||
         (failures_.at(now) >= kSmallestFailures && failureShare(now) >= kFailureShare);
}

void CircuitBreaker::open(Time now)
{
  if (!open_ && now - closedAt_ > kForgetOpenings) {
    openings_ = 0;
  }
  const auto doublings = std::min(openings_, kMostDoublings);
  open_ = true;
  trialInFlight_ = false;
  trialSuccesses_ = 0;
  if (last_ == Fault::broken && failures_.at(now) < kSmallestFailures) {
    // One lost connection is no reason to stay away; the next request finds out.
    trialAt_ = now;
    return;
  }
  trialAt_ = now + kFirstBackOff * (1U << doublings);
  ++openings_;
}

void CircuitBreaker::reset()
{
  open_ = false;
  trialInFlight_ = false;
  last_ = Fault::weak;
  failuresInRow_ = 0;
  trialSuccesses_ = 0;
  failures_ = routing::DecayedSum(std::chrono::seconds(6));
}

double CircuitBreaker::failureShare(Time now) const
{
  const double failed = failures_.at(now);
  return failed / (failed + successes_.at(now) + 1);
}

} // namespace figchute::dispatch
