#pragma once

#include "fleet/Endpoint.h"

#include <cstdint>
#include <variant>

namespace figchute::fleet {

/** Enters an endpoint into the registry or changes its record. Idempotent by (id, born, sequence).
 */
struct PutEndpoint
{
  Announcement announcement;

  MSGPACK_DEFINE(announcement)
};

/** Removes an endpoint that leaves. Idempotent by (id, born). */
struct RemoveEndpoint
{
  EndpointId id;
  std::int64_t startedAtMs = 0;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(id, startedAtMs, sequence)
};

/** Removes an endpoint that has been silent too long. Idempotent by (id, born, sequence). */
struct ExpireEndpoint
{
  EndpointId id;
  std::int64_t startedAtMs = 0;
  /** The highest sequence that was heard; a record with a higher one stays. */
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(id, startedAtMs, sequence)
};

/** A command that changes the endpoint registry. */
using EndpointCommand = std::variant<PutEndpoint, RemoveEndpoint, ExpireEndpoint>;

} // namespace figchute::fleet
