#pragma once

#include "core/core.h"
#include "entry/entry.h"
#include "routing/routing.h"
#include "transport/transport.h"
#include "json/json.h"

#include <span>

namespace figchuted {

/** Describes the service by rank and workspace. */
figchute::json::Value describeService(const figchute::routing::RouterDump& dump);

/** Describes the endpoints that a process knows. */
figchute::json::Value describeEndpoints(const figchute::routing::RouterDump& dump);

/** Describes grants, requests, members and quarantine of an entry VM. */
figchute::json::Value describeEntry(const figchute::entry::EntryDump& dump);

/** Describes the connections to other processes. */
figchute::json::Value describePeers(std::span<const figchute::transport::PeerStatus> peers);

/** Describes counters and latencies. */
figchute::json::Value describeMetrics(const figchute::Metrics& metrics);

} // namespace figchuted
