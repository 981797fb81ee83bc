#include "RoutingFleet.h"

#include "FifoRandomRouter.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

namespace figchute::measure {
namespace {

using namespace std::chrono_literals;
using routing::AttemptFailure;
using routing::Outcome;

constexpr Duration kTick = 20ms;
constexpr Duration kAnnounceInterval = 1s;
/** Engines report figures that are this old. */
constexpr Duration kLoadLag = 300ms;
constexpr Duration kSampleInterval = 100ms;
constexpr Duration kWatchInterval = 500ms;
/** A stream without a sign of life for this long is given up; one that waits for its first token
    gets longer, since it may wait in the engine. */
constexpr Duration kStreamSilence = 3s;
constexpr Duration kFirstTokenSilence = 20s;
constexpr Duration kConnectTimeout = 500ms;
constexpr Duration kRestart = 10s;
constexpr Duration kStopInterval = 10s;
constexpr Duration kAwayAfterStop = 20s;
constexpr Duration kLeaveGrace = 2s;
constexpr int kPlannedStops = 3;
constexpr int kCutZone = 0;
constexpr int kCrashesForQuarantine = 2;
constexpr int kBytesPerToken = 4;

const ModelName kModel("answers");

std::string twoDigits(std::size_t number)
{
  return (number < 10 ? "0" : "") + std::to_string(number);
}

ZoneId zoneName(int zone)
{
  return ZoneId("z" + std::to_string(zone));
}

RequestId requestName(std::size_t request)
{
  return RequestId(std::to_string(request));
}

std::size_t requestIndex(const RequestId& id)
{
  return std::stoull(id.value);
}

} // namespace

template<typename R>
RoutingFleet<R>::RoutingFleet(const DeploymentSizes& sizes,
                              Scenario scenario,
                              FleetOptions options,
                              const std::vector<PlannedRequest>& requests,
                              std::uint64_t seed)
  : sizes_(sizes)
  , scenario_(scenario)
  , options_(std::move(options))
  , requests_(requests)
  , random_(seed)
  , tally_(requests)
  , attempts_(requests.size())
{
  if (options_.oneGlobalQueue) {
    sizes_.zones = 1;
    sizes_.vms = 1;
  }
  makeVms(seed);
  makeEngines();
}

template<typename R>
void RoutingFleet<R>::makeVms(std::uint64_t seed)
{
  std::vector<membership::KnownPeer> known;
  known.reserve(static_cast<std::size_t>(sizes_.vms));
  for (int i = 0; i < sizes_.vms; ++i) {
    known.push_back(
      { ProcessId("vm" + twoDigits(static_cast<std::size_t>(i))), zoneName(i % sizes_.zones) });
  }
  for (std::size_t i = 0; i < known.size(); ++i) {
    const auto& [id, zone] = known[i];
    const auto vmSeed = seed * 100 + i;
    vms_.push_back({ id,
                     static_cast<int>(i) % sizes_.zones,
                     R({ id, zone, vmSeed }),
                     membership::Membership({ id, zone, Incarnation{ 1 }, vmSeed }, known),
                     {} });
    vmIndexes_[id] = i;
    vms_.back().router.setPolicy(options_.policy);
    vms_.back().router.setPeers(vms_.back().membership.peers());
  }
}

template<typename R>
void RoutingFleet<R>::makeEngines()
{
  for (std::size_t i = 0; i < static_cast<std::size_t>(sizes_.engines); ++i) {
    const EndpointId id("engine" + twoDigits(i));
    const int zone = static_cast<int>(i) % sizes_.zones;
    engines_.push_back(
      { id, zone, FakeEngine(options_.fifoEngines), true, false, Time{}, false, 0 });
    engineIndexes_[id] = i;
  }
}

template<typename R>
RoutingFigures RoutingFleet<R>::run()
{
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    time_.after(Duration(static_cast<std::int64_t>(vm) * 1700), [this, vm] { tickVm(vm); });
    time_.after(kWatchInterval, [this, vm] { watchSilence(vm); });
  }
  for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
    announce(engine, 0, 0);
    time_.after(Duration(static_cast<std::int64_t>(engine) * 37'000),
                [this, engine] { announceLoop(engine); });
  }
  scheduleNextArrival(0);
  scheduleFaults();
  double useBefore = 0;
  double useAfter = 0;
  time_.after(kCountFrom - Time{}, [this, &useBefore] { sampleUse(useBefore); });
  time_.after(kCountFrom - Time{}, [this] { sampleCapacity(); });
  time_.after(kArrivalsEnd - Time{}, [this, &useAfter] { sampleUse(useAfter); });
  time_.runUntil(kRunEnd);
  tally_.addUsefulSlots(useAfter - useBefore);
  std::int64_t cached = 0;
  std::int64_t prompt = 0;
  for (const auto& engine : engines_) {
    cached += engine.core.cachedTokens();
    prompt += engine.core.promptTokens();
  }
  tally_.setCacheFigures(cached, prompt);
  return tally_.figures();
}

