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

constexpr Duration kTickInterval = 20ms;
constexpr Duration kAnnounceInterval = 1s;
/** Age of the load figures that engines report. */
constexpr Duration kLoadReportDelay = 300ms;
constexpr Duration kSampleInterval = 100ms;
constexpr Duration kSilenceCheckInterval = 500ms;
/** A stream without progress for this long is abandoned. An attempt that waits for its first token
    has longer, because it may wait in the queue of the engine. */
constexpr Duration kStreamSilenceTimeout = 3s;
constexpr Duration kFirstTokenTimeout = 20s;
constexpr Duration kConnectTimeout = 500ms;
constexpr Duration kRestartDelay = 10s;
constexpr Duration kStopInterval = 10s;
constexpr Duration kLeaveDuration = 20s;
constexpr Duration kLeaveGracePeriod = 2s;
constexpr int kPlannedStopCount = 3;
constexpr int kPartitionedZone = 0;
constexpr int kQuarantineCrashCount = 2;
constexpr int kBytesPerToken = 4;

const ModelName kModel("answers");

std::string twoDigits(std::size_t number)
{
  return (number < 10 ? "0" : "") + std::to_string(number);
}

ZoneId zoneIdOf(int zone)
{
  return ZoneId("z" + std::to_string(zone));
}

RequestId requestIdOf(std::size_t request)
{
  return RequestId(std::to_string(request));
}

std::size_t requestIndexOf(const RequestId& id)
{
  return std::stoull(id.value);
}

} // namespace

template<typename RouterType>
RoutingFleet<RouterType>::RoutingFleet(const DeploymentSizes& sizes,
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
  if (options_.usesOneGlobalQueue) {
    sizes_.zoneCount = 1;
    sizes_.vmCount = 1;
  }
  createVms(seed);
  createEngines();
}

template<typename RouterType>
void RoutingFleet<RouterType>::createVms(std::uint64_t seed)
{
  std::vector<membership::KnownPeer> knownPeers;
  knownPeers.reserve(static_cast<std::size_t>(sizes_.vmCount));
  for (int vm = 0; vm < sizes_.vmCount; ++vm) {
    knownPeers.push_back({ ProcessId("vm" + twoDigits(static_cast<std::size_t>(vm))),
                           zoneIdOf(vm % sizes_.zoneCount) });
  }
  for (std::size_t vm = 0; vm < knownPeers.size(); ++vm) {
    const auto& [id, zone] = knownPeers[vm];
    const auto vmSeed = seed * 100 + vm;
    vms_.push_back({ id,
                     static_cast<int>(vm) % sizes_.zoneCount,
                     RouterType({ id, zone, vmSeed }),
                     membership::Membership({ id, zone, Incarnation{ 1 }, vmSeed }, knownPeers),
                     {} });
    vmIndexes_[id] = vm;
    vms_.back().router.setPolicy(options_.policy);
    vms_.back().router.setPeers(vms_.back().membership.peers());
  }
}

template<typename RouterType>
void RoutingFleet<RouterType>::createEngines()
{
  for (std::size_t engine = 0; engine < static_cast<std::size_t>(sizes_.engineCount); ++engine) {
    const EndpointId id("engine" + twoDigits(engine));
    const int zone = static_cast<int>(engine) % sizes_.zoneCount;
    engines_.push_back(
      { id, zone, FakeEngine(options_.hasFifoEngines), true, false, Time{}, false, 0 });
    engineIndexes_[id] = engine;
  }
}

