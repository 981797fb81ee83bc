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
  for (auto timeout = timeouts_.rbegin(); timeout != timeouts_.rend(); ++timeout) {
    if (timeout->at < windowStart) {
      break;
    }
    endpoints.insert(timeout->endpoint);
    if (endpoints.size() >= kMinEndpoints) {
      return true;
    }
  }
  return false;
}

} // namespace figchute::router
