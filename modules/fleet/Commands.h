#pragma once

#include "fleet/Endpoint.h"

#include <cstdint>
#include <variant>

namespace figchute::fleet {

/** Adds an endpoint to the registry or changes its record. Idempotent by (id, startedAtMs,
    sequence). */
struct PutEndpoint
{
  Announcement announcement;

  MSGPACK_DEFINE(announcement)
};

/** Removes an endpoint that shuts down. Idempotent by (id, startedAtMs). */
struct RemoveEndpoint
{
  EndpointId id;
  /** The newest incarnation that the proposing process knows; 0 if it knows none, which removes the
      incarnation that is registered. */
  std::int64_t startedAtMs = 0;
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(id, startedAtMs, sequence)
};

/** Removes an endpoint that stopped announcing itself. Idempotent by (id, startedAtMs, sequence).
 */
struct ExpireEndpoint
{
  EndpointId id;
  std::int64_t startedAtMs = 0;
  /** The highest sequence received; a record with a higher one is kept. */
  std::uint64_t sequence = 0;

  MSGPACK_DEFINE(id, startedAtMs, sequence)
};

/** Evacuates an availability zone or returns it to service. Idempotent by id: a copy that is
    committed after a later order would otherwise undo that one. */
struct SetEvacuation
{
  ZoneId zone;
  /** Whether the zone is evacuated from now on. */
  bool active = false;
  /** Identifies the order. An order that an operator sends again has another id. */
  std::uint64_t id = 0;

  MSGPACK_DEFINE(zone, active, id)
};

/** A command that changes the endpoint registry. */
using EndpointCommand = std::variant<PutEndpoint, RemoveEndpoint, ExpireEndpoint>;

} // namespace figchute::fleet
