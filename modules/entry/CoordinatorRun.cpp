#include "entry/Billing.h"
#include "entry/Coordinator.h"
#include "settings/settings.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::entry {
namespace {

using namespace std::chrono_literals;

/** Timeout of a non-repeatable call. It is long because cancelling the call early gains nothing: it
    cannot be retried elsewhere. */
constexpr Duration kNonRepeatableTimeout = 30s;
/** A repeatable plain call without a response for this long is retried at another endpoint. */
constexpr Duration kRepeatableTimeout = 1s;
constexpr Duration kConnectTimeout = 500ms;

/** Returns the timeout for the first byte of an engine's answer. It is three times the target so
    that a request that is only late is not started twice. */
Duration firstByteTimeout(const Request& request)
{
  return std::clamp<Duration>(request.target * 3, 1s, 30s);
}

/** Returns the timeout between data of a running stream. It is longer for batch requests, because
    engines pause them in favour of urgent ones. */
Duration progressTimeout(Rank rank)
{
  return rank == Rank::batch ? Duration(10s) : Duration(2s);
}

/** Converts unknown_model and unknown_service errors of the router into no_endpoint. The document
    contains the model or service, so the name is valid and only endpoints are missing. */
Error asNoEndpoint(const Error& error)
{
  const bool unknown =
    error.kind == ErrorKind::unknownModel || error.kind == ErrorKind::unknownService;
  return unknown ? Error{ ErrorKind::noEndpoint, error.detail } : error;
}

bool isOverloadStatus(int status)
{
  return status == 429 || status == 503;
}

} // namespace

void Coordinator::submitToRouter(Time now, Request& request)
{
  routing::RequestInfo requestInfo;
  requestInfo.id = request.input.id;
  requestInfo.workspace = request.caller.workspace;
  requestInfo.caller = request.caller.caller;
  requestInfo.rank = request.caller.rank;
  requestInfo.arrival = request.arrival;
  requestInfo.deadline = request.arrival + request.target;
  if (request.chat) {
    requestInfo.model = request.chat->request.model();
    requestInfo.promptBytes = request.chat->request.promptBytes();
    requestInfo.prefixChain = request.chat->request.prefixChain();
    requestInfo.maxTokens = request.chat->maxTokens;
  } else {
    requestInfo.kind = routing::EndpointKind::plain;
    requestInfo.service = request.plain->service;
    requestInfo.repeatable = request.plain->repeatable;
  }
  request.phase = RequestPhase::queued;
  const auto submitResult = dependencies_.router.submit(now, std::move(requestInfo));
  if (!submitResult) {
    refuse(now, request, asNoEndpoint(submitResult.error()), submitResult.error().retryAfter);
  }
}

void Coordinator::handleAction(Time now, const routing::Action& action)
{
  if (const auto* dispatchAction = std::get_if<routing::Dispatch>(&action)) {
    if (auto* request = findRequest(dispatchAction->id); request != nullptr) {
      dispatch(now, *request, *dispatchAction);
    }
  } else if (const auto* refusedAction = std::get_if<routing::Refused>(&action)) {
    if (auto* request = findRequest(refusedAction->id); request != nullptr) {
      refuse(now, *request, refusedAction->refusal, refusedAction->refusal.retryAfter);
    }
  } else if (const auto* cancelAction = std::get_if<routing::CancelStream>(&action)) {
    auto* request = findRequest(cancelAction->id);
    if (request != nullptr && request->phase == RequestPhase::running) {
      cancelAttempt(*request);
      request->phase = RequestPhase::queued;
      dependencies_.router.cancelled(now, cancelAction->id);
    }
  }
}

void Coordinator::dispatch(Time /*now*/, Request& request, const routing::Dispatch& dispatch)
{
  request.phase = RequestPhase::running;
  request.endpoint = dispatch.endpoint;
  request.address = dispatch.address;
  if (request.attempt > 0 && request.chat) {
    request.chat->exchange.restart();
  }
  if (request.plain) {
    request.plain->exchange.restart();
  }
  startAttempt(request, false);
}

void Coordinator::startAttempt(Request& request, bool continueFromEnd)
{
  ++request.attempt;
  auto call = request.chat ? makeChatCall(request, continueFromEnd) : makePlainCall(request);
  call.request = request.input.id;
  call.connectTimeout = kConnectTimeout;
  if (const auto address = settings::parseAddress(request.address)) {
    call.host = address->ip;
    call.port = address->port;
  }
  dependencies_.upstream.start(std::move(call), request.attempt);
}

