#pragma once

/** Sockets between the processes of the system: nng push and pull over TCP, authenticated
   envelopes, heartbeats, and reconnection of connections that have gone silent. */

#include "transport/DuplicateFilter.h"
#include "transport/PeerAddress.h"
#include "transport/Transport.h"
