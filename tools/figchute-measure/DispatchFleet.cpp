#include "DispatchFleet.h"

#include "dispatch/PromptCacheModel.h"

#include <algorithm>
#include <array>
#include <string>

namespace figchute::measure {
namespace {

using namespace std::chrono_literals;
using dispatch::Outcome;

constexpr std::size_t kEntryCount = 9;
constexpr std::size_t kZoneCount = 3;
constexpr std::size_t kEngineCount = 12;
constexpr std::size_t kPlainEndpointCount = 4;
constexpr int kSlotsPerPlainEndpoint = 6;

/** Zones and sizes in the scenario skewed, as measured on the deployed system. */
constexpr std::array<std::size_t, kEntryCount> kSkewedEntryZones{ 0, 0, 0, 1, 1, 1, 2, 2, 3 };
constexpr std::array<std::size_t, 18> kSkewedEngineZones{ 0, 0, 0, 0, 0, 1, 1, 1, 1,
                                                          1, 2, 2, 2, 2, 3, 3, 3, 3 };
constexpr int kSkewedSlotsPerEngine = 64;
/** In the scenario skewed, every fifth engine is slower by this factor. */
constexpr std::size_t kSlowEngineInterval = 5;
constexpr double kSlowEngineFactor = 1.3;
constexpr double kAffectedRequestShare = 0.45;
constexpr double kFaultSlowdownFactor = 5;

constexpr Duration kInZoneDelay = 100us;
constexpr Duration kCrossZoneDelay = 1ms;
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kTickInterval = 100ms;
constexpr Duration kCrashExchangeInterval = 1s;

constexpr Duration kCrashDelay = 50ms;
constexpr Duration kRestartDelay = 5s;
constexpr Duration kWarmupDuration = 3s;
constexpr Duration kResendDelay = 300ms;
constexpr int kMaxResends = 20;

/** A guide has 12,000 prompt tokens in 12 KB and 384 output tokens in 4 KB. */
constexpr double kKilobytesPerPromptToken = 0.001;
constexpr double kKilobytesPerOutputToken = 0.0104;

ZoneId zoneIdOf(std::size_t number)
{
  return ZoneId(std::string(1, static_cast<char>('a' + number)));
}

std::vector<fleet::ServiceSettings> makeServiceSettings()
{
  fleet::ServiceSettings model;
  model.name = ServiceName("model");
  model.maxConnections = 300;
  model.engine = fleet::EngineTraits{ 48, 480'000, 100, 6 };
  fleet::ServiceSettings plain;
  plain.name = ServiceName("plain");
  plain.maxConnections = 100;
  return { model, plain };
}

int outputTokensOf(WorkKind kind, int tokensPerEvent)
{
  return traitsOf(kind).eventCount * tokensPerEvent;
}

bool canRetry(const dispatch::RequestInfo& requestInfo, Outcome outcome)
{
  return requestInfo.kind == fleet::RouteKind::repeatable || requestInfo.resumable ||
         outcome == Outcome::notExecuted || outcome == Outcome::notConnected;
}

} // namespace

DispatchFleet::DispatchFleet(DispatchScenario scenario,
                             std::optional<routing::SelectionStrategy> strategy,
                             std::uint64_t seed)
  : scenario_(scenario)
  , random_(seed * 7 + 3)
{
  for (std::size_t entry = 0; entry < kEntryCount; ++entry) {
    const auto policySeed = seed * 1000 + entry;
    policies_.push_back(
      strategy
        ? makeBaselinePolicy(*strategy, policySeed)
        : makeFigchutePolicy(entryZoneOf(entry), kEntryCount, makeServiceSettings(), policySeed));
  }
  createEndpoints();
  for (auto& request : planDispatchRequests(scenario, kEntryCount, seed)) {
    const auto arrivalDelay = request.arrival - Time{ 0 };
    Caller caller;
    request.requestInfo.id = callers_.size() + 1;
    caller.request = std::move(request);
    caller.result.kind = caller.request.kind;
    callers_.push_back(std::move(caller));
    virtualTime_.scheduleAfter(
      arrivalDelay, [this, callerIndex = callers_.size() - 1] { startRequest(callerIndex); });
  }
  scheduleFaults();
}

ZoneId DispatchFleet::entryZoneOf(std::size_t entryIndex) const
{
  return zoneIdOf(scenario_ == DispatchScenario::skewed ? kSkewedEntryZones.at(entryIndex)
                                                        : entryIndex % kZoneCount);
}

ZoneId DispatchFleet::engineZoneOf(std::size_t engineIndex) const
{
  return zoneIdOf(scenario_ == DispatchScenario::skewed ? kSkewedEngineZones.at(engineIndex)
                                                        : engineIndex % kZoneCount);
}

void DispatchFleet::createEndpoints()
{
  const bool isSkewed = scenario_ == DispatchScenario::skewed;
  const auto engineCount = isSkewed ? kSkewedEngineZones.size() : kEngineCount;
  for (std::size_t i = 0; i < engineCount + kPlainEndpointCount; ++i) {
    Backend backend;
    const bool isEngine = i < engineCount;
    KvEngineSizes sizes;
    sizes.slots = isSkewed ? kSkewedSlotsPerEngine : 48 + static_cast<int>(i % 3) * 8;
    sizes.kvCapacityTokens = 430'000 + static_cast<std::int64_t>(i % 5) * 30'000;
    sizes.tokensPerEvent = 6;
    auto& record = backend.record;
    record.id = EndpointId((isEngine ? "engine" : "plain") + std::to_string(i));
    record.service = ServiceName(isEngine ? "model" : "plain");
    record.address = "10.0.0." + std::to_string(i) + ":80";
    record.zone = isEngine ? engineZoneOf(i) : zoneIdOf((i - engineCount) % kZoneCount);
    record.slots = isEngine ? sizes.slots : kSlotsPerPlainEndpoint;
    record.startedAtMs = 1;
    if (isEngine) {
      backend.engine.emplace(sizes);
      backend.slowdownFactor = isSkewed && i % kSlowEngineInterval == 2 ? kSlowEngineFactor : 1;
    }
    backends_.push_back(std::move(backend));
  }
  publishEndpoints();
}

void DispatchFleet::scheduleFaults()
{
  const auto addFault = [this](std::size_t backendIndex,
                               Fault fault,
                               double slowdownFactor,
                               Duration startDelay,
                               Duration endDelay) {
    virtualTime_.scheduleAfter(startDelay, [=, this] {
      backends_[backendIndex].fault = fault;
      backends_[backendIndex].slowdownFactor = slowdownFactor;
    });
    virtualTime_.scheduleAfter(endDelay, [=, this] {
      auto& recoveredBackend = backends_[backendIndex];
      recoveredBackend.fault = Fault::none;
      recoveredBackend.slowdownFactor = 1;
      if (fault == Fault::unreachable && recoveredBackend.engine) {
        recoveredBackend.engine->crash();
        recoveredBackend.isStepping = false;
        ++recoveredBackend.generation;
      }
    });
  };
  if (scenario_ == DispatchScenario::grey) {
    addFault(0, Fault::failsRequests, 1, 10s, 45s);
    addFault(5, Fault::ignoresRequests, 1, 10s, 45s);
    addFault(3, Fault::refusesRequests, 1, 50s, 85s);
    addFault(10, Fault::none, kFaultSlowdownFactor, 50s, 85s);
    addFault(12, Fault::failsRequests, 1, 10s, 45s);
  }
  if (scenario_ == DispatchScenario::dark) {
    addFault(0, Fault::unreachable, 1, 20s, 60s);
    addFault(1, Fault::unreachable, 1, 20s, 60s);
    addFault(12, Fault::unreachable, 1, 20s, 60s);
  }
}

void DispatchFleet::publishEndpoints()
{
  std::vector<fleet::EndpointRecord> records;
  for (const auto& backend : backends_) {
    records.push_back(backend.record);
  }
  for (auto& policy : policies_) {
    policy->setEndpoints(virtualTime_.now(), records);
  }
}

DispatchFigures DispatchFleet::run()
{
  virtualTime_.scheduleAfter(kTickInterval, [this] { tick(); });
  virtualTime_.scheduleAfter(kCrashExchangeInterval, [this] { exchangeCrashReports(); });
  constexpr Duration kDrainDuration = 20s;
  virtualTime_.runUntil(Time{ 0 } + kDispatchRunDuration + kDrainDuration);
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    closeRequest(i);
  }
  return tally_.figures();
}

void DispatchFleet::startRequest(std::size_t callerIndex)
{
  auto& caller = callers_[callerIndex];
  const auto& parts = caller.request.requestInfo.parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    tally_.addSharedTokens(parts[i].tokens);
  }
  virtualTime_.scheduleAfter(caller.request.requestInfo.deadline - virtualTime_.now(),
                             [this, callerIndex] { handleDeadline(callerIndex); });
  startAttempt(callerIndex);
}

