#pragma once

#include "core/Types.h"
#include "routing/Work.h"

#include <cstdint>
#include <optional>

namespace figchute::routing {

/** Decides whether a failed attempt is repeated.

    Only work that may run twice, or that did not run, is repeated. The retry budget allows a fixed
    part of the requests of late to be retried, with a small reserve for quiet times, so that
    retries cannot multiply the load on a failing fleet.
    Thread safety: use one instance from one thread at a time. */
class RetryPolicy
{
public:
  /** Attempts that may fail at an endpoint before the request is given up. A request that crashes
      its endpoints is stopped here even before its fingerprint is in quarantine. */
  static constexpr std::uint32_t kMostFailedAttempts = 3;

  /** Sets the retries allowed per request, at least 0. */
  void setRatio(double ratio) { ratio_ = ratio; }

  /** Counts a first attempt, which adds to the budget. */
  void recordRequest();

  /** Asks for a retry and takes it out of the budget.
      @param repeatable      whether the work may run twice
      @param failure         how the last attempt failed
      @param failedAttempts  failed attempts of the request, the last one included
      @returns nullopt when the retry is allowed, else the error kind that ends the request */
  std::optional<ErrorKind> ask(bool repeatable,
                               AttemptFailure failure,
                               std::uint32_t failedAttempts);

private:
  /** The largest saved budget bounds a burst of retries after a crash to about one full endpoint;
      the initial one lets a VM that has just started retry. */
  static constexpr double kLargestBudget = 64;
  static constexpr double kInitialBudget = 10;

  double ratio_ = 0.1;
  double budget_ = kInitialBudget;
};

} // namespace figchute::routing
