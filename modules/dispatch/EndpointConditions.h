#pragma once

#include "dispatch/EndpointTable.h"
#include "dispatch/RateLimitShares.h"
#include "dispatch/RequestTable.h"
#include "dispatch/ServiceState.h"

#include <map>

namespace figchute::dispatch {

/** Limits the requests to endpoints in a condition in which too many of them make an endpoint
   crash: cold ones. Thread safety: use one instance from one thread only. */
class EndpointConditions
{
public:
  using Services = std::map<ServiceName, ServiceState>;

  /** The arguments must outlive this object. */
  EndpointConditions(EndpointTable& endpoints, const Services& services, RateLimitShares& limits)
    : endpoints_(&endpoints)
    , services_(&services)
    , limits_(&limits)
  {
  }

  /** Limits all cold endpoints. Call it after the endpoints or the services have changed. */
  void update(Time now);

  /** Records the head of the answer to a send. */
  void recordHead(Time now, const Send& send);

  /** Records the end of a send. */
  void recordEnd(Time now, const Send& send, const Endpoint& endpoint, Outcome outcome);

  /** Records that an answer said that the endpoint is cold.
      @param remaining  at least 0 */
  void recordCold(Time now, const Send& send, Duration remaining);

  /** Returns whether a send that was delayed may still be made. */
  [[nodiscard]] bool mayStillSend(Time now, const Send& send, const Endpoint& endpoint) const;

private:
  void limitWarmup(Time now, const Endpoint& endpoint);

  EndpointTable* endpoints_;
  const Services* services_;
  RateLimitShares* limits_;
};

} // namespace figchute::dispatch