template<typename RouterType>
RoutingFigures RoutingFleet<RouterType>::run()
{
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    virtualTime_.scheduleAfter(Duration(static_cast<std::int64_t>(vm) * 1700),
                               [this, vm] { runTimers(vm); });
    virtualTime_.scheduleAfter(kSilenceCheckInterval, [this, vm] { failSilentAttempts(vm); });
  }
  for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
    announce(engine, 0, 0);
    virtualTime_.scheduleAfter(Duration(static_cast<std::int64_t>(engine) * 37'000),
                               [this, engine] { announcePeriodically(engine); });
  }
  scheduleNextArrival(0);
  scheduleFaults();
  double usedSlotSecondsBefore = 0;
  double usedSlotSecondsAfter = 0;
  virtualTime_.scheduleAfter(kMeasurementStart - Time{}, [this, &usedSlotSecondsBefore] {
    sampleUsedSlotSeconds(usedSlotSecondsBefore);
  });
  virtualTime_.scheduleAfter(kMeasurementStart - Time{}, [this] { sampleCapacity(); });
  virtualTime_.scheduleAfter(kArrivalsEnd - Time{}, [this, &usedSlotSecondsAfter] {
    sampleUsedSlotSeconds(usedSlotSecondsAfter);
  });
  virtualTime_.runUntil(kRunEnd);
  tally_.addUsefulSlotSeconds(usedSlotSecondsAfter - usedSlotSecondsBefore);
  std::int64_t cachedTokens = 0;
  std::int64_t promptTokens = 0;
  for (const auto& engine : engines_) {
    cachedTokens += engine.simulation.cachedTokens();
    promptTokens += engine.simulation.promptTokens();
  }
  tally_.setCacheFigures(cachedTokens, promptTokens);
  return tally_.figures();
}

template<typename RouterType>
void RoutingFleet<RouterType>::scheduleFaults()
{
  if (scenario_ != Scenario::plannedStop) {
    return;
  }
  for (int stop = 0; stop < kPlannedStopCount; ++stop) {
    const auto engine = static_cast<std::size_t>(stop);
    virtualTime_.scheduleAfter(kFaultStart - Time{} + kStopInterval * stop,
                               [this, engine] { startLeaving(engine); });
  }
}

template<typename RouterType>
void RoutingFleet<RouterType>::scheduleNextArrival(std::size_t request)
{
  if (request >= requests_.size()) {
    return;
  }
  virtualTime_.scheduleAfter(requests_[request].arrival - virtualTime_.now(), [this, request] {
    submit(request);
    scheduleNextArrival(request + 1);
  });
}

template<typename RouterType>
bool RoutingFleet<RouterType>::areConnected(int zoneA, int zoneB) const
{
  const bool isPartitioned = scenario_ == Scenario::zoneCut && virtualTime_.now() >= kFaultStart &&
                             virtualTime_.now() < kPartitionEnd;
  return !isPartitioned || zoneA == zoneB ||
         (zoneA != kPartitionedZone && zoneB != kPartitionedZone);
}

template<typename RouterType>
Duration RoutingFleet<RouterType>::networkDelay(int zoneA, int zoneB) const
{
  constexpr Duration kInZoneDelay = 100us;
  return zoneA == zoneB ? kInZoneDelay : sizes_.crossZoneDelay;
}

template<typename RouterType>
std::size_t RoutingFleet<RouterType>::vmIndexOf(std::size_t request) const
{
  return static_cast<std::size_t>(requests_[request].vm) % vms_.size();
}

template<typename RouterType>
std::uint64_t RoutingFleet<RouterType>::fingerprintOfRequest(std::size_t request) const
{
  return requests_[request].crashesEngine ? 0 : request + 1;
}

template<typename RouterType>
bool RoutingFleet<RouterType>::isQuarantined(std::size_t request) const
{
  const auto crashCountIt = crashCounts_.find(fingerprintOfRequest(request));
  return options_.quarantinesCrashingRequests && crashCountIt != crashCounts_.end() &&
         crashCountIt->second >= kQuarantineCrashCount;
}

template<typename RouterType>
void RoutingFleet<RouterType>::runTimers(std::size_t vm)
{
  const Time now = virtualTime_.now();
  auto& vmState = vms_[vm];
  vmState.membership.tick(now);
  vmState.router.setPeers(vmState.membership.peers());
  vmState.router.tick(now);
  performActions(vm);
  sendOutgoing(vm);
  virtualTime_.scheduleAfter(kTickInterval, [this, vm] { runTimers(vm); });
}

