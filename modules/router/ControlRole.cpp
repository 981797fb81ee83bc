#include "router/ControlRole.h"

#include "router/BootClock.h"
#include "router/ErrorResponse.h"
#include "router/EvacuationOrder.h"
#include "router/RequestBody.h"
#include "json/json.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <fmt/format.h>
#include <iterator>
#include <limits>
#include <utility>

namespace figchute::router {
namespace {

constexpr Duration kMinTickInterval = std::chrono::milliseconds(5);
constexpr Duration kMaxTickInterval = std::chrono::milliseconds(100);
constexpr Time kNever{ std::numeric_limits<std::int64_t>::max() };
constexpr Duration kExpiryInterval = std::chrono::seconds(1);
/** Below 1 s, after which operators try another control process. */
constexpr Duration kProposalTimeout = std::chrono::milliseconds(900);
/** Below StreamOriginClient::kQueryTimeout, so that the answer still counts. */
constexpr Duration kOriginReadTimeout = std::chrono::milliseconds(200);
constexpr Duration kRetryAfter = std::chrono::milliseconds(200);
constexpr std::uint64_t kMaxConfigurationBytes = 16U * 1024 * 1024;
constexpr Duration kServeTimeAfterStop = std::chrono::seconds(1);

http::ServerLimits operatorLimits()
{
  http::ServerLimits limits;
  limits.bodyBytes = kMaxConfigurationBytes;
  limits.totalBodyBytes = 3 * kMaxConfigurationBytes;
  limits.headTimeout = std::chrono::seconds(5);
  limits.idleTimeout = std::chrono::seconds(30);
  return limits;
}

Error noQuorum()
{
  return Error{ ErrorKind::noQuorum, "no leader with a majority answers" };
}

ledger::Command toCommand(const fleet::EndpointCommand& command)
{
  return std::visit([](const auto& typed) { return ledger::Command(typed); }, command);
}

std::string_view nameOf(ledger::RetirementProof proof)
{
  switch (proof) {
    case ledger::RetirementProof::report:
      return "witness";
    case ledger::RetirementProof::contact:
      return "contact";
    case ledger::RetirementProof::noWitness:
      return "no_witness";
    case ledger::RetirementProof::none:
      break;
  }
  return "none";
}

std::string_view pathOf(std::string_view target)
{
  return target.substr(0, target.find('?'));
}

/** Returns the path of the list of evacuations. */
std::string_view evacuationListPath(const ApiPaths& paths)
{
  return std::string_view(paths.evacuations).substr(0, paths.evacuations.size() - 1);
}

} // namespace

ControlRole::ControlRole(const RoleContext& context)
  : context_(context)
  , operators_(context.io,
               operatorLimits(),
               [this](const RequestPointer& request) { handle(request); })
  , load_(context.metrics, context.log)
  , timer_(context.io)
  , lastOrderId_(
      fingerprintOf(settings::toString(context.settings.peers), context.incarnation.number))
{
}

Expected<void> ControlRole::start()
{
  context_.metrics.set("evacuated_zones", 0);
  control::ControlNodeSettings settings;
  settings.self = ProcessId(settings::toString(context_.settings.peers));
  settings.dataFolder = *context_.settings.dataDir;
  settings.seeds = context_.settings.seedProcesses();
  settings.bootstrap = context_.settings.bootstrap;
  settings.seed = context_.incarnation.number;
  settings.bootClock = { bootId(settings.self.value), bootTimeOrigin() };
  settings.clock = [] { return bootTime(); };
  const Time startedAt = bootTime();
  node_ = std::make_unique<control::ControlNode>(std::move(settings), startedAt);
  const Time now = bootTime();
  logRecovery(now, now - startedAt);
  if (auto listening = operators_.listen(toEndpoint(*context_.settings.operators)); !listening) {
    return listening;
  }
  update(now);
  scheduleTick();
  return {};
}

void ControlRole::logRecovery(Time now, Duration elapsed)
{
  const auto& recovered = node_->recoveredLog();
  context_.log.line(now,
                    "log_recovered",
                    { { "snapshot_bytes", std::to_string(recovered.snapshotBytes) },
                      { "entries", std::to_string(recovered.entries) },
                      { "entry_bytes", std::to_string(recovered.entryBytes) },
                      { "elapsed_ms", std::to_string(toMillis(elapsed)) } });
}

Time ControlRole::nextUpdateAt() const
{
  return std::min(node_->nextTick(), publisher_->publishDueAt().value_or(kNever));
}

void ControlRole::scheduleTick()
{
  const Time now = bootTime();
  const Duration wait =
    std::clamp<Duration>(nextUpdateAt() - now, kMinTickInterval, kMaxTickInterval);
  tickDueAt_ = now + wait;
  timer_.expires_after(wait);
  timer_.async_wait([this](const boost::system::error_code& error) {
    if (!error) {
      const Time firedAt = bootTime();
      reportLoad(firedAt, firedAt - tickDueAt_);
      update(firedAt);
      scheduleTick();
    }
  });
}

void ControlRole::reportLoad(Time now, Duration timerDelay)
{
  if (load_.addTimerDelay(now, timerDelay)) {
    load_.setTransferPairs(node_->state().transferPairCount());
    load_.report(now);
  }
}

void ControlRole::handle(const RequestPointer& request)
{
  const auto& paths = context_.dialect.paths();
  const auto path = pathOf(request->head().target);
  const auto& method = request->head().method;
  if (stopping_) {
    request->closeAfterResponse();
  }
  if (path == paths.configuration && method == "PUT") {
    putConfiguration(request);
  } else if (path == paths.configuration && method == "GET") {
    getConfiguration(request);
  } else if (path == evacuationListPath(paths)) {
    listEvacuations(request);
  } else if (path.starts_with(paths.evacuations)) {
    changeEvacuation(request);
  } else if (path.starts_with(paths.endpoints) && path.size() > paths.endpoints.size()) {
    const EndpointId id(path.substr(paths.endpoints.size()));
    if (method == "PUT") {
      announce(request, id);
    } else if (method == "DELETE") {
      removeEndpoint(request, id);
    } else {
      sendErrorResponse(*request, Error{ ErrorKind::notFound, "no such call" }, Duration{ 0 });
    }
  } else {
    sendErrorResponse(*request, Error{ ErrorKind::notFound, "no such call" }, Duration{ 0 });
  }
  update(bootTime());
}

void ControlRole::putConfiguration(const RequestPointer& request)
{
  const Time now = bootTime();
  const auto& body = request->body();
  auto parsed = context_.dialect.parseConfiguration(bodyOf(*request));
  if (!parsed) {
    context_.log.line(now, "configuration_refused", { { "detail", parsed.error().detail } });
    sendErrorResponse(*request, parsed.error(), Duration{ 0 });
    return;
  }
  context_.log.line(
    now,
    "configuration_received",
    { { "version", std::to_string(parsed->version) }, { "bytes", std::to_string(body->size()) } });
  propose(request, ledger::PutConfiguration{ parsed->version, *body, budgetsOf(*parsed) });
}

void ControlRole::getConfiguration(const RequestPointer& request)
{
  const Time startedAt = bootTime();
  readCurrentState(kProposalTimeout, [this, request, startedAt](bool isCurrent) {
    const Time now = bootTime();
    context_.log.line(now,
                      isCurrent ? "configuration_read" : "configuration_read_failed",
                      { { "version", std::to_string(configurationVersion_) },
                        { "age_ms", std::to_string(toMillis(now - startedAt)) } });
    if (isCurrent) {
      sendConfiguration(*request);
    } else {
      sendErrorResponse(*request, noQuorum(), kRetryAfter);
    }
  });
}

void ControlRole::readCurrentState(Duration timeout, StateReader reader)
{
  const Time now = bootTime();
  node_->proposeLocal(now,
                      ledger::ReadBarrier{},
                      timeout,
                      [this, reader = std::move(reader), deadline = now + timeout](
                        const Expected<ledger::Result>& result) {
                        const auto* barrier =
                          result ? std::get_if<ledger::BarrierResult>(&*result) : nullptr;
                        if (barrier == nullptr) {
                          reader(false);
                          return;
                        }
                        pendingReads_.push_back({ barrier->index, deadline, reader });
                      });
}

void ControlRole::finishReads(Time now)
{
  const auto applied = node_->appliedIndex();
  const auto isFinished = [&](const PendingRead& read) {
    return read.index <= applied || now >= read.deadline;
  };
  const auto firstFinished =
    std::stable_partition(pendingReads_.begin(), pendingReads_.end(), [&](const auto& read) {
      return !isFinished(read);
    });
  const std::vector<PendingRead> finished(std::make_move_iterator(firstFinished),
                                          std::make_move_iterator(pendingReads_.end()));
  pendingReads_.erase(firstFinished, pendingReads_.end());
  for (const auto& read : finished) {
    read.reader(read.index <= applied);
  }
}

void ControlRole::answerOriginQueries()
{
  // One barrier serves all queries that arrived before it.
  if (!isReadingRegistry_) {
    if (auto queries = origins_.takeRegistryQueries(); !queries.empty()) {
      isReadingRegistry_ = true;
      readCurrentState(kOriginReadTimeout, [this, queries = std::move(queries)](bool isCurrent) {
        isReadingRegistry_ = false;
        origins_.answer(queries, isCurrent ? &state_->endpoints : nullptr);
        scheduleUpdate();
      });
    }
  }
  sendFleet(origins_.takeOutgoing());
}

void ControlRole::sendConfiguration(http::ServerRequest& request)
{
  const auto& configuration = node_->state().fleet().configuration;
  if (configuration.version() == 0) {
    sendErrorResponse(
      request, Error{ ErrorKind::overloaded, "no configuration is stored" }, kRetryAfter);
    return;
  }
  sendJsonResponse(request, *configuration.bytes());
}

void ControlRole::announce(const RequestPointer& request, const EndpointId& id)
{
  const Time now = bootTime();
  const auto announcement = context_.dialect.parseAnnouncement(id, bodyOf(*request));
  if (!announcement) {
    context_.log.line(now,
                      "announcement_refused",
                      { { "endpoint", id.value }, { "detail", announcement.error().detail } });
    sendErrorResponse(*request, announcement.error(), Duration{ 0 });
    return;
  }
  if (!services_.empty() && services_.count(announcement->service.value) == 0) {
    context_.log.line(
      now,
      "announcement_refused",
      { { "endpoint", id.value }, { "detail", "unknown service " + announcement->service.value } });
    sendErrorResponse(*request,
                      Error{ ErrorKind::badRequest, "the service is not in the configuration" },
                      Duration{ 0 });
    return;
  }
  const auto command = announcementTracker_->announce(now, *announcement);
  if (!command) {
    sendJsonResponse(*request, "{}");
    return;
  }
  context_.log.line(
    now,
    "announcement",
    { { "endpoint", id.value },
      { "service", announcement->service.value },
      { "address", announcement->address },
      { "state", announcement->state == fleet::EndpointState::ready ? "ready" : "draining" },
      { "sequence", std::to_string(announcement->sequence) } });
  propose(request, toCommand(*command));
}

void ControlRole::removeEndpoint(const RequestPointer& request, const EndpointId& id)
{
  const Time now = bootTime();
  const auto command = announcementTracker_->withdraw(id);
  context_.log.line(now, "endpoint_leaves", { { "endpoint", id.value } });
  if (!command) {
    sendJsonResponse(*request, "{}");
    return;
  }
  propose(request, toCommand(*command));
}

void ControlRole::changeEvacuation(const RequestPointer& request)
{
  const Time startedAt = bootTime();
  const auto order = parseEvacuationOrder(request->head(),
                                          bodyOf(*request),
                                          context_.dialect.paths().evacuations,
                                          context_.settings.zones,
                                          state_->evacuations);
  if (!order) {
    const auto& error = order.error();
    context_.log.line(startedAt, "evacuation_refused", { { "detail", error.detail } });
    const bool isWrongMethod = error.kind == ErrorKind::methodNotAllowed;
    sendErrorResponse(*request, error, Duration{ 0 }, isWrongMethod ? kEvacuationOrderMethods : "");
    return;
  }
  node_->proposeLocal(
    startedAt,
    ledger::SetEvacuation{ order->zone, order->active, ++lastOrderId_ },
    kProposalTimeout,
    [this, request, startedAt, order = *order](const Expected<ledger::Result>& result) {
      const Time now = bootTime();
      const auto ageMs = std::to_string(toMillis(now - startedAt));
      if (!result) {
        context_.log.line(
          now, "proposal_failed", { { "detail", result.error().detail }, { "age_ms", ageMs } });
        sendErrorResponse(*request, result.error(), kRetryAfter);
        return;
      }
      context_.log.line(now,
                        "evacuation",
                        { { "zone", order.zone.value },
                          { "active", order.active ? "true" : "false" },
                          { "age_ms", ageMs } });
      const auto response =
        json::Value::object({ { "zone", order.zone.value }, { "evacuated", order.active } });
      sendJsonResponse(*request, json::dump(response));
    });
}

void ControlRole::listEvacuations(const RequestPointer& request)
{
  const auto& head = request->head();
  if (head.method != "GET") {
    sendErrorResponse(*request,
                      Error{ ErrorKind::methodNotAllowed, "GET lists the evacuated zones" },
                      Duration{ 0 },
                      "GET");
    return;
  }
  if (head.target.find('?') != std::string::npos) {
    sendErrorResponse(
      *request, Error{ ErrorKind::badRequest, "the list has no query" }, Duration{ 0 });
    return;
  }
  readCurrentState(kProposalTimeout, [this, request](bool isCurrent) {
    if (!isCurrent) {
      sendErrorResponse(*request, noQuorum(), kRetryAfter);
      return;
    }
    auto zones = json::Value::array();
    for (const auto& zone : state_->evacuations.zones()) {
      zones.push(zone.value);
    }
    const auto response = json::Value::object(
      { { "revision", state_->evacuations.revision() }, { "zones", std::move(zones) } });
    sendJsonResponse(*request, json::dump(response));
  });
}

void ControlRole::propose(const RequestPointer& request, const ledger::Command& command)
{
  const Time startedAt = bootTime();
  node_->proposeLocal(startedAt,
                      command,
                      kProposalTimeout,
                      [this, request, startedAt](const Expected<ledger::Result>& result) {
                        const auto age = std::to_string(toMillis(bootTime() - startedAt));
                        if (!result) {
                          context_.log.line(
                            bootTime(),
                            "proposal_failed",
                            { { "detail", result.error().detail }, { "age_ms", age } });
                          sendErrorResponse(*request, result.error(), kRetryAfter);
                          return;
                        }
                        context_.log.line(bootTime(), "acknowledged", { { "age_ms", age } });
                        sendJsonResponse(*request, "{}");
                      });
}

void ControlRole::receive(const ProcessId& from,
                          Incarnation incarnation,
                          wire::Channel channel,
                          std::string body)
{
  const Time now = bootTime();
  load_.addReceived(channel, body.size());
  if (channel == wire::Channel::fleet) {
    const WorkTimer timer(load_, LoopWork::fleet);
    if (const auto message = wire::decode<fleet::Message>(body)) {
      publisher_->receive(now, from, *message);
      origins_.receive(now, from, *message);
    }
  } else {
    const WorkTimer timer(
      load_, channel == wire::Channel::ledger ? LoopWork::ledger : LoopWork::replication);
    node_->receive(now, from, incarnation, channel, body);
  }
  scheduleUpdate();
}

void ControlRole::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  load_.addSent(channel, body.size());
  context_.mesh.send(to, channel, std::move(body));
}

