#pragma once

#include "core/Fingerprint.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/RequestInfo.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace figchute::dispatch {

/** The prompt prefix that determines on which engines a request is placed. */
struct SharedPrefix
{
  Fingerprint key = 0;
  /** Number of tokens of the prefix. */
  std::int64_t tokens = 0;
};

/** Returns the shared prefix of a request; nullopt if it has none, or one that is too short to be
    placed. The last part of a prompt belongs to the request alone, the first part is common to many
    prefixes. Safe from any thread.
    @param keys  result of prefixKeys() */
std::optional<SharedPrefix> sharedPrefixOf(const RequestInfo& requestInfo,
                                           std::span<const Fingerprint> keys);

/** Returns the indexes of the endpoints in rendezvous order for a key, weighted by their slots.
    Safe from any thread. */
std::vector<std::size_t> rendezvousOrder(Fingerprint key, std::span<Endpoint* const> endpoints);

/** Returns the indexes of the endpoints in their order of preference for a prefix. The order
    depends only on the registry, so all processes of a zone compute the same one, and an endpoint
    that is added or removed changes the order only for its own prefixes. The first two engines of a
    long prefix are in different zones. Safe from any thread.
    @param ownZone      zone of this process
    @param ownZoneShare  share of the short prefixes, 0 to 1, that are placed in the zone of
           this process; the others are placed in other zones */
std::vector<std::size_t> placementOrder(const SharedPrefix& prefix,
                                        std::span<Endpoint* const> endpoints,
                                        const ZoneId& ownZone,
                                        double ownZoneShare);

} // namespace figchute::dispatch
