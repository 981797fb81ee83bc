#include "router/EntryRole.h"

#include "router/AcceptLimit.h"
#include "router/BootClock.h"
#include "router/ErrorResponse.h"
#include "router/RequestExplanation.h"
#include "router/TunnelAuthorization.h"
#include "router/WorkspaceBudgets.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>

namespace figchute::router {
namespace {

constexpr auto kBusyTickInterval = std::chrono::milliseconds(50);
constexpr auto kIdleTickInterval = std::chrono::milliseconds(250);
/** The minimum time between two ticks of the subscriber and the quota manager. In a large fleet,
 * hundreds of messages a second arrive, and most of the time was spent on a tick for each. */
constexpr Duration kMinTickInterval = std::chrono::milliseconds(5);
/** After SIGTERM, requests are served normally for this time, because the load balancer needs two
 * failed readiness checks to stop sending them. Callers expect normal service for 3 s after the
 * signal was sent; the period is shorter because the signal arrives later. */
constexpr Duration kServeTimeAfterStop = std::chrono::milliseconds(2700);

/** Time for the last error responses of a stopping process to be sent before it exits. */
constexpr Duration kLastAnswerMargin = std::chrono::milliseconds(200);

/** Rate limits that were observed within this time are sent with each message to control, which is
 * sent once a second. */
constexpr Duration kRateLimitReportTime = std::chrono::seconds(2);

/** Interval of the log lines about the even distribution of load. */
constexpr Duration kEvenLoadReportInterval = std::chrono::seconds(5);

/** Time limit of the connection attempt that shows whether an endpoint crashed. */
constexpr Duration kProbeTimeout = std::chrono::milliseconds(500);

/** Time limit of the direct connection attempts while tunnels are used. */
constexpr Duration kDirectProbeTimeout = std::chrono::milliseconds(300);

dispatch::ProbeResult probeResultOf(const boost::system::error_code& error)
{
  if (!error) {
    return dispatch::ProbeResult::connected;
  }
  return error == boost::asio::error::connection_refused ? dispatch::ProbeResult::refused
                                                         : dispatch::ProbeResult::timedOut;
}

/** Returns the limits of the server for callers. */
http::ServerLimits callerLimits(const RouterSettings& settings)
{
  http::ServerLimits limits;
  if (settings.linkBytesPerSecond) {
    const auto& limit = settings.linkAdmission ? EntryLink::kAcceptLimit : kConnectionLimit;
    limits.backlog = limit.backlog(*settings.linkBytesPerSecond, limits.backlog);
  }
  return limits;
}

HolderId holderOf(const RoleContext& context)
{
  return { ProcessId(settings::toString(context.settings.peers)), context.incarnation };
}

ledger::QuotaSettings quotaSettings(const RoleContext& context)
{
  auto settings = ledger::routerQuotaSettings(holderOf(context), context.settings.zone);
  settings.proposalIdBase = context.incarnation.number;
  settings.stockHorizon = context.settings.tokenStock;
  return settings;
}

dispatch::DispatcherSettings dispatcherSettings(const RoleContext& context)
{
  dispatch::DispatcherSettings settings;
  settings.zone = context.settings.zone;
  settings.seed = context.incarnation.number;
  settings.repeatRatio = context.settings.bounds.repeatRatio;
  settings.repeatSlack = context.settings.bounds.repeatSlack;
  settings.repeatWindow = context.settings.bounds.repeatWindow;
  settings.coldBounds.overage = context.settings.bounds.warmupOverage;
  settings.coldBounds.slack = context.settings.bounds.warmupSlack;
  settings.evenLoad = context.settings.evenLoad;
  return settings;
}

http::ServerLimits serverLimits(const fleet::RequestLimits& limits)
{
  http::ServerLimits server;
  server.headBytes = limits.headBytes;
  server.bodyBytes = limits.bodyBytes;
  server.headTimeout = limits.headTimeout;
  server.idleTimeout = limits.idleTimeout;
  return server;
}

} // namespace

EntryRole::EntryRole(const RoleContext& context)
  : context_(context)
  , subscriber_({ context.incarnation,
                  context.settings.zone,
                  context.settings.seedProcesses(),
                  context.incarnation.number })
  , quotaManager_(quotaSettings(context))
  , witness_(holderOf(context))
  , dispatcher_(dispatcherSettings(context))
  , pool_(context.io)
  , egress_(context.incarnation.number)
  , services_{ context.dialect,
               dispatcher_,
               quotaManager_,
               origins_,
               pool_,
               egress_,
               context.settings.peerKey,
               context.log,
               context.metrics,
               {},
               0,
               [this](Time now) { reportObservations(now); },
               [this] { sendOriginMessages(); } }
  , callers_(context.io,
             callerLimits(context.settings),
             [this](std::shared_ptr<http::ServerRequest> request) { handle(std::move(request)); })
  , readiness_(
      context.io,
      http::ServerLimits{},
      [this](const std::shared_ptr<http::ServerRequest>& request) { sendReadiness(*request); })
  , tunnels_(context.io,
             [this](const http::TunnelRequest& request) { return authorizeTunnel(request); })
  , load_(context_.metrics, context_.log)
  , timer_(context.io)
  , random_(context.incarnation.number)
{
  const auto& bandwidth = context.settings.linkBytesPerSecond;
  if (bandwidth && context.settings.linkAdmission) {
    link_.emplace(*bandwidth, context.log, context.metrics);
  } else if (bandwidth) {
    linkBudget_.emplace(*bandwidth, kConnectionLimit.utilisation);
  }
}

Expected<void> EntryRole::start()
{
  context_.metrics.set("evacuated_zones", 0);
  if (linkBudget_) {
    callers_.setAcceptDelay([this] { return connectionDelay(bootTime()); });
  } else if (link_) {
    limitLinkTraffic();
  }
  if (auto listening = callers_.listen(toEndpoint(*context_.settings.callers)); !listening) {
    return listening;
  }
  if (auto listening = readiness_.listen(toEndpoint(*context_.settings.readiness)); !listening) {
    return listening;
  }
  if (context_.settings.tunnels) {
    if (auto listening = tunnels_.listen(toEndpoint(*context_.settings.tunnels)); !listening) {
      return listening;
    }
  }
  update(bootTime());
  scheduleTick();
  return {};
}

void EntryRole::scheduleTick()
{
  const bool isBusy = !exchanges_.empty() || stopping_ || origins_.isBusy();
  const Duration wait = isBusy ? kBusyTickInterval : kIdleTickInterval;
  tickDueAt_ = bootTime() + wait;
  timer_.expires_after(wait);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      const Time firedAt = bootTime();
      if (load_.addTimerDelay(firedAt, firedAt - tickDueAt_)) {
        load_.report(firedAt);
        reportEvenLoad(firedAt);
      }
      onTimer(firedAt);
      scheduleTick();
    }
  });
}