void ControlRole::scheduleUpdate()
{
  // All messages that have arrived share one sync of the log. With one sync per message, a disk
  // with 5 ms per sync accepted at most 200 proposals per second, and the leader lost its
  // followers.
  if (std::exchange(updateQueued_, true)) {
    return;
  }
  boost::asio::post(context_.io, [this] {
    updateQueued_ = false;
    update(bootTime());
    if (nextUpdateAt() < tickDueAt_) {
      scheduleTick();
    }
  });
}

void ControlRole::update(Time now)
{
  // Callbacks of the node respond to requests and may call this function again.
  if (updating_) {
    return;
  }
  updating_ = true;
  updateNode(now);
  node_->addLedgerTime(now, load_.takeLedgerTime());
  rebindState();
  publisher_->setControls(now, memberProcesses(), node_->leaderHint().value_or(ProcessId()));
  publisher_->setLeaderContact(now, node_->hasLeaderContact(now));
  announcementTracker_->setLeader(now, node_->isLeader(now));
  answerOriginQueries();
  expireEndpoints(now);
  publishUpdates(now);
  logChanges(now);
  updating_ = false;
  if (node_->hasBacklog()) {
    scheduleUpdate();
  }
}

void ControlRole::publishUpdates(Time now)
{
  const WorkTimer timer(load_, LoopWork::publish);
  publisher_->tick(now);
  load_.addPublisherCounts(publisher_->takeCounts());
  sendFleet(publisher_->takeOutgoing());
}

