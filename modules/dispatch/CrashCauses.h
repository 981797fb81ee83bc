#pragma once

#include "core/Fingerprint.h"
#include "core/Types.h"
#include "fleet/CrashReportStore.h"

#include <cstddef>
#include <map>

namespace figchute::dispatch {

/** A candidate that probably crashes each endpoint that runs a request with it. */
struct CrashCause
{
  /** Number of endpoints that crashed and no other cause explains. */
  std::size_t crashes = 0;
  Time lastCrashAt;
};

/** Finds the causes of crashes: the candidates that several crashed endpoints have in common and
    with which no request has been answered since.

    Requests that share a crashing part of their prompt usually share the parts before it, too. The
    most specific common candidate is therefore taken as the cause, and the crashes that it explains
    no longer count for others. A whole request that was sent several times may still be one of
    several that share a crashing part, so its crashes count once for its parts.
    Thread safety: safe from any thread.
    @param minCrashes  number of endpoints that must have crashed with a candidate */
std::map<Fingerprint, CrashCause> findCrashCauses(const fleet::CrashReportStore& reports,
                                                  std::size_t minCrashes);

} // namespace figchute::dispatch
