#pragma once

#include "core/Fingerprint.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/Work.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace figchute::dispatch {

/** The prompt prefix that decides where a request lives. */
struct Subject
{
  Fingerprint key = 0;
  /** Tokens of the prefix. */
  std::int64_t tokens = 0;
};

/** Returns the shared prefix of a request; nullopt when it has none that is worth a fixed place.
    The last part belongs to the request, the first one is common to many subjects. Safe from any
    thread.
    @param keys  from prefixKeys() */
std::optional<Subject> subjectOf(const Work& work, std::span<const Fingerprint> keys);

/** Returns the indexes of endpoints in rendezvous order for a key, weighted by their slots. Safe
   from any thread. */
std::vector<std::size_t> rendezvousOrder(Fingerprint key, std::span<Endpoint* const> endpoints);

/** Returns the indexes of endpoints in the order in which they take a subject. The order depends on
    the registry only, so all processes of a zone have the same one, and an endpoint that comes or
    goes changes the places of its own subjects only. The second engine of a large subject is in
    another zone than the first. Safe from any thread.
    @param ownZone      zone of this process
    @param ownZonePart  part of the small subjects, 0 to 1, that have their place in the zone of
   this process; the others have it in other zones */
std::vector<std::size_t> placementOrder(const Subject& subject,
                                        std::span<Endpoint* const> endpoints,
                                        const ZoneId& ownZone,
                                        double ownZonePart);

} // namespace figchute::dispatch