void EntryRole::onTimer(Time now)
{
  const WorkTimer timer(load_, LoopWork::timer);
  dispatcher_.tick(now);
  for (const auto dispatchId : dispatcher_.takeStalled()) {
    const auto exchangeEntry = exchanges_.find(Exchange::idOfDispatchId(dispatchId));
    if (exchangeEntry != exchanges_.end()) {
      exchangeEntry->second->markStalled(dispatchId);
    }
  }
  std::vector<std::shared_ptr<Exchange>> open;
  open.reserve(exchanges_.size());
  for (const auto& [id, exchange] : exchanges_) {
    open.push_back(exchange);
  }
  for (const auto& exchange : open) {
    exchange->checkTimeouts(now);
  }
  if (stopping_ && now - stopStartedAt_ > kServeTimeAfterStop) {
    stopServing(now);
  }
  probeDirectPath(now);
  if (link_) {
    updateLink(now);
    link_->report(now);
  }
  update(now);
}

void EntryRole::stopServing(Time now)
{
  // New connections are accepted until the process exits: while most processes of a zone stop, the
  // load balancer also sends connections to processes that are not ready.
  servingStopped_ = true;
  callers_.drain();
  returnTokens(now);
}

void EntryRole::returnTokens(Time now)
{
  if (!subscriber_.control()) {
    quotaManager_.handOver(now);
  } else if (!quotaManagerDraining_) {
    quotaManagerDraining_ = true;
    quotaManager_.drain(now);
  }
}

