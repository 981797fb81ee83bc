#include "entry/Billing.h"
#include "entry/Coordinator.h"
#include "settings/settings.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::entry {
namespace {

using namespace std::chrono_literals;

/** A non-repeatable call waits this long for its answer: cutting it early gains nothing. */
constexpr Duration kSingleRunTimeout = 30s;
/** A repeatable plain call that is silent for this long goes to another endpoint. */
constexpr Duration kLookupTimeout = 1s;
constexpr Duration kConnectTimeout = 500ms;

/** Returns how long an engine may take to the first byte: three times the target, so that a request
    that is merely late is not started twice. */
Duration firstByteTimeout(const Request& request)
{
  return std::clamp<Duration>(request.target * 3, 1s, 30s);
}

/** Returns how long a running stream may be silent. Engines pause batch work for urgent work. */
Duration progressTimeout(Rank rank)
{
  return rank == Rank::batch ? Duration(10s) : Duration(2s);
}

/** Turns the router's "nobody serves this" into no_endpoint: the document names the model or
   service, so the name is right and only its endpoints are missing. */
Error namedByDocument(const Error& error)
{
  const bool unknown =
    error.kind == ErrorKind::unknownModel || error.kind == ErrorKind::unknownService;
  return unknown ? Error{ ErrorKind::noEndpoint, error.detail } : error;
}

bool isRefusedByLoad(int status)
{
  return status == 429 || status == 503;
}

} // namespace

void Coordinator::enqueue(Time now, Request& request)
{
  routing::Work work;
  work.id = request.input.id;
  work.workspace = request.caller.workspace;
  work.caller = request.caller.caller;
  work.rank = request.caller.rank;
  work.arrival = request.arrival;
  work.deadline = request.arrival + request.target;
  if (request.chat) {
    work.model = request.chat->request.model();
    work.promptBytes = request.chat->request.promptBytes();
    work.prefixChain = request.chat->request.prefixChain();
    work.maxTokens = request.chat->maxTokens;
  } else {
    work.kind = routing::WorkKind::plain;
    work.service = request.plain->service;
    work.repeatable = request.plain->repeatable;
  }
  request.phase = Phase::queued;
  const auto accepted = parts_.router.submit(now, std::move(work));
  if (!accepted) {
    refuse(now, request, namedByDocument(accepted.error()), accepted.error().retryAfter);
  }
}

void Coordinator::handleAction(Time now, const routing::Action& action)
{
  if (const auto* order = std::get_if<routing::Dispatch>(&action)) {
    if (auto* request = find(order->id); request != nullptr) {
      dispatch(now, *request, *order);
    }
  } else if (const auto* refused = std::get_if<routing::Refused>(&action)) {
    if (auto* request = find(refused->id); request != nullptr) {
      refuse(now, *request, refused->refusal, refused->refusal.retryAfter);
    }
  } else if (const auto* cancel = std::get_if<routing::CancelStream>(&action)) {
    auto* request = find(cancel->id);
    if (request != nullptr && request->phase == Phase::running) {
      cancelAttempt(*request);
      request->phase = Phase::queued;
      parts_.router.cancelled(now, cancel->id);
    }
  }
}

void Coordinator::dispatch(Time /*now*/, Request& request, const routing::Dispatch& dispatch)
{
  request.phase = Phase::running;
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
  auto call = request.chat ? chatCall(request, continueFromEnd) : plainCall(request);
  call.request = request.input.id;
  call.connectTimeout = kConnectTimeout;
  if (const auto address = settings::parseAddress(request.address)) {
    call.host = address->ip;
    call.port = address->port;
  }
  parts_.upstream.start(std::move(call), request.attempt);
}

gateway::UpstreamCall Coordinator::chatCall(const Request& request, bool continueFromEnd) const
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

