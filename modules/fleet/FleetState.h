#pragma once

#include "fleet/ConfigurationBook.h"
#include "fleet/EndpointBook.h"

namespace figchute::fleet {

/** The replicated state of this module, held by the state machine of the ledger. */
struct FleetState
{
  ConfigurationBook configuration;
  EndpointBook endpoints;

  MSGPACK_DEFINE(configuration, endpoints)
};

} // namespace figchute::fleet
