#include "EntryProcess.h"

#include "router/WorkspaceBudgets.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace figchute::simulation {
namespace {

// Modelled on router::EntryRole and router::Exchange.
constexpr Duration kBusyTickInterval = std::chrono::milliseconds(50);
constexpr Duration kIdleTickInterval = std::chrono::milliseconds(250);
constexpr Duration kServeTimeAfterStop = std::chrono::seconds(3);
constexpr Duration kMaxStopTime = std::chrono::milliseconds(7500);
constexpr int kMaxConnectFailures = 3;
constexpr int kStallTargetMultiple = 3;
constexpr Duration kMinStallTime = std::chrono::milliseconds(250);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

} // namespace

EntryProcess::EntryProcess(World& world, ProcessId id, int zone, Duration clockOffset)
  : world_(world)
  , id_(std::move(id))
  , zone_("z" + std::to_string(zone))
  , clockOffset_(clockOffset)
{
  world_.network.setZone(id_, zone);
  world_.network.setReceiver(
    id_, [this](const Packet& packet) { runOrQueue([this, packet] { receive(packet); }); });
}

fleet::SubscriberSettings EntryProcess::subscriberSettings() const
{
  return { incarnation_, zone_, seeds_, incarnation_.number };
}

void EntryProcess::start()
{
  incarnation_ = world_.nextIncarnation();
  auto quotaManager = ledger::routerQuotaSettings({ id_, incarnation_ }, zone_);
  quotaManager.proposalIdBase = incarnation_.number << 24U;
  dispatch::DispatcherSettings dispatcher;
  dispatcher.zone = zone_;
  dispatcher.seed = incarnation_.number;
  frozen_ = false;
  queuedActions_.clear();
  onStopped_ = nullptr;
  runState_ = std::make_unique<RunState>(subscriberSettings(), quotaManager, dispatcher);
  update();
  scheduleTick();
}

Tokens EntryProcess::unspendableTokens(const ledger::QuotaManager& quotaManager)
{
  Tokens sum;
  for (const auto& account : quotaManager.accounts()) {
    // Control may already have unlocked tokens of a reserve for a grant that is on its way.
    sum += account.grantInFlight ? Tokens{ 0 } : account.reserve - account.unlockable;
  }
  return sum;
}

void EntryProcess::kill()
{
  if (!isRunning()) {
    return;
  }
  // The callbacks below may start the next request of a caller immediately.
  const auto endedRun = std::exchange(runState_, nullptr);
  world_.tally.recordHolderEnd({ id_, incarnation_ }, unspendableTokens(endedRun->quotaManager));
  queuedActions_.clear();
  frozen_ = false;
  onStopped_ = nullptr;
  // Callers have received the delivered tokens, which count as used although no charge is recorded.
  for (auto& [id, openRequest] : endedRun->openRequests) {
    if (openRequest.isReserved && (openRequest.isSent || openRequest.mayHaveRun)) {
      world_.tally.checkCharge(
        openRequest.budget,
        Tokens{ openRequest.requestInfo.promptTokens + openRequest.deliveredTokens });
    }
    openRequest.request.onDone(RequestOutcome::failed);
  }
}

void EntryProcess::freeze(Duration duration)
{
  frozen_ = true;
  const auto freezeId = ++freezeCount_;
  world_.schedule.callAfter(duration, [this, freezeId] {
    if (freezeId == freezeCount_) {
      thaw();
    }
  });
}

void EntryProcess::thaw()
{
  if (!frozen_) {
    return;
  }
  frozen_ = false;
  if (!isRunning()) {
    return;
  }
  runState_->contactSince.reset();
  for (auto& action : std::exchange(queuedActions_, {})) {
    action();
  }
  update();
}

void EntryProcess::stop(std::function<void()> onStopped)
{
  onStopped_ = std::move(onStopped);
  stopStartedAt_ = now();
}

void EntryProcess::setSeeds(const std::vector<ProcessId>& seeds)
{
  seeds_ = seeds;
  if (isRunning()) {
    runState_->subscriber.setSeeds(seeds);
  }
}

