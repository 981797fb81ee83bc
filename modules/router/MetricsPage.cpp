#include "router/MetricsPage.h"

#include <fmt/format.h>

namespace figchute::router {
namespace {

} // namespace

std::string metricsText(const Metrics& metrics)
{
  std::string text;
  const auto out = std::back_inserter(text);
  for (const auto& [name, value] : metrics.counters()) {
    fmt::format_to(out, "figchute_{}_total {}\n", name, value);
  }
  for (const auto& [name, value] : metrics.gauges()) {
    fmt::format_to(out, "figchute_{} {}\n", name, value);
  }
  for (const auto& [name, summary] : metrics.latencies()) {
    fmt::format_to(
      out, "figchute_{}_seconds{{quantile=\"0.5\"}} {}\n", name, toSeconds(summary.median));
    fmt::format_to(
      out, "figchute_{}_seconds{{quantile=\"0.95\"}} {}\n", name, toSeconds(summary.p95));
    fmt::format_to(
      out, "figchute_{}_seconds{{quantile=\"0.99\"}} {}\n", name, toSeconds(summary.p99));
    fmt::format_to(out, "figchute_{}_seconds_count {}\n", name, summary.count);
  }
  return text;
}

void sendMetrics(http::ServerRequest& request, const Metrics& metrics)
{
  http::ResponseHead head;
  head.fields.add("Content-Type", "text/plain; version=0.0.4");
  request.respond(head, metricsText(metrics));
}

} // namespace figchute::router