template<typename R>
void RoutingFleet<R>::scheduleFaults()
{
  if (scenario_ != Scenario::plannedStop) {
    return;
  }
  for (int i = 0; i < kPlannedStops; ++i) {
    const auto engine = static_cast<std::size_t>(i);
    time_.after(kFaultAt - Time{} + kStopInterval * i, [this, engine] { leave(engine); });
  }
}

template<typename R>
void RoutingFleet<R>::scheduleNextArrival(std::size_t request)
{
  if (request >= requests_.size()) {
    return;
  }
  time_.after(requests_[request].arrival - time_.now(), [this, request] {
    submit(request);
    scheduleNextArrival(request + 1);
  });
}

template<typename R>
bool RoutingFleet<R>::connected(int zoneA, int zoneB) const
{
  const bool cut =
    scenario_ == Scenario::zoneCut && time_.now() >= kFaultAt && time_.now() < kCutEnd;
  return !cut || zoneA == zoneB || (zoneA != kCutZone && zoneB != kCutZone);
}

template<typename R>
Duration RoutingFleet<R>::delay(int zoneA, int zoneB) const
{
  constexpr Duration kInZone = 100us;
  return zoneA == zoneB ? kInZone : sizes_.zoneDelay;
}

template<typename R>
std::size_t RoutingFleet<R>::vmOf(std::size_t request) const
{
  return static_cast<std::size_t>(requests_[request].vm) % vms_.size();
}

template<typename R>
std::uint64_t RoutingFleet<R>::fingerprint(std::size_t request) const
{
  return requests_[request].crashes ? 0 : request + 1;
}

template<typename R>
bool RoutingFleet<R>::isQuarantined(std::size_t request) const
{
  const auto found = crashes_.find(fingerprint(request));
  return options_.quarantine && found != crashes_.end() && found->second >= kCrashesForQuarantine;
}

template<typename R>
void RoutingFleet<R>::tickVm(std::size_t vm)
{
  const Time now = time_.now();
  auto& self = vms_[vm];
  self.membership.tick(now);
  self.router.setPeers(self.membership.peers());
  self.router.tick(now);
  act(vm);
  exchange(vm);
  time_.after(kTick, [this, vm] { tickVm(vm); });
}

template<typename R>
void RoutingFleet<R>::exchange(std::size_t vm)
{
  auto& self = vms_[vm];
  const auto post = [&](const ProcessId& to, auto receive) {
    const auto target = vmIndexes_.at(to);
    const int zone = vms_[target].zone;
    if (connected(self.zone, zone)) {
      time_.after(delay(self.zone, zone), [this, target, receive] {
        receive(vms_[target]);
        exchange(target);
      });
    }
  };
  for (auto& [to, message] : self.membership.takeOutgoing()) {
    post(to, [this, from = self.id, message = std::move(message)](Vm& target) {
      target.membership.receive(time_.now(), from, message);
    });
  }
  for (auto& [to, message] : self.router.takeOutgoing()) {
    const bool usage = std::holds_alternative<routing::UsageDelta>(message);
    if (usage && !options_.exchangeTotals) {
      continue;
    }
    post(to, [this, from = self.id, message = std::move(message)](Vm& target) {
      target.router.receive(time_.now(), from, message);
    });
  }
}