std::uint64_t EntryProcess::version() const
{
  return runState_->subscriber.configurationVersion();
}

void EntryProcess::runOrQueue(std::function<void()> action)
{
  if (frozen_) {
    queuedActions_.push_back(std::move(action));
  } else if (isRunning()) {
    action();
  }
}

void EntryProcess::scheduleTick()
{
  const bool isIdle = runState_->openRequests.empty() && !isStopping();
  world_.schedule.callAfter(isIdle ? kIdleTickInterval : kBusyTickInterval,
                            [this, incarnation = incarnation_] {
                              if (!isRunning() || incarnation != incarnation_) {
                                return;
                              }
                              if (!frozen_) {
                                onTimer();
                              }
                              if (isRunning() && incarnation == incarnation_) {
                                scheduleTick();
                              }
                            });
}

void EntryProcess::onTimer()
{
  std::vector<std::uint64_t> requestIds;
  for (const auto& [id, openRequest] : runState_->openRequests) {
    requestIds.push_back(id);
  }
  for (const auto id : requestIds) {
    checkTimeouts(id);
  }
  runState_->dispatcher.tick(now());
  if (isStopping() && now() - stopStartedAt_ > kServeTimeAfterStop) {
    returnTokens();
  }
  update();
  if (!isStopping() || now() - stopStartedAt_ <= kServeTimeAfterStop) {
    return;
  }
  const bool isDrained =
    runState_->openRequests.empty() &&
    (runState_->quotaManager.isDrained() || runState_->quotaManager.isHandedOver());
  if (isDrained || now() - stopStartedAt_ > kMaxStopTime) {
    const auto onStopped = onStopped_;
    kill();
    onStopped();
  }
}

void EntryProcess::returnTokens()
{
  if (!runState_->subscriber.control()) {
    runState_->quotaManager.handOver(now());
  } else if (!runState_->isDraining) {
    runState_->isDraining = true;
    runState_->quotaManager.drain(now());
  }
}

void EntryProcess::receive(const Packet& packet)
{
  if (packet.channel == wire::Channel::fleet) {
    if (const auto message = wire::decode<fleet::Message>(packet.bytes)) {
      runState_->subscriber.receive(now(), packet.from, *message);
    }
  } else if (packet.channel == wire::Channel::ledger) {
    if (const auto message = wire::decode<ledger::Message>(packet.bytes)) {
      runState_->quotaManager.receive(now(), packet.from, *message);
      runState_->witness.receive(now(), packet.from, *message);
    }
  }
  update();
}

void EntryProcess::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  world_.network.send({ id_, incarnation_, to, channel, std::move(body) });
}

void EntryProcess::update()
{
  if (runState_->isUpdating) {
    return;
  }
  runState_->isUpdating = true;
  if (world_.isBroken("revert") && id_.value == "e1") {
    world_.breakName.clear();
    runState_->subscriber = fleet::FleetSubscriber(subscriberSettings());
  }
  runState_->subscriber.tick(now());
  updateContactTime();
  applyUpdates();
  updateQuotaManager();
  for (auto& message : runState_->subscriber.takeOutgoing()) {
    send(message.to, wire::Channel::fleet, wire::encode(message.message));
  }
  static_cast<void>(runState_->dispatcher.takeEvents());
  for (const auto& crash : runState_->dispatcher.takeCrashes()) {
    runState_->subscriber.addCrash(now(), crash.report);
  }
  for (const auto& refutation : runState_->dispatcher.takeCrashRefutations()) {
    runState_->subscriber.addRefutation(now(), refutation);
  }
  world_.tally.checkActiveConfiguration(
    { id_, incarnation_ }, version(), *runState_->subscriber.configuration());
  runState_->isUpdating = false;
}

void EntryProcess::updateContactTime()
{
  if (!runState_->subscriber.control() || world_.network.isLossy()) {
    runState_->contactSince.reset();
  } else if (!runState_->contactSince) {
    runState_->contactSince = world_.schedule.now();
  }
}