template<typename RouterType>
void RoutingFleet<RouterType>::sendOutgoing(std::size_t vm)
{
  auto& sender = vms_[vm];
  const auto deliverAfterDelay = [&](const ProcessId& to, auto receive) {
    const auto recipientIndex = vmIndexes_.at(to);
    const int zone = vms_[recipientIndex].zone;
    if (areConnected(sender.zone, zone)) {
      virtualTime_.scheduleAfter(networkDelay(sender.zone, zone), [this, recipientIndex, receive] {
        receive(vms_[recipientIndex]);
        sendOutgoing(recipientIndex);
      });
    }
  };
  for (auto& [to, message] : sender.membership.takeOutgoing()) {
    deliverAfterDelay(to, [this, from = sender.id, message = std::move(message)](Vm& recipient) {
      recipient.membership.receive(virtualTime_.now(), from, message);
    });
  }
  for (auto& [to, message] : sender.router.takeOutgoing()) {
    const bool isUsage = std::holds_alternative<routing::UsageDelta>(message);
    if (isUsage && !options_.exchangesUsageTotals) {
      continue;
    }
    deliverAfterDelay(to, [this, from = sender.id, message = std::move(message)](Vm& recipient) {
      recipient.router.receive(virtualTime_.now(), from, message);
    });
  }
}

template<typename RouterType>
void RoutingFleet<RouterType>::announcePeriodically(std::size_t engine)
{
  const auto& engineState = engines_[engine];
  if (engineState.isUp) {
    const auto running = engineState.simulation.running();
    const auto waiting = engineState.simulation.waiting();
    virtualTime_.scheduleAfter(
      kLoadReportDelay, [this, engine, running, waiting] { announce(engine, running, waiting); });
  }
  virtualTime_.scheduleAfter(kAnnounceInterval, [this, engine] { announcePeriodically(engine); });
}

template<typename RouterType>
void RoutingFleet<RouterType>::announce(std::size_t engine,
                                        std::uint32_t running,
                                        std::uint32_t waiting)
{
  const auto& engineState = engines_[engine];
  std::vector<std::size_t> zoneVms;
  for (std::size_t vm = 0; vm < vms_.size(); ++vm) {
    if (vms_[vm].zone == engineState.zone) {
      zoneVms.push_back(vm);
    }
  }
  routing::Announcement announcement;
  announcement.id = engineState.id;
  announcement.address = "127.0.0.1:" + std::to_string(9000 + engine);
  announcement.zone = zoneIdOf(engineState.zone);
  announcement.models = { kModel };
  announcement.slots = kSlotsPerEngine;
  announcement.running = running;
  announcement.waiting = waiting;
  announcement.leaving = engineState.isLeaving;
  const auto vm = zoneVms[random_.below(zoneVms.size())];
  vms_[vm].router.announce(virtualTime_.now(), announcement);
  sendOutgoing(vm);
}

template<typename RouterType>
void RoutingFleet<RouterType>::startLeaving(std::size_t engine)
{
  auto& engineState = engines_[engine];
  engineState.isLeaving = true;
  engineState.leavingSince = virtualTime_.now();
  announce(engine, engineState.simulation.running(), engineState.simulation.waiting());
  virtualTime_.scheduleAfter(kLeaveDuration, [this, engine] { restartWhenDrained(engine); });
}

template<typename RouterType>
void RoutingFleet<RouterType>::restartWhenDrained(std::size_t engine)
{
  auto& engineState = engines_[engine];
  if (engineState.simulation.running() + engineState.simulation.waiting() > 0) {
    virtualTime_.scheduleAfter(kAnnounceInterval, [this, engine] { restartWhenDrained(engine); });
    return;
  }
  engineState.isLeaving = false;
  engineState.isUp = false;
  virtualTime_.scheduleAfter(kRestartDelay, [this, engine] { engines_[engine].isUp = true; });
}

