#pragma once

/** Configurations, routes and the endpoint registry of the router daemon: types, replicated state
    and the protocol between entry and control processes. The module does no I/O and reads no clock.
 */

#include "fleet/AnnouncementTracker.h"
#include "fleet/ByteDelta.h"
#include "fleet/Commands.h"
#include "fleet/Configuration.h"
#include "fleet/ConfigurationStore.h"
#include "fleet/Endpoint.h"
#include "fleet/EndpointStore.h"
#include "fleet/EvacuationStore.h"
#include "fleet/FleetPublisher.h"
#include "fleet/FleetState.h"
#include "fleet/FleetSubscriber.h"
#include "fleet/Messages.h"
#include "fleet/RateLimitStore.h"
#include "fleet/RouteTable.h"
#include "fleet/StreamOriginClient.h"
#include "fleet/StreamOriginServer.h"