void EntryProcess::applyUpdates()
{
  const auto changes = runState_->subscriber.takeChanges();
  if (changes.configuration) {
    applyConfiguration();
  }
  if (changes.endpoints) {
    applyEndpoints();
  }
  if (changes.control) {
    setQuotaPeers();
    runState_->quotaManager.setControlLost(!runState_->subscriber.control());
  }
  if (changes.entryProcesses) {
    runState_->dispatcher.setPeers(runState_->subscriber.entryProcesses());
    runState_->dispatcher.setProcesses(id_, runState_->subscriber.entries());
    setQuotaPeers();
  }
  runState_->dispatcher.addCrashReports(now(), changes.crashReports);
  runState_->dispatcher.addRateLimits(now(), changes.rateLimits);
}

void EntryProcess::applyConfiguration()
{
  auto parsed = world_.dialect->parseConfiguration(*runState_->subscriber.configuration());
  if (!parsed) {
    return;
  }
  runState_->table = std::make_shared<const fleet::RouteTable>(std::move(*parsed));
  const auto& configuration = runState_->table->configuration();
  runState_->dispatcher.setServices(now(), configuration.services);
  runState_->quotaManager.setBudgets(now(), router::budgetsOf(configuration));
}

void EntryProcess::applyEndpoints()
{
  if (world_.isBroken("drained_work")) {
    return;
  }
  std::vector<fleet::EndpointRecord> endpoints;
  runState_->endpointRecords = runState_->subscriber.endpoints();
  for (const auto& [id, record] : runState_->endpointRecords) {
    endpoints.push_back(record);
  }
  world_.tally.checkRegistry({ id_, incarnation_ }, endpoints);
  runState_->dispatcher.setEndpoints(now(), endpoints);
}

void EntryProcess::setQuotaPeers()
{
  std::vector<ledger::Peer> peers;
  for (const auto& control : runState_->subscriber.controls()) {
    peers.push_back({ { control, {} }, {}, false, true, true });
  }
  for (const auto& entry : runState_->subscriber.entries()) {
    peers.push_back({ entry.holder, entry.zone, true, false, true });
  }
  runState_->quotaManager.setPeers(now(), peers);
}

void EntryProcess::updateQuotaManager()
{
  runState_->quotaManager.tick(now());
  for (const auto& decision : runState_->quotaManager.takeDecisions()) {
    std::uint64_t id = 0;
    const auto& requestId = decision.request.value;
    std::from_chars(requestId.data(), requestId.data() + requestId.size(), id);
    if (runState_->openRequests.count(id) > 0) {
      handleDecision(id, decision);
    }
  }
  static_cast<void>(runState_->quotaManager.takeRecordedCharges());
  sendLedger(runState_->quotaManager.takeOutgoing());
  sendLedger(runState_->witness.takeOutgoing());
}

void EntryProcess::sendLedger(const std::vector<ledger::OutgoingMessage>& messages)
{
  for (const auto& message : messages) {
    send(message.to, wire::Channel::ledger, wire::encode(message.message));
  }
}