template<typename RouterType>
void RoutingFleet<RouterType>::sampleCapacity()
{
  if (virtualTime_.now() >= kArrivalsEnd) {
    return;
  }
  for (const auto& engine : engines_) {
    if (engine.isUp && !engine.isLeaving) {
      tally_.addCapacitySlotSeconds(kSlotsPerEngine * static_cast<double>(kSampleInterval.count()) *
                                    1e-6);
    }
  }
  virtualTime_.scheduleAfter(kSampleInterval, [this] { sampleCapacity(); });
}

template<typename RouterType>
void RoutingFleet<RouterType>::sampleUsedSlotSeconds(double& totalSlotSeconds)
{
  for (const auto& engine : engines_) {
    totalSlotSeconds += engine.simulation.usefulSlotSeconds();
  }
}

template<typename RouterType>
routing::RequestInfo RoutingFleet<RouterType>::makeRequestInfo(std::size_t request) const
{
  const auto& planned = requests_[request];
  routing::RequestInfo requestInfo;
  requestInfo.id = requestIdOf(request);
  requestInfo.workspace = WorkspaceId("w" + std::to_string(planned.workspace));
  requestInfo.caller = CallerId("c" + std::to_string(planned.workspace));
  requestInfo.rank = planned.rank;
  requestInfo.model = kModel;
  for (const auto& part : planned.prompt) {
    requestInfo.promptBytes += static_cast<std::size_t>(part.tokens * kBytesPerToken);
    requestInfo.prefixChain.push_back(part.prefix);
  }
  requestInfo.maxTokens = Tokens{ planned.maxTokens };
  requestInfo.arrival = planned.arrival;
  return requestInfo;
}

template<typename RouterType>
void RoutingFleet<RouterType>::submit(std::size_t request)
{
  const auto vm = vmIndexOf(request);
  const bool accepted =
    !isQuarantined(request) && vms_[vm].router.submit(virtualTime_.now(), makeRequestInfo(request));
  if (!accepted) {
    endRequest(request, RequestRecord::Status::refused);
  }
  performActions(vm);
}

template<typename RouterType>
void RoutingFleet<RouterType>::performActions(std::size_t vm)
{
  for (const auto& action : vms_[vm].router.takeActions()) {
    if (const auto* dispatch = std::get_if<routing::Dispatch>(&action)) {
      sendToEngine(vm, *dispatch);
    } else if (const auto* refusal = std::get_if<routing::Refused>(&action)) {
      endRequest(requestIndexOf(refusal->id), RequestRecord::Status::refused);
    } else {
      cancelAttempt(vm, std::get<routing::CancelStream>(action));
    }
  }
}

template<typename RouterType>
void RoutingFleet<RouterType>::endRequest(std::size_t request, RequestRecord::Status status)
{
  tally_.record(request).status = status;
  attempts_[request].inFlight = false;
  vms_[vmIndexOf(request)].inFlight.erase(request);
}

template<typename RouterType>
void RoutingFleet<RouterType>::sendToEngine(std::size_t vm, const routing::Dispatch& dispatch)
{
  const auto request = requestIndexOf(dispatch.id);
  const auto engine = engineIndexes_.at(dispatch.endpoint);
  auto& attempt = attempts_[request];
  ++attempt.number;
  attempt.engineIndex = engine;
  attempt.inFlight = true;
  attempt.isStreaming = false;
  attempt.lastProgressTime = virtualTime_.now();
  vms_[vm].inFlight.insert(request);
  const auto& planned = requests_[request];
  EngineSequence sequence;
  sequence.request = request;
  sequence.attempt = attempt.number;
  sequence.priority = dispatch.rank;
  sequence.prompt = planned.prompt;
  sequence.generatedTokens = static_cast<int>(dispatch.resumeAfter.count);
  sequence.outputTokens = planned.outputTokens;
  sequence.isResumed = attempt.number > 1;
  sequence.crashesEngine = planned.crashesEngine;
  const auto attemptNumber = attempt.number;
  virtualTime_.scheduleAfter(networkDelay(vms_[vm].zone, engines_[engine].zone),
                             [this, vm, request, attemptNumber, sequence = std::move(sequence)] {
                               handleArrival(vm, request, attemptNumber, sequence);
                             });
}

