#pragma once

#include "fleet/ConfigurationBook.h"
#include "fleet/EndpointBook.h"

namespace figchute::fleet {

/** The replicated state of the fleet: what the ledger's state machine holds for this module. */
struct FleetState
{
  ConfigurationBook configuration;
  EndpointBook endpoints;

  MSGPACK_DEFINE(configuration, endpoints)
};

} // namespace figchute::fleet
