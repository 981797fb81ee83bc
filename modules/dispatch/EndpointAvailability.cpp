#include "dispatch/EndpointAvailability.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace figchute::dispatch {

Refusal makeRefusal(Time now,
                    const RequestInfo& requestInfo,
                    ErrorKind kind,
                    Duration retryAfter,
                    std::string detail)
{
  const auto clampedRetryAfter = std::clamp(retryAfter, kMinRetryAfter, kMaxRetryAfter);
  const auto maxRetryAfter = std::max((requestInfo.deadline - now) / 3, Duration(0));
  return { kind, std::min(clampedRetryAfter, maxRetryAfter), std::move(detail) };
}

RateLimitShares::EndpointKey rateLimitKeyOf(const Endpoint& endpoint)
{
  return { endpoint.incarnation, endpoint.record.zone };
}

void EndpointAvailability::setEvacuatedZones(std::span<const ZoneId> zones)
{
  evacuatedZones_ = { zones.begin(), zones.end() };
}

bool EndpointAvailability::acceptsRequests(Time now, const Endpoint& endpoint) const
{
  return endpoint.record.state == fleet::EndpointState::ready &&
         !isEvacuated(endpoint.record.zone) && restrictions_->maySend(now, endpoint.incarnation);
}

bool EndpointAvailability::acceptsRequest(Time now,
                                          const Endpoint& endpoint,
                                          const RequestInfo& requestInfo) const
{
  const auto& version = requestInfo.softwareVersion;
  return (!version || endpoint.record.softwareVersion == *version) &&
         acceptsRequests(now, endpoint);
}

bool EndpointAvailability::isLeaving(const Endpoint& endpoint) const
{
  return endpoint.record.state != fleet::EndpointState::ready ||
         isEvacuated(endpoint.record.zone) || restrictions_->isLeaving(endpoint.incarnation);
}

Duration EndpointAvailability::timeUntilBackoffEnds(Time now, const ServiceName& service) const
{
  std::optional<Time> firstEnd;
  for (const auto handle : endpoints_->handlesOf(service)) {
    const auto& endpoint = *endpoints_->find(handle);
    if (acceptsRequests(now, endpoint)) {
      return Duration(0);
    }
    const auto end = restrictions_->backoffEnd(now, endpoint.incarnation);
    if (end && !isLeaving(endpoint)) {
      firstEnd = firstEnd ? std::min(*firstEnd, *end) : *end;
    }
  }
  return firstEnd ? *firstEnd - now : Duration(0);
}

Refusal EndpointAvailability::refusalWithoutCandidate(Time now,
                                                      const RequestInfo& requestInfo,
                                                      Duration serviceTime) const
{
  if (auto refusal = refusalWhileEvacuated(now, requestInfo)) {
    return std::move(*refusal);
  }
  bool hasConnectionInUse = false;
  bool isRateLimited = false;
  bool isBrittle = false;
  bool hasAcceptingEndpoint = false;
  auto retryAfter = kMaxRetryAfter;
  for (const auto handle : endpoints_->handlesOf(requestInfo.service)) {
    const auto& endpoint = *endpoints_->find(handle);
    if (!acceptsRequest(now, endpoint, requestInfo)) {
      continue;
    }
    hasAcceptingEndpoint = true;
    const auto nextSendAt = limits_->nextSendAt(now, rateLimitKeyOf(endpoint));
    if (endpoint.breaker.isOpen()) {
      retryAfter = std::min(retryAfter, endpoint.breaker.nextTrialAt() - now);
    } else if (nextSendAt != now) {
      isRateLimited = true;
      retryAfter = std::min(retryAfter, nextSendAt ? *nextSendAt - now : kMaxRetryAfter);
    } else if (!conditions_->maySend(now, endpoint)) {
      isBrittle = true;
    } else if (endpoint.load.ownRequests() > 0) {
      hasConnectionInUse = true;
    }
  }
  const auto refusal = [&](ErrorKind kind, Duration wait, std::string detail) {
    return makeRefusal(now, requestInfo, kind, wait, std::move(detail));
  };
  if (!hasAcceptingEndpoint && requestInfo.softwareVersion) {
    return { ErrorKind::resumeUnavailable,
             Duration(0),
             "no endpoint of the software version that began the stream is in service" };
  }
  if (!hasAcceptingEndpoint) {
    return refusalWhileRestricted(now, requestInfo);
  }
  if (hasConnectionInUse) {
    return refusal(ErrorKind::overloaded, serviceTime / 4, "all connections are in use");
  }
  if (isRateLimited) {
    return refusal(
      ErrorKind::overloaded, retryAfter, "the rate limits of the endpoints are used up");
  }
  if (isBrittle) {
    return refusal(ErrorKind::overloaded, serviceTime / 4, "the brittle endpoints are full");
  }
  return refusal(ErrorKind::noEndpoint, retryAfter, "no endpoint is available");
}

std::optional<Refusal> EndpointAvailability::refusalWhileEvacuated(
  Time now,
  const RequestInfo& requestInfo) const
{
  const auto handles = endpoints_->handlesOf(requestInfo.service);
  const auto isInEvacuatedZone = [this](std::size_t handle) {
    return isEvacuated(endpoints_->find(handle)->record.zone);
  };
  if (evacuatedZones_.empty() || handles.empty() ||
      !std::all_of(handles.begin(), handles.end(), isInEvacuatedZone)) {
    return std::nullopt;
  }
  auto refusal = makeRefusal(now,
                             requestInfo,
                             ErrorKind::noEndpoint,
                             kMaxRetryAfter,
                             "all zones with endpoints of the service are evacuated");
  refusal.isEvacuated = true;
  return refusal;
}

Refusal EndpointAvailability::refusalWhileRestricted(Time now, const RequestInfo& requestInfo) const
{
  const auto backoff = timeUntilBackoffEnds(now, requestInfo.service);
  if (backoff == Duration(0)) {
    return makeRefusal(
      now, requestInfo, ErrorKind::noEndpoint, kMaxRetryAfter, "no endpoint is available");
  }
  return { ErrorKind::overloaded,
           std::min(backoff, requestInfo.deadline - now),
           "all endpoints asked for a back-off" };
}

} // namespace figchute::dispatch
