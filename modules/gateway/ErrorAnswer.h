#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "gateway/Headers.h"

#include <optional>
#include <string>

namespace figchute::gateway {

/** An error as HTTP sends it to a caller. */
struct ErrorAnswer
{
  int status = 500;
  Headers headers;
  std::string body;
};

/** Builds the answer of an error: the JSON object of the design page, `X-Figchute-Error`,
    `X-Figchute-Ran` and, where the kind advises a retry, `Retry-After` in whole seconds (rounded
    up).
    @param error       the error; its detail becomes the message
    @param retryDelay  replaces the default retry delay of the kind
    @param request     the id that the answer names; left out when empty
    @returns status, headers and body
    Thread safety: safe from any thread. */
ErrorAnswer makeErrorAnswer(const Error& error,
                            std::optional<Duration> retryDelay,
                            const RequestId& request);

} // namespace figchute::gateway
