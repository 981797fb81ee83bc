#include "routing/RetryPolicy.h"

#include <algorithm>

namespace figchute::routing {

void RetryPolicy::recordRequest()
{
  budget_ = std::min(budget_ + ratio_, kMaxBudget);
}

std::optional<ErrorKind> RetryPolicy::requestRetry(bool repeatable,
                                                   AttemptFailure failure,
                                                   std::uint32_t failedAttempts)
{
  if (!repeatable && failure != AttemptFailure::notRun) {
    return ErrorKind::outcomeUnknown;
  }
  if (failedAttempts >= kMaxFailedAttempts || budget_ < 1) {
    return failure == AttemptFailure::stalled ? ErrorKind::endpointTimeout
                                              : ErrorKind::endpointFailed;
  }
  budget_ -= 1;
  return std::nullopt;
}

} // namespace figchute::routing
