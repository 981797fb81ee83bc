#include "dispatch/EndpointConditions.h"

#include "dispatch/EndpointAvailability.h"

#include <algorithm>

namespace figchute::dispatch {

void EndpointConditions::update(Time now)
{
  for (const auto& [handle, endpoint] : endpoints_->all()) {
    limitWarmup(now, endpoint);
  }
}

void EndpointConditions::limitWarmup(Time now, const Endpoint& endpoint)
{
  const auto service = services_->find(endpoint.record.service);
  if (now < endpoint.warmupUntil && service != services_->end()) {
    const auto rate = service->second.settings.warmupPerS;
    limits_->cold().add(
      now, rateLimitKeyOf(endpoint), endpoint.record.id, endpoint.warmupUntil, rate);
  }
}

void EndpointConditions::recordHead(Time now, const Send& send)
{
  if (const auto* endpoint = endpoints_->find(send.handle)) {
    limits_->cold().recordArrival(now, rateLimitKeyOf(*endpoint), send.sentAt);
  }
}

void EndpointConditions::recordEnd(Time now,
                                   const Send& send,
                                   const Endpoint& endpoint,
                                   Outcome outcome)
{
  // A request that was given up may still arrive.
  if (outcome != Outcome::cancelled && outcome != Outcome::timedOut) {
    limits_->cold().recordArrival(now, rateLimitKeyOf(endpoint), send.sentAt);
  }
}

void EndpointConditions::recordCold(Time now, const Send& send, Duration remaining)
{
  if (auto* endpoint = endpoints_->find(send.handle)) {
    endpoint->warmupUntil = std::max(endpoint->warmupUntil, now + remaining);
    limitWarmup(now, *endpoint);
  }
}

bool EndpointConditions::mayStillSend(Time now, const Send& send, const Endpoint& endpoint) const
{
  return limits_->cold().mayStillSend(now, rateLimitKeyOf(endpoint), send.sentAt);
}

} // namespace figchute::dispatch
