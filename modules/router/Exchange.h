#pragma once

#include "core/core.h"
#include "dispatch/dispatch.h"
#include "fleet/RouteTable.h"
#include "fleet/StreamOriginClient.h"
#include "http/http.h"
#include "ledger/ledger.h"
#include "router/Dialect.h"
#include "router/EgressSelector.h"
#include "router/EndpointReport.h"
#include "router/EndpointSend.h"
#include "router/EventCounter.h"
#include "router/EventRelay.h"
#include "router/LinkMonitor.h"
#include "router/LogWriter.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace figchute::router {

/** Services and state that all exchanges of an entry process share. */
struct EntryServices
{
  const Dialect& dialect;
  dispatch::Dispatcher& dispatcher;
  ledger::QuotaManager& quotaManager;
  fleet::StreamOriginClient& origins;
  http::ClientPool& pool;
  EgressSelector& egress;
  /** Authorizes tunnels at other entry processes. */
  const std::string& peerKey;
  LogWriter& log;
  Metrics& metrics;
  /** Route table of the active configuration; null before the first configuration. */
  std::shared_ptr<const fleet::RouteTable> table;
  /** Revision of the endpoint registry in use, for log lines. */
  std::uint64_t endpointRevision = 0;
  /** Called after a send failed in a way that may indicate an endpoint crash. */
  std::function<void(Time)> onConnectionFailure;
  /** Called after the origin of a stream was added, to send the report at once. */
  std::function<void()> onOriginAdded;
  LinkMonitor link{};
  /** Set when the process stops: requests that arrive later are rejected without being executed,
   * unless they end before the stop deadline in any case. */
  std::optional<Time> normalServiceEnd = std::nullopt;
  /** Set when the process stops: requests without a response at this time get an error response,
   * because the process exits soon after and aborts those that are still open. */
  std::optional<Time> stopDeadline = std::nullopt;
};

/** Handles one request from its arrival to the end of its response: it matches the route, checks
 * the API key, reserves budget, chooses an endpoint and relays the response. Statuses such as 503
 * guarantee that no endpoint executed the request, so they are sent only when that is certain. A
 * broken stream of a resumable route is continued at another endpoint within the same response.
 * Thread safety: use it on the thread of the event loop only. */
