#pragma once

#include "core/Types.h"

#include <string>

namespace figchute::gateway {

/** One complete request of a caller. */
struct CallerRequest
{
  /** Unique to this process incarnation; set by the server. */
  RequestId id;
  std::string method;
  /** Path and query as sent. */
  std::string target;
  /** The value of `Authorization`, empty when absent. */
  std::string authorization;
  /** The value of `Idempotency-Key`, empty when absent. */
  std::string idempotencyKey;
  /** The value of the caller's own `X-Request-Id`, empty when absent. */
  std::string callerRequestId;
  /** The value of `X-Figchute-Rank`, empty when absent. */
  std::string rank;
  /** The value of `Content-Type`, empty when absent. */
  std::string contentType;
  std::string body;
};

} // namespace figchute::gateway