gateway::UpstreamCall Coordinator::makeChatCall(const Request& request, bool continueFromEnd) const
{
  gateway::EngineOptions options;
  options.maxTokens = request.chat->maxTokens;
  options.rank = request.caller.rank;
  if (continueFromEnd) {
    options.continueAfter = request.chat->exchange.deliveredText();
    options.maxTokens -= request.chat->exchange.completionTokens();
  }
  gateway::UpstreamCall call;
  call.target = "/v1/chat/completions";
  call.headers = { { "Content-Type", "application/json" },
                   { "X-Figchute-Rank", std::string(toString(request.caller.rank)) } };
  call.body = request.chat->request.engineBody(options);
  call.firstByteTimeout = firstByteTimeout(request);
  call.progressTimeout = progressTimeout(request.caller.rank);
  return call;
}

gateway::UpstreamCall Coordinator::makePlainCall(const Request& request) const
{
  gateway::UpstreamCall call;
  call.method = request.input.method;
  call.target = request.plain->target;
  call.body = request.input.body;
  call.mayReuseConnection = request.plain->repeatable;
  call.firstByteTimeout = request.plain->repeatable ? kRepeatableTimeout : kNonRepeatableTimeout;
  call.progressTimeout = call.firstByteTimeout;
  if (!request.input.contentType.empty()) {
    call.headers.push_back({ "Content-Type", request.input.contentType });
  }
  if (!request.input.idempotencyKey.empty()) {
    call.headers.push_back({ "Idempotency-Key", request.input.idempotencyKey });
  }
  if (request.plain->fencingToken != 0) {
    call.headers.push_back({ "X-Fencing", std::to_string(request.plain->fencingToken) });
  }
  return call;
}

void Coordinator::cancelAttempt(Request& request)
{
  // Makes pending events of the cancelled attempt outdated, so that they are ignored.
  ++request.attempt;
  dependencies_.upstream.cancel(request.input.id);
}

void Coordinator::handleUpstreamEvent(Time now,
                                      const RequestId& id,
                                      std::uint32_t attempt,
                                      gateway::UpstreamEvent event)
{
  auto* request = findRequest(id);
  if (request == nullptr || request->attempt != attempt ||
      request->phase != RequestPhase::running) {
    return;
  }
  std::visit([&](const auto& typed) { handle(now, *request, typed); }, event);
}

void Coordinator::handle(Time now, Request& request, const gateway::UpstreamHead& head)
{
  const bool retryable = request.chat || request.plain->repeatable;
  if (isOverloadStatus(head.status) && retryable) {
    cancelAttempt(request);
    handleFailedAttempt(
      now,
      request,
      Error{ ErrorKind::overloaded,
             fmt::format("endpoint {} answered {}", request.endpoint.value, head.status) },
      routing::AttemptFailure::notRun);
    return;
  }
  request.mayHaveRun = true;
  if (request.plain) {
    request.plain->exchange.setHead(head);
    return;
  }
  if (head.status != 200) {
    cancelAttempt(request);
    handleEngineError(now, request, head.status);
  }
}

void Coordinator::handleEngineError(Time now, Request& request, int status)
{
  const auto detail = fmt::format("endpoint {} answered {}", request.endpoint.value, status);
  if (status >= 400 && status < 500) {
    dependencies_.router.finished(now, request.input.id, routing::Outcome::abandoned);
    request.mayHaveRun = false;
    request.phase = RequestPhase::recording;
    refuse(now, request, Error{ ErrorKind::badRequest, detail });
    return;
  }
  handleFailedAttempt(
    now, request, Error{ ErrorKind::endpointFailed, detail }, routing::AttemptFailure::failed);
}

void Coordinator::handle(Time now, Request& request, const gateway::UpstreamBody& body)
{
  if (request.chat) {
    handleChatBytes(now, request, body.bytes);
    return;
  }
  if (const auto appendResult = request.plain->exchange.appendBody(body.bytes); !appendResult) {
    cancelAttempt(request);
    handleFailedAttempt(now, request, appendResult.error(), routing::AttemptFailure::failed);
  }
}

void Coordinator::handleChatBytes(Time now, Request& request, std::string_view bytes)
{
  auto& exchange = request.chat->exchange;
  auto progress = exchange.feed(bytes);
  if (progress) {
    handleChatProgress(now, request, std::move(*progress));
    return;
  }
  cancelAttempt(request);
  if (progress.error().kind == ErrorKind::codecError) {
    // The engine generated a different text, so the next attempt continues after the delivered
    // text.
    dependencies_.metrics.count("streams_continued");
    exchange.continueFromEnd();
    startAttempt(request, true);
    return;
  }
  if (progress.error().kind == ErrorKind::answerMismatch) {
    dependencies_.metrics.count("answers_mismatched");
  }
  handleFailedAttempt(now, request, progress.error(), routing::AttemptFailure::failed);
}

