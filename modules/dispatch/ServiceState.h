#pragma once

#include "dispatch/EndpointTable.h"
#include "dispatch/LimitedEngineSelector.h"
#include "dispatch/RepeatBudget.h"
#include "fleet/Configuration.h"

#include <cstddef>
#include <map>
#include <span>

namespace figchute::dispatch {

/** The state that a dispatcher keeps for one service. */
struct ServiceState
{
  static constexpr Duration kInitialServiceTime = std::chrono::milliseconds(500);

  fleet::ServiceSettings settings;
  RepeatBudget repeats;
  /** Mean time from send to end of answered requests. */
  Duration serviceTime = kInitialServiceTime;
  /** This process's share of the running requests of all processes; 0 before the first request. */
  double trafficShare = 0;
  LimitedEngineSelector limitedEngines{};

  /** Counts the time from send to end of an answered request. */
  void addServiceTime(Duration time);

  /** Updates and returns the traffic share, with a lower limit because estimates are divided by it.
      @param entryProcesses  number of entry processes, at least 1 */
  double updateTrafficShare(EndpointTable& endpoints, std::size_t entryProcesses);

  /** Returns whether the load of an endpoint explains that it refused a request. */
  [[nodiscard]] bool isLikelyFull(const Endpoint& endpoint) const;
};

/** Replaces the settings of all services. The state of those that remain is kept. */
void replaceServices(std::map<ServiceName, ServiceState>& states,
                     std::span<const fleet::ServiceSettings> services,
                     Duration repeatWindow);

} // namespace figchute::dispatch
