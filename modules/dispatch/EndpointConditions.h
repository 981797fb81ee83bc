#pragma once

#include "dispatch/BrittleEndpoints.h"
#include "dispatch/ConditionChanges.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/RateLimitShares.h"
#include "dispatch/RequestTable.h"
#include "dispatch/ServiceState.h"

#include <map>
#include <optional>

namespace figchute::dispatch {

/** Limits the requests to endpoints in a condition in which too many of them make an endpoint
   crash: cold and brittle ones. Thread safety: use one instance from one thread only. */
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

  /** Limits all cold endpoints and forgets brittle ones that were removed. Call it after the
      endpoints or the services have changed. */
  void update(Time now);

  /** Records the head of the answer to a send. */
  void recordHead(Time now, Send& send);

  /** Records the end of a send. */
  void recordEnd(Time now, const Send& send, Endpoint& endpoint, Outcome outcome);

  /** Records that an answer said that the endpoint is cold.
      @param remaining  at least 0 */
  void recordCold(Time now, const Send& send, Duration remaining);

  /** Records whether an answer of the endpoint itself said that it is brittle.
      @param maxRefusals  the refusals in a second that it survives; nothing if it did not say so */
  void recordBrittle(const Send& send, std::optional<double> maxRefusals);

  /** Returns whether the condition of an endpoint allows this process to send it a request. Limits
      of cold endpoints are those of RateLimitShares. */
  [[nodiscard]] bool maySend(Time now, const Endpoint& endpoint) const
  {
    return brittle_.maySend(now, endpoint);
  }

  /** Returns what changed since the last call. */
  ConditionChanges takeChanges()
  {
    return { limits_->cold().takeChanges(), brittle_.takeChanges(), brittle_.takeRefusals() };
  }

  /** Returns the brittle endpoints. */
  [[nodiscard]] BrittleEndpoints& brittle() { return brittle_; }

  /** Returns whether a send that was delayed may still be made. */
  [[nodiscard]] bool mayStillSend(Time now, const Send& send, const Endpoint& endpoint) const;

private:
  void limitWarmup(Time now, const Endpoint& endpoint);

  EndpointTable* endpoints_;
  const Services* services_;
  RateLimitShares* limits_;
  BrittleEndpoints brittle_;
};

} // namespace figchute::dispatch
