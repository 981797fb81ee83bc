#include "router/BootClock.h"
#include "router/Exchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

/** The part of Exchange that handles failed and stalled sends: it sends the request again, moves it
   to another endpoint, or ends it. */
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
/** Time between two attempts to move a stalled request to another endpoint. */
constexpr Duration kMoveRetryInterval = std::chrono::milliseconds(200);

/** A response that ended before its deadline may be confirmed for this time after it. */
constexpr Duration kMaxConfirmationTime = std::chrono::milliseconds(200);

} // namespace

void Exchange::onFailure(const http::CallFailure& failure)
{
  using Kind = http::CallFailureKind;
  const Time now = bootTime();
  call_.reset();
  dispatch::Outcome outcome = dispatch::Outcome::broken;
  if (!failure.sent) {
    outcome = recordConnectFailure(now, failure.kind);
  } else if (failure.kind == Kind::malformed) {
    outcome = dispatch::Outcome::malformed;
  }
  if (failure.kind == Kind::unconfirmedEnd) {
    services_.metrics.count("bodies_with_unconfirmed_end");
    outcome = dispatch::Outcome::unconfirmedEnd;
  }
  reusedConnectionFailed_ = failure.sent && failure.reused && !failure.headReceived &&
                            (failure.kind == Kind::reset || failure.kind == Kind::closed);
  const auto detail =
    fmt::format("{}{}", toString(failure.kind), failure.reused ? " on a reused connection" : "");
  if (stage_ == Stage::relaying && !canContinue()) {
    endSend(now, outcome);
    abortResponse(now, detail);
    return;
  }
  mayHaveRun_ = mayHaveRun_ || failure.sent;
  handleFailedSend(now, outcome, failure.sent, detail);
}

dispatch::Outcome Exchange::recordConnectFailure(Time now, http::CallFailureKind kind)
{
  using Kind = http::CallFailureKind;
  auto& egress = services_.egress;
  bool isEndpointAtFault = true;
  if (tunnelPeer_) {
    const bool isPeerWorking =
      kind == Kind::connectionLimit || egress.tunnelFailed(now, *tunnelPeer_);
    isEndpointAtFault = isPeerWorking && kind != Kind::proxyFailed;
  } else if (kind == Kind::connectTimeout || kind == Kind::connectRefused) {
    egress.directFailed(now, endpoint_);
    if (kind == Kind::connectTimeout) {
      services_.link.connectTimedOut(now, endpoint_);
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

void Exchange::endSend(Time now, dispatch::Outcome outcome)
{
  services_.dispatcher.finished(now, id_, outcome);
  call_.reset();
  if (outcome == dispatch::Outcome::broken && modelService_) {
    logLostConnection(now);
  }
  if (outcome == dispatch::Outcome::broken || outcome == dispatch::Outcome::notConnected) {
    services_.onConnectionFailure(now);
  }
}

void Exchange::handleFailedSend(Time now,
                                dispatch::Outcome outcome,
                                bool mayHaveRun,
                                const std::string& detail)
{
  if (call_) {
    call_->cancel();
  }
  endSend(now, outcome);
  logFailedSend(now, outcome, detail);
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
  const auto stall = std::max<Duration>(kMinStallTime, requestInfo_.target * kStallTargetMultiple);
  const bool headOverdue = stage_ == Stage::waitingForHead && now - sendStartedAt_ > stall;
  if (call_ && requestSent_ && !readingPaused_ && (stalled_ || headOverdue) && now >= nextMoveAt_) {
    moveToAnotherEndpoint(now);
  }
}

bool Exchange::hasEndedInTime(Time now) const
{
  const auto sinceEnd = call_ ? call_->timeSinceEnd() : std::nullopt;
  return sinceEnd && now - *sinceEnd < deadline_ && now < deadline_ + kMaxConfirmationTime;
}

void Exchange::handleExpiry(Time now)
{
  const bool running = call_ && requestSent_;
  if (call_) {
    call_->cancel();
    endSend(now, running ? dispatch::Outcome::timedOut : dispatch::Outcome::cancelled);
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
  if (services_.dispatcher.maySend(now, id_)) {
    startSend(now);
    return;
  }
  sendAt_.reset();
  services_.dispatcher.finished(now, id_, dispatch::Outcome::withdrawn);
  triedEndpoints_.pop_back();
  sendNext(now);
}

void Exchange::moveToAnotherEndpoint(Time now)
{
  const bool possible = stage_ == Stage::relaying ? canContinue() : isRepeatable();
  const Duration pause = eventRelay_.lastId() ? kEndpointCancelTime : Duration{ 0 };
  if (!possible || sendCount_ >= requestInfo_.maxAttempts || now + pause >= deadline_) {
    return;
  }
  constexpr auto kOutcome = dispatch::Outcome::timedOut;
  services_.dispatcher.finished(now, id_, kOutcome);
  const auto choice = services_.dispatcher.choose(now, requestInfo_, triedEndpoints_);
  if (!choice) {
    // Keep the current endpoint, which may still respond.
    nextMoveAt_ = now + kMoveRetryInterval;
    return;
  }
  mayHaveRun_ = true;
  ++moves_;
  call_->cancel();
  call_.reset();
  logFailedSend(now, kOutcome, "the endpoint is unresponsive");
  assignEndpoint(now, *choice, pause);
}

} // namespace figchute::router
