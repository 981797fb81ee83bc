#include "router/BootClock.h"
#include "router/ErrorResponse.h"
#include "router/Exchange.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

/** The part of Exchange that relays the response of an endpoint. */
namespace figchute::router {
namespace {

/** The status of an endpoint that is not the one that the request names. */
constexpr int kMisdirectedRequest = 421;
/** Reading from the endpoint is paused while more response bytes than this wait for a slow caller.
 */
constexpr std::size_t kMaxPendingBytes = 64U * 1024;

/** Returns whether the body of a response may be an event stream that a later response can
 * continue. A response with Content-Length is excluded, because its length cannot cover both
 * bodies. */
bool isContinuableStream(const http::ResponseHead& head)
{
  const auto type = head.fields.get("Content-Type");
  return head.status / 100 == 2 && !head.length &&
         head.fields.find("Content-Encoding") == nullptr &&
         (type.empty() || type.starts_with("text/event-stream"));
}

} // namespace

void Exchange::onHead(EndpointSend& send, const http::ResponseHead& head)
{
  const Time now = bootTime();
  send.lastByteAt = now;
  services_.link.answered(now, now - send.startedAt);
  const auto report = parseEndpointReport(services_.dialect.fields(), head);
  recordReport(now, send, head, report);
  const auto fail = [this, now, &send](dispatch::Outcome outcome, bool mayHaveRun, auto detail) {
    if (&send == standby_.get()) {
      failStandby(now, outcome, detail);
    } else {
      handleFailedSend(now, outcome, mayHaveRun, detail);
    }
  };
  if (head.status == kMisdirectedRequest) {
    fail(dispatch::Outcome::wrongEndpoint, false, "another endpoint uses this address");
    return;
  }
  if (report.notExecuted && (head.status >= 500 || head.status == 429 || head.status == 408)) {
    fail(dispatch::Outcome::notExecuted, false, fmt::format("status {}", head.status));
    return;
  }
  send.bodyDelimiter = head.bodyDelimiter();
  if (&send == standby_.get()) {
    handleStandbyHead(now, head, report);
    return;
  }
  reusedConnectionFailed_ = false;
  mayHaveRun_ = mayHaveRun_ || !report.notExecuted;
  if (hasResponseStarted()) {
    continueResponse(now, head, report.marked);
    return;
  }
  if (!report.notExecuted &&
      (guaranteesNotExecuted(head.status) || (!report.marked && head.status < 400))) {
    handleFailedSend(now,
                     dispatch::Outcome::malformed,
                     true,
                     fmt::format("status {} without the endpoint's marker", head.status));
    return;
  }
  if (head.status >= 500 && isRepeatable() && (standby_ || sendCount_ < requestInfo_.maxAttempts)) {
    handleFailedSend(
      now, dispatch::Outcome::serverError, true, fmt::format("status {}", head.status));
    return;
  }
  startRelay(head);
}

void Exchange::recordReport(Time now,
                            const EndpointSend& send,
                            const http::ResponseHead& head,
                            const EndpointReport& report)
{
  auto& dispatcher = services_.dispatcher;
  if (report.load) {
    dispatcher.load(now, send.endpoint.endpoint, *report.load);
  }
  const bool namesLimit = head.fields.find(services_.dialect.fields().rateLimit) != nullptr;
  const bool endsLimit = !namesLimit && report.marked && head.status / 100 == 2;
  if (report.rateLimit || endsLimit) {
    dispatcher.answerHead(now, send.dispatchId, report.rateLimit);
  }
  // With status 421, another endpoint speaks about itself.
  if (head.status != kMisdirectedRequest) {
    dispatcher.responseHead(now, send.dispatchId);
    const bool namesBrittle = head.fields.find(services_.dialect.fields().brittle) != nullptr;
    if (report.brittle || (!namesBrittle && report.marked)) {
      dispatcher.endpointBrittle(send.dispatchId, report.brittle);
    }
    if (report.cold) {
      dispatcher.endpointCold(now, send.dispatchId, *report.cold);
    }
    if (report.leaving) {
      dispatcher.endpointLeaving(now, send.dispatchId);
    }
    if (report.backoff) {
      dispatcher.endpointBackoff(now, send.dispatchId, *report.backoff);
    }
  }
  logUnreadableFields(now, send, report);
}

void Exchange::startRelay(const http::ResponseHead& head)
{
  const Time now = bootTime();
  if (standby_) {
    cancelStandby(now, std::string(kFirstEndpointResponds));
  }
  stage_ = Stage::relaying;
  status_ = head.status;
  relaysWholeEvents_ =
    isRepeatable() && requestInfo_.kind == fleet::RouteKind::stream && isContinuableStream(head);
  // A model engine sends the response head before it has processed the prompt, so its first event
  // counts as the first byte.
  if (!modelService_ || head.status >= 300) {
    recordFirstByte(now);
  }
  request_->start(head);
}

bool Exchange::continuesResponse(const http::ResponseHead& head, bool marked)
{
  return marked && head.status / 100 == 2 && head.fields.find("Content-Encoding") == nullptr;
}

dispatch::Outcome Exchange::failedHeadOutcome(const http::ResponseHead& head)
{
  return head.status >= 500 ? dispatch::Outcome::serverError : dispatch::Outcome::malformed;
}

void Exchange::continueResponse(Time now, const http::ResponseHead& head, bool marked)
{
  if (!continuesResponse(head, marked)) {
    handleFailedSend(now,
                     failedHeadOutcome(head),
                     true,
                     fmt::format("status {} does not continue the stream", head.status));
    return;
  }
  eventRelay_.continueStream();
  recordContinuation(now);
}

void Exchange::recordContinuation(Time now)
{
  stage_ = Stage::relaying;
  services_.metrics.count("streams_continued");
  services_.log.line(now,
                     "stream_continued",
                     { { "request", requestId_ },
                       { "endpoint", send_->endpoint.endpoint.value },
                       { "version", send_->endpoint.softwareVersion },
                       { "last_event", std::to_string(eventRelay_.lastId().value_or(0)) } });
  if (!modelService_) {
    recordFirstByte(now);
  }
}

void Exchange::recordFirstByte(Time now)
{
  if (!std::exchange(send_->firstByteReported, true)) {
    services_.dispatcher.firstByte(now, send_->dispatchId);
  }
  if (firstByteAt_.micros == 0) {
    firstByteAt_ = now;
    services_.metrics.record("first_byte", now - arrivedAt_);
  }
}

void Exchange::onBody(EndpointSend& send, std::string_view bytes)
{
  const Time now = bootTime();
  send.lastByteAt = now;
  if (&send == standby_.get()) {
    handleStandbyBody(now, bytes);
    return;
  }
  if (stage_ != Stage::relaying) {
    return;
  }
  send.stalled = false;
  if (standby_) {
    cancelStandby(now, std::string(kFirstEndpointResponds));
  }
  if (relaysWholeEvents_) {
    if (!relayEvents(eventRelay_.feed(bytes))) {
      return;
    }
  } else {
    const bool hasEvents = modelService_ || requestInfo_.kind == fleet::RouteKind::stream;
    if (hasEvents && status_ < 300) {
      const auto events = events_.feed(bytes);
      deliveredEvents_ += events;
      if (events > 0) {
        recordOrigin(now);
      }
      recordProgress(modelService_ ? events : 0);
    }
    relay(bytes);
  }
  pauseForSlowCaller();
}

void Exchange::pauseForSlowCaller()
{
  if (request_->pendingBytes() > kMaxPendingBytes) {
    readingPaused_ = true;
    send_->call->pause();
    services_.dispatcher.readingPaused(send_->dispatchId);
  }
}

bool Exchange::relayEvents(const EventRelay::Part& part)
{
  deliveredEvents_ += part.events;
  if (part.events > 0) {
    recordOrigin(bootTime());
    withoutEndpointSince_.reset();
  }
  recordProgress(part.events);
  relay(part.buffered);
  relay(part.remainder);
  if (part.continuesStream) {
    return true;
  }
  const Time now = bootTime();
  endSend(now, *send_, dispatch::Outcome::malformed);
  abortResponse(now, kDifferentEvents);
  return false;
}

void Exchange::relay(std::string_view bytes)
{
  if (bytes.empty()) {
    return;
  }
  deliveredBytes_ += static_cast<std::int64_t>(bytes.size());
  request_->write(bytes);
}

void Exchange::recordProgress(std::int64_t events)
{
  if (events == 0) {
    return;
  }
  const Time now = bootTime();
  const auto tokens = events * tokensPerEvent_;
  if (modelService_) {
    deliveredTokens_ += tokens;
  }
  recordFirstByte(now);
  if (lastEventAt_.micros > 0) {
    longestPause_ = std::max(longestPause_, now - lastEventAt_);
  }
  lastEventAt_ = now;
  services_.dispatcher.progress(now, send_->dispatchId, tokens);
}

void Exchange::onComplete(EndpointSend& send, const http::ResponseEnd& responseEnd)
{
  const Time now = bootTime();
  if (&send == standby_.get()) {
    // The first endpoint has not ended its response, so this one does not show that it is whole.
    failStandby(now, dispatch::Outcome::cancelled, "the second response has no event");
    return;
  }
  if (stage_ == Stage::relaying) {
    completeResponse(now, responseEnd);
  }
}

void Exchange::completeResponse(Time now, const http::ResponseEnd& responseEnd)
{
  if (mayHaveExpired(now, responseEnd)) {
    handleExpiry(now);
    return;
  }
  if (isBrokenOff()) {
    onFailure(*send_, { http::CallFailureKind::closed, true, true, false, "inside an event" });
    return;
  }
  if (relaysWholeEvents_) {
    const auto rest = eventRelay_.finish();
    if (!rest) {
      endSend(now, *send_, dispatch::Outcome::malformed);
      abortResponse(now, kDifferentEvents);
      return;
    }
    relay(*rest);
  }
  if (send_->bodyDelimiter == http::BodyDelimiter::connectionEnd) {
    services_.metrics.count(send_->tunnelPeer ? "bodies_ended_with_tunnel"
                                              : "bodies_ended_with_connection");
  }
  endSend(
    now, *send_, status_ >= 500 ? dispatch::Outcome::serverError : dispatch::Outcome::answered);
  request_->finish();
  end(now, "answered", status_, "");
}

bool Exchange::mayHaveExpired(Time now, const http::ResponseEnd& end) const
{
  if (send_->bodyDelimiter == http::BodyDelimiter::length || now < send_->deadline) {
    return false;
  }
  const Time endedAt = now + (http::ResponseEnd::kBufferedTimeStep - end.bufferedTime);
  return endedAt >= std::min(deadline_, send_->deadline);
}

bool Exchange::isBrokenOff() const
{
  if (send_->bodyDelimiter != http::BodyDelimiter::connectionEnd || status_ >= 300 ||
      requestInfo_.kind != fleet::RouteKind::stream) {
    return false;
  }
  return relaysWholeEvents_ ? eventRelay_.isInsideEvent() : events_.isInsideEvent();
}

} // namespace figchute::router
