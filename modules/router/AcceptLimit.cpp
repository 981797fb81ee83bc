#include "router/AcceptLimit.h"

#include <algorithm>

namespace figchute::router {

int AcceptLimit::backlog(double bytesPerSecond, int maxBacklog) const
{
  constexpr double kMicrosPerSecond = 1e6;
  const auto seconds = static_cast<double>(maxQueueTime.count()) / kMicrosPerSecond;
  const auto requests = bytesPerSecond * seconds / kRequestBytes;
  return static_cast<int>(std::clamp<double>(requests, minBacklog, maxBacklog));
}

} // namespace figchute::router