void EntryProcess::receiveRequest(CallerRequest request)
{
  runOrQueue([this, request = std::move(request)] {
    if (!runState_->table) {
      request.onDone(RequestOutcome::unavailable);
      return;
    }
    const auto* route = runState_->table->match("svc.example", request.path);
    const auto* workspace = runState_->table->workspaceOf("key-" + request.workspace);
    if (route == nullptr || workspace == nullptr) {
      request.onDone(RequestOutcome::unavailable);
      return;
    }
    const auto id = ++runState_->lastRequestId;
    OpenRequest& openRequest = runState_->openRequests[id];
    openRequest.request = request;
    openRequest.deadline = now() + std::min(route->timeout, request.timeout);
    openRequest.budget = BudgetId("w:" + workspace->name);
    auto& requestInfo = openRequest.requestInfo;
    requestInfo.id = id;
    requestInfo.service = fleet::RouteTable::pickService(*route, std::to_string(id));
    requestInfo.kind = route->kind;
    requestInfo.resumable = route->resumable;
    requestInfo.priority = workspace->priority.value_or(route->priority);
    requestInfo.workspace = workspace->name;
    requestInfo.promptTokens = request.promptTokens;
    requestInfo.maxOutputTokens = request.maxOutputTokens;
    requestInfo.parts = { { 1, request.promptTokens / 2 },
                          { request.fingerprint,
                            request.promptTokens - request.promptTokens / 2 } };
    requestInfo.arrival = now();
    requestInfo.deadline = openRequest.deadline;
    requestInfo.target = route->target;
    requestInfo.maxAttempts = route->maxAttempts;
    requestInfo.fingerprint = request.fingerprint;
    if (!workspace->prepaid || world_.isBroken("overspend")) {
      openRequest.isReserved = workspace->prepaid.has_value();
      sendNext(id);
    } else {
      openRequest.isReserved = true;
      const Tokens maxTokens{ requestInfo.promptTokens + requestInfo.maxOutputTokens };
      handleDecision(id,
                     runState_->quotaManager.reserve(now(),
                                                     RequestId(std::to_string(id)),
                                                     std::nullopt,
                                                     { &openRequest.budget, 1 },
                                                     maxTokens));
    }
    update();
  });
}

void EntryProcess::handleDecision(std::uint64_t id, const ledger::Decision& decision)
{
  OpenRequest& openRequest = runState_->openRequests.at(id);
  if (openRequest.stage != Stage::waitingForGrant ||
      decision.status == ledger::ReserveStatus::waiting) {
    return;
  }
  if (decision.status == ledger::ReserveStatus::admitted) {
    sendNext(id);
    return;
  }
  openRequest.isReserved = false;
  endRequest(id, RequestOutcome::refusedByBudget);
}

bool EntryProcess::canRunAgain(const OpenRequest& openRequest)
{
  return openRequest.requestInfo.kind == fleet::RouteKind::repeatable ||
         (openRequest.requestInfo.kind == fleet::RouteKind::stream &&
          openRequest.requestInfo.resumable);
}

void EntryProcess::sendNext(std::uint64_t id)
{
  OpenRequest& openRequest = runState_->openRequests.at(id);
  openRequest.stage = Stage::sending;
  if (!openRequest.isDispatched) {
    world_.tally.recordRequest(world_.schedule.now());
  }
  auto requestInfo = openRequest.requestInfo;
  if (openRequest.isDispatched && world_.isBroken("repeats")) {
    requestInfo.id +=
      1'000'000'000ULL +
      static_cast<std::uint64_t>(openRequest.triedEndpoints.size()) * 1'000'000'000ULL;
  }
  const auto choice = runState_->dispatcher.choose(now(), requestInfo, openRequest.triedEndpoints);
  openRequest.isDispatched = true;
  if (!choice) {
    endRequest(id,
               openRequest.mayHaveRun ? RequestOutcome::failed : RequestOutcome::refusedByDispatch);
    return;
  }
  recordChoice(openRequest, *choice);
  startCall(id, *choice);
}

void EntryProcess::recordChoice(OpenRequest& openRequest, const dispatch::ChosenEndpoint& choice)
{
  openRequest.triedEndpoints.push_back(choice.endpoint);
  openRequest.sendStartedAt = now();
  openRequest.isSent = false;
  const auto recordIt = runState_->endpointRecords.find(choice.endpoint);
  const auto startedAtMs =
    recordIt == runState_->endpointRecords.end() ? 0 : recordIt->second.startedAtMs;
  // Without contact, the current time is used, so that no send counts as too late.
  const auto contactTime = runState_->contactSince.value_or(world_.schedule.now());
  world_.tally.checkSend(world_.schedule.now(), id_, choice.endpoint, startedAtMs, contactTime);
}