template<typename R>
void RoutingFleet<R>::announceLoop(std::size_t engine)
{
  const auto& self = engines_[engine];
  if (self.up) {
    const auto running = self.core.running();
    const auto waiting = self.core.waiting();
    time_.after(kLoadLag, [this, engine, running, waiting] { announce(engine, running, waiting); });
  }
  time_.after(kAnnounceInterval, [this, engine] { announceLoop(engine); });
}

template<typename R>
void RoutingFleet<R>::announce(std::size_t engine, std::uint32_t running, std::uint32_t waiting)
{
  const auto& self = engines_[engine];
  std::vector<std::size_t> zoneVms;
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (vms_[vm].zone == self.zone) {
      zoneVms.push_back(vm);
    }
  }
  routing::Announcement announcement;
  announcement.id = self.id;
  announcement.address = "127.0.0.1:" + std::to_string(9000 + engine);
  announcement.zone = zoneName(self.zone);
  announcement.models = { kModel };
  announcement.slots = kSlotsPerEngine;
  announcement.running = running;
  announcement.waiting = waiting;
  announcement.leaving = self.leaving;
  const auto vm = zoneVms[random_.below(zoneVms.size())];
  vms_[vm].router.announce(time_.now(), announcement);
  exchange(vm);
}

template<typename R>
void RoutingFleet<R>::leave(std::size_t engine)
{
  auto& self = engines_[engine];
  self.leaving = true;
  self.leavingAt = time_.now();
  announce(engine, self.core.running(), self.core.waiting());
  time_.after(kAwayAfterStop, [this, engine] { returnWhenDrained(engine); });
}

template<typename R>
void RoutingFleet<R>::returnWhenDrained(std::size_t engine)
{
  auto& self = engines_[engine];
  if (self.core.running() + self.core.waiting() > 0) {
    time_.after(kAnnounceInterval, [this, engine] { returnWhenDrained(engine); });
    return;
  }
  self.leaving = false;
  self.up = false;
  time_.after(kRestart, [this, engine] { engines_[engine].up = true; });
}

template<typename R>
void RoutingFleet<R>::sampleCapacity()
{
  if (time_.now() >= kArrivalsEnd) {
    return;
  }
  for (const auto& engine : engines_) {
    if (engine.up && !engine.leaving) {
      tally_.addCapacity(kSlotsPerEngine * static_cast<double>(kSampleInterval.count()) * 1e-6);
    }
  }
  time_.after(kSampleInterval, [this] { sampleCapacity(); });
}

template<typename R>
void RoutingFleet<R>::sampleUse(double& total)
{
  for (const auto& engine : engines_) {
    total += engine.core.usefulSlotSeconds();
  }
}

template<typename R>
routing::Work RoutingFleet<R>::makeWork(std::size_t request) const
{
  const auto& planned = requests_[request];
  routing::Work work;
  work.id = requestName(request);
  work.workspace = WorkspaceId("w" + std::to_string(planned.workspace));
  work.caller = CallerId("c" + std::to_string(planned.workspace));
  work.rank = planned.rank;
  work.model = kModel;
  for (const auto& part : planned.prompt) {
    work.promptBytes += static_cast<std::size_t>(part.tokens * kBytesPerToken);
    work.prefixChain.push_back(part.prefix);
  }
  work.maxTokens = Tokens{ planned.maxTokens };
  work.arrival = planned.arrival;
  return work;
}

template<typename R>
void RoutingFleet<R>::submit(std::size_t request)
{
  const auto vm = vmOf(request);
  const bool accepted =
    !isQuarantined(request) && vms_[vm].router.submit(time_.now(), makeWork(request));
  if (!accepted) {
    endRequest(request, RequestRecord::Status::refused);
  }
  act(vm);
}

