#include "dispatch/ServiceState.h"

#include <algorithm>
#include <utility>

namespace figchute::dispatch {
namespace {

constexpr double kServiceTimeSmoothing = 0.05;
/** The load of an endpoint varies with each request, while the share of the traffic changes within
    minutes. */
constexpr double kTrafficShareSmoothing = 0.02;
/** Lower limit of the share, because estimates are divided by it. */
constexpr double kMinTrafficShare = 0.01;

} // namespace

void ServiceState::addServiceTime(Duration time)
{
  const auto differenceMicros = static_cast<double>((time - serviceTime).count());
  serviceTime += Duration(static_cast<std::int64_t>(kServiceTimeSmoothing * differenceMicros));
}

double ServiceState::updateTrafficShare(EndpointTable& endpoints, std::size_t entryProcesses)
{
  double ownRequests = 0;
  double allRequests = 0;
  for (const auto handle : endpoints.handlesOf(settings.name)) {
    const auto& endpoint = *endpoints.find(handle);
    ownRequests += endpoint.load.ownRequests();
    allRequests += endpoint.load.current();
  }
  if (trafficShare <= 0) {
    trafficShare = 1.0 / static_cast<double>(entryProcesses);
  }
  if (allRequests > 0) {
    trafficShare += kTrafficShareSmoothing * (ownRequests / allRequests - trafficShare);
  }
  return std::max(trafficShare, kMinTrafficShare);
}

bool ServiceState::isLikelyFull(const Endpoint& endpoint) const
{
  constexpr double kNearlyFullRatio = 0.8;
  constexpr double kCapacityPerSlot = 4;
  const double capacity = endpoint.slots * (settings.engine ? kCapacityPerSlot : 1);
  return endpoint.load.current() + 1 >= kNearlyFullRatio * capacity;
}

void replaceServices(std::map<ServiceName, ServiceState>& states,
                     std::span<const fleet::ServiceSettings> services,
                     Duration repeatWindow)
{
  std::map<ServiceName, ServiceState> newStates;
  for (const auto& service : services) {
    const auto previous = states.find(service.name);
    auto state = previous == states.end() ? ServiceState{ service, RepeatBudget(repeatWindow) }
                                          : previous->second;
    state.settings = service;
    newStates.emplace(service.name, std::move(state));
  }
  states = std::move(newStates);
}

} // namespace figchute::dispatch