void ControlRole::sendFleet(const std::vector<fleet::OutgoingMessage>& messages)
{
  for (const auto& message : messages) {
    send(message.to, wire::Channel::fleet, wire::encode(message.message));
  }
}

void ControlRole::updateNode(Time now)
{
  const WorkTimer timer(load_, LoopWork::log);
  const auto before = node_->appliedIndex();
  node_->tick(now);
  load_.addProposals(node_->takeProposalCounts());
  load_.addLogWork(node_->takeLogWork());
  for (auto& message : node_->takeOutgoing()) {
    send(message.to, message.channel, std::move(message.body));
  }
  if (node_->appliedIndex() != before) {
    onApplied(now);
  }
  finishReads(now);
}

void ControlRole::rebindState()
{
  // The node replaces its state object when it recovers the data folder in a running process.
  const auto* state = &node_->state().fleet();
  if (state == state_) {
    return;
  }
  state_ = state;
  announcementTracker_ = std::make_unique<fleet::AnnouncementTracker>(*state_);
  publisher_ = std::make_unique<fleet::FleetPublisher>(
    ProcessId(settings::toString(context_.settings.peers)), *state_, *announcementTracker_);
}

std::vector<ProcessId> ControlRole::memberProcesses() const
{
  std::vector<ProcessId> processes;
  for (const auto& member : node_->members().members) {
    processes.push_back(member.id.process);
  }
  return processes;
}

