#include "EntryProcess.h"

#include "router/Exchange.h"

#include <algorithm>
#include <charconv>
#include <fmt/format.h>
#include <utility>

namespace figchute::simulation {
namespace {

// As in router::EntryRole and router::Exchange.
constexpr Duration kBusyTick = std::chrono::milliseconds(50);
constexpr Duration kIdleTick = std::chrono::milliseconds(250);
constexpr Duration kServeAfterStop = std::chrono::seconds(3);
constexpr Duration kGrace = std::chrono::milliseconds(7500);
constexpr int kMaxConnectFailures = 3;
constexpr int kStallTargets = 3;
constexpr Duration kMinStall = std::chrono::milliseconds(250);
constexpr Duration kConnectTimeout = std::chrono::milliseconds(500);

} // namespace

EntryProcess::EntryProcess(World& world, ProcessId id, int zone, Duration clock, Duration wallSkew)
  : world_(world)
  , id_(std::move(id))
  , zone_("z" + std::to_string(zone))
  , clock_(clock)
  , wallSkew_(wallSkew)
{
  world_.network.place(id_, zone);
  world_.network.attach(
    id_, [this](const Packet& packet) { handle([this, packet] { receive(packet); }); });
}

fleet::SubscriberSettings EntryProcess::subscriberSettings() const
{
  return { incarnation_, zone_, seeds_, incarnation_.number };
}

void EntryProcess::start()
{
  incarnation_ = world_.nextIncarnation();
  auto wallet = ledger::routerWalletSettings({ id_, incarnation_ }, zone_);
  wallet.proposalIdBase = incarnation_.number << 24U;
  wallet.startedAt = wall();
  dispatch::DispatcherSettings dispatcher;
  dispatcher.zone = zone_;
  dispatcher.seed = incarnation_.number;
  frozen_ = false;
  inbox_.clear();
  stopped_ = nullptr;
  life_ = std::make_unique<Running>(subscriberSettings(), wallet, dispatcher);
  life_->wallet.setWallTime(wall());
  settle();
  schedule();
}

void EntryProcess::kill()
{
  if (!running()) {
    return;
  }
  // A caller may begin its next request at once.
  const auto life = std::exchange(life_, nullptr);
  inbox_.clear();
  frozen_ = false;
  stopped_ = nullptr;
  // Callers have what was delivered; it counts as used although no bill is left.
  for (auto& [id, open] : life->open) {
    if (open.reserved && (open.sent || open.mayHaveRun)) {
      world_.tally.charged(open.budget, Tokens{ open.work.promptTokens + open.delivered });
    }
    open.request.done(Answer::failed);
  }
}

void EntryProcess::freeze(Duration span)
{
  frozen_ = true;
  const auto freeze = ++freezes_;
  world_.schedule.after(span, [this, freeze] {
    if (freeze == freezes_) {
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
  if (!running()) {
    return;
  }
  life_->contactSince.reset();
  for (auto& action : std::exchange(inbox_, {})) {
    action();
  }
  settle();
}

void EntryProcess::stop(std::function<void()> stopped)
{
  stopped_ = std::move(stopped);
  stopStartedAt_ = now();
}

void EntryProcess::setSeeds(const std::vector<ProcessId>& seeds)
{
  seeds_ = seeds;
  if (running()) {
    life_->subscriber.setSeeds(seeds);
  }
}

std::uint64_t EntryProcess::version() const
{
  return life_->subscriber.configurationVersion();
}

void EntryProcess::handle(std::function<void()> action)
{
  if (frozen_) {
    inbox_.push_back(std::move(action));
  } else if (running()) {
    action();
  }
}

void EntryProcess::schedule()
{
  const bool idle = life_->open.empty() && !stopping();
  world_.schedule.after(idle ? kIdleTick : kBusyTick, [this, incarnation = incarnation_] {
    if (!running() || incarnation != incarnation_) {
      return;
    }
    if (!frozen_) {
      onTimer();
    }
    if (running() && incarnation == incarnation_) {
      schedule();
    }
  });
}

void EntryProcess::onTimer()
{
  life_->wallet.setWallTime(wall());
  std::vector<std::uint64_t> ids;
  for (const auto& [id, open] : life_->open) {
    ids.push_back(id);
  }
  for (const auto id : ids) {
    sweep(id);
  }
  life_->dispatcher.tick(now());
  if (stopping() && now() - stopStartedAt_ > kServeAfterStop) {
    giveTokensBack();
  }
  settle();
  if (!stopping() || now() - stopStartedAt_ <= kServeAfterStop) {
    return;
  }
  const bool done = life_->open.empty() && (life_->wallet.drained() || life_->wallet.handedOver());
  if (done || now() - stopStartedAt_ > kGrace) {
    const auto stopped = stopped_;
    kill();
    stopped();
  }
}

void EntryProcess::giveTokensBack()
{
  if (!life_->subscriber.control()) {
    life_->wallet.handOver(now());
  } else if (!life_->draining) {
    life_->draining = true;
    life_->wallet.drain(now());
  }
}

void EntryProcess::receive(const Packet& packet)
{
  if (packet.channel == wire::Channel::fleet) {
    if (const auto message = wire::decode<fleet::Message>(packet.bytes)) {
      life_->subscriber.receive(now(), packet.from, *message);
    }
  } else if (packet.channel == wire::Channel::ledger) {
    if (const auto message = wire::decode<ledger::Message>(packet.bytes)) {
      life_->wallet.receive(now(), packet.from, *message);
      life_->witness.receive(now(), packet.from, *message);
    }
  }
  settle();
}

void EntryProcess::send(const ProcessId& to, wire::Channel channel, std::string body)
{
  world_.network.send({ id_, incarnation_, to, channel, std::move(body) });
}

void EntryProcess::settle()
{
  if (life_->settling) {
    return;
  }
  life_->settling = true;
  if (world_.breaks("revert") && id_.value == "e1") {
    world_.breakName.clear();
    life_->subscriber = fleet::FleetSubscriber(subscriberSettings());
  }
  life_->subscriber.tick(now());
  noteContact();
  applyUpdates();
  settleWallet();
  for (auto& message : life_->subscriber.takeOutgoing()) {
    send(message.to, wire::Channel::fleet, wire::encode(message.message));
  }
  static_cast<void>(life_->dispatcher.takeEvents());
  for (const auto fingerprint : life_->dispatcher.takeCrashes()) {
    life_->subscriber.addCrash(now(), fingerprint);
  }
  world_.tally.inForce({ id_, incarnation_ }, version(), *life_->subscriber.configuration());
  life_->settling = false;
}

void EntryProcess::noteContact()
{
  if (!life_->subscriber.control() || world_.network.lossy()) {
    life_->contactSince.reset();
  } else if (!life_->contactSince) {
    life_->contactSince = world_.schedule.now();
  }
}

void EntryProcess::applyUpdates()
{
  const auto changes = life_->subscriber.takeChanges();
  if (changes.configuration) {
    applyConfiguration();
  }
  if (changes.endpoints) {
    applyEndpoints();
  }
  if (changes.control) {
    setWalletPeers();
    life_->wallet.setControlLost(!life_->subscriber.control());
  }
  if (changes.entryProcesses) {
    life_->dispatcher.setPeers(life_->subscriber.entryProcesses());
    setWalletPeers();
  }
  for (const auto& crash : changes.crashes) {
    life_->dispatcher.addCrashes(now(), crash.fingerprint, crash.crashes);
  }
}

void EntryProcess::applyConfiguration()
{
  auto parsed = world_.dialect->parseConfiguration(*life_->subscriber.configuration());
  if (!parsed) {
    return;
  }
  life_->table = std::make_shared<const fleet::RouteTable>(std::move(*parsed));
  const auto& configuration = life_->table->configuration();
  life_->dispatcher.setServices(now(), configuration.services);
  life_->wallet.setBudgets(now(), router::budgetsOf(configuration));
}

void EntryProcess::applyEndpoints()
{
  if (world_.breaks("drained_work")) {
    return;
  }
  std::vector<fleet::EndpointRecord> endpoints;
  life_->records = life_->subscriber.endpoints();
  for (const auto& [id, record] : life_->records) {
    endpoints.push_back(record);
  }
  world_.tally.registry({ id_, incarnation_ }, endpoints);
  life_->dispatcher.setEndpoints(now(), endpoints);
}

void EntryProcess::setWalletPeers()
{
  std::vector<ledger::Peer> peers;
  for (const auto& control : life_->subscriber.controls()) {
    peers.push_back({ { control, {} }, {}, false, true, true });
  }
  for (const auto& entry : life_->subscriber.entries()) {
    peers.push_back({ entry.holder, entry.zone, true, false, true });
  }
  life_->wallet.setPeers(now(), peers);
}

void EntryProcess::settleWallet()
{
  life_->wallet.tick(now());
  for (const auto& decision : life_->wallet.takeDecisions()) {
    std::uint64_t id = 0;
    const auto& text = decision.request.value;
    std::from_chars(text.data(), text.data() + text.size(), id);
    if (life_->open.count(id) > 0) {
      decided(id, decision);
    }
  }
  static_cast<void>(life_->wallet.takeRecordedCharges());
  sendLedger(life_->wallet.takeOutgoing());
  sendLedger(life_->witness.takeOutgoing());
}

void EntryProcess::sendLedger(const std::vector<ledger::Outgoing>& messages)
{
  for (const auto& message : messages) {
    send(message.to, wire::Channel::ledger, wire::encode(message.message));
  }
}

void EntryProcess::begin(CallerRequest request)
{
  handle([this, request = std::move(request)] {
    if (!life_->table) {
      request.done(Answer::unavailable);
      return;
    }
    const auto* route = life_->table->match("svc.example", request.path);
    const auto* workspace = life_->table->workspaceOf("key-" + request.workspace);
    if (route == nullptr || workspace == nullptr) {
      request.done(Answer::unavailable);
      return;
    }
    const auto id = ++life_->lastOpen;
    Open& open = life_->open[id];
    open.request = request;
    open.limit = now() + std::min(route->timeout, request.patience);
    open.budget = BudgetId("w:" + workspace->name);
    auto& work = open.work;
    work.id = id;
    work.service = fleet::RouteTable::pickService(*route, std::to_string(id));
    work.kind = route->kind;
    work.resumable = route->resumable;
    work.priority = workspace->priority.value_or(route->priority);
    work.workspace = workspace->name;
    work.promptTokens = request.promptTokens;
    work.maxOutputTokens = request.maxOutputTokens;
    work.parts = { { 1, request.promptTokens / 2 },
                   { request.fingerprint, request.promptTokens - request.promptTokens / 2 } };
    work.arrival = now();
    work.deadline = open.limit;
    work.target = route->target;
    work.maxAttempts = route->maxAttempts;
    work.fingerprint = request.fingerprint;
    if (!workspace->prepaid || world_.breaks("overspend")) {
      open.reserved = workspace->prepaid.has_value();
      sendNext(id);
    } else {
      open.reserved = true;
      const Tokens bound{ work.promptTokens + work.maxOutputTokens };
      decided(id,
              life_->wallet.reserve(
                now(), RequestId(std::to_string(id)), std::nullopt, { &open.budget, 1 }, bound));
    }
    settle();
  });
}

void EntryProcess::decided(std::uint64_t id, const ledger::Decision& decision)
{
  Open& open = life_->open.at(id);
  if (open.stage != Stage::waitingForGrant || decision.status == ledger::ReserveStatus::waiting) {
    return;
  }
  if (decision.status == ledger::ReserveStatus::admitted) {
    sendNext(id);
    return;
  }
  open.reserved = false;
  end(id, Answer::refusedByBudget);
}

bool EntryProcess::mayRunAgain(const Open& open)
{
  return open.work.kind == fleet::RouteKind::repeatable ||
         (open.work.kind == fleet::RouteKind::stream && open.work.resumable);
}

void EntryProcess::sendNext(std::uint64_t id)
{
  Open& open = life_->open.at(id);
  open.stage = Stage::sending;
  if (!open.placed) {
    world_.tally.request(world_.schedule.now());
  }
  auto work = open.work;
  if (open.placed && world_.breaks("repeats")) {
    work.id += 1'000'000'000ULL + static_cast<std::uint64_t>(open.tried.size()) * 1'000'000'000ULL;
  }
  const auto choice = life_->dispatcher.choose(now(), work, open.tried);
  const bool repeat = std::exchange(open.placed, true);
  if (!choice) {
    end(id, open.mayHaveRun ? Answer::failed : Answer::refusedByDispatch);
    return;
  }
  if (repeat) {
    world_.tally.repeat(world_.schedule.now());
  }
  noteChoice(open, *choice);
  startCall(id, *choice);
}

void EntryProcess::noteChoice(Open& open, const dispatch::Choice& choice)
{
  open.tried.push_back(choice.endpoint);
  open.sendStartedAt = now();
  open.sent = false;
  const auto record = life_->records.find(choice.endpoint);
  const auto born = record == life_->records.end() ? 0 : record->second.startedAtMs;
  // Without contact, the time of contact is now, so nothing is late.
  const auto contact = life_->contactSince.value_or(world_.schedule.now());
  world_.tally.sent(world_.schedule.now(), id_, choice.endpoint, born, contact);
}

void EntryProcess::startCall(std::uint64_t id, const dispatch::Choice& choice)
{
  Open& open = life_->open.at(id);
  const auto call = ++lastCall_;
  open.call = call;
  open.calling = true;
  const ProcessId address(choice.address);
  const auto found = world_.endpoints.find(choice.address);
  const auto incarnation = incarnation_;
  const auto event = [this, id, call, incarnation](const CallEvent& what) {
    handle([this, id, call, incarnation, what] {
      if (incarnation == incarnation_) {
        onEvent(id, call, what);
      }
    });
  };
  const bool cut = world_.network.isCut(id_, address) || world_.network.isCut(address, id_);
  if (cut || found == world_.endpoints.end() || !found->second->running()) {
    const Duration wait = cut ? kConnectTimeout : Duration(1000);
    world_.schedule.after(wait, [this, id, call, incarnation] {
      handle([this, id, call, incarnation] {
        const bool same = incarnation == incarnation_ && life_->open.count(id) > 0;
        if (same && life_->open.at(id).call == call && life_->open.at(id).calling) {
          failedSend(id, dispatch::Outcome::notConnected, false);
          settle();
        }
      });
    });
    return;
  }
  open.sent = true;
  ++open.sends;
  EndpointCall request{
    id_, choice.endpoint, open.request.outputTokens, open.request.crashes, event
  };
  world_.network.call(id_, address, [endpoint = found->second, request = std::move(request)] {
    endpoint->accept(request);
  });
}

void EntryProcess::onEvent(std::uint64_t id, std::uint64_t call, const CallEvent& event)
{
  using Kind = CallEvent::Kind;
  const auto found = life_->open.find(id);
  if (found == life_->open.end() || found->second.call != call || !found->second.calling) {
    return;
  }
  Open& open = found->second;
  if (event.load) {
    life_->dispatcher.load(now(), open.tried.back(), *event.load);
  }
  switch (event.kind) {
    case Kind::head:
      open.mayHaveRun = true;
      open.stage = Stage::relaying;
      life_->dispatcher.firstByte(now(), id);
      break;
    case Kind::tokens:
      open.delivered += event.tokens;
      life_->dispatcher.progress(now(), id, event.tokens);
      break;
    case Kind::done:
      finishSend(id, dispatch::Outcome::answered);
      end(id, Answer::answered);
      break;
    case Kind::serverError:
      open.mayHaveRun = true;
      failedSend(id, dispatch::Outcome::serverError, true);
      break;
    case Kind::notExecuted:
      failedSend(id, dispatch::Outcome::notExecuted, false);
      break;
    case Kind::wrongEndpoint:
      failedSend(id, dispatch::Outcome::wrongEndpoint, false);
      break;
    case Kind::broken:
      open.mayHaveRun = true;
      if (open.stage == Stage::relaying) {
        finishSend(id, dispatch::Outcome::broken);
        end(id, Answer::failed);
      } else {
        failedSend(id, dispatch::Outcome::broken, true);
      }
      break;
  }
  settle();
}

void EntryProcess::finishSend(std::uint64_t id, dispatch::Outcome outcome)
{
  life_->open.at(id).calling = false;
  life_->dispatcher.finished(now(), id, outcome);
}

void EntryProcess::failedSend(std::uint64_t id, dispatch::Outcome outcome, bool mayHaveRun)
{
  finishSend(id, outcome);
  Open& open = life_->open.at(id);
  const bool unsent = outcome == dispatch::Outcome::notConnected;
  const bool mayRun = !open.mayHaveRun || mayRunAgain(open);
  const bool again = unsent ? ++open.connectFailures < kMaxConnectFailures && mayRun
                            : open.sends < open.work.maxAttempts && mayRun;
  if (again && now() < open.limit) {
    sendNext(id);
    return;
  }
  const bool ran = open.mayHaveRun || mayHaveRun;
  end(id, ran ? Answer::failed : Answer::refusedByDispatch);
}

void EntryProcess::sweep(std::uint64_t id)
{
  const auto found = life_->open.find(id);
  if (found == life_->open.end()) {
    return;
  }
  Open& open = found->second;
  if (now() >= open.limit) {
    const bool running = open.calling && open.sent;
    if (open.calling) {
      finishSend(id, running ? dispatch::Outcome::timedOut : dispatch::Outcome::cancelled);
    }
    open.mayHaveRun = open.mayHaveRun || running;
    const bool waited = open.stage == Stage::waitingForGrant;
    const auto refused = waited ? Answer::refusedByBudget : Answer::refusedByDispatch;
    end(id, open.mayHaveRun ? Answer::failed : refused);
    return;
  }
  const auto stall = std::max<Duration>(kMinStall, open.work.target * kStallTargets);
  if (open.stage == Stage::sending && open.calling && open.sent && mayRunAgain(open) &&
      open.sends < open.work.maxAttempts && now() - open.sendStartedAt > stall) {
    open.mayHaveRun = true;
    failedSend(id, dispatch::Outcome::timedOut, true);
  }
}

void EntryProcess::bill(Open& open, std::uint64_t id)
{
  if (!open.reserved) {
    return;
  }
  open.reserved = false;
  const RequestId request(std::to_string(id));
  if (!open.mayHaveRun) {
    life_->wallet.release(now(), request);
    return;
  }
  const auto output = std::min(open.delivered, open.work.maxOutputTokens);
  const Tokens tokens{ open.work.promptTokens + output };
  static_cast<void>(life_->wallet.charge(now(), request, tokens));
  world_.tally.charged(open.budget, tokens);
}

void EntryProcess::end(std::uint64_t id, Answer answer)
{
  Open& open = life_->open.at(id);
  if (open.placed) {
    life_->dispatcher.forget(id);
  }
  bill(open, id);
  const auto done = std::move(open.request.done);
  life_->open.erase(id);
  done(answer);
}

std::string EntryProcess::describe() const
{
  if (!running()) {
    return id_.value + " does not run";
  }
  const auto control = life_->subscriber.control().value_or(ProcessId("no control process"));
  std::string text = fmt::format("{} follows {}, version {}, {} endpoints",
                                 id_.value,
                                 control.value,
                                 version(),
                                 life_->records.size());
  for (const auto& account : life_->wallet.accounts()) {
    text += fmt::format(", {} available {}", account.budget.value, account.available.count);
  }
  return text;
}

} // namespace figchute::simulation