void EntryProcess::startCall(std::uint64_t id, const dispatch::ChosenEndpoint& choice)
{
  OpenRequest& openRequest = runState_->openRequests.at(id);
  const auto callId = ++lastCallId_;
  openRequest.callId = callId;
  openRequest.isCalling = true;
  const ProcessId address(choice.address);
  const auto endpointIt = world_.endpoints.find(choice.address);
  const auto incarnation = incarnation_;
  const auto onEvent = [this, id, callId, incarnation](const CallEvent& event) {
    runOrQueue([this, id, callId, incarnation, event] {
      if (incarnation == incarnation_) {
        handleCallEvent(id, callId, event);
      }
    });
  };
  const bool isBlocked =
    world_.network.isBlocked(id_, address) || world_.network.isBlocked(address, id_);
  if (isBlocked || endpointIt == world_.endpoints.end() || !endpointIt->second->isRunning()) {
    const Duration delay = isBlocked ? kConnectTimeout : Duration(1000);
    world_.schedule.callAfter(delay, [this, id, callId, incarnation] {
      runOrQueue([this, id, callId, incarnation] {
        const bool isOpen = incarnation == incarnation_ && runState_->openRequests.count(id) > 0;
        if (isOpen && runState_->openRequests.at(id).callId == callId &&
            runState_->openRequests.at(id).isCalling) {
          handleFailedSend(id, dispatch::Outcome::notConnected, false);
          update();
        }
      });
    });
    return;
  }
  openRequest.isSent = true;
  if (++openRequest.sendCount > 1) {
    world_.tally.checkRepeat(world_.schedule.now());
  }
  EndpointCall request{ id_,
                        choice.endpoint,
                        openRequest.request.outputTokens,
                        openRequest.request.crashesEndpoint,
                        onEvent };
  world_.network.call(id_, address, [endpoint = endpointIt->second, request = std::move(request)] {
    endpoint->receiveCall(request);
  });
}

void EntryProcess::handleCallEvent(std::uint64_t id, std::uint64_t callId, const CallEvent& event)
{
  using Kind = CallEvent::Kind;
  const auto requestIt = runState_->openRequests.find(id);
  if (requestIt == runState_->openRequests.end() || requestIt->second.callId != callId ||
      !requestIt->second.isCalling) {
    return;
  }
  OpenRequest& openRequest = requestIt->second;
  if (event.load) {
    runState_->dispatcher.load(now(), openRequest.triedEndpoints.back(), *event.load);
  }
  switch (event.kind) {
    case Kind::head:
      openRequest.mayHaveRun = true;
      openRequest.stage = Stage::relaying;
      runState_->dispatcher.firstByte(now(), id);
      break;
    case Kind::tokens:
      openRequest.deliveredTokens += event.tokens;
      runState_->dispatcher.progress(now(), id, event.tokens);
      break;
    case Kind::done:
      endSend(id, dispatch::Outcome::answered);
      endRequest(id, RequestOutcome::answered);
      break;
    case Kind::serverError:
      openRequest.mayHaveRun = true;
      handleFailedSend(id, dispatch::Outcome::serverError, true);
      break;
    case Kind::notExecuted:
      handleFailedSend(id, dispatch::Outcome::notExecuted, false);
      break;
    case Kind::wrongEndpoint:
      handleFailedSend(id, dispatch::Outcome::wrongEndpoint, false);
      break;
    case Kind::broken:
      openRequest.mayHaveRun = true;
      if (openRequest.stage == Stage::relaying) {
        endSend(id, dispatch::Outcome::broken);
        endRequest(id, RequestOutcome::failed);
      } else {
        handleFailedSend(id, dispatch::Outcome::broken, true);
      }
      break;
  }
  update();
}

void EntryProcess::endSend(std::uint64_t id, dispatch::Outcome outcome)
{
  runState_->openRequests.at(id).isCalling = false;
  runState_->dispatcher.finished(now(), id, outcome);
}

