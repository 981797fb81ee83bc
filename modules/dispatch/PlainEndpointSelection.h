#pragma once

#include "dispatch/Candidate.h"

#include <cstddef>
#include <span>

namespace figchute::dispatch {

/** Moves the load that other processes cause on each endpoint towards its mean over all endpoints,
    more so the older the load report is. After the time of one call a report carries no
    information, and without this correction all processes would send to the endpoint that was
    reported as idle. Safe from any thread.
    @param serviceTime  mean time of a call */
void discountStaleLoads(Time now, Duration serviceTime, std::span<Candidate> candidates);

/** Chooses an endpoint of a plain service: the one with the fewest outstanding requests per slot,
    at equal load one in the zone of this process. Safe from any thread.
    @param candidates  endpoints, not empty
    @returns the index of the chosen endpoint */
std::size_t pickPlainEndpoint(Time now, std::span<const Candidate> candidates);

} // namespace figchute::dispatch
