#pragma once

#include "core/Types.h"
#include "routing/RequestInfo.h"

#include <cstdint>
#include <optional>

namespace figchute::routing {

/** Decides whether a failed attempt is retried.

    Only idempotent requests and requests that were not executed are retried. The retry budget
    limits retries to a fixed fraction of the recent requests, plus a small reserve for times of low
    traffic, so that retries cannot multiply the load on a failing fleet.
    Thread safety: use one instance from one thread at a time. */
class RetryPolicy
{
public:
  /** Number of failed attempts after which a request fails. This stops a request that crashes its
      endpoints even before its fingerprint is quarantined. */
  static constexpr std::uint32_t kMaxFailedAttempts = 3;

  /** Sets the number of retries allowed per request, at least 0. */
  void setRatio(double ratio) { ratio_ = ratio; }

  /** Counts a first attempt, which adds to the budget. */
  void recordRequest();

  /** Requests a retry and, if it is allowed, charges it to the budget.
      @param repeatable      whether the request is idempotent
      @param failure         how the last attempt failed
      @param failedAttempts  failed attempts of the request, including the last one
      @returns nullopt if the retry is allowed, otherwise the error with which the request fails */
  std::optional<ErrorKind> requestRetry(bool repeatable,
                                        AttemptFailure failure,
                                        std::uint32_t failedAttempts);

private:
  /** The maximum budget limits a burst of retries after a crash to the requests of about one full
      endpoint. The initial budget allows retries on a VM that has just started. */
  static constexpr double kMaxBudget = 64;
  static constexpr double kInitialBudget = 10;

  double ratio_ = 0.1;
  double budget_ = kInitialBudget;
};

} // namespace figchute::routing
