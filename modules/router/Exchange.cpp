#include "router/Exchange.h"

#include "ini/ini.h"
#include "router/Authorization.h"
#include "router/BootClock.h"
#include "router/ErrorResponse.h"
#include "router/RequestBody.h"
#include "router/RequestDescription.h"
#include "router/TunnelAuthorization.h"
#include "router/WorkspaceBudgets.h"
#include "settings/settings.h"

#include <algorithm>
#include <boost/asio/ip/address.hpp>
#include <charconv>
#include <cmath>
#include <fmt/format.h>
#include <span>
#include <utility>
#include <xxhash.h>

namespace figchute::router {
namespace {

/** After normal service has ended, a stopping process accepts a repeatable request only if this
 * multiple of its latency target, and at least kMinRequiredTime, is left. */
constexpr int kRequiredTargetMultiple = 2;
constexpr Duration kMinRequiredTime = std::chrono::milliseconds(500);
/** Short, because another entry process can take the request immediately. */
constexpr Duration kOtherProcessRetryAfter = std::chrono::milliseconds(100);
/** After reading is resumed for a slow caller, the request is not moved to another endpoint for
 * this time. */
constexpr Duration kMinMoveDelayAfterPause = std::chrono::milliseconds(1200);
/** An endpoint may work on a stream for this time longer than the router relays it. The router is
 * then the one that ends a stream at its deadline, although it looks at deadlines only every 50 ms:
 * a body that its endpoint ends because time is up looks like one that is complete. */
constexpr Duration kStreamDeadlineMargin = std::chrono::milliseconds(100);

std::optional<std::int64_t> parseInteger(std::string_view text)
{
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || text.empty()) {
    return std::nullopt;
  }
  return value;
}

std::optional<boost::asio::ip::tcp::endpoint> parseEndpoint(std::string_view text)
{
  const auto address = settings::parseAddress(text);
  if (!address) {
    return std::nullopt;
  }
  boost::system::error_code error;
  const auto ip = boost::asio::ip::make_address(address->ip, error);
  if (error) {
    return std::nullopt;
  }
  return boost::asio::ip::tcp::endpoint(ip, address->port);
}

std::uint64_t requestFingerprint(const http::RequestHead& head,
                                 std::string_view caller,
                                 std::string_view body)
{
  const auto path = XXH3_64bits(head.target.data(), head.target.size());
  const auto withCaller = XXH3_64bits_withSeed(caller.data(), caller.size(), path);
  return XXH3_64bits_withSeed(body.data(), body.size(), withCaller);
}

} // namespace

Exchange::Exchange(EntryServices& services,
                   std::shared_ptr<http::ServerRequest> request,
                   std::uint64_t id,
                   std::function<void(std::uint64_t)> ended)
  : services_(services)
  , request_(std::move(request))
  , id_(id)
  , onEnded_(std::move(ended))
  , quotaRequestId_(std::to_string(id))
  , send_(std::make_shared<EndpointSend>(*this,
                                         id * kDispatchIdsPerExchange,
                                         dispatch::ChosenEndpoint{}))
{
}

Exchange::~Exchange() = default;

void Exchange::start(Time now)
{
  arrivedAt_ = now;
  deadline_ = now + std::chrono::seconds(30);
  request_->onDisconnect([this] { onCallerDisconnected(); });
  logIfUnsent();
  request_->onWritable([this] {
    if (send_->call && std::exchange(readingPaused_, false)) {
      const Time now = bootTime();
      nextMoveAt_ = now + kMinMoveDelayAfterPause;
      services_.dispatcher.readingResumed(now, send_->dispatchId);
      send_->call->resume();
    }
  });
  if (const auto resolved = resolveRoute(now); !resolved) {
    sendErrorResponse(now, resolved.error(), std::chrono::milliseconds(300));
    return;
  }
  if (exceedsStopDeadline(now)) {
    sendErrorResponse(
      now, Error{ ErrorKind::shuttingDown, "the process is stopping" }, kOtherProcessRetryAfter);
    return;
  }
  if (isLinkCongested(now)) {
    refuseWhileCongested(now);
    return;
  }
  if (resumedRequestId_) {
    findOrigin(now);
    return;
  }
  reserve(now);
}

