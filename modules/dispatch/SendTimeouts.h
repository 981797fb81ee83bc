#pragma once

#include "core/Types.h"
#include "dispatch/RequestTable.h"

namespace figchute::dispatch {

/** Returns whether the endpoint of a send counts as failed because it has sent nothing for too
   long. Safe from any thread.
    @param request           a request with a send
    @param lastEndpointByte  time of the last byte of any answer of the endpoint */
[[nodiscard]] bool isOverdue(Time now, const RequestState& request, Time lastEndpointByte);

} // namespace figchute::dispatch