void EntryRole::handle(std::shared_ptr<http::ServerRequest> request)
{
  const Time now = bootTime();
  if (stopping_) {
    request->closeAfterResponse();
    if (!servingStopped_ && now - stopStartedAt_ > kServeTimeAfterStop) {
      stopServing(now);
    }
  }
  if (linkDelay(now) > Duration::zero()) {
    request->closeAfterResponse();
  }
  const auto id = ++lastExchangeId_;
  const auto exchange = std::make_shared<Exchange>(
    services_, std::move(request), id, [this](std::uint64_t ended) { exchanges_.erase(ended); });
  const bool wasIdle = exchanges_.empty();
  exchanges_.emplace(id, exchange);
  exchange->start(now);
  update(now);
  if (wasIdle) {
    timer_.cancel();
    scheduleTick();
  }
}

void EntryRole::sendReadiness(http::ServerRequest& request) const
{
  if (isReady()) {
    sendJsonResponse(request, R"({"ready":true})");
    return;
  }
  sendErrorResponse(
    request,
    Error{ stopping_ ? ErrorKind::shuttingDown : ErrorKind::overloaded, "not ready" },
    std::chrono::seconds(1));
}

bool EntryRole::isReady() const
{
  return !stopping_ && services_.table != nullptr && endpointCount_ > 0 &&
         (!link_ || link_->isReady());
}

void EntryRole::receive(const ProcessId& from,
                        Incarnation /*incarnation*/,
                        wire::Channel channel,
                        std::string body)
{
  const Time now = bootTime();
  const bool isFleet = channel == wire::Channel::fleet;
  load_.addReceived(channel, body.size());
  receivedMessageBytes_ += body.size();
  const WorkTimer timer(load_, isFleet ? LoopWork::fleet : LoopWork::ledger);
  if (isFleet) {
    if (const auto message = wire::decode<fleet::Message>(body)) {
      subscriber_.receive(now, from, *message);
      if (const auto* reply = std::get_if<fleet::StreamOriginReply>(&*message)) {
        origins_.receive(from, *reply);
      }
    }
  } else if (channel == wire::Channel::ledger) {
    if (const auto message = wire::decode<ledger::Message>(body)) {
      quotaManager_.receive(now, from, *message);
      witness_.receive(now, from, *message);
    }
  }
  update(now);
}

void EntryRole::update(Time now)
{
  // QuotaManager decisions may end exchanges, which may call this function again.
  if (updating_) {
    return;
  }
  updating_ = true;
  if (now >= nextTickAt_) {
    nextTickAt_ = now + kMinTickInterval;
    subscriber_.tick(now);
    quotaManager_.tick(now);
    origins_.tick(now);
  }
  applyUpdates(now);
  applyEgressChange(now);
  updateOrigins(now);
  updateQuotaManager(now);
  reportObservations(now);
  logEndpointEvents(now);
  updating_ = false;
}

void EntryRole::applyUpdates(Time now)
{
  const auto changes = subscriber_.takeChanges();
  if (const auto contactAt = subscriber_.contactAt()) {
    dispatcher_.setControlContact(*contactAt);
  }
  if (changes.configuration) {
    applyConfiguration(now);
  }
  if (changes.endpoints) {
    applyEndpoints(now);
  }
  if (changes.evacuations) {
    applyEvacuations(now);
  }
  if (changes.control) {
    applyControl(now);
  }
  if (changes.entryProcesses) {
    applyEntryProcesses(now);
  }
  dispatcher_.addCrashReports(now, changes.crashReports);
  dispatcher_.addRateLimits(now, changes.rateLimits);
  if (!changes.requestRates.empty()) {
    dispatcher_.setRequestRates(changes.requestRates);
  }
}

