#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "gateway/Headers.h"

#include <optional>
#include <string>

namespace figchute::gateway {

/** The HTTP response that reports an error to a caller. */
struct ErrorResponse
{
  int status = 500;
  Headers headers;
  std::string body;
};

/** Builds the HTTP response for an error: a JSON object `error` with `type`, `message`, `ran`,
    `retry` and `request_id`, the header fields `X-Figchute-Error` and `X-Figchute-Ran` and, when
    the error kind advises a retry, `Retry-After` in whole seconds (rounded up, at least 1).
    @param error       the error; its detail becomes the message
    @param retryDelay  overrides the default retry delay of the error kind
    @param request     the request id in the body; omitted when empty
    @returns status, headers and body
    Thread safety: may be called from any thread. */
ErrorResponse makeErrorResponse(const Error& error,
                                std::optional<Duration> retryDelay,
                                const RequestId& request);

} // namespace figchute::gateway