class Exchange final
  : public SendListener
  , public std::enable_shared_from_this<Exchange>
{
public:
  /** @param services  must outlive the exchange
      @param request   the completely received request
      @param id        unique in this process
      @param ended     called once, when the exchange has ended; it may release the exchange */
  Exchange(EntryServices& services,
           std::shared_ptr<http::ServerRequest> request,
           std::uint64_t id,
           std::function<void(std::uint64_t)> ended);

  ~Exchange() override;

  Exchange(const Exchange&) = delete;
  Exchange& operator=(const Exchange&) = delete;

  /** Starts the exchange. Call it once. */
  void start(Time now);

  /** Handles the quota manager's decision on the reservation of this request. */
  void handleDecision(Time now, const ledger::Decision& decision);

  /** Handles the result of the search for the origin of the stream that this request takes up. */
  void handleOrigin(Time now, const fleet::StreamOriginClient::Answer& answer);

  /** Returns the id of the exchange that uses an id towards the dispatcher. Safe from any thread.
   */
  static std::uint64_t idOfDispatchId(std::uint64_t dispatchId)
  {
    return dispatchId / kDispatchIdsPerExchange;
  }

  /** Records that the dispatcher considers the endpoint of a send unresponsive. The next
   * checkTimeouts() tries another endpoint for a repeatable request, or for the rest of a stream if
   * possible. */
  void markStalled(std::uint64_t dispatchId);

  /** Applies the time limits and starts delayed sends. Call it about every 50 ms. */
  void checkTimeouts(Time now);

  /** Ends the request without a complete response, because the process exits. */
  void abort(Time now);

  void onConnected(EndpointSend& send) override;
  void onSent(EndpointSend& send) override;
  void onHead(EndpointSend& send, const http::ResponseHead& head) override;
  void onBody(EndpointSend& send, std::string_view bytes) override;
  void onComplete(EndpointSend& send, const http::ResponseEnd& end) override;
  void onFailure(EndpointSend& send, const http::CallFailure& failure) override;
  [[nodiscard]] bool mayRefuseConnections(const EndpointSend& send) const override;

private:
  /** A send and its standby have ids of their own towards the dispatcher. */
  static constexpr std::uint64_t kDispatchIdsPerExchange = 2;

  enum class Stage : std::uint8_t
  {
    created,
    waitingForOrigin,
    waitingForGrant,
    waitingForHead,
    relaying,
    ended,
  };

  Expected<void> resolveRoute(Time now);
  Expected<void> authenticate(const fleet::Route& route);
  Expected<void> fillRequestInfo(Time now, const fleet::Route& route);
  /** Sets the service that the request is sent to. */
  void setService(const ServiceName& service);
  /** Reads which stream the request takes up, if it does. */
  Expected<void> readResumption();
  [[nodiscard]] bool isResumableStream() const;
  void findOrigin(Time now);
  /** Records which software version sends the events of this stream, at its first event. */
  void recordOrigin(Time now);
  void refuseResumption(Time now, std::string detail);
  /** Returns whether the stopping process might abort the request before its response is complete.
   */
  [[nodiscard]] bool exceedsStopDeadline(Time now) const;
  /** Returns when a request without a response gets an error response: at its deadline, or before
   * the process exits. */
  [[nodiscard]] Time lastAnswerTime() const;
  /** Returns whether the network link of this VM is too congested for further requests. */
  [[nodiscard]] bool isLinkCongested(Time now) const;
  void refuseWhileCongested(Time now);
  void reserve(Time now);
  void sendNext(Time now, Duration pause = Duration{ 0 });
  [[nodiscard]] tl::expected<dispatch::ChosenEndpoint, dispatch::Refusal> chooseNext(Time now);
  void assignEndpoint(Time now, const dispatch::ChosenEndpoint& choice, Duration pause);
  void startSend(Time now);
  /** Starts the call of a send.
      @returns whether the address of its endpoint is valid */
  bool startCall(Time now, EndpointSend& send);
  http::RequestHead forwardedHead(Time now, const dispatch::ChosenEndpoint& choice) const;
  /** Returns how long the endpoint of a send that starts now may work, in whole milliseconds. */
  [[nodiscard]] std::chrono::milliseconds timeForEndpoint(Time now) const;
  [[nodiscard]] bool mayRetry() const;
  [[nodiscard]] bool isRepeatable() const;
  void handleFailedSend(Time now, dispatch::Outcome outcome, bool sent, const std::string& detail);
  /** Returns the outcome of a send that failed. */
  dispatch::Outcome outcomeOf(Time now, const EndpointSend& send, const http::CallFailure& failure);
  /** Records that no connection was established.
      @returns the outcome of the send */
  dispatch::Outcome recordConnectFailure(Time now,
                                         const EndpointSend& send,
                                         http::CallFailureKind kind);
  void endSend(Time now, EndpointSend& send, dispatch::Outcome outcome);
  /** Returns whether a send with this outcome reached an endpoint that did not run the request. */
  [[nodiscard]] static bool isRefusal(dispatch::Outcome outcome);
  /** Records an endpoint that did not run the request. It uses up no attempt of a response that has
   * begun, because the caller can't get a refusal any more. */
  void recordRefusal(const EndpointSend& send, dispatch::Outcome outcome);
  /** Lets endpoints that refused the request be chosen again: they may have room by now. */
  void readmitRefusingEndpoints();
  /** Chooses an endpoint again a little later, if the rest of a response waits for one.
      @returns false if the response cannot go on, or has waited for too long */
  bool waitForEndpoint(Time now);
  void logLostConnection(Time now, const EndpointSend& send);
  void logFailedSend(Time now,
                     const EndpointSend& send,
                     dispatch::Outcome outcome,
                     const std::string& detail);
  /** Detail of a second response whose events are not the next ones. */
  static constexpr std::string_view kDifferentEvents =
    "the second response does not continue the stream";
  static constexpr std::string_view kFirstEndpointResponds = "the first endpoint responds again";

  void startStandby(Time now);
  void checkStandby(Time now);
  void handleStandbyHead(Time now, const http::ResponseHead& head, const EndpointReport& report);
  void handleStandbyBody(Time now, std::string_view bytes);
  /** Ends the standby, whose endpoint does not go on with the request. */
  void failStandby(Time now, dispatch::Outcome outcome, const std::string& detail);
  /** Ends the standby because it is not needed any more. */
  void cancelStandby(Time now, const std::string& detail);
  /** Makes the standby the current send and gives up the one before. */
  void useStandby(Time now);
  void refuse(Time now, const dispatch::Refusal& refusal);
  void sendErrorResponse(Time now, const Error& error, Duration retryAfter);
  void abortResponse(Time now, std::string_view outcome);
  void onCallerDisconnected();
  /** Passes to the dispatcher what the endpoint reported about itself. */
  void recordReport(Time now,
                    const EndpointSend& send,
                    const http::ResponseHead& head,
                    const EndpointReport& report);
  void logUnreadableFields(Time now, const EndpointSend& send, const EndpointReport& report);
  /** Starts a delayed send, or chooses again if its endpoint accepts no requests any more. */
  void startDelayedSend(Time now);
  void startRelay(const http::ResponseHead& head);
  /** Returns whether a second response may go on with the one that has begun. */
  [[nodiscard]] static bool continuesResponse(const http::ResponseHead& head, bool marked);
  /** Returns the outcome of a send whose response cannot go on with the one that has begun. */
  [[nodiscard]] static dispatch::Outcome failedHeadOutcome(const http::ResponseHead& head);
  void continueResponse(Time now, const http::ResponseHead& head, bool marked);
  /** Records that the current send goes on with the response. */
  void recordContinuation(Time now);
  /** Relays the events of the current send.
      @returns false if they do not continue the stream, so that the response was aborted */
  bool relayEvents(const EventRelay::Part& part);
  void completeResponse(Time now, const http::ResponseEnd& responseEnd);
  void relay(std::string_view bytes);
  /** Pauses the endpoint while many bytes wait for the caller. */
  void pauseForSlowCaller();
  void recordProgress(std::int64_t events);
  void recordFirstByte(Time now);
  [[nodiscard]] bool hasResponseStarted() const { return status_ != 0; }
  [[nodiscard]] bool canContinue() const;
  /** Returns whether the endpoint may have ended the body because its deadline had expired. */
  [[nodiscard]] bool mayHaveExpired(Time now, const http::ResponseEnd& end) const;
  /** Returns whether the response ended before the deadline and its end is being confirmed. */
  [[nodiscard]] bool hasEndedInTime(Time now) const;
  /** Ends the response because its deadline has expired. */
  void handleExpiry(Time now);
  /** Returns whether the end of the connection cut the stream inside an event. */
  [[nodiscard]] bool isBrokenOff() const;
  void chargeBudget(Time now);
  void end(Time now, std::string_view outcome, int status, std::string_view detail);
  /** Has the end of the connection logged if the caller does not receive the whole response. */
  void logIfUnsent();
  void logEnd(Time now, std::string_view outcome, int status, std::string_view detail);

  EntryServices& services_;
  std::shared_ptr<http::ServerRequest> request_;
  std::uint64_t id_;
  std::function<void(std::uint64_t)> onEnded_;

  std::shared_ptr<const fleet::RouteTable> table_;
  const fleet::Route* route_ = nullptr;
  const fleet::WorkspaceSettings* workspace_ = nullptr;
  std::string requestId_;
  /** The id of the request that began the stream, if this one takes it up; it is empty if the
   * caller did not name it. */
  std::optional<std::string> resumedRequestId_;
  bool isOriginRecorded_ = false;
  RequestId quotaRequestId_;
  dispatch::RequestInfo requestInfo_;
  int tokensPerEvent_ = 1;
  bool modelService_ = false;
  Time arrivedAt_;
  /** When the caller's deadline or the timeout of the route expires, whichever is earlier. */
  Time deadline_;

  Stage stage_ = Stage::created;
  bool reserved_ = false;
  Time reservedAt_;
  /** How long the request waited for a grant; nothing if it was decided at once. */
  std::optional<Duration> grantWait_;
  /** Set when the request was refused for its budget. */
  std::optional<ledger::BudgetRefusal> budgetRefusal_;
  bool dispatched_ = false;
  /** The current send, or the last one; before the first, one without an endpoint. */
  std::shared_ptr<EndpointSend> send_;
  /** Tries another endpoint while that of the current send is silent; null at other times. */
  std::shared_ptr<EndpointSend> standby_;
  std::vector<EndpointId> triedEndpoints_;
  /** Reading from the endpoint is paused because the caller reads slowly. */
  bool readingPaused_ = false;
  /** No attempt to move to another endpoint before this time. */
  Time nextMoveAt_;
  /** The request was sent to an endpoint that did not confirm that it had not executed it. */
  bool mayHaveRun_ = false;
  int sendCount_ = 0;
  int connectFailures_ = 0;
  /** The last send failed on a reused connection before the response head. The endpoint may be
   * healthy: it can have closed the idle connection. */
  bool reusedConnectionFailed_ = false;
  /** When the next send starts; set while the previous endpoint is given time to stop. */
  std::optional<Time> sendAt_;
  /** When an endpoint is chosen again, because none accepted the rest of a response. */
  std::optional<Time> nextChoiceAt_;
  /** Since when no endpoint has accepted the rest of a response. */
  std::optional<Time> withoutEndpointSince_;
  /** The endpoints of triedEndpoints_ that refused the request and did not run it. */
  std::vector<EndpointId> refusingEndpoints_;
  /** Only complete events are relayed, so that another endpoint can continue the response. */
  bool relaysWholeEvents_ = false;
  EventRelay eventRelay_;
  EventCounter events_;
  std::int64_t deliveredEvents_ = 0;
  std::int64_t deliveredTokens_ = 0;
  std::int64_t deliveredBytes_ = 0;
  Time firstByteAt_;
  /** How often the request was moved away from an endpoint whose connection was open. */
  int moves_ = 0;
  /** Arrival of the last event of a stream, and the longest time between two events. */
  Time lastEventAt_;
  Duration longestPause_{ 0 };
  /** Status of the response once its head has been relayed; 0 before. */
  int status_ = 0;
};

} // namespace figchute::router