void EntryRole::applyEntryProcesses(Time now)
{
  const auto self = holderOf(context_).process;
  dispatcher_.setPeers(subscriber_.entryProcesses());
  dispatcher_.setProcesses(self, subscriber_.entries());
  setQuotaPeers(now);
  if (!context_.settings.tunnels) {
    return;
  }
  std::vector<EgressSelector::Peer> peers;
  for (const auto& entry : subscriber_.entries()) {
    const auto address = settings::parseAddress(entry.holder.process.value);
    if (address && entry.holder.process != self) {
      peers.push_back(toEndpoint({ address->ip, context_.settings.tunnels->port }));
    }
  }
  egress_.setPeers(peers);
}

int EntryRole::authorizeTunnel(const http::TunnelRequest& request) const
{
  constexpr int kOk = 200;
  constexpr int kForbidden = 403;
  constexpr int kProxyAuthenticationRequired = 407;
  constexpr int kBadGateway = 502;
  constexpr int kServiceUnavailable = 503;
  if (!isAuthorized(request, context_.settings.peerKey)) {
    return kProxyAuthenticationRequired;
  }
  const auto target = endpointZones_.find(request.target);
  if (target == endpointZones_.end()) {
    return kForbidden;
  }
  if (dispatcher_.isEvacuated(target->second)) {
    // As for an endpoint that does not accept connections: the peer then tries another endpoint and
    // does not take this process for one that opens no tunnels.
    return kBadGateway;
  }
  // While this process stops, a tunnel is still opened to confirm the end of another one.
  const bool isRefused = stopping_ && !tunnels_.isEndPending(request.target);
  if (isRefused || egress_.isTunnelling()) {
    return kServiceUnavailable;
  }
  context_.metrics.count("tunnels_opened");
  return kOk;
}

void EntryRole::probeDirectPath(Time now)
{
  if (endpointZones_.empty() || !egress_.takeProbe(now)) {
    return;
  }
  const auto offset = random_.below(endpointZones_.size());
  const auto address =
    std::next(endpointZones_.begin(), static_cast<std::ptrdiff_t>(offset))->first;
  pool_.probe(address, kDirectProbeTimeout, [this](const boost::system::error_code& error) {
    egress_.probed(bootTime(), !error);
  });
}

void EntryRole::applyEgressChange(Time now)
{
  const bool tunnelling = egress_.isTunnelling();
  if (tunnelling == wasTunnelling_) {
    return;
  }
  wasTunnelling_ = tunnelling;
  context_.log.line(now, "egress", { { "path", tunnelling ? "tunnel" : "direct" } });
  context_.metrics.count(tunnelling ? "egress_tunnel" : "egress_direct");
  // What was observed on the other path says nothing about the endpoints.
  dispatcher_.closeBreakers();
}

void EntryRole::updateOrigins(Time now)
{
  for (const auto& answer : origins_.takeAnswers()) {
    if (const auto exchangeEntry = exchanges_.find(answer.queryId);
        exchangeEntry != exchanges_.end()) {
      const auto exchange = exchangeEntry->second;
      exchange->handleOrigin(now, answer);
    }
  }
  sendOriginMessages();
}

void EntryRole::sendOriginMessages()
{
  for (const auto& message : origins_.takeOutgoing()) {
    send(message.to, wire::Channel::fleet, wire::encode(message.message));
  }
}

void EntryRole::applyControl(Time now)
{
  setQuotaPeers(now);
  const auto control = subscriber_.control();
  origins_.setControls(control, subscriber_.controls());
  quotaManager_.setControlLost(!control);
  if (control == control_) {
    return;
  }
  if (control_) {
    context_.mesh.stopMaintainingLink(*control_);
  }
  if (control) {
    context_.mesh.maintainLink(*control);
  }
  control_ = control;
  if (control) {
    context_.log.line(now, "control", { { "control", control->value } });
    return;
  }
  const auto reason = toString(subscriber_.searchReason());
  context_.log.line(now, "control_lost", { { "reason", std::string(reason) } });
  context_.metrics.count(fmt::format("control_lost_{}", reason));
}

