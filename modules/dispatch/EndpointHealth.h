#pragma once

#include "dispatch/CrashTable.h"
#include "dispatch/EndpointAvailability.h"
#include "dispatch/EndpointProbe.h"
#include "dispatch/EndpointTable.h"
#include "dispatch/RequestInfo.h"
#include "dispatch/RequestTable.h"

#include <optional>
#include <string>
#include <vector>

namespace figchute::dispatch {

/** Tracks the health of endpoints from the outcomes of sends. It opens and closes circuit breakers,
    for at most half of the endpoints of a service, and distinguishes crashes from lost answers.
    Thread safety: use one instance from one thread only. */
class EndpointHealth
{
public:
  /** The arguments must outlive this object. */
  EndpointHealth(EndpointTable& endpoints, const EndpointAvailability& availability)
    : endpoints_(endpoints)
    , availability_(availability)
  {
  }

  /** Returns the refusal of a request that would probably crash its endpoint. */
  std::optional<Refusal> refuseCrashing(Time now, const RequestInfo& requestInfo);

  /** Records the end of a send.
      @param endpointFull  whether the endpoint refused the request because it was probably full */
  void recordEnd(Time now,
                 const RequestState& request,
                 const Send& send,
                 Endpoint& endpoint,
                 Outcome outcome,
                 bool endpointFull);

  /** Records the first byte of an answer. */
  void firstByteReceived(const Send& send) { crashes_.clearSuspects(send.handle, send.sentAt); }

  /** Records output tokens that follow the first ones of an answer. */
  void answerContinues(Time now, const RequestState& request)
  {
    crashes_.recordAnswer(now, request.crashCandidates);
  }

  /** Records the result of a connection attempt that was made because of a suspected crash. */
  void recordProbe(Time now, std::size_t handle, ProbeResult result);

  /** Records that a send received no bytes for too long. */
  void recordSilence(Time now, const Send& send, Endpoint& endpoint);

  /** Records that an endpoint left the registry or was restarted. */
  void recordRemoval(Time now, std::size_t handle) { crashes_.confirmSuspects(now, handle); }

  /** Records the end of a send whose endpoint had been removed before. */
  void recordEndAfterRemoval(Time now,
                             const RequestState& request,
                             const Send& send,
                             Outcome outcome);

  /** Returns the table of requests that crash endpoints. */
  [[nodiscard]] CrashTable& crashes() { return crashes_; }

  /** Returns the endpoints that may have crashed and have not been returned yet. */
  std::vector<EndpointProbe> takeProbes();

  /** Returns the log lines since the last call. */
  std::vector<std::string> takeEvents();

private:
  void recordSuccess(Time now, const Send& send, Endpoint& endpoint);
  void recordLostConnection(Time now,
                            const RequestState& request,
                            const Send& send,
                            const Endpoint& endpoint);
  void addSuspect(Time now, const RequestState& request, const Send& send);
  void recordFailure(Time now,
                     const Send& send,
                     Endpoint& endpoint,
                     FailureKind kind,
                     std::string_view reason);

  /** Returns whether less than half of the endpoints of a service have an open breaker. Those of
      evacuated zones do not count: their breakers stay open, because they get no trials. */
  [[nodiscard]] bool mayOpenBreaker(const ServiceName& service);

  EndpointTable& endpoints_;
  const EndpointAvailability& availability_;
  CrashTable crashes_;
  std::vector<EndpointProbe> probes_;
  std::vector<std::string> events_;
};

} // namespace figchute::dispatch
