#pragma once

#include "core/Types.h"
#include "routing/DecayedSum.h"

#include <cstdint>

namespace figchute::dispatch {

/** How strongly a failure indicates that an endpoint is unhealthy. */
enum class FailureKind : std::uint8_t
{
  /** The endpoint answered with an error; a single one may be caused by the request itself. */
  weak,
  /** No answer in time, or a malformed one. */
  strong,
  /** The connection was lost during the request. The next connection attempt shows whether the
      endpoint is down. */
  connectionLost,
  /** Nothing, or a different endpoint, listens at the address. */
  unreachable,
};

/** Circuit breaker of one endpoint: decides from the outcomes of its requests whether it gets more.

    A closed breaker passes all requests. It opens after several consecutive failures, after a
    failed or lost connection, or at a high ratio of recent failures. An open breaker passes no
    requests until its back-off has elapsed, then one trial request at a time. Enough consecutive
    successful trials close it; a failed trial starts a longer back-off.

    This class replaces routing::OutlierDetector here, which readmits an endpoint at full load after
    a fixed time: an endpoint that fails half of its requests needs several trials to be recognized.
    Thread safety: use one instance from one thread only. */
class CircuitBreaker
{
public:
  /** Records a success.
      @returns whether it closed the breaker */
  bool recordSuccess(Time now);

  /** Records a failure. The caller opens the breaker if shouldOpen() returns true. */
  void recordFailure(Time now, FailureKind kind);

  /** Returns whether the recorded failures are sufficient to open the breaker. */
  [[nodiscard]] bool shouldOpen(Time now) const;

  /** Opens the breaker, or starts the next back-off if it is already open. */
  void open(Time now);

  /** Closes the breaker without a trial. */
  void reset();

  [[nodiscard]] bool isOpen() const { return open_; }

  /** Returns whether a trial request may be sent now. */
  [[nodiscard]] bool isTrialDue(Time now) const
  {
    return open_ && !trialInFlight_ && now >= nextTrialAt_;
  }

  /** Returns whether the breaker is open because of one lost connection. A trial is safe in this
      case: the endpoint is either down and refuses the connection, or healthy. */
  [[nodiscard]] bool isOpenAfterLostConnection() const
  {
    return open_ && lastFailure_ == FailureKind::connectionLost;
  }

  /** Returns the earliest time of the next trial. Precondition: the breaker is open. */
  [[nodiscard]] Time nextTrialAt() const { return nextTrialAt_; }

  /** Records that a trial request is being sent. */
  void beginTrial() { trialInFlight_ = true; }

  /** Records that a trial request ended without a usable outcome. */
  void abandonTrial() { trialInFlight_ = false; }

  /** Returns the ratio of recent failures, 0 to 1; biased towards 0 while there are few samples. */
  [[nodiscard]] double failureRatio(Time now) const;

private:
  bool open_ = false;
  bool trialInFlight_ = false;
  Time nextTrialAt_;
  Time closedAt_;
  /** Number of openings since the breaker was last closed for longer than kOpeningCountResetTime.
   */
  std::uint32_t recentOpenings_ = 0;
  std::uint32_t consecutiveFailures_ = 0;
  std::uint32_t trialSuccesses_ = 0;
  FailureKind lastFailure_ = FailureKind::weak;
  routing::DecayedSum successes_{ std::chrono::seconds(6) };
  routing::DecayedSum failures_{ std::chrono::seconds(6) };
};

} // namespace figchute::dispatch