bool Exchange::exceedsStopDeadline(Time now) const
{
  if (!services_.stopDeadline || now <= *services_.normalServiceEnd) {
    return false;
  }
  if (requestInfo_.kind == fleet::RouteKind::stream) {
    return true;
  }
  if (!isRepeatable()) {
    return deadline_ > *services_.stopDeadline;
  }
  const auto needed =
    std::max<Duration>(requestInfo_.target * kRequiredTargetMultiple, kMinRequiredTime);
  return now + needed > *services_.stopDeadline;
}

bool Exchange::isLinkCongested(Time now) const
{
  return !services_.egress.isTunnelling() && services_.link.isCongested(now);
}

void Exchange::refuseWhileCongested(Time now)
{
  sendErrorResponse(now,
                    Error{ ErrorKind::overloaded, "the network link of this process is congested" },
                    kOtherProcessRetryAfter);
}

Time Exchange::lastAnswerTime() const
{
  if (services_.stopDeadline && stage_ != Stage::relaying) {
    return std::min(deadline_, *services_.stopDeadline);
  }
  return deadline_;
}

Expected<void> Exchange::resolveRoute(Time now)
{
  table_ = services_.table;
  if (!table_) {
    return fail(ErrorKind::overloaded, "no configuration has been received yet");
  }
  const auto& head = request_->head();
  const auto& names = services_.dialect.fields();
  requestId_ = head.fields.get(names.requestId);
  if (requestId_.empty() || head.fields.count(names.requestId) != 1) {
    return fail(ErrorKind::badRequest, "a request id is required exactly once");
  }
  route_ = table_->match(head.fields.get("Host"), head.target);
  if (route_ == nullptr) {
    return fail(ErrorKind::notFound, "no route matches host and path");
  }
  if (auto authenticated = authenticate(*route_); !authenticated) {
    return authenticated;
  }
  if (auto filled = fillRequestInfo(now, *route_); !filled) {
    return filled;
  }
  return readResumption();
}

Expected<void> Exchange::authenticate(const fleet::Route& route)
{
  if (!table_->configuration().hasWorkspaces) {
    return {};
  }
  workspace_ = workspaceOf(*table_, request_->head().fields);
  if (workspace_ == nullptr && !route.open) {
    return fail(ErrorKind::unauthenticated, "the API key is unknown");
  }
  return {};
}

Expected<void> Exchange::fillRequestInfo(Time now, const fleet::Route& route)
{
  const auto& head = request_->head();
  const auto prompt = services_.dialect.parsePrompt(head.fields);
  if (!prompt) {
    return tl::unexpected(prompt.error());
  }
  Duration wait = route.timeout;
  if (const auto* text = head.fields.find(services_.dialect.fields().deadlineMs)) {
    const auto value = parseInteger(*text);
    if (!value || *value < 0) {
      return fail(ErrorKind::badRequest, "the deadline is not a number of milliseconds");
    }
    wait = std::min(
      wait,
      Duration(std::chrono::milliseconds(std::min<std::int64_t>(*value, toMillis(route.timeout)))));
  }
  deadline_ = now + wait;
  requestInfo_ = describeRequest(now, route, workspace_, *prompt, wait);
  requestInfo_.id = send_->dispatchId;
  requestInfo_.fingerprint = requestFingerprint(head, requestInfo_.workspace, bodyOf(*request_));
  setService(fleet::RouteTable::pickService(route, requestId_));
  return {};
}

void Exchange::setService(const ServiceName& name)
{
  requestInfo_.service = name;
  const auto* service = table_->service(name);
  modelService_ = service != nullptr && service->engine.has_value();
  tokensPerEvent_ = modelService_ ? std::max(1, service->engine->tokensPerEvent) : 1;
}

void Exchange::reserve(Time now)
{
  if (const auto refusal = services_.dispatcher.refusalWhileEvacuated(now, requestInfo_)) {
    // Decided before budget is reserved, because the request may wait for a grant.
    refuse(now, *refusal);
    return;
  }
  const bool billed = workspace_ != nullptr && workspace_->prepaid.has_value() &&
                      requestInfo_.promptTokens + requestInfo_.maxOutputTokens > 0;
  if (!billed) {
    sendNext(now);
    return;
  }
  const BudgetId budget = budgetOf(workspace_->name);
  stage_ = Stage::waitingForGrant;
  reserved_ = true;
  reservedAt_ = now;
  handleDecision(now,
                 services_.quotaManager.reserve(
                   now,
                   quotaRequestId_,
                   std::nullopt,
                   { &budget, 1 },
                   Tokens{ requestInfo_.promptTokens + requestInfo_.maxOutputTokens }));
}

