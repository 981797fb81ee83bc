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

void Exchange::onHead(const http::ResponseHead& head)
{
  const Time now = bootTime();
  lastByteAt_ = now;
  services_.link.answered(now, now - sendStartedAt_);
  reusedConnectionFailed_ = false;
  const auto report = parseEndpointReport(services_.dialect.fields(), head);
  const bool marked = report.marked;
  const bool notExecuted = report.notExecuted;
  recordReport(now, head, report);
  if (head.status == kMisdirectedRequest) {
    handleFailedSend(
      now, dispatch::Outcome::wrongEndpoint, false, "another endpoint uses this address");
    return;
  }
  if (notExecuted && (head.status >= 500 || head.status == 429 || head.status == 408)) {
    handleFailedSend(
      now, dispatch::Outcome::notExecuted, false, fmt::format("status {}", head.status));
    return;
  }
  mayHaveRun_ = mayHaveRun_ || !notExecuted;
  bodyDelimiter_ = head.bodyDelimiter();
  if (hasResponseStarted()) {
    continueResponse(now, head, marked);
    return;
  }
  if (!notExecuted && (guaranteesNotExecuted(head.status) || (!marked && head.status < 400))) {
    handleFailedSend(now,
                     dispatch::Outcome::malformed,
                     true,
                     fmt::format("status {} without the endpoint's marker", head.status));
    return;
  }
  if (head.status >= 500 && isRepeatable() && sendCount_ < requestInfo_.maxAttempts) {
    handleFailedSend(
      now, dispatch::Outcome::serverError, true, fmt::format("status {}", head.status));
    return;
  }
  startRelay(head);
}

void Exchange::recordReport(Time now, const http::ResponseHead& head, const EndpointReport& report)
{
  auto& dispatcher = services_.dispatcher;
  if (report.load) {
    dispatcher.load(now, endpoint_, *report.load);
  }
  const bool namesLimit = head.fields.find(services_.dialect.fields().rateLimit) != nullptr;
  const bool endsLimit = !namesLimit && report.marked && head.status / 100 == 2;
  if (report.rateLimit || endsLimit) {
    dispatcher.answerHead(now, id_, report.rateLimit);
  }
  // With status 421, another endpoint speaks about itself.
  if (head.status != kMisdirectedRequest) {
    dispatcher.responseHead(now, id_);
    const bool namesBrittle = head.fields.find(services_.dialect.fields().brittle) != nullptr;
    if (report.brittle || (!namesBrittle && report.marked)) {
      dispatcher.endpointBrittle(id_, report.brittle);
    }
    if (report.cold) {
      dispatcher.endpointCold(now, id_, *report.cold);
    }
    if (report.leaving) {
      dispatcher.endpointLeaving(now, id_);
    }
    if (report.backoff) {
      dispatcher.endpointBackoff(now, id_, *report.backoff);
    }
  }
  logUnreadableFields(now, report);
}

void Exchange::startRelay(const http::ResponseHead& head)
{
  const Time now = bootTime();
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

void Exchange::continueResponse(Time now, const http::ResponseHead& head, bool marked)
{
  const bool plain = head.fields.find("Content-Encoding") == nullptr;
  if (!marked || head.status / 100 != 2 || !plain) {
    const auto outcome =
      head.status >= 500 ? dispatch::Outcome::serverError : dispatch::Outcome::malformed;
    const auto detail = fmt::format("status {} does not continue the stream", head.status);
    call_->cancel();
    endSend(now, outcome);
    logFailedSend(now, outcome, detail);
    abortResponse(now, detail);
    return;
  }
  stage_ = Stage::relaying;
  eventRelay_.continueStream();
  services_.metrics.count("streams_continued");
  services_.log.line(now,
                     "stream_continued",
                     { { "request", requestId_ },
                       { "endpoint", endpoint_.value },
                       { "version", chosenEndpoint_.softwareVersion },
                       { "last_event", std::to_string(eventRelay_.lastId().value_or(0)) } });
  if (!modelService_) {
    recordFirstByte(now);
  }
}

void Exchange::recordFirstByte(Time now)
{
  if (!std::exchange(firstByteReported_, true)) {
    services_.dispatcher.firstByte(now, id_);
  }
  if (firstByteAt_.micros == 0) {
    firstByteAt_ = now;
    services_.metrics.record("first_byte", now - arrivedAt_);
  }
}

void Exchange::onBody(std::string_view bytes)
{
  if (stage_ != Stage::relaying) {
    return;
  }
  stalled_ = false;
  lastByteAt_ = bootTime();
  if (relaysWholeEvents_) {
    if (!relayEvents(bytes)) {
      return;
    }
  } else {
    const bool hasEvents = modelService_ || requestInfo_.kind == fleet::RouteKind::stream;
    if (hasEvents && status_ < 300) {
      const auto events = events_.feed(bytes);
      deliveredEvents_ += events;
      if (events > 0) {
        recordOrigin(bootTime());
      }
      recordProgress(modelService_ ? events : 0);
    }
    relay(bytes);
  }
  if (request_->pendingBytes() > kMaxPendingBytes) {
    readingPaused_ = true;
    call_->pause();
  }
}

bool Exchange::relayEvents(std::string_view bytes)
{
  const auto part = eventRelay_.feed(bytes);
  deliveredEvents_ += part.events;
  if (part.events > 0) {
    recordOrigin(bootTime());
  }
  recordProgress(part.events);
  relay(part.buffered);
  relay(part.remainder);
  if (part.continuesStream) {
    return true;
  }
  const Time now = bootTime();
  call_->cancel();
  endSend(now, dispatch::Outcome::malformed);
  abortResponse(now, "the second response does not continue the stream");
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
  services_.dispatcher.progress(now, id_, tokens);
}

void Exchange::onComplete(const http::ResponseEnd& responseEnd)
{
  if (stage_ != Stage::relaying) {
    return;
  }
  if (mayHaveExpired(bootTime(), responseEnd)) {
    handleExpiry(bootTime());
    return;
  }
  if (isBrokenOff()) {
    onFailure({ http::CallFailureKind::closed, true, true, false, "inside an event" });
    return;
  }
  const Time now = bootTime();
  if (relaysWholeEvents_) {
    const auto rest = eventRelay_.finish();
    if (!rest) {
      endSend(now, dispatch::Outcome::malformed);
      abortResponse(now, "the second response does not continue the stream");
      return;
    }
    relay(*rest);
  }
  if (bodyDelimiter_ == http::BodyDelimiter::connectionEnd) {
    services_.metrics.count(tunnelPeer_ ? "bodies_ended_with_tunnel"
                                        : "bodies_ended_with_connection");
  }
  endSend(now, status_ >= 500 ? dispatch::Outcome::serverError : dispatch::Outcome::answered);
  request_->finish();
  end(now, "answered", status_, "");
}

bool Exchange::mayHaveExpired(Time now, const http::ResponseEnd& end) const
{
  if (bodyDelimiter_ == http::BodyDelimiter::length || now < endpointDeadline_) {
    return false;
  }
  const Time endedAt = now + (http::ResponseEnd::kBufferedTimeStep - end.bufferedTime);
  return endedAt >= std::min(deadline_, endpointDeadline_);
}

bool Exchange::isBrokenOff() const
{
  if (bodyDelimiter_ != http::BodyDelimiter::connectionEnd || status_ >= 300 ||
      requestInfo_.kind != fleet::RouteKind::stream) {
    return false;
  }
  return relaysWholeEvents_ ? eventRelay_.isInsideEvent() : events_.isInsideEvent();
}

} // namespace figchute::router
