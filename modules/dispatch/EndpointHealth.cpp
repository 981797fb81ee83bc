#include "dispatch/EndpointHealth.h"

#include <fmt/format.h>
#include <utility>

namespace figchute::dispatch {
namespace {

std::optional<Fault> faultOf(Outcome outcome)
{
  switch (outcome) {
    case Outcome::serverError:
    case Outcome::notExecuted:
      return Fault::weak;
    case Outcome::timedOut:
    case Outcome::malformed:
      return Fault::strong;
    case Outcome::broken:
      return Fault::broken;
    case Outcome::wrongEndpoint:
    case Outcome::notConnected:
      return Fault::absent;
    case Outcome::answered:
    case Outcome::cancelled:
      break;
  }
  return std::nullopt;
}

} // namespace

void EndpointHealth::ended(Time now,
                           const RequestState& request,
                           const Send& send,
                           Endpoint& endpoint,
                           Outcome outcome,
                           bool full)
{
  const bool complete = outcome == Outcome::answered || outcome == Outcome::serverError ||
                        outcome == Outcome::notExecuted;
  if (complete) {
    crashes_.endpointAnswered(endpoint.place, send.sentAt);
  }
  if (outcome == Outcome::answered) {
    succeed(now, send, endpoint);
    return;
  }
  if (outcome == Outcome::broken && request.fingerprint != 0) {
    crashes_.suspect(now, endpoint.place, request.fingerprint);
  }
  if (outcome == Outcome::notConnected) {
    crashes_.endpointDown(now, endpoint.place);
  }
  const auto fault = faultOf(outcome);
  const bool explained = outcome == Outcome::notExecuted && full;
  if (fault && !explained && !send.overdue) {
    fail(now, send, endpoint, *fault, toString(outcome));
  } else if (send.trial) {
    endpoint.breaker.endTrial();
  }
}

void EndpointHealth::endedAtGone(Time now, const RequestState& request, Outcome outcome)
{
  if (outcome == Outcome::broken && request.fingerprint != 0) {
    crashes_.crashed(now, request.fingerprint);
  }
}

void EndpointHealth::silent(Time now, const Send& send, Endpoint& endpoint)
{
  fail(now, send, endpoint, Fault::strong, "silent");
}

void EndpointHealth::succeed(Time now, const Send& send, Endpoint& endpoint)
{
  // An endpoint that is out is judged by its trials: earlier requests may end well at one that
  // fails only some.
  if (endpoint.breaker.isOpen() && !send.trial) {
    return;
  }
  if (endpoint.breaker.recordSuccess(now)) {
    events_.push_back(fmt::format("endpoint {} is back", endpoint.record.id.value));
  }
}

void EndpointHealth::fail(Time now,
                          const Send& send,
                          Endpoint& endpoint,
                          Fault fault,
                          std::string_view reason)
{
  const bool wasOpen = endpoint.breaker.isOpen();
  if (wasOpen && !send.trial) {
    return;
  }
  endpoint.breaker.recordFailure(now, fault);
  if (!wasOpen) {
    const auto& service = endpoint.record.service;
    const auto most = endpoints_.ofService(service).size() / 2;
    if (!endpoint.breaker.wantsOpen(now) || endpoints_.openBreakers(service) >= most) {
      return;
    }
    events_.push_back(fmt::format("endpoint {} is out: {}", endpoint.record.id.value, reason));
  }
  endpoint.breaker.open(now);
}

std::vector<std::string> EndpointHealth::takeEvents()
{
  return std::exchange(events_, {});
}

} // namespace figchute::dispatch
