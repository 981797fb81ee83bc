#include "router/BootClock.h"
#include "router/ErrorResponse.h"
#include "router/Exchange.h"

#include <fmt/format.h>
#include <utility>

/** The part of Exchange that tries another endpoint while that of the current send is silent. The
   current call is kept until the other endpoint goes on with the response, or has worked on it for
   kMaxOverlap: a silent endpoint may be sound, and the other one may refuse or fail. */
namespace figchute::router {
namespace {

/** Time between two attempts to send a stalled request to another endpoint. */
constexpr Duration kMoveRetryInterval = std::chrono::milliseconds(200);
/** Two endpoints may work on a stream for 400 ms. This is less, because time limits are checked
 * every 50 ms, and the endpoint that is given up needs some time to stop. */
constexpr Duration kMaxOverlap = std::chrono::milliseconds(250);

} // namespace

void Exchange::startStandby(Time now)
{
  const bool possible = stage_ == Stage::relaying ? canContinue() : isRepeatable();
  if (!possible || sendCount_ >= requestInfo_.maxAttempts) {
    return;
  }
  auto info = requestInfo_;
  // The two sends use the two ids of this exchange in turn.
  info.id ^= 1;
  info.isRepeat = true;
  const auto choice = services_.dispatcher.choose(now, info, triedEndpoints_);
  if (!choice) {
    services_.dispatcher.forget(info.id);
    readmitRefusingEndpoints();
    nextMoveAt_ = now + kMoveRetryInterval;
    return;
  }
  triedEndpoints_.push_back(choice->endpoint);
  standby_ = std::make_shared<EndpointSend>(*this, info.id, *choice);
  services_.metrics.count("standby_sends");
  if (!startCall(now, *standby_)) {
    failStandby(now, dispatch::Outcome::notConnected, "the address is not valid");
  }
}

void Exchange::checkStandby(Time now)
{
  const bool isStream = requestInfo_.kind == fleet::RouteKind::stream;
  const bool hasOverlapped = standby_->sent && now - standby_->sentAt >= kMaxOverlap;
  // Other requests may run twice, so both calls go on unless a third endpoint can be tried.
  const bool mayTryThird = standby_->stalled && sendCount_ < requestInfo_.maxAttempts;
  if (isStream ? hasOverlapped : mayTryThird) {
    useStandby(now);
  }
}

void Exchange::handleStandbyHead(Time now,
                                 const http::ResponseHead& head,
                                 const EndpointReport& report)
{
  const bool isAnswer = report.marked && head.status < 500 && !guaranteesNotExecuted(head.status);
  if (!hasResponseStarted() && isAnswer) {
    useStandby(now);
    startRelay(head);
    return;
  }
  if (!continuesResponse(head, report.marked)) {
    failStandby(now, failedHeadOutcome(head), fmt::format("status {}", head.status));
    return;
  }
  standby_->continuation = eventRelay_;
  standby_->continuation->continueStream();
}

void Exchange::handleStandbyBody(Time now, std::string_view bytes)
{
  const auto part = standby_->continuation->feed(bytes);
  if (!part.continuesStream) {
    failStandby(now, dispatch::Outcome::malformed, std::string(kDifferentEvents));
  } else if (part.events > 0) {
    useStandby(now);
    relayEvents(part);
    pauseForSlowCaller();
  }
}

void Exchange::failStandby(Time now, dispatch::Outcome outcome, const std::string& detail)
{
  const auto send = std::exchange(standby_, nullptr);
  mayHaveRun_ = mayHaveRun_ || (send->sent && !isRefusal(outcome));
  endSend(now, *send, outcome);
  services_.dispatcher.forget(send->dispatchId);
  logFailedSend(now, *send, outcome, detail);
  recordRefusal(*send, outcome);
  nextMoveAt_ = now + kMoveRetryInterval;
}

void Exchange::cancelStandby(Time now, const std::string& detail)
{
  failStandby(now, dispatch::Outcome::cancelled, detail);
}

void Exchange::useStandby(Time now)
{
  if (send_->call) {
    ++moves_;
    mayHaveRun_ = true;
    constexpr auto kOutcome = dispatch::Outcome::timedOut;
    endSend(now, *send_, kOutcome);
    logFailedSend(now, *send_, kOutcome, "the endpoint is unresponsive");
  }
  services_.metrics.count("standby_sends_used");
  services_.dispatcher.forget(send_->dispatchId);
  send_ = std::exchange(standby_, nullptr);
  requestInfo_.id = send_->dispatchId;
  requestInfo_.isRepeat = true;
  readingPaused_ = false;
  stage_ = Stage::waitingForHead;
  if (send_->continuation) {
    eventRelay_ = *std::exchange(send_->continuation, std::nullopt);
    recordContinuation(now);
  }
}

} // namespace figchute::router