void Coordinator::handleChatProgress(Time now, Request& request, ChatProgress progress)
{
  const auto& exchange = request.chat->exchange;
  if (progress.promptTokensKnown && request.isBilled()) {
    dependencies_.quotaManager.reduceReservation(
      now, request.input.id, chatPromptTokens(request) + request.chat->maxTokens);
  }
  if (progress.firstText) {
    request.firstTextReceived = true;
    dependencies_.router.firstToken(now, request.input.id);
    dependencies_.metrics.record("ttft_" + std::string(toString(request.caller.rank)),
                                 now - request.arrival);
  }
  if (request.firstTextReceived) {
    dependencies_.router.progress(now, request.input.id, exchange.completionTokens());
  }
  if (request.chat->request.isStreamed() && !progress.events.empty()) {
    if (!request.responseStarted) {
      request.sink->begin(200, { { "Content-Type", "text/event-stream" } }, true);
      request.responseStarted = true;
    }
    request.sink->write(std::move(progress.events));
  }
  if (progress.truncated) {
    cancelAttempt(request);
  }
  if (progress.complete) {
    completeChat(now, request);
  }
}

void Coordinator::handle(Time now, Request& request, const gateway::UpstreamDone& /*done*/)
{
  if (request.plain) {
    completePlain(now, request);
    return;
  }
  if (request.chat->exchange.isComplete()) {
    completeChat(now, request);
    return;
  }
  handleFailedAttempt(
    now,
    request,
    Error{ ErrorKind::endpointFailed, "the stream ended before the answer was complete" },
    routing::AttemptFailure::failed);
}

void Coordinator::handle(Time now, Request& request, const gateway::UpstreamFailed& failed)
{
  if (failed.error.kind == ErrorKind::answerMismatch) {
    dependencies_.metrics.count("answers_mismatched");
  }
  if (!failed.mayHaveBeenSent) {
    handleFailedAttempt(now, request, failed.error, routing::AttemptFailure::notRun);
    return;
  }
  request.mayHaveRun = true;
  if (failed.error.kind == ErrorKind::endpointTimeout) {
    handleFailedAttempt(now, request, failed.error, routing::AttemptFailure::stalled);
    return;
  }
  if (failed.error.kind == ErrorKind::endpointFailed && !failed.reusedConnection) {
    reportCrash(now, request);
  }
  handleFailedAttempt(now, request, failed.error, routing::AttemptFailure::failed);
}

void Coordinator::reportCrash(Time now, Request& request)
{
  if (!request.chat) {
    return;
  }
  crashTable_.recordCrash(now, request.contentFingerprint);
  dependencies_.metrics.count("endpoint_crashes_seen");
  dependencies_.proposer.propose(
    now,
    ledger::CrashReport{
      dependencies_.self, request.input.id, request.endpoint, request.contentFingerprint });
}

void Coordinator::handleFailedAttempt(Time now,
                                      Request& request,
                                      const Error& error,
                                      routing::AttemptFailure failure)
{
  dependencies_.metrics.count("attempts_failed");
  const bool mayRunAgain = !isQuarantined(now, request.contentFingerprint);
  if (mayRunAgain && !request.callerDisconnected) {
    const auto nextDispatch = dependencies_.router.retry(now, request.input.id, failure);
    if (nextDispatch) {
      dependencies_.metrics.count("retries");
      dispatch(now, request, *nextDispatch);
      return;
    }
  } else {
    dependencies_.router.finished(now, request.input.id, routing::Outcome::failed);
  }
  if (request.needsClaim() && request.mayHaveRun) {
    if (request.isBilled()) {
      dependencies_.quotaManager.release(now, request.input.id);
    }
    request.failure = Error{ ErrorKind::outcomeUnknown, error.detail };
    request.phase = RequestPhase::recording;
    request.waitDeadline = now + kOutcomeTimeout;
    recordOutcome(now, request, ledger::OutcomeKind::unknown);
    return;
  }
  request.phase = RequestPhase::recording;
  refuse(now, request, error);
}

void Coordinator::completeChat(Time now, Request& request)
{
  dependencies_.router.finished(now, request.input.id, routing::Outcome::completed);
  chargeRequest(now, request, chatCharge(request));
}

void Coordinator::completePlain(Time now, Request& request)
{
  dependencies_.router.firstToken(now, request.input.id);
  dependencies_.router.finished(now, request.input.id, routing::Outcome::completed);
  dependencies_.metrics.record("plain_answer", now - request.arrival);
  if (request.needsClaim()) {
    recordOutcome(now, request, ledger::OutcomeKind::done);
  }
  chargeRequest(now, request, request.maxCharge);
}

} // namespace figchute::entry
