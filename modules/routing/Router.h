#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "routing/Messages.h"
#include "routing/Policy.h"
#include "routing/Work.h"

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

/** Identity of the process that owns a router. */
struct RouterOptions
{
  ProcessId self;
  ZoneId zone;
  /** Seeds the random choices; the same calls then give the same result. */
  std::uint64_t seed = 1;
};

/** The answer to an accepted submission. */
struct Accepted
{
  /** Expected time in the queue. */
  Duration expectedWait{ 0 };
};

/** What the daemon has to do. */
using Action = std::variant<Dispatch, Refused, CancelStream>;

/** Counters of one rank since the start. */
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

/** One endpoint in a dump. */
struct EndpointView
{
  EndpointId id;
  std::string address;
  ZoneId zone;
  WorkKind kind = WorkKind::model;
  std::vector<ModelName> models;
  ServiceName service;
  std::uint32_t slots = 0;
  std::uint32_t running = 0;
  std::uint32_t waiting = 0;
  /** Requests of this VM in flight. */
  std::uint32_t ownInFlight = 0;
  /** Adapted concurrency limit. */
  double limit = 0;
  Duration age{ 0 };
  bool leaving = false;
  bool ejected = false;
  bool checksFencing = false;
};

/** Service and share of one workspace in a dump. */
struct WorkspaceView
{
  WorkspaceId id;
  std::uint32_t queued = 0;
  std::uint32_t running = 0;
  /** Decayed tokens served in the zone. */
  double servedTokens = 0;
};

/** The whole state of a router for operators. */
struct RouterDump
{
  std::array<RankCounters, kRankCount> ranks;
  std::array<std::uint32_t, kRankCount> queued{};
  std::vector<EndpointView> endpoints;
  std::vector<WorkspaceView> workspaces;
  std::uint64_t plainSubmitted = 0;
  std::uint64_t plainRefused = 0;
};

/** Decides which request goes when to which endpoint.

    A request passes these calls: submit(); a Dispatch from takeActions(); firstToken() and
    progress() while the answer streams; finished() at its end. When an attempt fails, retry() takes
    the place of finished(). After a CancelStream the daemon calls cancelled(), and the work goes
    back to the queue to be resumed. A Refused action, a refusal by submit() and an error from
    retry() end the request; no further call may name it.

    Plain calls take a path of their own: they share no queue and no limit with model work and are
    dispatched by the submit() call itself, so that lookups continue during a flood.

    Shipped invariants: no dispatch to an endpoint later than two seconds after the router learned
    that it leaves; no second dispatch of non-repeatable work that may have run; no dispatch of
    refused work; every finished id is known.

    The router does no I/O and reads no clock. Calls must pass a time that never goes back.
    Thread safety: use one instance from one thread at a time. */
class Router
{
public:
  /** Creates a router without endpoints and with the default policy.
      @param options  identity and seed */
  explicit Router(RouterOptions options);
  ~Router();
  Router(Router&&) noexcept;
  Router& operator=(Router&&) noexcept;
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  /** Replaces ranks, weights and limits. Queued work keeps its deadline.
      @param policy  weights must be above 0, floors must sum to at most 1 */
  void setPolicy(Policy policy);

  /** Replaces the VMs to exchange messages with.
      @see membership::Membership::peers() */
  void setPeers(Peers peers);

  /** Takes a new request.
      @param now   the current time
      @param work  the request; its id must not be in progress here
      @returns the expected wait, or a refusal: rate_limited, concurrency_limited, unknown_model,
      unknown_service, no_endpoint, deadline_unmeetable or overloaded. Refused work did not run. */
  tl::expected<Accepted, Refusal> submit(Time now, Work work);

  /** Advances time: expires announcements, refuses work whose target can no longer be met, orders
      dispatches and prepares messages. Call it every 5 to 50 ms, and takeActions() after it and
      after every other call.
      @param now  the current time */
  void tick(Time now);

  /** Returns the actions decided since the last call, in order. */
  std::vector<Action> takeActions();

  /** Records the first token of a running request.
      @param now  the current time
      @param id   a dispatched request */
  void firstToken(Time now, const RequestId& id);

  /** Records progress of a running request.
      @param now     the current time
      @param id      a dispatched request
      @param tokens  generated tokens delivered so far over all attempts; never goes back */
  void progress(Time now, const RequestId& id, Tokens tokens);

  /** Ends a request. A queued request ends with Outcome::abandoned only.
      @param now      the current time
      @param id       a request in progress
      @param outcome  how it ended */
  void finished(Time now, const RequestId& id, Outcome outcome);

  /** Reports that the cancellation asked for by a CancelStream took effect. The request returns to
      the queue and is resumed by a later Dispatch.
      @param now  the current time
      @param id   the request named by the CancelStream */
  void cancelled(Time now, const RequestId& id);

  /** Reports a failed attempt and asks for the next one, at another endpoint.
      @param now      the current time
      @param id       a dispatched request
      @param failure  how the attempt failed
      @returns the next dispatch, which takeActions() does not repeat; or an error that ends the
      request: outcome_unknown when non-repeatable work may have run, endpoint_failed or
      endpoint_timeout when the retry budget is spent, no_endpoint when no other endpoint is left */
  Expected<Dispatch> retry(Time now, const RequestId& id, AttemptFailure failure);

  /** Takes an announcement that an endpoint sent to this VM. A leaving endpoint is passed on to
      the other VMs at once.
      @param now           the current time; becomes Announcement::announced
      @param announcement  what the endpoint sent */
  void announce(Time now, Announcement announcement);

  /** Handles a message from another VM.
      @param now      the current time
      @param from     the sender
      @param message  the decoded message */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Returns the messages to send, in order, and forgets them. */
  std::vector<Outgoing> takeOutgoing();

  /** Returns the counters by rank. */
  [[nodiscard]] const std::array<RankCounters, kRankCount>& counters() const;

  /** Returns the endpoint that runs a request, or nullopt when it runs nowhere. */
  [[nodiscard]] std::optional<EndpointId> endpointOf(const RequestId& id) const;

  /** Returns the number of requests queued or in flight. */
  [[nodiscard]] std::size_t inProgress() const;

  /** Returns the whole state for operators.
      @param now  the current time */
  [[nodiscard]] RouterDump dump(Time now) const;

private:
  class Core;
  std::unique_ptr<Core> core_;
};

} // namespace figchute::routing