gateway::UpstreamCall Coordinator::plainCall(const Request& request) const
{
  gateway::UpstreamCall call;
  call.method = request.input.method;
  call.target = request.plain->target;
  call.body = request.input.body;
  call.mayReuseConnection = request.plain->repeatable;
  call.firstByteTimeout = request.plain->repeatable ? kLookupTimeout : kSingleRunTimeout;
  call.progressTimeout = call.firstByteTimeout;
  if (!request.input.contentType.empty()) {
    call.headers.push_back({ "Content-Type", request.input.contentType });
  }
  if (!request.input.idempotencyKey.empty()) {
    call.headers.push_back({ "Idempotency-Key", request.input.idempotencyKey });
  }
  if (request.plain->fencing != 0) {
    call.headers.push_back({ "X-Fencing", std::to_string(request.plain->fencing) });
  }
  return call;
}

void Coordinator::cancelAttempt(Request& request)
{
  // Events of the cancelled attempt that are still on their way carry an older number.
  ++request.attempt;
  parts_.upstream.cancel(request.input.id);
}

void Coordinator::takeUpstream(Time now,
                               const RequestId& id,
                               std::uint32_t attempt,
                               gateway::UpstreamEvent event)
{
  auto* request = find(id);
  if (request == nullptr || request->attempt != attempt || request->phase != Phase::running) {
    return;
  }
  std::visit([&](const auto& typed) { handle(now, *request, typed); }, event);
}

void Coordinator::handle(Time now, Request& request, const gateway::UpstreamHead& head)
{
  const bool retryable = request.chat || request.plain->repeatable;
  if (isRefusedByLoad(head.status) && retryable) {
    cancelAttempt(request);
    failAttempt(
      now,
      request,
      Error{ ErrorKind::overloaded,
             fmt::format("endpoint {} answered {}", request.endpoint.value, head.status) },
      routing::AttemptFailure::notRun);
    return;
  }
  request.mayHaveRun = true;
  if (request.plain) {
    request.plain->exchange.takeHead(head);
    return;
  }
  if (head.status != 200) {
    cancelAttempt(request);
    refuseByEngine(now, request, head.status);
  }
}

void Coordinator::refuseByEngine(Time now, Request& request, int status)
{
  const auto detail = fmt::format("endpoint {} answered {}", request.endpoint.value, status);
  if (status >= 400 && status < 500) {
    parts_.router.finished(now, request.input.id, routing::Outcome::abandoned);
    request.mayHaveRun = false;
    request.phase = Phase::recording;
    refuse(now, request, Error{ ErrorKind::badRequest, detail });
    return;
  }
  failAttempt(
    now, request, Error{ ErrorKind::endpointFailed, detail }, routing::AttemptFailure::failed);
}

void Coordinator::handle(Time now, Request& request, const gateway::UpstreamBody& body)
{
  if (request.chat) {
    takeChatBytes(now, request, body.bytes);
    return;
  }
  if (const auto taken = request.plain->exchange.takeBody(body.bytes); !taken) {
    cancelAttempt(request);
    failAttempt(now, request, taken.error(), routing::AttemptFailure::failed);
  }
}

void Coordinator::takeChatBytes(Time now, Request& request, std::string_view bytes)
{
  auto& exchange = request.chat->exchange;
  auto step = exchange.feed(bytes);
  if (step) {
    takeChatStep(now, request, std::move(*step));
    return;
  }
  cancelAttempt(request);
  if (step.error().kind == ErrorKind::codecError) {
    // The engine does not generate the same text again, so it continues after what was delivered.
    parts_.metrics.count("streams_continued");
    exchange.continueFromEnd();
    startAttempt(request, true);
    return;
  }
  if (step.error().kind == ErrorKind::answerMismatch) {
    parts_.metrics.count("answers_mismatched");
  }
  failAttempt(now, request, step.error(), routing::AttemptFailure::failed);
}

