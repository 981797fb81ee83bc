#include "dispatch/TrafficShare.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** The load of an endpoint varies with each request, while the share of the traffic changes within
    minutes. */
constexpr double kSmoothing = 0.02;
/** Lower limit of the share, because estimates are divided by it. */
constexpr double kMinShare = 0.01;

} // namespace

double TrafficShare::update(EndpointTable& endpoints,
                            const ServiceName& service,
                            std::size_t entryProcesses)
{
  double ownRequests = 0;
  double allRequests = 0;
  for (const auto handle : endpoints.handlesOf(service)) {
    const auto& endpoint = *endpoints.find(handle);
    ownRequests += endpoint.load.ownRequests();
    allRequests += endpoint.load.current();
  }
  if (share_ <= 0) {
    share_ = 1.0 / static_cast<double>(entryProcesses);
  }
  if (allRequests > 0) {
    share_ += kSmoothing * (ownRequests / allRequests - share_);
  }
  return std::max(share_, kMinShare);
}

} // namespace figchute::dispatch
