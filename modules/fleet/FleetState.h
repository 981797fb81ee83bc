#pragma once

#include "fleet/ConfigurationStore.h"
#include "fleet/EndpointStore.h"
#include "fleet/EvacuationStore.h"

namespace figchute::fleet {

/** The replicated state of this module, held by the state machine of the ledger. */
struct FleetState
{
  ConfigurationStore configuration;
  EndpointStore endpoints;
  /** Empty in snapshots of earlier releases. */
  EvacuationStore evacuations{};

  MSGPACK_DEFINE(configuration, endpoints, evacuations)
};

} // namespace figchute::fleet
