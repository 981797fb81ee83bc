#include "dispatch/CircuitBreaker.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

constexpr std::uint32_t kConsecutiveFailuresToOpen = 3;
/** An endpoint that fails 45% of its requests reaches this ratio within a few of them; healthy
    endpoints fail below 1%. */
constexpr double kOpenFailureRatio = 0.2;
constexpr double kMinWeightedFailures = 1.3;
constexpr double kWeakFailureWeight = 0.7;

constexpr Duration kInitialBackOff = std::chrono::milliseconds(500);
constexpr std::uint32_t kMaxBackOffDoublings = 3;
/** Successful trials needed to close, per recent opening. One is not enough: an endpoint that fails
    45% of its requests passes a single trial more often than not. */
constexpr std::uint32_t kSuccessesPerOpening = 2;
constexpr std::uint32_t kMaxTrialSuccesses = 6;
/** The count of openings restarts if the breaker was closed for longer than this. */
constexpr Duration kOpeningCountResetTime = std::chrono::seconds(20);

} // namespace

bool CircuitBreaker::recordSuccess(Time now)
{
  const bool wasOpenAfterLostConnection = isOpenAfterLostConnection();
  successes_.add(now, 1);
  consecutiveFailures_ = 0;
  lastFailure_ = FailureKind::weak;
  trialInFlight_ = false;
  if (!open_) {
    return false;
  }
  ++trialSuccesses_;
  if (wasOpenAfterLostConnection) {
    open_ = false;
    return true;
  }
  const auto requiredSuccesses =
    std::min(kSuccessesPerOpening * recentOpenings_, kMaxTrialSuccesses);
  if (trialSuccesses_ < requiredSuccesses) {
    return false;
  }
  reset();
  closedAt_ = now;
  return true;
}

void CircuitBreaker::recordFailure(Time now, FailureKind kind)
{
  failures_.add(now, kind == FailureKind::weak ? kWeakFailureWeight : 1);
  ++consecutiveFailures_;
  lastFailure_ = kind;
  trialInFlight_ = false;
}

bool CircuitBreaker::shouldOpen(Time now) const
{
  return lastFailure_ == FailureKind::unreachable || lastFailure_ == FailureKind::connectionLost ||
         consecutiveFailures_ >= kConsecutiveFailuresToOpen ||
         (failures_.at(now) >= kMinWeightedFailures && failureRatio(now) >= kOpenFailureRatio);
}

void CircuitBreaker::open(Time now)
{
  if (!open_ && now - closedAt_ > kOpeningCountResetTime) {
    recentOpenings_ = 0;
  }
  const auto doublings = std::min(recentOpenings_, kMaxBackOffDoublings);
  open_ = true;
  trialInFlight_ = false;
  trialSuccesses_ = 0;
  if (lastFailure_ == FailureKind::connectionLost && failures_.at(now) < kMinWeightedFailures) {
    // A single lost connection does not justify a back-off; the next request checks the endpoint.
    nextTrialAt_ = now;
    return;
  }
  nextTrialAt_ = now + kInitialBackOff * (1U << doublings);
  ++recentOpenings_;
}

void CircuitBreaker::reset()
{
  open_ = false;
  trialInFlight_ = false;
  lastFailure_ = FailureKind::weak;
  consecutiveFailures_ = 0;
  trialSuccesses_ = 0;
  failures_ = routing::DecayedSum(std::chrono::seconds(6));
}

double CircuitBreaker::failureRatio(Time now) const
{
  const double recentFailures = failures_.at(now);
  return recentFailures / (recentFailures + successes_.at(now) + 1);
}

} // namespace figchute::dispatch