void DispatchFleet::startAttempt(std::size_t callerIndex)
{
  auto& caller = callers_[callerIndex];
  const auto choice = policyOf(caller).chooseEndpoint(
    virtualTime_.now(), caller.request.requestInfo, caller.excluded);
  if (!choice) {
    caller.result.isRefused = !caller.wasSent;
    closeRequest(callerIndex);
    return;
  }
  ++caller.attemptNumber;
  caller.inFlight = true;
  caller.isAnswering = false;
  caller.isConnecting = false;
  caller.backendIndex = backendIndexOf(choice->endpoint);
  caller.excluded.push_back(choice->endpoint);
  const auto& requestInfo = caller.request.requestInfo;
  tally_.recordSend(crossesZones(caller),
                    caller.wasSent,
                    kKilobytesPerPromptToken * static_cast<double>(requestInfo.promptTokens));
  caller.wasSent = true;
  virtualTime_.scheduleAfter(hopDelay(caller),
                             [this, callerIndex, attemptNumber = caller.attemptNumber] {
                               handleArrival(callerIndex, attemptNumber);
                             });
}

void DispatchFleet::handleArrival(std::size_t callerIndex, std::uint32_t attemptNumber)
{
  if (!isCurrent(callerIndex, attemptNumber)) {
    return;
  }
  const auto& caller = callers_[callerIndex];
  auto& backend = backends_[caller.backendIndex];
  const auto returnDelay = hopDelay(caller);
  const bool isAffected = random_.chance(kAffectedRequestShare);
  switch (backend.fault) {
    case Fault::unreachable:
      callers_[callerIndex].isConnecting = true;
      scheduleAttemptEnd(kConnectTimeout, callerIndex, attemptNumber, Outcome::notConnected);
      return;
    case Fault::down:
      scheduleAttemptEnd(returnDelay, callerIndex, attemptNumber, Outcome::notConnected);
      return;
    case Fault::failsRequests:
      if (isAffected) {
        scheduleAttemptEnd(returnDelay + 20ms,
                           callerIndex,
                           attemptNumber,
                           Outcome::serverError,
                           loadReportOf(backend));
        return;
      }
      break;
    case Fault::ignoresRequests:
      if (isAffected) {
        return;
      }
      break;
    case Fault::refusesRequests:
      if (isAffected) {
        scheduleAttemptEnd(
          returnDelay, callerIndex, attemptNumber, Outcome::notExecuted, loadReportOf(backend));
        return;
      }
      break;
    case Fault::none:
      break;
  }
  if (backend.engine) {
    handleArrivalAtEngine(callerIndex, attemptNumber, backend);
  } else {
    handleArrivalAtPlainEndpoint(callerIndex, attemptNumber, backend);
  }
}

