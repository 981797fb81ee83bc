#pragma once

#include "dispatch/EndpointConditions.h"
#include "dispatch/EndpointRestrictions.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/RateLimitShares.h"
#include "dispatch/RequestInfo.h"

#include <optional>
#include <set>
#include <span>
#include <string>

namespace figchute::dispatch {

constexpr Duration kMinRetryAfter = std::chrono::milliseconds(50);
constexpr Duration kMaxRetryAfter = std::chrono::seconds(2);

/** Returns a refusal whose Retry-After lies within the limits and is at most a third of the time
    that the request has left. Thread safety: safe from any thread. */
Refusal makeRefusal(Time now,
                    const RequestInfo& requestInfo,
                    ErrorKind kind,
                    Duration retryAfter,
                    std::string detail);

/** Returns the key of an endpoint's rate limit. Thread safety: safe from any thread. */
RateLimitShares::EndpointKey rateLimitKeyOf(const Endpoint& endpoint);

/** Decides which endpoints accept requests, and why none of a service does.
    Thread safety: use one instance from one thread only. */
class EndpointAvailability
{
public:
  /** The arguments must outlive this object. */
  EndpointAvailability(EndpointTable& endpoints,
                       RateLimitShares& limits,
                       const EndpointRestrictions& restrictions,
                       const EndpointConditions& conditions)
    : endpoints_(&endpoints)
    , limits_(&limits)
    , restrictions_(&restrictions)
    , conditions_(&conditions)
  {
  }

  /** Replaces the evacuated zones, whose endpoints accept no requests. */
  void setEvacuatedZones(std::span<const ZoneId> zones);

  /** Returns whether neither the registry nor the answers of an endpoint forbid to send to it, nor
      an evacuation of its zone. */
  [[nodiscard]] bool acceptsRequests(Time now, const Endpoint& endpoint) const;

  /** Returns the same for a request, which may go on with a stream of one software version. */
  [[nodiscard]] bool acceptsRequest(Time now,
                                    const Endpoint& endpoint,
                                    const RequestInfo& requestInfo) const;

  /** Returns the time until the first back-off of a service's endpoints ends; zero if an endpoint
      accepts requests or none will. */
  [[nodiscard]] Duration timeUntilBackoffEnds(Time now, const ServiceName& service) const;

  /** Returns the refusal of a request for which there is no endpoint.
      @param serviceTime  mean time from send to end of the requests of the service */
  [[nodiscard]] Refusal refusalWithoutCandidate(Time now,
                                                const RequestInfo& requestInfo,
                                                Duration serviceTime) const;

  /** Returns the refusal of a request whose service has endpoints in evacuated zones only. */
  [[nodiscard]] std::optional<Refusal> refusalWhileEvacuated(Time now,
                                                             const RequestInfo& requestInfo) const;

  [[nodiscard]] bool isEvacuated(const ZoneId& zone) const
  {
    return evacuatedZones_.contains(zone);
  }

  /** Returns whether the endpoint accepts no new requests for good. */
  [[nodiscard]] bool isLeaving(const Endpoint& endpoint) const;

private:
  /** Returns the refusal while all endpoints of a service leave or asked for a back-off. */
  [[nodiscard]] Refusal refusalWhileRestricted(Time now, const RequestInfo& requestInfo) const;

  EndpointTable* endpoints_;
  RateLimitShares* limits_;
  const EndpointRestrictions* restrictions_;
  std::set<ZoneId> evacuatedZones_;
  const EndpointConditions* conditions_;
};

} // namespace figchute::dispatch