template<typename RouterType>
void RoutingFleet<RouterType>::handleArrival(std::size_t vm,
                                             std::size_t request,
                                             std::uint32_t attemptNumber,
                                             EngineSequence sequence)
{
  const auto engineIndex = attempts_[request].engineIndex;
  auto& engine = engines_[engineIndex];
  const Duration returnDelay = networkDelay(vms_[vm].zone, engine.zone);
  const bool isReachable = areConnected(vms_[vm].zone, engine.zone);
  const bool isLate =
    engine.isLeaving && virtualTime_.now() - engine.leavingSince > kLeaveGracePeriod;
  if (isLate) {
    tally_.recordArrivalAfterLeave();
  }
  if (!engine.isUp || !isReachable || isLate) {
    virtualTime_.scheduleAfter(
      isReachable ? returnDelay : kConnectTimeout, [this, request, attemptNumber] {
        handleAttemptFailure(request, attemptNumber, AttemptFailure::notRun);
      });
    return;
  }
  engine.simulation.add(std::move(sequence));
  startEngineStep(engineIndex);
}

template<typename RouterType>
void RoutingFleet<RouterType>::cancelAttempt(std::size_t vm,
                                             const routing::CancelStream& cancellation)
{
  const auto request = requestIndexOf(cancellation.id);
  const auto engineIndex = engineIndexes_.at(cancellation.endpoint);
  const auto attemptNumber = attempts_[request].number;
  const Duration delayToEngine = networkDelay(vms_[vm].zone, engines_[engineIndex].zone);
  virtualTime_.scheduleAfter(
    delayToEngine, [this, vm, request, engineIndex, attemptNumber, delayToEngine] {
      const int generatedTokens = engines_[engineIndex].simulation.cancel(request, attemptNumber);
      if (generatedTokens < 0) {
        return;
      }
      virtualTime_.scheduleAfter(
        delayToEngine, [this, vm, request, generatedTokens, attemptNumber] {
          auto& attempt = attempts_[request];
          if (!attempt.inFlight || attempt.number != attemptNumber) {
            return;
          }
          attempt.inFlight = false;
          vms_[vm].inFlight.erase(request);
          auto& record = tally_.record(request);
          tally_.addTokens(virtualTime_.now(), request, generatedTokens - record.generatedTokens);
          record.generatedTokens = generatedTokens;
          vms_[vm].router.progress(
            virtualTime_.now(), requestIdOf(request), Tokens{ generatedTokens });
          vms_[vm].router.cancelled(virtualTime_.now(), requestIdOf(request));
          performActions(vm);
        });
    });
}

template<typename RouterType>
void RoutingFleet<RouterType>::handleAttemptFailure(std::size_t request,
                                                    std::uint32_t attemptNumber,
                                                    AttemptFailure failure)
{
  if (!attempts_[request].inFlight || attempts_[request].number != attemptNumber) {
    return;
  }
  const auto vm = vmIndexOf(request);
  if (isQuarantined(request)) {
    vms_[vm].router.finished(virtualTime_.now(), requestIdOf(request), Outcome::failed);
    endRequest(request, RequestRecord::Status::failed);
    performActions(vm);
    return;
  }
  attempts_[request].inFlight = false;
  vms_[vm].inFlight.erase(request);
  ++tally_.record(request).retryCount;
  const auto nextDispatch =
    vms_[vm].router.retry(virtualTime_.now(), requestIdOf(request), failure);
  if (nextDispatch) {
    sendToEngine(vm, *nextDispatch);
  } else {
    endRequest(request, RequestRecord::Status::failed);
  }
  performActions(vm);
}

