#include "dispatch/EndpointConditions.h"

#include "dispatch/EndpointAvailability.h"

#include <algorithm>
#include <utility>

namespace figchute::dispatch {

void EndpointConditions::update(Time now)
{
  for (const auto& [handle, endpoint] : endpoints_->all()) {
    limitWarmup(now, endpoint);
  }
  brittle_.retain(*endpoints_);
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

void EndpointConditions::recordHead(Time now, Send& send)
{
  auto* endpoint = endpoints_->find(send.handle);
  if (endpoint != nullptr && !std::exchange(send.headReceived, true)) {
    --endpoint->unansweredSends;
    limits_->cold().recordArrival(now, rateLimitKeyOf(*endpoint), send.sentAt);
  }
}

void EndpointConditions::recordEnd(Time now, const Send& send, Endpoint& endpoint, Outcome outcome)
{
  endpoint.unansweredSends -= send.headReceived ? 0 : 1;
  if (outcome == Outcome::notExecuted) {
    brittle_.recordRefusal(now, endpoint);
  }
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

void EndpointConditions::recordBrittle(const Send& send, std::optional<double> maxRefusals)
{
  if (const auto* endpoint = endpoints_->find(send.handle)) {
    brittle_.recordAnswer(*endpoint, send.sentAt, maxRefusals);
  }
}

bool EndpointConditions::mayStillSend(Time now, const Send& send, const Endpoint& endpoint) const
{
  return limits_->cold().mayStillSend(now, rateLimitKeyOf(endpoint), send.sentAt);
}

} // namespace figchute::dispatch