void EntryRole::setQuotaPeers(Time now)
{
  std::vector<ledger::Peer> peers;
  for (const auto& control : subscriber_.controls()) {
    peers.push_back({ { control, {} }, {}, false, true, true });
  }
  for (const auto& entry : subscriber_.entries()) {
    peers.push_back({ entry.holder, entry.zone, true, false, true });
  }
  quotaManager_.setPeers(now, peers);
}

void EntryRole::applyConfiguration(Time now)
{
  const auto version = subscriber_.configurationVersion();
  auto parsed = context_.dialect.parseConfiguration(*subscriber_.configuration());
  if (!parsed) {
    context_.log.line(
      now,
      "configuration_unreadable",
      { { "version", std::to_string(version) }, { "detail", parsed.error().detail } });
    return;
  }
  services_.table = std::make_shared<const fleet::RouteTable>(std::move(*parsed));
  const auto& configuration = services_.table->configuration();
  dispatcher_.setServices(now, configuration.services);
  quotaManager_.setBudgets(now, budgetsOf(configuration));
  callers_.setLimits(serverLimits(configuration.limits));
  context_.log.line(now,
                    "configuration",
                    { { "version", std::to_string(version) },
                      { "routes", std::to_string(configuration.routes.size()) },
                      { "workspaces", std::to_string(configuration.workspaces.size()) } });
}

void EntryRole::applyEndpoints(Time now)
{
  std::vector<fleet::EndpointRecord> endpoints;
  endpointZones_.clear();
  for (const auto& [id, record] : subscriber_.endpoints()) {
    endpoints.push_back(record);
    if (const auto address = settings::parseAddress(record.address)) {
      endpointZones_.insert_or_assign(toEndpoint(*address), record.zone);
    }
  }
  endpointCount_ = endpoints.size();
  updateEgressEndpoints();
  services_.endpointRevision = subscriber_.endpointRevision();
  dispatcher_.setEndpoints(now, endpoints);
  context_.log.line(now,
                    "endpoints",
                    { { "revision", std::to_string(services_.endpointRevision) },
                      { "count", std::to_string(endpointCount_) } });
}

void EntryRole::applyEvacuations(Time now)
{
  const auto& zones = subscriber_.evacuatedZones();
  const auto logMissing = [&](const auto& from, const auto& in, std::string_view active) {
    for (const auto& zone : from) {
      if (!std::binary_search(in.begin(), in.end(), zone)) {
        context_.log.line(now,
                          "evacuation",
                          { { "zone", zone.value },
                            { "active", std::string(active) },
                            { "revision", std::to_string(subscriber_.evacuationRevision()) } });
      }
    }
  };
  logMissing(zones, evacuatedZones_, "true");
  logMissing(evacuatedZones_, zones, "false");
  evacuatedZones_ = zones;
  dispatcher_.setEvacuatedZones(now, evacuatedZones_);
  context_.metrics.set("evacuated_zones", evacuatedZones_.size());
  updateEgressEndpoints();
}

void EntryRole::updateEgressEndpoints()
{
  // Endpoints of evacuated zones get no connections whose failures would show a cut.
  const auto isInUse = [this](const auto& item) { return !dispatcher_.isEvacuated(item.second); };
  const auto count = std::count_if(endpointZones_.begin(), endpointZones_.end(), isInUse);
  egress_.setEndpointCount(static_cast<std::size_t>(count));
}

