#pragma once

#include "core/core.h"
#include "http/http.h"

#include <string_view>

namespace figchute::router {

/** Returns the response of an error, as sendErrorResponse() sends it. Thread safety: safe from any
 * thread. */
http::HeadRefusal makeErrorResponse(const Error& error, Duration retryAfter);

/** Responds with the HTTP status and JSON body of an error. Statuses 408, 421, 429 and 503 carry
   Retry-After.
    @param retryAfter  time until the caller may retry; raised to at least 20 ms
    @param allow       value of the Allow field, required with status 405; none if it is empty
    @returns the HTTP status that was sent
    Thread safety: use it on the thread of the request only. */
int sendErrorResponse(http::ServerRequest& request,
                      const Error& error,
                      Duration retryAfter,
                      std::string_view allow = {});

/** Returns whether a status guarantees that the request was not executed and never will be. Thread
 * safety: safe from any thread. */
bool guaranteesNotExecuted(int status);

/** Responds with status 200 and a JSON body. Thread safety: use it on the thread of the request
 * only. */
void sendJsonResponse(http::ServerRequest& request, std::string_view body);

} // namespace figchute::router