void DispatchFleet::handleArrivalAtPlainEndpoint(std::size_t callerIndex,
                                                 std::uint32_t attemptNumber,
                                                 Backend& backend)
{
  const auto& caller = callers_[callerIndex];
  if (backend.busySlots >= kSlotsPerPlainEndpoint) {
    scheduleAttemptEnd(
      hopDelay(caller), callerIndex, attemptNumber, Outcome::notExecuted, loadReportOf(backend));
    return;
  }
  ++backend.busySlots;
  const auto serviceDuration = Duration(static_cast<std::int64_t>(
    static_cast<double>(caller.request.plainServiceTime.count()) * backend.slowdownFactor));
  virtualTime_.scheduleAfter(
    serviceDuration, [this, callerIndex, attemptNumber, backendIndex = caller.backendIndex] {
      auto& servedBackend = backends_[backendIndex];
      const auto loadReport = loadReportOf(servedBackend);
      --servedBackend.busySlots;
      if (!isCurrent(callerIndex, attemptNumber) || servedBackend.fault == Fault::unreachable) {
        return;
      }
      virtualTime_.scheduleAfter(hopDelay(callers_[callerIndex]),
                                 [this, callerIndex, attemptNumber, loadReport] {
                                   handleEvent(callerIndex, attemptNumber, true, loadReport);
                                 });
    });
}

