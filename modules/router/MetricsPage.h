#pragma once

#include "core/core.h"
#include "http/http.h"

#include <string>

namespace figchute::router {

/** Writes counters and latency histograms in the Prometheus text format. Safe from any thread. */
std::string metricsText(const Metrics& metrics);

/** Answers a request with metricsText(). */
void answerMetrics(http::ServerRequest& request, const Metrics& metrics);

} // namespace figchute::router