void EntryRole::updateQuotaManager(Time now)
{
  for (const auto& decision : quotaManager_.takeDecisions()) {
    std::uint64_t id = 0;
    const auto& text = decision.request.value;
    std::from_chars(text.data(), text.data() + text.size(), id);
    if (const auto exchangeEntry = exchanges_.find(id); exchangeEntry != exchanges_.end()) {
      const auto exchange = exchangeEntry->second;
      exchange->handleDecision(now, decision);
    }
  }
  // Charges need no witness here, so the list of recorded charges is discarded.
  static_cast<void>(quotaManager_.takeRecordedCharges());
  sendLedger(quotaManager_.takeOutgoing());
  sendLedger(witness_.takeOutgoing());
}

void EntryRole::sendLedger(const std::vector<ledger::OutgoingMessage>& messages)
{
  for (const auto& message : messages) {
    send(message.to, wire::Channel::ledger, wire::encode(message.message));
  }
}

void EntryRole::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  load_.addSent(channel, body.size());
  context_.mesh.send(to, channel, std::move(body));
}

void EntryRole::logEndpointEvents(Time now)
{
  for (const auto& event : dispatcher_.takeEvents()) {
    context_.log.line(now, "endpoint_state", { { "detail", event } });
  }
}

void EntryRole::reportObservations(Time now)
{
  for (const auto& crash : dispatcher_.takeCrashes()) {
    subscriber_.addCrash(now, crash.report);
    context_.log.line(
      now,
      "endpoint_crash",
      { { "candidates", fmt::format("{:x}", fmt::join(crash.report.candidates, ",")) },
        { "detection_ms", std::to_string(toMillis(crash.detectionTime)) } });
  }
  for (const auto& refutation : dispatcher_.takeCrashRefutations()) {
    subscriber_.addRefutation(now, refutation);
  }
  for (const auto& event : dispatcher_.takeCrashEvents()) {
    context_.log.line(now, "crash_cause", { { "detail", event } });
  }
  reportRateLimits(now);
  logRestrictions(now);
  logConditions(now);
  probeEndpoints();
  for (auto& message : subscriber_.takeOutgoing()) {
    send(message.to, wire::Channel::fleet, wire::encode(message.message));
  }
}

void EntryRole::reportRateLimits(Time now)
{
  const auto changes = dispatcher_.takeRateLimitChanges();
  for (const auto& change : changes) {
    const auto& limit = change.requestsPerSecond;
    const auto text = limit ? fmt::format("{}", *limit) : "none";
    context_.log.line(
      now, "endpoint_rate_limit", { { "endpoint", change.endpoint.value }, { "limit", text } });
  }
  subscriber_.setRequestRate(dispatcher_.requestsPerSecond(now));
  subscriber_.setRateLimits(
    now, dispatcher_.rateLimitsSince(now, now - kRateLimitReportTime), !changes.empty());
}

void EntryRole::logRestrictions(Time now)
{
  for (const auto& restriction : dispatcher_.takeRestrictions()) {
    if (restriction.backoff) {
      const auto backoffMs = toMillis(*restriction.backoff);
      context_.log.line(
        now,
        "endpoint_backoff",
        { { "endpoint", restriction.endpoint.value }, { "for_ms", std::to_string(backoffMs) } });
    } else {
      context_.log.line(now, "endpoint_leaving", { { "endpoint", restriction.endpoint.value } });
    }
  }
}

void EntryRole::logConditions(Time now)
{
  const auto changes = dispatcher_.takeConditionChanges();
  std::vector<std::string_view> began;
  std::vector<std::string_view> ended;
  for (const auto& change : changes.cold) {
    (change.remaining ? began : ended).push_back(change.endpoint.value);
  }
  // One line for all, because the endpoints of a zone may become cold together.
  const auto logCold = [&](std::string_view state, const std::vector<std::string_view>& endpoints) {
    if (!endpoints.empty()) {
      context_.log.line(now,
                        "endpoint_cold",
                        { { "state", std::string(state) },
                          { "count", std::to_string(endpoints.size()) },
                          { "endpoints", fmt::format("{}", fmt::join(endpoints, ",")) } });
    }
  };
  logCold("begins", began);
  logCold("ends", ended);
  for (const auto& change : changes.brittle) {
    const auto& limit = change.maxRefusals;
    context_.log.line(now,
                      "endpoint_brittle",
                      { { "service", change.service.value },
                        { "refusals_per_s", limit ? fmt::format("{}", *limit) : "none" } });
  }
  if (!began.empty()) {
    context_.metrics.count("endpoints_cold", began.size());
  }
  if (changes.brittleRefusals > 0) {
    context_.metrics.count("brittle_refusals", changes.brittleRefusals);
  }
}

