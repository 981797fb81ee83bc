#include "router/LinkMonitor.h"

#include <set>

namespace figchute::router {

void LinkMonitor::connectTimedOut(Time now, const EndpointId& endpoint)
{
  while (!timeouts_.empty() && timeouts_.front().at + kWindow < now) {
    timeouts_.pop_front();
  }
  timeouts_.push_back({ now, endpoint });
}

void LinkMonitor::answered(Time now, Duration elapsed)
{
  if (elapsed <= kPromptAnswer) {
    lastPromptAnswer_ = now;
  }
}

bool LinkMonitor::isCongested(Time now) const
{
  const Time windowStart = now - kWindow;
  if (lastPromptAnswer_ >= windowStart) {
    return false;
  }
  std::set<EndpointId> endpoints;
  for (const auto& timeout : timeouts_) {
    if (timeout.at >= windowStart) {
      endpoints.insert(timeout.endpoint);
    }
  }
  return endpoints.size() >= kMinEndpoints;
}

} // namespace figchute::router
