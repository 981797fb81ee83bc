#pragma once

#include "core/core.h"
#include "entry/entry.h"
#include "routing/routing.h"
#include "transport/transport.h"
#include "json/json.h"

#include <span>

namespace figchuted {

/** Returns the service by rank and workspace as JSON. */
figchute::json::Value describeService(const figchute::routing::RouterDump& dump);

/** Returns the endpoints registered with a process as JSON. */
figchute::json::Value describeEndpoints(const figchute::routing::RouterDump& dump);

/** Returns the grants, requests, members and quarantine of an entry VM as JSON. */
figchute::json::Value describeEntry(const figchute::entry::EntryDump& dump);

/** Returns the connections to other processes as JSON. */
figchute::json::Value describePeers(std::span<const figchute::transport::PeerStatus> peers);

/** Returns the counters and latencies as JSON. */
figchute::json::Value describeMetrics(const figchute::Metrics& metrics);

} // namespace figchuted