void EntryProcess::handleFailedSend(std::uint64_t id, dispatch::Outcome outcome, bool mayHaveRun)
{
  endSend(id, outcome);
  OpenRequest& openRequest = runState_->openRequests.at(id);
  const bool isNotConnected = outcome == dispatch::Outcome::notConnected;
  const bool canSendAgain = !openRequest.mayHaveRun || canRunAgain(openRequest);
  const bool hasAttemptLeft =
    isNotConnected ? ++openRequest.connectFailureCount < kMaxConnectFailures && canSendAgain
                   : openRequest.sendCount < openRequest.requestInfo.maxAttempts && canSendAgain;
  if (hasAttemptLeft && now() < openRequest.deadline) {
    sendNext(id);
    return;
  }
  const bool mayHaveExecuted = openRequest.mayHaveRun || mayHaveRun;
  endRequest(id, mayHaveExecuted ? RequestOutcome::failed : RequestOutcome::refusedByDispatch);
}

void EntryProcess::checkTimeouts(std::uint64_t id)
{
  const auto requestIt = runState_->openRequests.find(id);
  if (requestIt == runState_->openRequests.end()) {
    return;
  }
  OpenRequest& openRequest = requestIt->second;
  if (now() >= openRequest.deadline) {
    const bool isInFlight = openRequest.isCalling && openRequest.isSent;
    if (openRequest.isCalling) {
      endSend(id, isInFlight ? dispatch::Outcome::timedOut : dispatch::Outcome::cancelled);
    }
    openRequest.mayHaveRun = openRequest.mayHaveRun || isInFlight;
    const bool isWaitingForGrant = openRequest.stage == Stage::waitingForGrant;
    const auto refusal =
      isWaitingForGrant ? RequestOutcome::refusedByBudget : RequestOutcome::refusedByDispatch;
    endRequest(id, openRequest.mayHaveRun ? RequestOutcome::failed : refusal);
    return;
  }
  const auto stallTime =
    std::max<Duration>(kMinStallTime, openRequest.requestInfo.target * kStallTargetMultiple);
  if (openRequest.stage == Stage::sending && openRequest.isCalling && openRequest.isSent &&
      canRunAgain(openRequest) && openRequest.sendCount < openRequest.requestInfo.maxAttempts &&
      now() - openRequest.sendStartedAt > stallTime) {
    openRequest.mayHaveRun = true;
    handleFailedSend(id, dispatch::Outcome::timedOut, true);
  }
}

void EntryProcess::chargeBudget(OpenRequest& openRequest, std::uint64_t id)
{
  if (!openRequest.isReserved) {
    return;
  }
  openRequest.isReserved = false;
  const RequestId request(std::to_string(id));
  if (!openRequest.mayHaveRun) {
    runState_->quotaManager.release(now(), request);
    return;
  }
  const auto outputTokens =
    std::min(openRequest.deliveredTokens, openRequest.requestInfo.maxOutputTokens);
  const Tokens tokens{ openRequest.requestInfo.promptTokens + outputTokens };
  static_cast<void>(runState_->quotaManager.charge(now(), request, tokens));
  world_.tally.checkCharge(openRequest.budget, tokens);
}

void EntryProcess::endRequest(std::uint64_t id, RequestOutcome outcome)
{
  OpenRequest& openRequest = runState_->openRequests.at(id);
  if (openRequest.isDispatched) {
    runState_->dispatcher.forget(id);
  }
  chargeBudget(openRequest, id);
  const auto onDone = std::move(openRequest.request.onDone);
  runState_->openRequests.erase(id);
  onDone(outcome);
}

std::string EntryProcess::describe() const
{
  if (!isRunning()) {
    return id_.value + " does not run";
  }
  const auto controlId = runState_->subscriber.control().value_or(ProcessId("no control process"));
  std::string text = fmt::format("{} follows {}, version {}, {} endpoints",
                                 id_.value,
                                 controlId.value,
                                 version(),
                                 runState_->endpointRecords.size());
  for (const auto& account : runState_->quotaManager.accounts()) {
    text += fmt::format(", {} available {}", account.budget.value, account.available.count);
  }
  return text;
}

} // namespace figchute::simulation