void DispatchFleet::handleArrivalAtEngine(std::size_t callerIndex,
                                          std::uint32_t attemptNumber,
                                          Backend& backend)
{
  const auto& caller = callers_[callerIndex];
  const auto& requestInfo = caller.request.requestInfo;
  KvSequence sequence;
  sequence.request = callerIndex;
  sequence.attempt = attemptNumber;
  sequence.priority = requestInfo.priority;
  sequence.parts = requestInfo.parts;
  sequence.prefixKeys = dispatch::prefixKeys(requestInfo);
  sequence.promptTokens = requestInfo.promptTokens;
  sequence.outputTokens = outputTokensOf(caller.request.kind, 6);
  if (!backend.engine->add(std::move(sequence))) {
    scheduleAttemptEnd(
      hopDelay(caller), callerIndex, attemptNumber, Outcome::notExecuted, loadReportOf(backend));
    return;
  }
  if (caller.request.crashesEngine) {
    virtualTime_.scheduleAfter(
      kCrashDelay, [this, backendIndex = caller.backendIndex, generation = backend.generation] {
        if (backends_[backendIndex].generation == generation) {
          crashEngine(backendIndex);
        }
      });
  }
  startEngineStep(caller.backendIndex);
}

void DispatchFleet::startEngineStep(std::size_t backendIndex)
{
  auto& backend = backends_[backendIndex];
  if (backend.isStepping || backend.fault == Fault::unreachable) {
    return;
  }
  const auto stepDuration = backend.engine->beginStep();
  for (const auto& part : backend.engine->takePrefilledParts()) {
    tally_.recordPrefill(virtualTime_.now(), part.hash, part.tokens);
  }
  for (const auto key : backend.engine->takeUsedKeys()) {
    tally_.recordPartUse(virtualTime_.now(), key);
  }
  if (stepDuration == Duration(0)) {
    return;
  }
  backend.isStepping = true;
  const auto slowedDuration = Duration(
    static_cast<std::int64_t>(static_cast<double>(stepDuration.count()) * backend.slowdownFactor));
  virtualTime_.scheduleAfter(slowedDuration, [this, backendIndex, generation = backend.generation] {
    auto& steppedBackend = backends_[backendIndex];
    if (steppedBackend.generation != generation) {
      return;
    }
    steppedBackend.isStepping = false;
    if (steppedBackend.fault == Fault::unreachable) {
      return;
    }
    const auto loadReport = loadReportOf(steppedBackend);
    for (const auto& event : steppedBackend.engine->endStep()) {
      const auto& caller = callers_[event.request];
      virtualTime_.scheduleAfter(hopDelay(caller), [this, event, loadReport] {
        handleEvent(event.request, event.attempt, event.isDone, loadReport);
      });
    }
    startEngineStep(backendIndex);
  });
}

