#pragma once

#include "core/Types.h"

#include <string>

namespace figchute::gateway {

/** One complete HTTP request from a caller. */
struct CallerRequest
{
  /** Unique within one run of the process; assigned by the server. */
  RequestId id;
  std::string method;
  /** Path and query string as received. */
  std::string target;
  /** The value of `Authorization`, empty when absent. */
  std::string authorization;
  /** The value of `Idempotency-Key`, empty when absent. */
  std::string idempotencyKey;
  /** The value of the `X-Request-Id` that the caller sent, empty when absent. */
  std::string callerRequestId;
  /** The value of `X-Figchute-Rank`, empty when absent. */
  std::string rank;
  /** The value of `Content-Type`, empty when absent. */
  std::string contentType;
  std::string body;
};

} // namespace figchute::gateway