void Coordinator::takeChatStep(Time now, Request& request, ChatStep step)
{
  const auto& exchange = request.chat->exchange;
  if (step.promptKnown && request.isBilled()) {
    parts_.wallet.tighten(
      now, request.input.id, chatPromptTokens(request) + request.chat->maxTokens);
  }
  if (step.firstText) {
    request.firstTextSeen = true;
    parts_.router.firstToken(now, request.input.id);
    parts_.metrics.record("ttft_" + std::string(toString(request.caller.rank)),
                          now - request.arrival);
  }
  if (request.firstTextSeen) {
    parts_.router.progress(now, request.input.id, exchange.completionTokens());
  }
  if (request.chat->request.streamed() && !step.events.empty()) {
    if (!request.answerBegun) {
      request.sink->begin(200, { { "Content-Type", "text/event-stream" } }, true);
      request.answerBegun = true;
    }
    request.sink->write(std::move(step.events));
  }
  if (step.cut) {
    cancelAttempt(request);
  }
  if (step.complete) {
    completeChat(now, request);
  }
}

void Coordinator::handle(Time now, Request& request, const gateway::UpstreamDone& /*done*/)
{
  if (request.plain) {
    completePlain(now, request);
    return;
  }
  if (request.chat->exchange.complete()) {
    completeChat(now, request);
    return;
  }
  failAttempt(now,
              request,
              Error{ ErrorKind::endpointFailed, "the stream ended before the answer was complete" },
              routing::AttemptFailure::failed);
}

void Coordinator::handle(Time now, Request& request, const gateway::UpstreamFailed& failed)
{
  if (failed.error.kind == ErrorKind::answerMismatch) {
    parts_.metrics.count("answers_mismatched");
  }
  if (!failed.mayHaveBeenSent) {
    failAttempt(now, request, failed.error, routing::AttemptFailure::notRun);
    return;
  }
  request.mayHaveRun = true;
  if (failed.error.kind == ErrorKind::endpointTimeout) {
    failAttempt(now, request, failed.error, routing::AttemptFailure::stalled);
    return;
  }
  if (failed.error.kind == ErrorKind::endpointFailed && !failed.reusedConnection) {
    noteCrash(now, request);
  }
  failAttempt(now, request, failed.error, routing::AttemptFailure::failed);
}

void Coordinator::noteCrash(Time now, Request& request)
{
  if (!request.chat) {
    return;
  }
  crashes_.count(now, request.content);
  parts_.metrics.count("endpoint_crashes_seen");
  parts_.proposer.propose(
    now, ledger::CrashReport{ parts_.self, request.input.id, request.endpoint, request.content });
}

void Coordinator::failAttempt(Time now,
                              Request& request,
                              const Error& error,
                              routing::AttemptFailure failure)
{
  parts_.metrics.count("attempts_failed");
  const bool mayRunAgain = !isQuarantined(now, request.content);
  if (mayRunAgain && !request.callerGone) {
    const auto next = parts_.router.retry(now, request.input.id, failure);
    if (next) {
      parts_.metrics.count("retries");
      dispatch(now, request, *next);
      return;
    }
  } else {
    parts_.router.finished(now, request.input.id, routing::Outcome::failed);
  }
  if (request.needsClaim() && request.mayHaveRun) {
    if (request.isBilled()) {
      parts_.wallet.release(now, request.input.id);
    }
    request.failure = Error{ ErrorKind::outcomeUnknown, error.detail };
    request.phase = Phase::recording;
    request.waitDeadline = now + kOutcomeWait;
    recordOutcome(now, request, ledger::OutcomeKind::unknown);
    return;
  }
  request.phase = Phase::recording;
  refuse(now, request, error);
}

void Coordinator::completeChat(Time now, Request& request)
{
  parts_.router.finished(now, request.input.id, routing::Outcome::completed);
  bill(now, request, chatBill(request));
}

void Coordinator::completePlain(Time now, Request& request)
{
  parts_.router.firstToken(now, request.input.id);
  parts_.router.finished(now, request.input.id, routing::Outcome::completed);
  parts_.metrics.record("plain_answer", now - request.arrival);
  if (request.needsClaim()) {
    recordOutcome(now, request, ledger::OutcomeKind::done);
  }
  bill(now, request, request.bound);
}

} // namespace figchute::entry
