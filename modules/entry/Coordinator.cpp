#include "entry/Coordinator.h"

#include "entry/Billing.h"
#include "entry/KeyValidation.h"

#include <algorithm>
#include <cmath>

namespace figchute::entry {
namespace {

constexpr std::string_view kChatPath = "/v1/chat/completions";
constexpr std::string_view kServicesPrefix = "/services/";
constexpr std::string_view kBearer = "Bearer ";
constexpr std::size_t kMaxKeyBytes = 255;
/** Maximum number of tokens that a chat template adds per message and, once, per prompt. */
constexpr Tokens kTokensPerMessage{ 16 };
constexpr Tokens kTokensPerPrompt{ 16 };

/** Returns an upper bound of the prompt tokens that an engine counts for a request. */
Tokens maxPromptTokensOf(const gateway::ChatRequest& chat, const document::Model& model)
{
  const auto bytes = static_cast<double>(chat.promptBytes());
  const Tokens textTokens{ static_cast<std::int64_t>(std::ceil(bytes / model.minBytesPerToken)) };
  const auto messages = static_cast<std::int64_t>(chat.messages().size());
  return textTokens + Tokens{ messages * kTokensPerMessage.count } + kTokensPerPrompt;
}

std::string_view pathOf(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

} // namespace

Coordinator::Coordinator(CoordinatorDependencies dependencies)
  : dependencies_(std::move(dependencies))
  , directory_(std::make_shared<const Directory>())
{
}

void Coordinator::setDirectory(std::shared_ptr<const Directory> directory)
{
  directory_ = std::move(directory);
  dependencies_.router.setPolicy(directory_->policy());
}

void Coordinator::setQuarantine(const std::vector<ledger::QuarantineEntry>& entries)
{
  quarantine_.clear();
  for (const auto& entry : entries) {
    quarantine_[entry.fingerprint] = entry.until;
  }
}

void Coordinator::handleRequest(Time now,
                                gateway::CallerRequest input,
                                std::shared_ptr<gateway::ResponseSink> sink)
{
  dependencies_.metrics.count("requests");
  auto validRequest = validate(now, input);
  if (!validRequest) {
    dependencies_.metrics.count("refused_" +
                                std::string(errorTraits(validRequest.error().kind).name));
    sink->fail(validRequest.error(), std::nullopt, input.id);
    return;
  }
  const RequestId id = validRequest->input.id;
  validRequest->sink = std::move(sink);
  auto& request = requests_.insert_or_assign(id, std::move(*validRequest)).first->second;
  reserve(now, request);
}

Expected<Request> Coordinator::validate(Time now, gateway::CallerRequest& input) const
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
  Expected<void> validationResult;
  if (path == kChatPath && input.method == "POST") {
    request.input = input;
    validationResult =
      validateChat(request).and_then([&] { return checkOptionalKey(now, input.idempotencyKey); });
  } else if (path.rfind(kServicesPrefix, 0) == 0) {
    request.input = input;
    validationResult = validatePlainCall(now, request, input.target);
  } else {
    validationResult =
      fail(ErrorKind::notFound, "no such path: " + input.method + " " + std::string(path));
  }
  if (!validationResult) {
    return tl::unexpected(validationResult.error());
  }
  if (isQuarantined(now, request.contentFingerprint)) {
    return fail(ErrorKind::quarantined,
                "requests with this content crashed two endpoints and are temporarily refused");
  }
  return request;
}

Expected<void> Coordinator::validateChat(Request& request) const
{
  auto chatRequest = gateway::ChatRequest::parse(request.input.body);
  if (!chatRequest) {
    return tl::unexpected(chatRequest.error());
  }
  const auto* model = directory_->findModel(request.caller.team, chatRequest->model());
  if (model == nullptr) {
    return fail(ErrorKind::unknownModel,
                "model \"" + chatRequest->model().value + "\" is not in the team's document");
  }
  const auto maxTokens =
    std::min(chatRequest->maxTokens().value_or(model->maxOutputTokens), model->maxOutputTokens);
  const auto maxPromptTokens = maxPromptTokensOf(*chatRequest, *model);
  request.contentFingerprint = chatRequest->fingerprint();
  request.maxCharge = maxPromptTokens + maxTokens;
  request.chat = std::make_unique<ChatState>(
    std::move(*chatRequest), request.input.id, maxPromptTokens, maxTokens);
  return {};
}

Expected<void> Coordinator::validatePlainCall(Time now,
                                              Request& request,
                                              std::string_view target) const
{
  const auto nameAndPath = target.substr(kServicesPrefix.size());
  const auto nameLength = std::min(nameAndPath.find_first_of("/?"), nameAndPath.size());
  const ServiceName name(nameAndPath.substr(0, nameLength));
  const auto* service = directory_->findService(request.caller.team, name);
  if (service == nullptr) {
    return fail(ErrorKind::unknownService,
                "service \"" + name.value + "\" is not in the team's document");
  }
  auto plain = std::make_unique<PlainCallState>();
  plain->service = name;
  plain->target = std::string(nameAndPath.substr(nameLength));
  if (plain->target.empty() || plain->target.front() != '/') {
    plain->target.insert(0, "/");
  }
  plain->repeatable = service->isRepeatable(pathOf(plain->target));
  if (!plain->repeatable) {
    if (auto keyCheck = checkRequiredKey(now, request.input.idempotencyKey); !keyCheck) {
      return keyCheck;
    }
  }
  request.maxCharge = service->cost;
  request.contentFingerprint = fingerprintOf(
    request.input.body, fingerprintOf(request.input.method + " " + name.value + plain->target));
  request.plain = std::move(plain);
  return {};
}

bool Coordinator::isQuarantined(Time now, Fingerprint contentFingerprint) const
{
  const auto entry = quarantine_.find(contentFingerprint);
  return (entry != quarantine_.end() && now < entry->second) ||
         crashTable_.isRefused(now, contentFingerprint);
}

void Coordinator::handleDisconnect(Time now, const RequestId& id)
{
  auto* request = findRequest(id);
  if (request == nullptr || request->callerDisconnected) {
    return;
  }
  request->callerDisconnected = true;
  dependencies_.metrics.count("callers_gone");
  switch (request->phase) {
    case RequestPhase::reserving:
    case RequestPhase::queued:
      refuse(now, *request, Error{ ErrorKind::timeout, "the caller has disconnected" });
      return;
    case RequestPhase::running:
      break;
    case RequestPhase::claiming:
    case RequestPhase::recording:
      return;
  }
  if (request->needsClaim()) {
    return; // The call continues, so that its outcome can be recorded for a retry.
  }
  cancelAttempt(*request);
  dependencies_.router.finished(now, id, routing::Outcome::abandoned);
  const bool hasDeliveredText = request->chat && request->firstTextReceived;
  if (!hasDeliveredText) {
    request->phase = RequestPhase::recording;
    refuse(now, *request, Error{ ErrorKind::timeout, "the caller has disconnected" });
    return;
  }
  chargeRequest(now, *request, chatCharge(*request));
}

void Coordinator::processPending(Time now)
{
  for (const auto& decision : dependencies_.quotaManager.takeDecisions()) {
    handleDecision(now, decision);
  }
  for (const auto& id : dependencies_.quotaManager.takeRecordedCharges()) {
    handleChargeRecorded(now, id);
  }
  handleExpiredWaits(now);
  // Handling an action can produce further ones, for example when the refusal of a request allows
  // another one to be dispatched.
  for (auto actions = dependencies_.router.takeActions(); !actions.empty();
       actions = dependencies_.router.takeActions()) {
    for (const auto& action : actions) {
      handleAction(now, action);
    }
  }
}

void Coordinator::sendResponse(Request& request)
{
  auto& sink = *request.sink;
  if (request.chat) {
    const auto prompt = chatPromptTokens(request);
    if (request.chat->request.isStreamed()) {
      if (!request.responseStarted) {
        sink.begin(200, { { "Content-Type", "text/event-stream" } }, true);
      }
      sink.write(request.chat->exchange.finalEvents(prompt));
    } else {
      sink.begin(200, { { "Content-Type", "application/json" } }, false);
      sink.write(request.chat->exchange.fullResponse(prompt));
    }
  } else {
    const auto& answer = request.plain->exchange;
    sink.begin(answer.status(), answer.headers(), false);
    sink.write(answer.body());
  }
  sink.finish();
  dependencies_.metrics.count("answers");
  logCompletion(request, "answered", "none");
}

void Coordinator::logCompletion(const Request& request,
                                std::string_view event,
                                std::string_view kind) const
{
  dependencies_.log({ LogSeverity::info,
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
  if (request.phase == RequestPhase::queued && request.callerDisconnected) {
    dependencies_.router.finished(now, request.input.id, routing::Outcome::abandoned);
  }
  if (request.isBilled()) {
    dependencies_.quotaManager.release(now, request.input.id);
  }
  releaseClaim(now, request);
  dependencies_.metrics.count("refused_" + std::string(errorTraits(final.kind).name));
  logCompletion(request, "refused", errorTraits(final.kind).name);
  request.sink->fail(final, delay, request.input.id);
  eraseRequest(request.input.id);
}

void Coordinator::eraseRequest(const RequestId& id)
{
  const auto entry = requests_.find(id);
  if (entry == requests_.end()) {
    return;
  }
  if (entry->second.proposalId != 0) {
    requestsByProposal_.erase(entry->second.proposalId);
  }
  requests_.erase(entry);
}

Request* Coordinator::findRequest(const RequestId& id)
{
  const auto entry = requests_.find(id);
  return entry == requests_.end() ? nullptr : &entry->second;
}

} // namespace figchute::entry