template<typename R>
void RoutingFleet<R>::act(std::size_t vm)
{
  for (const auto& action : vms_[vm].router.takeActions()) {
    if (const auto* dispatch = std::get_if<routing::Dispatch>(&action)) {
      send(vm, *dispatch);
    } else if (const auto* refused = std::get_if<routing::Refused>(&action)) {
      endRequest(requestIndex(refused->id), RequestRecord::Status::refused);
    } else {
      cancel(vm, std::get<routing::CancelStream>(action));
    }
  }
}

template<typename R>
void RoutingFleet<R>::endRequest(std::size_t request, RequestRecord::Status status)
{
  tally_.record(request).status = status;
  attempts_[request].inFlight = false;
  vms_[vmOf(request)].inFlight.erase(request);
}

template<typename R>
void RoutingFleet<R>::send(std::size_t vm, const routing::Dispatch& dispatch)
{
  const auto request = requestIndex(dispatch.id);
  const auto engine = engineIndexes_.at(dispatch.endpoint);
  auto& attempt = attempts_[request];
  ++attempt.number;
  attempt.engine = engine;
  attempt.inFlight = true;
  attempt.streams = false;
  attempt.lastSign = time_.now();
  vms_[vm].inFlight.insert(request);
  const auto& planned = requests_[request];
  EngineSequence sequence;
  sequence.request = request;
  sequence.attempt = attempt.number;
  sequence.priority = dispatch.rank;
  sequence.prompt = planned.prompt;
  sequence.generated = static_cast<int>(dispatch.resumeAfter.count);
  sequence.output = planned.output;
  sequence.resumed = attempt.number > 1;
  sequence.crashes = planned.crashes;
  const auto number = attempt.number;
  time_.after(delay(vms_[vm].zone, engines_[engine].zone),
              [this, vm, request, number, sequence = std::move(sequence)] {
                arrive(vm, request, number, sequence);
              });
}

template<typename R>
void RoutingFleet<R>::arrive(std::size_t vm,
                             std::size_t request,
                             std::uint32_t attempt,
                             EngineSequence sequence)
{
  const auto index = attempts_[request].engine;
  auto& engine = engines_[index];
  const Duration back = delay(vms_[vm].zone, engine.zone);
  const bool reachable = connected(vms_[vm].zone, engine.zone);
  const bool late = engine.leaving && time_.now() - engine.leavingAt > kLeaveGrace;
  if (late) {
    tally_.countWorkAfterLeave();
  }
  if (!engine.up || !reachable || late) {
    time_.after(reachable ? back : kConnectTimeout, [this, request, attempt] {
      attemptFailed(request, attempt, AttemptFailure::notRun);
    });
    return;
  }
  engine.core.add(std::move(sequence));
  step(index);
}

template<typename R>
void RoutingFleet<R>::cancel(std::size_t vm, const routing::CancelStream& order)
{
  const auto request = requestIndex(order.id);
  const auto index = engineIndexes_.at(order.endpoint);
  const auto number = attempts_[request].number;
  const Duration way = delay(vms_[vm].zone, engines_[index].zone);
  time_.after(way, [this, vm, request, index, number, way] {
    const int generated = engines_[index].core.cancel(request, number);
    if (generated < 0) {
      return;
    }
    time_.after(way, [this, vm, request, generated, number] {
      auto& attempt = attempts_[request];
      if (!attempt.inFlight || attempt.number != number) {
        return;
      }
      attempt.inFlight = false;
      vms_[vm].inFlight.erase(request);
      auto& record = tally_.record(request);
      tally_.addTokens(time_.now(), request, generated - record.generated);
      record.generated = generated;
      vms_[vm].router.progress(time_.now(), requestName(request), Tokens{ generated });
      vms_[vm].router.cancelled(time_.now(), requestName(request));
      act(vm);
    });
  });
}

