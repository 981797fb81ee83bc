#pragma once

#include "dispatch/Candidate.h"

#include <cstddef>
#include <span>

namespace figchute::dispatch {

/** Moves the load of other processes towards its mean over the endpoints, the more the older the
    report is: after the time of one call it tells nothing any more, and all processes would send to
    the endpoint that looked free. Safe from any thread.
    @param serviceTime  mean time of a call */
void ageLoads(Time now, Duration serviceTime, std::span<Candidate> candidates);

/** Chooses an endpoint of a plain service: least outstanding requests per slot first, the own zone
   at equal load. Safe from any thread.
    @param candidates  endpoints, not empty
    @returns an index */
std::size_t pickPlain(Time now, std::span<const Candidate> candidates);

} // namespace figchute::dispatch