void EntryRole::reportEvenLoad(Time now)
{
  if (now < nextEvenLoadReportAt_) {
    return;
  }
  nextEvenLoadReportAt_ = now + kEvenLoadReportInterval;
  const auto figures = dispatcher_.takeLoadBalancerFigures();
  if (figures.choices == 0) {
    return;
  }
  context_.metrics.count("even_load_choices", figures.choices);
  context_.metrics.count("even_load_candidates", figures.candidatesDrawn);
  context_.metrics.count("even_load_spills", figures.spills);
  context_.log.line(now,
                    "even_load",
                    { { "choices", std::to_string(figures.choices) },
                      { "candidates", std::to_string(figures.candidatesDrawn) },
                      { "spills", std::to_string(figures.spills) },
                      { "mean_load", fmt::format("{:.1f}", figures.meanLoad) },
                      { "largest_load", fmt::format("{:.1f}", figures.largestLoad) },
                      { "lowest_speed", fmt::format("{:.2f}", figures.lowestSpeed) },
                      { "highest_speed", fmt::format("{:.2f}", figures.highestSpeed) } });
}

void EntryRole::probeEndpoints()
{
  for (const auto& probe : dispatcher_.takeProbes()) {
    const auto address = settings::parseAddress(probe.address);
    if (!address) {
      continue;
    }
    pool_.probe(toEndpoint(*address),
                kProbeTimeout,
                [this, handle = probe.handle](const boost::system::error_code& error) {
                  const Time now = bootTime();
                  // While the VM is cut off, a refused connection does not show a crash.
                  dispatcher_.probed(now,
                                     handle,
                                     egress_.isTunnelling() ? dispatch::ProbeResult::timedOut
                                                            : probeResultOf(error));
                  reportObservations(now);
                });
  }
}

void EntryRole::setSeeds(const std::vector<ProcessId>& seeds)
{
  subscriber_.setSeeds(seeds);
}

void EntryRole::explain(http::ServerRequest& request)
{
  const Time now = bootTime();
  if (request.head().method != "POST") {
    sendErrorResponse(
      request, Error{ ErrorKind::methodNotAllowed, "use POST" }, Duration::zero(), "POST");
    return;
  }
  const PlacementState state{ services_.table.get(),
                              context_.dialect,
                              dispatcher_,
                              quotaManager_,
                              link_ ? link_->acceptDelay() : linkDelay(now) };
  const auto explanation = explainRequest(now, state, request.head().fields, *request.body());
  if (explanation) {
    sendJsonResponse(request, json::dump(*explanation));
  } else {
    sendErrorResponse(request, explanation.error(), std::chrono::seconds(1));
  }
}

void EntryRole::beginStop()
{
  stopping_ = true;
  stopStartedAt_ = bootTime();
  services_.normalServiceEnd = stopStartedAt_ + kServeTimeAfterStop;
  services_.stopDeadline =
    stopStartedAt_ + context_.settings.bounds.grace - kGraceMargin - kLastAnswerMargin;
}

bool EntryRole::isStopped() const
{
  return servingStopped_ && exchanges_.empty() && callers_.openRequests() == 0 &&
         callers_.unsentResponses() == 0 && !callers_.expectsFirstRequests() &&
         tunnels_.busyTunnels() == 0 && (quotaManager_.isDrained() || quotaManager_.isHandedOver());
}

void EntryRole::abortRequests(Time now)
{
  while (!exchanges_.empty()) {
    const auto exchange = exchanges_.begin()->second;
    exchange->abort(now);
  }
  callers_.closeConnections();
}

} // namespace figchute::router
