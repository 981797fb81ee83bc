#include "entry/Coordinator.h"

#include "entry/Billing.h"
#include "entry/KeyTime.h"

#include <algorithm>
#include <cmath>

namespace figchute::entry {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 255;
/** Tokens that a chat template adds to each message, and once to each prompt, at most. */
constexpr Tokens kTokensPerMessage{ 16 };
constexpr Tokens kTokensPerPrompt{ 16 };

/** Returns the most prompt tokens that the engine can count for a request. */
Tokens boundPrompt(const gateway::ChatRequest& chat, const document::Model& model)
{
  const auto bytes = static_cast<double>(chat.promptBytes());
  const Tokens text{ static_cast<std::int64_t>(std::ceil(bytes / model.minBytesPerToken)) };
  const auto messages = static_cast<std::int64_t>(chat.messages().size());
  return text + Tokens{ messages * kTokensPerMessage.count } + kTokensPerPrompt;
}

std::string_view pathOf(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

} // namespace

Coordinator::Coordinator(CoordinatorParts parts)
  : parts_(std::move(parts))
  , directory_(std::make_shared<const Directory>())
{
}

void Coordinator::setDirectory(std::shared_ptr<const Directory> directory)
{
  directory_ = std::move(directory);
  parts_.router.setPolicy(directory_->policy());
}

void Coordinator::setQuarantine(const std::vector<ledger::QuarantineEntry>& entries)
{
  quarantine_.clear();
  for (const auto& entry : entries) {
    quarantine_[entry.fingerprint] = entry.until;
  }
}

void Coordinator::arrive(Time now,
                         gateway::CallerRequest input,
                         std::shared_ptr<gateway::ResponseSink> sink)
{
  parts_.metrics.count("requests");
  auto checked = check(now, input);
  if (!checked) {
    parts_.metrics.count("refused_" + std::string(errorTraits(checked.error().kind).name));
    sink->fail(checked.error(), std::nullopt, input.id);
    return;
  }
  const RequestId id = checked->input.id;
  checked->sink = std::move(sink);
  auto& request = requests_.insert_or_assign(id, std::move(*checked)).first->second;
  reserve(now, request);
}

Expected<Request> Coordinator::check(Time now, gateway::CallerRequest& input) const
{
  if (input.authorization.rfind(kBearer, 0) != 0) {
    return fail(ErrorKind::unauthenticated, "a bearer key is required");
  }
  const auto* caller =
    directory_->findCaller(std::string_view(input.authorization).substr(kBearer.size()));
  if (caller == nullptr) {
    return fail(ErrorKind::unauthenticated, "the bearer key belongs to no caller");
  }
  if (input.idempotencyKey.size() > kMaxKeyBytes) {
    return fail(ErrorKind::badRequest, "Idempotency-Key is longer than 255 bytes");
  }
  Request request;
  request.caller = *caller;
  request.arrival = now;
  if (!input.rank.empty()) {
    const auto rank = parseRank(input.rank);
    if (!rank) {
      return fail(ErrorKind::badRequest, "X-Figchute-Rank must be urgent, prompt or batch");
    }
    request.caller.rank = *rank;
  }
  request.target = directory_->target(caller->team, request.caller.rank);
  const auto path = pathOf(input.target);
  Expected<void> part;
  if (path == kChatPath && input.method == "POST") {
    request.input = input;
    part = checkChat(request).and_then([&] { return checkOptionalKey(now, input.idempotencyKey); });
  } else if (path.rfind(kServicesPrefix, 0) == 0) {
    request.input = input;
    part = checkPlain(now, request, input.target);
  } else {
    part = fail(ErrorKind::notFound, "no such path: " + input.method + " " + std::string(path));
  }
  if (!part) {
    return tl::unexpected(part.error());
  }
  if (isQuarantined(now, request.content)) {
    return fail(ErrorKind::quarantined,
                "requests with this content crashed two endpoints and are refused for a while");
  }
  return request;
}

Expected<void> Coordinator::checkChat(Request& request) const
{
  auto parsed = gateway::ChatRequest::parse(request.input.body);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  const auto* model = directory_->findModel(request.caller.team, parsed->model());
  if (model == nullptr) {
    return fail(ErrorKind::unknownModel,
                "model \"" + parsed->model().value + "\" is not in the team's document");
  }
  const auto completion =
    std::min(parsed->maxTokens().value_or(model->maxOutputTokens), model->maxOutputTokens);
  const auto prompt = boundPrompt(*parsed, *model);
  request.content = parsed->fingerprint();
  request.bound = prompt + completion;
  request.chat =
    std::make_unique<ChatPart>(std::move(*parsed), request.input.id, prompt, completion);
  return {};
}

Expected<void> Coordinator::checkPlain(Time now, Request& request, std::string_view target) const
{
  const auto rest = target.substr(kServicesPrefix.size());
  const auto slash = std::min(rest.find_first_of("/?"), rest.size());
  const ServiceName name(rest.substr(0, slash));
  const auto* service = directory_->findService(request.caller.team, name);
  if (service == nullptr) {
    return fail(ErrorKind::unknownService,
                "service \"" + name.value + "\" is not in the team's document");
  }
  auto plain = std::make_unique<PlainPart>();
  plain->service = name;
  plain->target = std::string(rest.substr(slash));
  if (plain->target.empty() || plain->target.front() != '/') {
    plain->target.insert(0, "/");
  }
  plain->repeatable = service->isRepeatable(pathOf(plain->target));
  if (!plain->repeatable) {
    if (auto checked = checkRequiredKey(now, request.input.idempotencyKey); !checked) {
      return checked;
    }
  }
  request.bound = service->cost;
  request.content = fingerprintOf(
    request.input.body, fingerprintOf(request.input.method + " " + name.value + plain->target));
  request.plain = std::move(plain);
  return {};
}

bool Coordinator::isQuarantined(Time now, Fingerprint content) const
{
  const auto found = quarantine_.find(content);
  return (found != quarantine_.end() && now < found->second) || crashes_.isRefused(now, content);
}

void Coordinator::disconnected(Time now, const RequestId& id)
{
  auto* request = find(id);
  if (request == nullptr || request->callerGone) {
    return;
  }
  request->callerGone = true;
  parts_.metrics.count("callers_gone");
  switch (request->phase) {
    case Phase::reserving:
    case Phase::queued:
      refuse(now, *request, Error{ ErrorKind::timeout, "the caller has gone" });
      return;
    case Phase::running:
      break;
    case Phase::claiming:
    case Phase::recording:
      return;
  }
  if (request->needsClaim()) {
    return; // The call runs on, so that its outcome can be recorded for a retry.
  }
  cancelAttempt(*request);
  parts_.router.finished(now, id, routing::Outcome::abandoned);
  const bool delivered = request->chat && request->firstTextSeen;
  if (!delivered) {
    request->phase = Phase::recording;
    refuse(now, *request, Error{ ErrorKind::timeout, "the caller has gone" });
    return;
  }
  bill(now, *request, chatBill(*request));
}

void Coordinator::settle(Time now)
{
  for (const auto& decision : parts_.wallet.takeDecisions()) {
    decide(now, decision);
  }
  for (const auto& id : parts_.wallet.takeRecorded()) {
    noteCharged(now, id);
  }
  expireWaits(now);
  // Handling an action can cause further ones, such as the dispatch of a request that a refusal
  // made room for.
  for (auto actions = parts_.router.takeActions(); !actions.empty();
       actions = parts_.router.takeActions()) {
    for (const auto& action : actions) {
      handleAction(now, action);
    }
  }
}

void Coordinator::sendAnswer(Request& request)
{
  auto& sink = *request.sink;
  if (request.chat) {
    const auto prompt = chatPromptTokens(request);
    if (request.chat->request.streamed()) {
      if (!request.answerBegun) {
        sink.begin(200, { { "Content-Type", "text/event-stream" } }, true);
      }
      sink.write(request.chat->exchange.lastEvents(prompt));
    } else {
      sink.begin(200, { { "Content-Type", "application/json" } }, false);
      sink.write(request.chat->exchange.wholeAnswer(prompt));
    }
  } else {
    const auto& answer = request.plain->exchange;
    sink.begin(answer.status(), answer.headers(), false);
    sink.write(answer.body());
  }
  sink.finish();
  parts_.metrics.count("answers");
  logEnd(request, "answered", "none");
}

void Coordinator::logEnd(const Request& request,
                         std::string_view event,
                         std::string_view kind) const
{
  parts_.log({ LogSeverity::info,
               event,
               { { "request", request.input.id.value },
                 { "workspace", request.caller.workspace.value },
                 { "rank", std::string(toString(request.caller.rank)) },
                 { "endpoint", request.endpoint.value },
                 { "error", std::string(kind) } } });
}

void Coordinator::refuse(Time now,
                         Request& request,
                         const Error& error,
                         std::optional<Duration> delay)
{
  Error final = error;
  if (request.mayHaveRun && errorTraits(error.kind).ran == Ran::no) {
    final = Error{ ErrorKind::endpointFailed, error.detail };
  }
  if (request.phase == Phase::queued && request.callerGone) {
    parts_.router.finished(now, request.input.id, routing::Outcome::abandoned);
  }
  if (request.isBilled()) {
    parts_.wallet.release(now, request.input.id);
  }
  releaseClaim(now, request);
  parts_.metrics.count("refused_" + std::string(errorTraits(final.kind).name));
  logEnd(request, "refused", errorTraits(final.kind).name);
  request.sink->fail(final, delay, request.input.id);
  erase(request.input.id);
}

void Coordinator::erase(const RequestId& id)
{
  const auto found = requests_.find(id);
  if (found == requests_.end()) {
    return;
  }
  if (found->second.proposal != 0) {
    proposals_.erase(found->second.proposal);
  }
  requests_.erase(found);
}

Request* Coordinator::find(const RequestId& id)
{
  const auto found = requests_.find(id);
  return found == requests_.end() ? nullptr : &found->second;
}

} // namespace figchute::entry