void ControlRole::onApplied(Time now)
{
  const auto& configuration = node_->state().fleet().configuration;
  if (configuration.version() != configurationVersion_) {
    configurationVersion_ = configuration.version();
    services_.clear();
    if (const auto parsed = context_.dialect.parseConfiguration(*configuration.bytes())) {
      for (const auto& service : parsed->services) {
        services_.insert(service.name.value);
      }
    }
    context_.log.line(
      now, "configuration", { { "version", std::to_string(configurationVersion_) } });
  }
  rebindState();
  context_.metrics.set("evacuated_zones", state_->evacuations.zones().size());
  publisher_->publishChanges(now);
}

void ControlRole::expireEndpoints(Time now)
{
  if (now < nextExpiryAt_) {
    return;
  }
  nextExpiryAt_ = now + kExpiryInterval;
  origins_.tick(now);
  for (const auto& command : announcementTracker_->proposeExpirations(now)) {
    context_.log.line(now, "endpoint_expired", { { "endpoint", command.id.value } });
    node_->proposeLocal(
      now, command, kProposalTimeout, [](const Expected<ledger::Result>& /*result*/) {});
  }
}

void ControlRole::logChanges(Time now)
{
  const auto leader = node_->leaderHint().value_or(ProcessId());
  if (leader != leader_) {
    leader_ = leader;
    context_.log.line(
      now, leader.empty() ? "leader_lost" : "leader", { { "leader", leader.value } });
  }
  const auto members = memberProcesses();
  if (members != members_) {
    members_ = members;
    std::string text;
    for (const auto& member : node_->members().members) {
      text +=
        (text.empty() ? "" : ",") + member.id.process.value + (member.voter ? "" : "(learner)");
    }
    context_.log.line(now, "members", { { "members", text } });
  }
  logRetirements(now);
  const bool failed = node_->storageError().has_value();
  if (failed != storageFailed_) {
    storageFailed_ = failed;
    context_.log.line(now,
                      failed ? "storage_lost" : "storage_regained",
                      { { "detail", failed ? node_->storageError()->detail : "" } });
  }
}

void ControlRole::logRetirements(Time now)
{
  for (const auto& retirement : node_->takeRetirements()) {
    context_.log.line(now,
                      "holder_retired",
                      { { "holder", retirement.holder.process.value },
                        { "proof", std::string(nameOf(retirement.proof)) },
                        { "returned", std::to_string(retirement.returned.count) },
                        { "written_off", std::to_string(retirement.writtenOff.count) } });
  }
}

void ControlRole::setSeeds(const std::vector<ProcessId>& seeds)
{
  node_->setSeeds(seeds);
}

void ControlRole::explain(http::ServerRequest& request)
{
  sendErrorResponse(
    request, Error{ ErrorKind::notFound, "only entry processes place requests" }, Duration::zero());
}

void ControlRole::beginStop()
{
  stopping_ = true;
  stopStartedAt_ = bootTime();
  operators_.drain();
}

bool ControlRole::isStopped() const
{
  return stopping_ && bootTime() - stopStartedAt_ > kServeTimeAfterStop &&
         operators_.openRequests() == 0;
}

} // namespace figchute::router