void DispatchFleet::handleEvent(std::size_t callerIndex,
                                std::uint32_t attemptNumber,
                                bool isDone,
                                dispatch::LoadReport loadReport)
{
  if (!isCurrent(callerIndex, attemptNumber)) {
    return;
  }
  auto& caller = callers_[callerIndex];
  auto& policy = policyOf(caller);
  const auto now = virtualTime_.now();
  if (!caller.isAnswering) {
    caller.isAnswering = true;
    policy.reportLoad(now, backends_[caller.backendIndex].record.id, loadReport);
    policy.recordFirstByte(now, caller.request.requestInfo.id);
  }
  policy.recordProgress(now, caller.request.requestInfo.id, 6);
  if (caller.result.firstEvent < Duration(0)) {
    caller.result.firstEvent = now - caller.request.arrival;
  } else {
    caller.result.longestGap = std::max(caller.result.longestGap, now - caller.lastEventTime);
  }
  caller.lastEventTime = now;
  if (!isDone) {
    return;
  }
  if (crossesZones(caller)) {
    tally_.addCrossZoneAnswer(kKilobytesPerOutputToken * outputTokensOf(caller.request.kind, 6));
  }
  caller.inFlight = false;
  caller.result.isComplete = true;
  policy.finishAttempt(now, caller.request.requestInfo.id, Outcome::answered);
  closeRequest(callerIndex);
}

void DispatchFleet::scheduleAttemptEnd(Duration delay,
                                       std::size_t callerIndex,
                                       std::uint32_t attemptNumber,
                                       Outcome outcome,
                                       std::optional<dispatch::LoadReport> loadReport)
{
  virtualTime_.scheduleAfter(delay, [this, callerIndex, attemptNumber, outcome, loadReport] {
    if (!isCurrent(callerIndex, attemptNumber)) {
      return;
    }
    auto& caller = callers_[callerIndex];
    if (loadReport) {
      policyOf(caller).reportLoad(
        virtualTime_.now(), backends_[caller.backendIndex].record.id, *loadReport);
    }
    endAttempt(callerIndex, outcome);
  });
}

void DispatchFleet::endAttempt(std::size_t callerIndex, Outcome outcome)
{
  auto& caller = callers_[callerIndex];
  auto& backend = backends_[caller.backendIndex];
  if (backend.engine) {
    backend.engine->cancel(callerIndex, caller.attemptNumber);
  }
  caller.inFlight = false;
  policyOf(caller).finishAttempt(virtualTime_.now(), caller.request.requestInfo.id, outcome);
  if (canRetry(caller.request.requestInfo, outcome)) {
    startAttempt(callerIndex);
  } else {
    closeRequest(callerIndex);
  }
}

void DispatchFleet::handleDeadline(std::size_t callerIndex)
{
  auto& caller = callers_[callerIndex];
  if (!caller.isOpen) {
    return;
  }
  if (caller.inFlight) {
    caller.inFlight = false;
    auto& backend = backends_[caller.backendIndex];
    if (backend.engine) {
      backend.engine->cancel(callerIndex, caller.attemptNumber);
    }
    policyOf(caller).finishAttempt(
      virtualTime_.now(), caller.request.requestInfo.id, Outcome::timedOut);
  }
  closeRequest(callerIndex);
}

void DispatchFleet::closeRequest(std::size_t callerIndex)
{
  auto& caller = callers_[callerIndex];
  if (!caller.isOpen) {
    return;
  }
  caller.isOpen = false;
  policyOf(caller).removeRequest(caller.request.requestInfo.id);
  if (!caller.request.crashesEngine) {
    tally_.recordResult(caller.result);
    return;
  }
  // The caller of a request that crashes its engine sends it again through a random entry process.
  if (caller.resendCount >= kMaxResends) {
    return;
  }
  Caller resend;
  resend.request = caller.request;
  resend.request.entry = random_.below(kEntryCount);
  resend.request.requestInfo.id = callers_.size() + 1;
  resend.request.arrival = virtualTime_.now() + kResendDelay;
  resend.request.requestInfo.arrival = resend.request.arrival;
  resend.request.requestInfo.deadline =
    resend.request.arrival + traitsOf(resend.request.kind).timeout;
  resend.result.kind = resend.request.kind;
  resend.resendCount = caller.resendCount + 1;
  callers_.push_back(std::move(resend));
  virtualTime_.scheduleAfter(
    kResendDelay, [this, callerIndex = callers_.size() - 1] { startRequest(callerIndex); });
}

