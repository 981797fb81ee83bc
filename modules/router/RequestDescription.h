#pragma once

#include "dispatch/dispatch.h"
#include "fleet/RouteTable.h"
#include "router/Dialect.h"

namespace figchute::router {

/** Returns what the dispatcher needs to know of a request, without its id, fingerprint and service.
    @param workspace  null for a request without one
    @param timeout    time from @p now until the response is of no use
    Thread safety: safe from any thread. */
dispatch::RequestInfo describeRequest(Time now,
                                      const fleet::Route& route,
                                      const fleet::WorkspaceSettings* workspace,
                                      const PromptInfo& prompt,
                                      Duration timeout);

} // namespace figchute::router
