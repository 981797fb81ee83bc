#pragma once

#include "dispatch/Candidate.h"

#include <cstddef>
#include <span>

namespace figchute::dispatch {

/** Chooses an endpoint of a plain service: least outstanding requests per slot first, the own zone
   at equal load. Safe from any thread.
    @param candidates  endpoints, not empty
    @returns an index */
std::size_t pickPlain(Time now, std::span<const Candidate> candidates);

} // namespace figchute::dispatch
