#pragma once

#include "core/core.h"
#include "http/http.h"

#include <string_view>

namespace figchute::router {

/** Answers a request with an error of the table. 408, 421, 429 and 503 carry Retry-After.
    @param retryAfter  when the caller may come back; 20 ms at least
    @returns the status that was sent
    Thread safety: use it on the thread of the request only. */
int answerError(http::ServerRequest& request, const Error& error, Duration retryAfter);

/** Returns whether a status promises that the request did not run and never will. Safe from any
    thread. */
bool promisesNotRun(int status);

/** Answers 200 with a JSON body. Thread safety: use it on the thread of the request only. */
void answerJson(http::ServerRequest& request, std::string_view body);

} // namespace figchute::router