void DispatchFleet::crashEngine(std::size_t backendIndex)
{
  auto& backend = backends_[backendIndex];
  tally_.recordCrash();
  backend.fault = Fault::down;
  backend.isStepping = false;
  ++backend.generation;
  for (const auto& lostSequence : backend.engine->crash()) {
    scheduleAttemptEnd(hopDelay(callers_[lostSequence.request]),
                       lostSequence.request,
                       lostSequence.attempt,
                       Outcome::broken);
  }
  virtualTime_.scheduleAfter(kRestartDelay, [this, backendIndex] { restartEngine(backendIndex); });
}

void DispatchFleet::restartEngine(std::size_t backendIndex)
{
  auto& backend = backends_[backendIndex];
  backend.fault = Fault::none;
  backend.slowdownFactor = 2;
  ++backend.record.startedAtMs;
  backend.record.warmupMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(kWarmupDuration).count();
  publishEndpoints();
  virtualTime_.scheduleAfter(kWarmupDuration,
                             [this, backendIndex] { backends_[backendIndex].slowdownFactor = 1; });
}

void DispatchFleet::tick()
{
  for (auto& policy : policies_) {
    policy->tick(virtualTime_.now());
    for (const auto requestId : policy->takeStalledRequests()) {
      const auto callerIndex = static_cast<std::size_t>(requestId - 1);
      auto& caller = callers_[callerIndex];
      const auto outcome = caller.isConnecting ? Outcome::notConnected : Outcome::timedOut;
      if (caller.inFlight && canRetry(caller.request.requestInfo, outcome)) {
        endAttempt(callerIndex, outcome);
      }
    }
  }
  virtualTime_.scheduleAfter(kTickInterval, [this] { tick(); });
}

void DispatchFleet::exchangeCrashReports()
{
  for (auto& policy : policies_) {
    const auto reports = policy->takeCrashReports();
    for (auto& otherPolicy : policies_) {
      if (otherPolicy != policy) {
        otherPolicy->addCrashReports(virtualTime_.now(), reports);
      }
    }
  }
  virtualTime_.scheduleAfter(kCrashExchangeInterval, [this] { exchangeCrashReports(); });
}

std::size_t DispatchFleet::backendIndexOf(const EndpointId& id) const
{
  const auto backendIt =
    std::find_if(backends_.begin(), backends_.end(), [&](const Backend& backend) {
      return backend.record.id == id;
    });
  return static_cast<std::size_t>(backendIt - backends_.begin());
}

bool DispatchFleet::isCurrent(std::size_t callerIndex, std::uint32_t attemptNumber) const
{
  return callers_[callerIndex].inFlight && callers_[callerIndex].attemptNumber == attemptNumber;
}

bool DispatchFleet::crossesZones(const Caller& caller) const
{
  return backends_[caller.backendIndex].record.zone != entryZoneOf(caller.request.entry);
}

Duration DispatchFleet::hopDelay(const Caller& caller) const
{
  return crossesZones(caller) ? kCrossZoneDelay : kInZoneDelay;
}

dispatch::LoadReport DispatchFleet::loadReportOf(const Backend& backend)
{
  if (!backend.engine) {
    return { backend.busySlots, 0, kSlotsPerPlainEndpoint };
  }
  return { backend.engine->running(), backend.engine->waiting(), backend.engine->slots() };
}

} // namespace figchute::measure