template<typename R>
void RoutingFleet<R>::attemptFailed(std::size_t request,
                                    std::uint32_t attempt,
                                    AttemptFailure failure)
{
  if (!attempts_[request].inFlight || attempts_[request].number != attempt) {
    return;
  }
  const auto vm = vmOf(request);
  if (isQuarantined(request)) {
    vms_[vm].router.finished(time_.now(), requestName(request), Outcome::failed);
    endRequest(request, RequestRecord::Status::failed);
    act(vm);
    return;
  }
  attempts_[request].inFlight = false;
  vms_[vm].inFlight.erase(request);
  ++tally_.record(request).retries;
  const auto next = vms_[vm].router.retry(time_.now(), requestName(request), failure);
  if (next) {
    send(vm, *next);
  } else {
    endRequest(request, RequestRecord::Status::failed);
  }
  act(vm);
}

template<typename R>
void RoutingFleet<R>::step(std::size_t engine)
{
  auto& self = engines_[engine];
  if (self.stepping || !self.up) {
    return;
  }
  const Duration length = self.core.beginStep();
  if (length == Duration(0)) {
    return;
  }
  self.stepping = true;
  time_.after(length, [this, engine, length, epoch = self.epoch] {
    auto& ended = engines_[engine];
    if (ended.epoch != epoch) {
      return;
    }
    ended.stepping = false;
    for (const auto& event : ended.core.endStep(length)) {
      deliver(event, engine);
    }
    if (ended.core.runsCrashing()) {
      crash(engine);
      return;
    }
    step(engine);
  });
}

template<typename R>
void RoutingFleet<R>::crash(std::size_t engine)
{
  auto& self = engines_[engine];
  ++self.epoch;
  self.up = false;
  self.stepping = false;
  for (const auto& lost : self.core.crash()) {
    ++crashes_[fingerprint(lost.request)];
    time_.after(delay(self.zone, vms_[vmOf(lost.request)].zone),
                [this, request = lost.request, attempt = lost.attempt] {
                  attemptFailed(request, attempt, AttemptFailure::failed);
                });
  }
  time_.after(kRestart, [this, engine] { engines_[engine].up = true; });
}

template<typename R>
void RoutingFleet<R>::deliver(const EngineEvent& event, std::size_t engine)
{
  const int vmZone = vms_[vmOf(event.request)].zone;
  const int engineZone = engines_[engine].zone;
  if (connected(vmZone, engineZone)) {
    time_.after(delay(vmZone, engineZone), [this, event] { handle(event); });
  }
}

template<typename R>
void RoutingFleet<R>::handle(const EngineEvent& event)
{
  auto& attempt = attempts_[event.request];
  if (!attempt.inFlight || attempt.number != event.attempt) {
    return;
  }
  const auto vm = vmOf(event.request);
  const auto id = requestName(event.request);
  auto& router = vms_[vm].router;
  auto& record = tally_.record(event.request);
  attempt.lastSign = time_.now();
  if (event.first) {
    attempt.streams = true;
    record.firstToken = record.firstToken == Time{} ? time_.now() : record.firstToken;
    router.firstToken(time_.now(), id);
  }
  tally_.addTokens(time_.now(), event.request, event.generated - record.generated);
  record.generated = event.generated;
  router.progress(time_.now(), id, Tokens{ event.generated });
  if (event.done) {
    router.finished(time_.now(), id, Outcome::completed);
    endRequest(event.request, RequestRecord::Status::completed);
  }
  act(vm);
}

template<typename R>
void RoutingFleet<R>::watchSilence(std::size_t vm)
{
  std::vector<std::size_t> silent;
  for (const auto request : vms_[vm].inFlight) {
    const auto& attempt = attempts_[request];
    const Duration limit = attempt.streams ? kStreamSilence : kFirstTokenSilence;
    if (time_.now() - attempt.lastSign > limit && !options_.fifoEngines) {
      silent.push_back(request);
    }
  }
  for (const auto request : silent) {
    const auto attempt = attempts_[request];
    engines_[attempt.engine].core.cancel(request, attempt.number);
    attemptFailed(request, attempt.number, AttemptFailure::stalled);
  }
  time_.after(kWatchInterval, [this, vm] { watchSilence(vm); });
}

template class RoutingFleet<routing::Router>;
template class RoutingFleet<FifoRandomRouter>;

} // namespace figchute::measure
