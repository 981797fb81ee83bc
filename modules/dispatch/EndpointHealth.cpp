#include "dispatch/EndpointHealth.h"

#include <fmt/format.h>
#include <utility>

namespace figchute::dispatch {
namespace {

std::optional<FailureKind> failureKindOf(Outcome outcome)
{
  switch (outcome) {
    case Outcome::serverError:
    case Outcome::notExecuted:
      return FailureKind::weak;
    case Outcome::timedOut:
    case Outcome::malformed:
      return FailureKind::strong;
    case Outcome::broken:
    case Outcome::unconfirmedEnd:
      return FailureKind::connectionLost;
    case Outcome::wrongEndpoint:
    case Outcome::notConnected:
      return FailureKind::unreachable;
    case Outcome::answered:
    case Outcome::cancelled:
    case Outcome::withdrawn:
      break;
  }
  return std::nullopt;
}

} // namespace

std::optional<Refusal> EndpointHealth::refuseCrashing(Time now, const RequestInfo& requestInfo)
{
  const auto refusal = crashes_.refusal(now, crashCandidatesOf(requestInfo));
  if (!refusal) {
    return std::nullopt;
  }
  if (refusal->isPart) {
    return Refusal{ ErrorKind::quarantinedPart,
                    refusal->remaining,
                    "a part of the prompt crashed several endpoints" };
  }
  return Refusal{ ErrorKind::quarantined,
                  refusal->remaining,
                  "the request crashed several endpoints" };
}

void EndpointHealth::recordEnd(Time now,
                               const RequestState& request,
                               const Send& send,
                               Endpoint& endpoint,
                               Outcome outcome,
                               bool endpointFull)
{
  const bool hasCompleteAnswer = outcome == Outcome::answered || outcome == Outcome::serverError ||
                                 outcome == Outcome::notExecuted;
  if (hasCompleteAnswer) {
    crashes_.clearSuspects(endpoint.handle, send.sentAt);
  }
  if (outcome == Outcome::answered) {
    crashes_.recordAnswer(now, request.crashCandidates);
    recordSuccess(now, send, endpoint);
    return;
  }
  // An endpoint that drains may close its listening socket before its last answers end.
  const bool isDraining = endpoint.record.state == fleet::EndpointState::draining;
  const bool isLost =
    outcome == Outcome::broken || (outcome == Outcome::unconfirmedEnd && !isDraining);
  if (isLost) {
    recordLostConnection(now, request, send, endpoint);
  }
  if (outcome == Outcome::notConnected) {
    crashes_.confirmSuspects(now, endpoint.handle);
  }
  const auto failureKind = failureKindOf(outcome);
  const bool isExplainedByLoad = outcome == Outcome::notExecuted && endpointFull;
  if (failureKind && !isExplainedByLoad && !send.overdue) {
    recordFailure(now, send, endpoint, *failureKind, toString(outcome));
  } else if (send.trial) {
    endpoint.breaker.abandonTrial();
  }
}

void EndpointHealth::recordLostConnection(Time now,
                                          const RequestState& request,
                                          const Send& send,
                                          const Endpoint& endpoint)
{
  const bool isProbed = crashes_.hasSuspects(endpoint.handle);
  addSuspect(now, request, send);
  if (!isProbed && crashes_.hasSuspects(endpoint.handle)) {
    probes_.push_back({ endpoint.handle, endpoint.record.address });
  }
}

void EndpointHealth::recordEndAfterRemoval(Time now,
                                           const RequestState& request,
                                           const Send& send,
                                           Outcome outcome)
{
  if (outcome == Outcome::broken) {
    addSuspect(now, request, send);
    crashes_.confirmSuspects(now, send.handle);
  }
}

void EndpointHealth::addSuspect(Time now, const RequestState& request, const Send& send)
{
  const bool isAnswering = send.progressCount > 1;
  crashes_.addSuspect(now, { send.handle, send.incarnation }, request.crashCandidates, isAnswering);
}

void EndpointHealth::recordProbe(Time now, std::size_t handle, ProbeResult result)
{
  if (result == ProbeResult::refused) {
    crashes_.confirmSuspects(now, handle);
  } else if (result == ProbeResult::connected) {
    crashes_.clearSuspects(handle, now);
  }
}

void EndpointHealth::recordSilence(Time now, const Send& send, Endpoint& endpoint)
{
  recordFailure(now, send, endpoint, FailureKind::strong, "silent");
}

void EndpointHealth::recordSuccess(Time now, const Send& send, Endpoint& endpoint)
{
  // While a breaker is open, only trials count: a request sent before the opening may succeed at an
  // endpoint that fails only some requests.
  if (endpoint.breaker.isOpen() && !send.trial) {
    return;
  }
  if (endpoint.breaker.recordSuccess(now)) {
    events_.push_back(fmt::format("endpoint {} is back in rotation", endpoint.record.id.value));
  }
}

void EndpointHealth::recordFailure(Time now,
                                   const Send& send,
                                   Endpoint& endpoint,
                                   FailureKind kind,
                                   std::string_view reason)
{
  const bool wasOpen = endpoint.breaker.isOpen();
  if (wasOpen && !send.trial) {
    return;
  }
  endpoint.breaker.recordFailure(now, kind);
  if (!wasOpen) {
    if (!endpoint.breaker.shouldOpen(now) || !mayOpenBreaker(endpoint.record.service)) {
      return;
    }
    // figchute-trace finds these lines by the word "out" (modules/trace/RequestTrace.cpp).
    events_.push_back(
      fmt::format("endpoint {} is out of rotation: {}", endpoint.record.id.value, reason));
  }
  endpoint.breaker.open(now);
}

bool EndpointHealth::mayOpenBreaker(const ServiceName& service)
{
  std::size_t endpointsInUse = 0;
  std::size_t openBreakers = 0;
  for (const auto handle : endpoints_.handlesOf(service)) {
    const auto& endpoint = *endpoints_.find(handle);
    if (!availability_.isEvacuated(endpoint.record.zone)) {
      ++endpointsInUse;
      openBreakers += endpoint.breaker.isOpen() ? 1 : 0;
    }
  }
  return openBreakers < endpointsInUse / 2;
}

std::vector<EndpointProbe> EndpointHealth::takeProbes()
{
  return std::exchange(probes_, {});
}

std::vector<std::string> EndpointHealth::takeEvents()
{
  return std::exchange(events_, {});
}

} // namespace figchute::dispatch
