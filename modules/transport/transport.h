#pragma once

/** Sockets between the processes of the system: nng push and pull sockets over TCP, authenticated
    envelopes, heartbeats, and reconnection of peers that no longer acknowledge heartbeats. */

#include "transport/DuplicateFilter.h"
#include "transport/PeerAddress.h"
#include "transport/Transport.h"