template<typename RouterType>
void RoutingFleet<RouterType>::startEngineStep(std::size_t engine)
{
  auto& engineState = engines_[engine];
  if (engineState.isStepping || !engineState.isUp) {
    return;
  }
  const Duration stepDuration = engineState.simulation.beginStep();
  if (stepDuration == Duration(0)) {
    return;
  }
  engineState.isStepping = true;
  virtualTime_.scheduleAfter(
    stepDuration, [this, engine, stepDuration, crashCount = engineState.crashCount] {
      auto& steppedEngine = engines_[engine];
      if (steppedEngine.crashCount != crashCount) {
        return;
      }
      steppedEngine.isStepping = false;
      for (const auto& event : steppedEngine.simulation.endStep(stepDuration)) {
        deliverEvent(event, engine);
      }
      if (steppedEngine.simulation.hasCrashingSequence()) {
        crashEngine(engine);
        return;
      }
      startEngineStep(engine);
    });
}

template<typename RouterType>
void RoutingFleet<RouterType>::crashEngine(std::size_t engine)
{
  auto& engineState = engines_[engine];
  ++engineState.crashCount;
  engineState.isUp = false;
  engineState.isStepping = false;
  for (const auto& lostSequence : engineState.simulation.crash()) {
    ++crashCounts_[fingerprintOfRequest(lostSequence.request)];
    virtualTime_.scheduleAfter(
      networkDelay(engineState.zone, vms_[vmIndexOf(lostSequence.request)].zone),
      [this, request = lostSequence.request, attempt = lostSequence.attempt] {
        handleAttemptFailure(request, attempt, AttemptFailure::failed);
      });
  }
  virtualTime_.scheduleAfter(kRestartDelay, [this, engine] { engines_[engine].isUp = true; });
}

template<typename RouterType>
void RoutingFleet<RouterType>::deliverEvent(const EngineEvent& event, std::size_t engine)
{
  const int vmZone = vms_[vmIndexOf(event.request)].zone;
  const int engineZone = engines_[engine].zone;
  if (areConnected(vmZone, engineZone)) {
    virtualTime_.scheduleAfter(networkDelay(vmZone, engineZone),
                               [this, event] { handleEvent(event); });
  }
}

template<typename RouterType>
void RoutingFleet<RouterType>::handleEvent(const EngineEvent& event)
{
  auto& attempt = attempts_[event.request];
  if (!attempt.inFlight || attempt.number != event.attempt) {
    return;
  }
  const auto vm = vmIndexOf(event.request);
  const auto id = requestIdOf(event.request);
  auto& router = vms_[vm].router;
  auto& record = tally_.record(event.request);
  attempt.lastProgressTime = virtualTime_.now();
  if (event.isFirstToken) {
    attempt.isStreaming = true;
    record.firstTokenTime =
      record.firstTokenTime == Time{} ? virtualTime_.now() : record.firstTokenTime;
    router.firstToken(virtualTime_.now(), id);
  }
  tally_.addTokens(
    virtualTime_.now(), event.request, event.generatedTokens - record.generatedTokens);
  record.generatedTokens = event.generatedTokens;
  router.progress(virtualTime_.now(), id, Tokens{ event.generatedTokens });
  if (event.isDone) {
    router.finished(virtualTime_.now(), id, Outcome::completed);
    endRequest(event.request, RequestRecord::Status::completed);
  }
  performActions(vm);
}

template<typename RouterType>
void RoutingFleet<RouterType>::failSilentAttempts(std::size_t vm)
{
  std::vector<std::size_t> silentRequests;
  for (const auto request : vms_[vm].inFlight) {
    const auto& attempt = attempts_[request];
    const Duration silenceTimeout =
      attempt.isStreaming ? kStreamSilenceTimeout : kFirstTokenTimeout;
    if (virtualTime_.now() - attempt.lastProgressTime > silenceTimeout &&
        !options_.hasFifoEngines) {
      silentRequests.push_back(request);
    }
  }
  for (const auto request : silentRequests) {
    const auto attempt = attempts_[request];
    engines_[attempt.engineIndex].simulation.cancel(request, attempt.number);
    handleAttemptFailure(request, attempt.number, AttemptFailure::stalled);
  }
  virtualTime_.scheduleAfter(kSilenceCheckInterval, [this, vm] { failSilentAttempts(vm); });
}

template class RoutingFleet<routing::Router>;
template class RoutingFleet<FifoRandomRouter>;

} // namespace figchute::measure
