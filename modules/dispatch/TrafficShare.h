#pragma once

#include "core/Types.h"
#include "dispatch/EndpointTable.h"

#include <cstddef>

namespace figchute::dispatch {

/** Estimates this process's share of the running requests of all processes of a service.
    Thread safety: use one instance from one thread only. */
class TrafficShare
{
public:
  /** Updates the share from the loads of a service's endpoints and returns it.
      @param entryProcesses  number of entry processes, at least 1 */
  double update(EndpointTable& endpoints, const ServiceName& service, std::size_t entryProcesses);

private:
  /** 0 before the first request. */
  double share_ = 0;
};

} // namespace figchute::dispatch