void Exchange::handleDecision(Time now, const ledger::Decision& decision)
{
  if (stage_ != Stage::waitingForGrant || decision.status == ledger::ReserveStatus::waiting) {
    return;
  }
  if (now > reservedAt_) {
    grantWait_ = now - reservedAt_;
    services_.metrics.record("grant_wait", *grantWait_);
  }
  if (decision.status == ledger::ReserveStatus::admitted) {
    sendNext(now);
    return;
  }
  reserved_ = false;
  budgetRefusal_ = decision.cause;
  if (budgetRefusal_) {
    services_.metrics.count(
      fmt::format("budget_refused_{}", ledger::nameOf(budgetRefusal_->reason)));
  }
  sendErrorResponse(
    now,
    decision.error.value_or(Error{ ErrorKind::budgetExhausted, "the budget is used up" }),
    std::chrono::milliseconds(500));
}

bool Exchange::isRepeatable() const
{
  return requestInfo_.kind == fleet::RouteKind::repeatable ||
         (requestInfo_.kind == fleet::RouteKind::stream && requestInfo_.resumable);
}

bool Exchange::mayRetry() const
{
  return sendCount_ < requestInfo_.maxAttempts && (!mayHaveRun_ || isRepeatable());
}

void Exchange::sendNext(Time now, Duration pause)
{
  stage_ = Stage::waitingForHead;
  const auto choice = chooseNext(now);
  dispatched_ = true;
  if (!choice) {
    refuse(now, choice.error());
    return;
  }
  assignEndpoint(now, *choice, pause);
}

tl::expected<dispatch::ChosenEndpoint, dispatch::Refusal> Exchange::chooseNext(Time now)
{
  auto choice = services_.dispatcher.choose(now, requestInfo_, triedEndpoints_);
  if (!choice && reusedConnectionFailed_) {
    // No other endpoint is available, so retry the same one on a new connection.
    auto others = triedEndpoints_;
    std::erase(others, send_->endpoint.endpoint);
    choice = services_.dispatcher.choose(now, requestInfo_, others);
  }
  return choice;
}

void Exchange::assignEndpoint(Time now, const dispatch::ChosenEndpoint& choice, Duration pause)
{
  stage_ = Stage::waitingForHead;
  send_ = std::make_shared<EndpointSend>(*this, requestInfo_.id, choice);
  triedEndpoints_.push_back(choice.endpoint);
  if (pause > Duration{ 0 }) {
    sendAt_ = now + pause;
  } else {
    startSend(now);
  }
}

void Exchange::startSend(Time now)
{
  sendAt_.reset();
  readingPaused_ = false;
  if (!startCall(now, *send_)) {
    services_.dispatcher.finished(now, send_->dispatchId, dispatch::Outcome::notConnected);
    refuse(now, dispatch::Refusal{ ErrorKind::noEndpoint, std::chrono::milliseconds(200), "" });
  }
}

bool Exchange::startCall(Time now, EndpointSend& send)
{
  const auto address = parseEndpoint(send.endpoint.address);
  if (!address) {
    return false;
  }
  send.startedAt = now;
  send.lastByteAt = now;
  send.deadline = now + timeForEndpoint(now);
  http::CallOptions options;
  const auto connectLimit =
    std::min<Duration>(std::chrono::milliseconds(500), (deadline_ - now) / 2);
  options.connectTimeout = std::max<Duration>(connectLimit, std::chrono::milliseconds(50));
  options.correlationName = services_.dialect.fields().requestId;
  options.correlationValue = requestId_;
  options.maxConnections = send.endpoint.maxConnections;
  options.forceNewConnection = reusedConnectionFailed_;
  send.tunnelPeer = services_.egress.nextPeer(now);
  if (send.tunnelPeer) {
    options.proxy =
      http::Proxy{ *send.tunnelPeer, tunnelAuthorizationFor(*address, services_.peerKey) };
  }
  send.call = services_.pool.start(
    *address, forwardedHead(now, send.endpoint), request_->body(), std::move(options), send);
  return true;
}

