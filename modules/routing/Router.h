#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "routing/Messages.h"
#include "routing/Policy.h"
#include "routing/RequestInfo.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <tl/expected.hpp>
#include <variant>
#include <vector>

namespace figchute::routing {

/** Identity and random seed of a router. */
struct RouterOptions
{
  ProcessId self;
  ZoneId zone;
  /** Seed of the random choices. Routers with the same seed and calls make the same decisions. */
  std::uint64_t seed = 1;
};

/** The result of a submission that was accepted. */
struct Accepted
{
  /** Expected waiting time in the queue. */
  Duration expectedWait{ 0 };
};

/** An action for the daemon to carry out. */
using Action = std::variant<Dispatch, Refused, CancelStream>;

/** Counters of one rank since the router was created. */
struct RankCounters
{
  std::uint64_t submitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t dispatched = 0;
  /** Requests whose first token arrived within the target. */
  std::uint64_t onTime = 0;
  std::uint64_t late = 0;
  std::uint64_t completed = 0;
  std::uint64_t failed = 0;
  std::uint64_t abandoned = 0;
  std::uint64_t retries = 0;
  std::uint64_t preempted = 0;
  std::uint64_t tokens = 0;
};

/** The state of an endpoint in a dump. */
struct EndpointView
{
  EndpointId id;
  std::string address;
  ZoneId zone;
  EndpointKind kind = EndpointKind::model;
  std::vector<ModelName> models;
  ServiceName service;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /** Requests of this VM in flight at the endpoint. */
  std::uint32_t ownInFlight = 0;
  /** Adaptive concurrency limit. */
  double limit = 0;
  /** Age of the last announcement. */
  Duration age{ 0 };
  bool leaving = false;
  bool ejected = false;
  bool checksFencing = false;
};

/** The state of a workspace in a dump. */
struct WorkspaceView
{
  WorkspaceId id;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  /** Exponentially decayed number of tokens served in the zone. */
  double servedTokens = 0;
};

/** The state of a router, as shown to operators. */
struct RouterDump
{
  std::array<RankCounters, kRankCount> ranks;
  std::array<std::uint32_t, kRankCount> queued{};
  std::vector<EndpointView> endpoints;
  std::vector<WorkspaceView> workspaces;
  std::uint64_t plainSubmitted = 0;
  std::uint64_t plainRefused = 0;
};

/** Decides when and to which endpoint each request is sent.

    The lifecycle of a request is: submit(); a Dispatch from takeActions(); firstToken() and
    progress() while the answer is streamed; finished() at the end. If an attempt fails, retry() is
    called instead of finished(). After a CancelStream the daemon calls cancelled(), and the request
    returns to the queue to be resumed. A Refused action, a refusal by submit() or an error from
    retry() ends the request, and its id must not be used in further calls.

    Plain calls are handled separately: they share no queue and no limit with model requests, and
    submit() dispatches them immediately, so that they are not delayed by a burst of model requests.

    Invariants that are checked in production too: no dispatch to an endpoint more than two seconds
    after the router received the announcement that it is leaving; no second dispatch of a
    non-repeatable request that may have been executed; no dispatch of a refused request; only
    requests in progress are finished.

    The router does no I/O and reads no clock. The time passed to calls must not decrease.
    Thread safety: use one instance from one thread at a time. */
class Router
{
public:
  /** Creates a router without endpoints and with the default policy.
      @param options  identity and random seed */
  explicit Router(RouterOptions options);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /** Sets ranks, weights and limits. Queued requests keep their deadlines.
      @param policy  weights must be above 0; minimum shares must sum to at most 1 */
  void setPolicy(Policy policy);

  /** Sets the VMs with which messages are exchanged.
      @see membership::Membership::peers() */
  void setPeers(Peers peers);

  /** Submits a new request.
      @param now   the current time
      @param requestInfo  the request; its id must not be in progress in this router
      @returns the expected wait, or a refusal: rate_limited, concurrency_limited, unknown_model,
      unknown_service, no_endpoint, deadline_unmeetable or overloaded. A refused request was not
      executed. */
  tl::expected<Accepted, Refusal> submit(Time now, RequestInfo requestInfo);

  /** Expires announcements, refuses requests that can no longer meet their targets, dispatches
      queued requests and prepares messages. Must be called every 5 to 50 ms. takeActions() must be
      called after this and every other call.
      @param now  the current time */
  void tick(Time now);

  /** Returns the actions since the last call, in order. */
  std::vector<Action> takeActions();

  /** Records the first token of a running request.
      @param now  the current time
      @param id   a dispatched request */
  void firstToken(Time now, const RequestId& id);

  /** Records progress of a running request.
      @param now     the current time
      @param id      a dispatched request
      @param tokens  generated tokens delivered so far over all attempts; never decreases */
  void progress(Time now, const RequestId& id, Tokens tokens);

  /** Ends a request. A queued request can only end with Outcome::abandoned.
      @param now      the current time
      @param id       a request in progress
      @param outcome  how it ended */
  void finished(Time now, const RequestId& id, Outcome outcome);

  /** Reports that a stream was cancelled as instructed by a CancelStream. The request returns to
      the queue and is resumed by a later Dispatch.
      @param now  the current time
      @param id   the request named by the CancelStream */
  void cancelled(Time now, const RequestId& id);

  /** Reports a failed attempt and requests another one at a different endpoint.
      @param now      the current time
      @param id       a dispatched request
      @param failure  how the attempt failed
      @returns the next dispatch, which takeActions() does not return as well; or an error that ends
      the request: outcome_unknown if a non-repeatable request may have been executed,
      endpoint_failed or endpoint_timeout if the retry budget or the number of attempts is
      exhausted, no_endpoint if no other endpoint is left */
  Expected<Dispatch> retry(Time now, const RequestId& id, AttemptFailure failure);

  /** Processes an announcement that an endpoint sent to this VM. The announcement of a leaving
      endpoint is forwarded to the other VMs immediately.
      @param now           the current time; becomes Announcement::announcedAt
      @param announcement  the announcement */
  void announce(Time now, Announcement announcement);

  /** Processes a message from another VM.
      @param now      the current time
      @param from     the sender
      @param message  the decoded message */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Returns the messages to send, in order, and clears them. */
  std::vector<OutgoingMessage> takeOutgoing();

  /** Returns the counters by rank. */
  [[nodiscard]] const std::array<RankCounters, kRankCount>& counters() const;

  /** Returns the endpoint at which a request is running, or nullopt if it is not running. */
  [[nodiscard]] std::optional<EndpointId> endpointOf(const RequestId& id) const;

  /** Returns the number of requests queued or in flight. */
  [[nodiscard]] std::size_t inProgress() const;

  /** Returns the state of the router for operators.
      @param now  the current time */
  [[nodiscard]] RouterDump dump(Time now) const;

private:
  class Core;
  std::unique_ptr<Core> core_;
};

} // namespace figchute::routing
