#pragma once

#include "fleet/ConfigurationStore.h"
#include "fleet/EndpointStore.h"

namespace figchute::fleet {

/** The replicated state of this module, held by the state machine of the ledger. */
struct FleetState
{
  ConfigurationStore configuration;
  EndpointStore endpoints;

  MSGPACK_DEFINE(configuration, endpoints)
};

} // namespace figchute::fleet
