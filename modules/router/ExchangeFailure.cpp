#include "router/BootClock.h"
#include "router/Exchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

/** The part of Exchange that handles failed sends and time limits: it sends the request again, or
   ends it. */
namespace figchute::router {
namespace {

/** A connection that fails before the request is sent reaches no endpoint; this many failures for
 * one request indicate that this VM is isolated. */
constexpr int kMaxConnectFailures = 3;
/** A repeatable request without a response is sent to another endpoint after this multiple of its
 * latency target. */
constexpr int kStallTargetMultiple = 3;
constexpr Duration kMinStallTime = std::chrono::milliseconds(250);
/** Short, because another endpoint may accept the request. */
constexpr Duration kRetryAfterRefusal = std::chrono::milliseconds(100);
/** An endpoint needs up to this time to stop a request whose connection was closed. */
constexpr Duration kEndpointCancelTime = std::chrono::milliseconds(400);
/** The rest of a response waits for this time for an endpoint. The caller may take the stream up at
 * another entry process, and gives it up after 2 s without an event. */
constexpr Duration kMaxTimeWithoutEndpoint = std::chrono::seconds(1);

/** A response that ended before its deadline may be confirmed for this time after it. */
constexpr Duration kMaxConfirmationTime = std::chrono::milliseconds(200);

} // namespace

void Exchange::onFailure(EndpointSend& send, const http::CallFailure& failure)
{
  using Kind = http::CallFailureKind;
  const Time now = bootTime();
  send.call.reset();
  const auto outcome = outcomeOf(now, send, failure);
  const auto detail =
    fmt::format("{}{}", toString(failure.kind), failure.reused ? " on a reused connection" : "");
  if (&send == standby_.get()) {
    failStandby(now, outcome, detail);
    return;
  }
  reusedConnectionFailed_ = failure.sent && failure.reused && !failure.headReceived &&
                            (failure.kind == Kind::reset || failure.kind == Kind::closed);
  if (stage_ == Stage::relaying && !canContinue()) {
    endSend(now, send, outcome);
    abortResponse(now, detail);
    return;
  }
  mayHaveRun_ = mayHaveRun_ || failure.sent;
  handleFailedSend(now, outcome, failure.sent, detail);
}

dispatch::Outcome Exchange::outcomeOf(Time now,
                                      const EndpointSend& send,
                                      const http::CallFailure& failure)
{
  using Kind = http::CallFailureKind;
  if (failure.kind == Kind::unconfirmedEnd) {
    services_.metrics.count("bodies_with_unconfirmed_end");
    return dispatch::Outcome::unconfirmedEnd;
  }
  if (!failure.sent) {
    return recordConnectFailure(now, send, failure.kind);
  }
  return failure.kind == Kind::malformed ? dispatch::Outcome::malformed : dispatch::Outcome::broken;
}

dispatch::Outcome Exchange::recordConnectFailure(Time now,
                                                 const EndpointSend& send,
                                                 http::CallFailureKind kind)
{
  using Kind = http::CallFailureKind;
  auto& egress = services_.egress;
  bool isEndpointAtFault = true;
  if (send.tunnelPeer) {
    const bool isPeerWorking =
      kind == Kind::connectionLimit || egress.tunnelFailed(now, *send.tunnelPeer);
    isEndpointAtFault = isPeerWorking && kind != Kind::proxyFailed;
  } else if (kind == Kind::connectTimeout || kind == Kind::connectRefused) {
    egress.directFailed(now, send.endpoint.endpoint);
    if (kind == Kind::connectTimeout) {
      services_.link.connectTimedOut(now, send.endpoint.endpoint);
    }
    isEndpointAtFault = !egress.isTunnelling() && !isLinkCongested(now);
  }
  if (isEndpointAtFault) {
    return dispatch::Outcome::notConnected;
  }
  // The failure says nothing about the endpoint, which may be chosen again.
  triedEndpoints_.pop_back();
  return dispatch::Outcome::withdrawn;
}

bool Exchange::canContinue() const
{
  return relaysWholeEvents_ && eventRelay_.canContinue();
}

void Exchange::endSend(Time now, EndpointSend& send, dispatch::Outcome outcome)
{
  send.cancel();
  services_.dispatcher.finished(now, send.dispatchId, outcome);
  if (outcome == dispatch::Outcome::broken && modelService_) {
    logLostConnection(now, send);
  }
  if (outcome == dispatch::Outcome::broken || outcome == dispatch::Outcome::notConnected) {
    services_.onConnectionFailure(now);
  }
}

bool Exchange::isRefusal(dispatch::Outcome outcome)
{
  return outcome == dispatch::Outcome::notExecuted || outcome == dispatch::Outcome::wrongEndpoint;
}

void Exchange::recordRefusal(const EndpointSend& send, dispatch::Outcome outcome)
{
  if (hasResponseStarted() && isRefusal(outcome)) {
    ++requestInfo_.maxAttempts;
    refusingEndpoints_.push_back(send.endpoint.endpoint);
  }
}

void Exchange::readmitRefusingEndpoints()
{
  for (const auto& endpoint : std::exchange(refusingEndpoints_, {})) {
    std::erase(triedEndpoints_, endpoint);
  }
}

bool Exchange::waitForEndpoint(Time now)
{
  if (!hasResponseStarted() || !canContinue()) {
    return false;
  }
  if (!withoutEndpointSince_) {
    withoutEndpointSince_ = now;
  }
  const Time nextChoiceAt = now + kRetryAfterRefusal;
  if (nextChoiceAt >= std::min(deadline_, *withoutEndpointSince_ + kMaxTimeWithoutEndpoint)) {
    return false;
  }
  stage_ = Stage::waitingForHead;
  nextChoiceAt_ = nextChoiceAt;
  return true;
}

void Exchange::handleFailedSend(Time now,
                                dispatch::Outcome outcome,
                                bool mayHaveRun,
                                const std::string& detail)
{
  endSend(now, *send_, outcome);
  logFailedSend(now, *send_, outcome, detail);
  recordRefusal(*send_, outcome);
  if (standby_) {
    mayHaveRun_ = mayHaveRun_ || mayHaveRun;
    useStandby(now);
    return;
  }
  const bool isWithdrawn = outcome == dispatch::Outcome::withdrawn;
  const bool unsent = outcome == dispatch::Outcome::notConnected || isWithdrawn;
  if (isWithdrawn && isLinkCongested(now) && !mayHaveRun_) {
    refuseWhileCongested(now);
    return;
  }
  const bool again =
    unsent ? ++connectFailures_ < kMaxConnectFailures && (!mayHaveRun_ || isRepeatable())
           : mayRetry();
  // An endpoint whose connection broke has stopped the request. After a malformed response the
  // router closed the connection, so the endpoint may still be running it.
  const bool mayRun = outcome == dispatch::Outcome::malformed && hasResponseStarted();
  const Duration pause = mayRun ? kEndpointCancelTime : Duration{ 0 };
  const bool isRefused = outcome == dispatch::Outcome::notExecuted;
  if ((isRefused || (unsent && !again)) && waitForEndpoint(now)) {
    return;
  }
  if (again && now + pause < deadline_) {
    sendNext(now, pause);
    return;
  }
  if (mayHaveRun_ || mayHaveRun) {
    sendErrorResponse(now, Error{ ErrorKind::endpointFailed, detail }, Duration{ 0 });
    return;
  }
  const auto backoff = services_.dispatcher.timeUntilBackoffEnds(now, requestInfo_.service);
  sendErrorResponse(now,
                    Error{ ErrorKind::overloaded, "no endpoint accepted the request" },
                    std::max<Duration>(backoff, kRetryAfterRefusal));
}

void Exchange::refuse(Time now, const dispatch::Refusal& refusal)
{
  const bool isTemporary =
    refusal.kind == ErrorKind::overloaded || refusal.kind == ErrorKind::noEndpoint;
  if (isTemporary && waitForEndpoint(now)) {
    readmitRefusingEndpoints();
    return;
  }
  if (mayHaveRun_) {
    sendErrorResponse(now, Error{ ErrorKind::endpointFailed, refusal.detail }, Duration{ 0 });
    return;
  }
  if (refusal.isEvacuated) {
    services_.metrics.count("refused_evacuated");
  }
  sendErrorResponse(now, Error{ refusal.kind, refusal.detail }, refusal.retryAfter);
}

void Exchange::checkTimeouts(Time now)
{
  if (stage_ == Stage::ended || stage_ == Stage::created) {
    return;
  }
  if (now >= lastAnswerTime() && !hasEndedInTime(now)) {
    handleExpiry(now);
    return;
  }
  if (sendAt_) {
    if (now >= *sendAt_) {
      startDelayedSend(now);
    }
    return;
  }
  if (nextChoiceAt_) {
    if (now >= *nextChoiceAt_) {
      nextChoiceAt_.reset();
      sendNext(now);
    }
    return;
  }
  if (standby_) {
    checkStandby(now);
    return;
  }
  const auto stall = std::max<Duration>(kMinStallTime, requestInfo_.target * kStallTargetMultiple);
  const bool headOverdue = stage_ == Stage::waitingForHead && now - send_->startedAt > stall;
  if (send_->call && send_->sent && !readingPaused_ && (send_->stalled || headOverdue) &&
      now >= nextMoveAt_) {
    startStandby(now);
  }
}

bool Exchange::mayRefuseConnections(const EndpointSend& send) const
{
  return services_.dispatcher.isLeaving(send.endpoint.endpoint);
}

bool Exchange::hasEndedInTime(Time now) const
{
  const auto sinceEnd = send_->call ? send_->call->timeSinceEnd() : std::nullopt;
  return sinceEnd && now - *sinceEnd < deadline_ && now < deadline_ + kMaxConfirmationTime;
}

void Exchange::handleExpiry(Time now)
{
  const bool running = send_->call && send_->sent;
  if (send_->call) {
    endSend(now, *send_, running ? dispatch::Outcome::timedOut : dispatch::Outcome::cancelled);
  }
  if (stage_ == Stage::relaying) {
    abortResponse(now, "time-out");
  } else if (running || mayHaveRun_) {
    mayHaveRun_ = true;
    sendErrorResponse(now, Error{ ErrorKind::endpointTimeout, "no answer in time" }, Duration{ 0 });
  } else {
    sendErrorResponse(now, Error{ ErrorKind::overloaded, "not sent in time" }, Duration{ 0 });
  }
}

void Exchange::startDelayedSend(Time now)
{
  if (services_.dispatcher.maySend(now, send_->dispatchId)) {
    startSend(now);
    return;
  }
  sendAt_.reset();
  services_.dispatcher.finished(now, send_->dispatchId, dispatch::Outcome::withdrawn);
  triedEndpoints_.pop_back();
  sendNext(now);
}

} // namespace figchute::router
