#pragma once

#include "core/core.h"
#include "http/http.h"

#include <string>

namespace figchute::router {

/** Formats counters and latency summaries in the Prometheus text format. Thread safety: safe from
 * any thread. */
std::string metricsText(const Metrics& metrics);

/** Responds to a request with metricsText(). */
void sendMetrics(http::ServerRequest& request, const Metrics& metrics);

} // namespace figchute::router