http::RequestHead Exchange::forwardedHead(Time now, const dispatch::ChosenEndpoint& choice) const
{
  const auto& names = services_.dialect.fields();
  http::RequestHead head = request_->head();
  for (const auto& name : names.reserved) {
    head.fields.remove(name);
  }
  head.fields.remove(names.workspace);
  head.fields.remove(names.priority);
  if (table_->configuration().hasWorkspaces) {
    head.fields.remove("Authorization");
  }
  if (workspace_ != nullptr) {
    head.fields.set(names.workspace, workspace_->name);
  }
  if (modelService_) {
    head.fields.set(names.priority, std::to_string(requestInfo_.priority));
  }
  if (const auto lastId = eventRelay_.lastId(); lastId && hasResponseStarted()) {
    head.fields.set(names.lastEventId, std::to_string(*lastId));
  }
  head.fields.set(names.expectEndpoint, choice.endpoint.value);
  head.fields.set(names.deadlineMs, std::to_string(timeForEndpoint(now).count()));
  return head;
}

std::chrono::milliseconds Exchange::timeForEndpoint(Time now) const
{
  const bool isStream = requestInfo_.kind == fleet::RouteKind::stream;
  const auto timeLeft = isStream ? deadline_ + kStreamDeadlineMargin - now : lastAnswerTime() - now;
  return std::chrono::milliseconds(std::max<std::int64_t>(1, toMillis(timeLeft)));
}

void Exchange::markStalled(std::uint64_t dispatchId)
{
  auto& send = standby_ && standby_->dispatchId == dispatchId ? *standby_ : *send_;
  send.stalled = true;
}

void Exchange::onConnected(EndpointSend& send)
{
  if (send.tunnelPeer) {
    services_.egress.tunnelOpened(*send.tunnelPeer);
  } else {
    services_.egress.directConnected(bootTime());
  }
}

void Exchange::onSent(EndpointSend& send)
{
  send.sent = true;
  send.sentAt = bootTime();
  ++sendCount_;
  if (auto* const observer = request_->observer()) {
    observer->forwarded(request_->body()->size());
  }
}

void Exchange::onCallerDisconnected()
{
  if (stage_ == Stage::ended) {
    return;
  }
  const Time now = bootTime();
  if (send_->call) {
    mayHaveRun_ = mayHaveRun_ || send_->sent;
    endSend(now, *send_, dispatch::Outcome::cancelled);
  }
  end(now, "caller_gone", 0, "");
}

void Exchange::abortResponse(Time now, std::string_view outcome)
{
  request_->abort();
  if (moves_ > 0) {
    services_.metrics.count("responses_cut_after_move");
  }
  end(now, "cut", status_, outcome);
}

void Exchange::abort(Time now)
{
  if (send_->call) {
    mayHaveRun_ = mayHaveRun_ || send_->sent;
    endSend(now, *send_, dispatch::Outcome::cancelled);
  }
  abortResponse(now, "the process exits");
}

void Exchange::sendErrorResponse(Time now, const Error& error, Duration retryAfter)
{
  if (hasResponseStarted()) {
    abortResponse(now, error.detail);
    return;
  }
  const auto status =
    router::sendErrorResponse(*request_, error, std::min(retryAfter, (deadline_ - now) / 3));
  end(now, errorTraits(error.kind).name, status, error.detail);
}

void Exchange::chargeBudget(Time now)
{
  if (!reserved_) {
    return;
  }
  reserved_ = false;
  if (!mayHaveRun_) {
    services_.quotaManager.release(now, quotaRequestId_);
    return;
  }
  const auto output = std::min(deliveredTokens_, requestInfo_.maxOutputTokens);
  // This exchange made the reservation, so the charge cannot fail.
  static_cast<void>(services_.quotaManager.charge(
    now, quotaRequestId_, Tokens{ requestInfo_.promptTokens + output }));
}

void Exchange::end(Time now, std::string_view outcome, int status, std::string_view detail)
{
  if (stage_ == Stage::waitingForOrigin) {
    services_.origins.cancel(id_);
  }
  stage_ = Stage::ended;
  if (standby_) {
    cancelStandby(now, "the request ended");
  }
  if (dispatched_) {
    services_.dispatcher.forget(requestInfo_.id);
  }
  chargeBudget(now);
  services_.metrics.count(fmt::format("requests_{}", outcome));
  services_.metrics.record("request", now - arrivedAt_);
  logEnd(now, outcome, status, detail);
  const auto self = shared_from_this();
  auto ended = std::move(onEnded_);
  ended(id_);
}

} // namespace figchute::router
