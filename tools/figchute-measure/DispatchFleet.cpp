#include "DispatchFleet.h"

#include "dispatch/PromptCacheModel.h"

#include <algorithm>
#include <array>
#include <string>

namespace figchute::measure {
namespace {

using namespace std::chrono_literals;
using dispatch::Outcome;

constexpr std::size_t kEntries = 9;
constexpr std::size_t kZones = 3;
constexpr std::size_t kEngines = 12;
constexpr std::size_t kPlainEndpoints = 4;
constexpr int kPlainSlots = 6;

/** Zones and sizes of the scenario skewed, as measured on the deployed system. */
constexpr std::array<std::size_t, kEntries> kSkewedEntryZones{ 0, 0, 0, 1, 1, 1, 2, 2, 3 };
constexpr std::array<std::size_t, 18> kSkewedEngineZones{ 0, 0, 0, 0, 0, 1, 1, 1, 1,
                                                          1, 2, 2, 2, 2, 3, 3, 3, 3 };
constexpr int kSkewedSlots = 64;
/** Every fifth engine there is slower by this factor. */
constexpr std::size_t kSlowerEvery = 5;
constexpr double kSlower = 1.3;
constexpr double kFailing = 0.45;
constexpr double kSlow = 5;

constexpr Duration kHopInside = 100us;
constexpr Duration kHopAcross = 1ms;
constexpr Duration kConnectTimeout = 1s;
constexpr Duration kTick = 100ms;
constexpr Duration kCrashExchange = 1s;

constexpr Duration kCrashDelay = 50ms;
constexpr Duration kRestart = 5s;
constexpr Duration kWarmup = 3s;
constexpr Duration kCallerPause = 300ms;
constexpr int kResends = 20;

/** A guide has 12,000 prompt tokens in 12 KB and 384 output tokens in 4 KB. */
constexpr double kKilobytesPerPromptToken = 0.001;
constexpr double kKilobytesPerOutputToken = 0.0104;

ZoneId zone(std::size_t number)
{
  return ZoneId(std::string(1, static_cast<char>('a' + number)));
}

std::vector<fleet::ServiceSettings> services()
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

int outputTokens(WorkKind kind, int stride)
{
  return traitsOf(kind).events * stride;
}

bool mayRunAgain(const dispatch::Work& work, Outcome outcome)
{
  return work.kind == fleet::RouteKind::repeatable || work.resumable ||
         outcome == Outcome::notExecuted || outcome == Outcome::notConnected;
}

} // namespace

DispatchFleet::DispatchFleet(DispatchScenario scenario,
                             std::optional<routing::ChoiceStrategy> strategy,
                             std::uint64_t seed)
  : scenario_(scenario)
  , random_(seed * 7 + 3)
{
  for (std::size_t i = 0; i < kEntries; ++i) {
    const auto own = seed * 1000 + i;
    policies_.push_back(strategy ? makeBaseline(*strategy, own)
                                 : makeFigchute(entryZone(i), kEntries, services(), own));
  }
  createEndpoints();
  for (auto& request : planDispatch(scenario, kEntries, seed)) {
    const auto at = request.arrival - Time{ 0 };
    Caller caller;
    request.work.id = callers_.size() + 1;
    caller.request = std::move(request);
    caller.result.kind = caller.request.kind;
    callers_.push_back(std::move(caller));
    time_.after(at, [this, i = callers_.size() - 1] { begin(i); });
  }
  scheduleSickness();
}

ZoneId DispatchFleet::entryZone(std::size_t entry) const
{
  return zone(scenario_ == DispatchScenario::skewed ? kSkewedEntryZones.at(entry) : entry % kZones);
}

ZoneId DispatchFleet::engineZone(std::size_t engine) const
{
  return zone(scenario_ == DispatchScenario::skewed ? kSkewedEngineZones.at(engine)
                                                    : engine % kZones);
}

void DispatchFleet::createEndpoints()
{
  const bool skewed = scenario_ == DispatchScenario::skewed;
  const auto engines = skewed ? kSkewedEngineZones.size() : kEngines;
  for (std::size_t i = 0; i < engines + kPlainEndpoints; ++i) {
    Backend backend;
    const bool engine = i < engines;
    KvEngineSizes sizes;
    sizes.slots = skewed ? kSkewedSlots : 48 + static_cast<int>(i % 3) * 8;
    sizes.kvCapacity = 430'000 + static_cast<std::int64_t>(i % 5) * 30'000;
    sizes.stride = 6;
    auto& record = backend.record;
    record.id = EndpointId((engine ? "engine" : "plain") + std::to_string(i));
    record.service = ServiceName(engine ? "model" : "plain");
    record.address = "10.0.0." + std::to_string(i) + ":80";
    record.zone = engine ? engineZone(i) : zone((i - engines) % kZones);
    record.slots = engine ? sizes.slots : kPlainSlots;
    record.startedAtMs = 1;
    if (engine) {
      backend.engine.emplace(sizes);
      backend.slowness = skewed && i % kSlowerEvery == 2 ? kSlower : 1;
    }
    backends_.push_back(std::move(backend));
  }
  publish();
}

void DispatchFleet::scheduleSickness()
{
  const auto set =
    [this](std::size_t backend, Sickness sickness, double slow, Duration from, Duration to) {
      time_.after(from, [=, this] {
        backends_[backend].sickness = sickness;
        backends_[backend].slowness = slow;
      });
      time_.after(to, [=, this] {
        auto& healed = backends_[backend];
        healed.sickness = Sickness::none;
        healed.slowness = 1;
        if (sickness == Sickness::dark && healed.engine) {
          healed.engine->crash();
          healed.stepping = false;
          ++healed.life;
        }
      });
    };
  if (scenario_ == DispatchScenario::grey) {
    set(0, Sickness::fails, 1, 10s, 45s);
    set(5, Sickness::hangs, 1, 10s, 45s);
    set(3, Sickness::sheds, 1, 50s, 85s);
    set(10, Sickness::none, kSlow, 50s, 85s);
    set(12, Sickness::fails, 1, 10s, 45s);
  }
  if (scenario_ == DispatchScenario::dark) {
    set(0, Sickness::dark, 1, 20s, 60s);
    set(1, Sickness::dark, 1, 20s, 60s);
    set(12, Sickness::dark, 1, 20s, 60s);
  }
}

void DispatchFleet::publish()
{
  std::vector<fleet::EndpointRecord> records;
  for (const auto& backend : backends_) {
    records.push_back(backend.record);
  }
  for (auto& policy : policies_) {
    policy->setEndpoints(time_.now(), records);
  }
}

DispatchFigures DispatchFleet::run()
{
  time_.after(kTick, [this] { tick(); });
  time_.after(kCrashExchange, [this] { exchangeCrashes(); });
  constexpr Duration kDrain = 20s;
  time_.runUntil(Time{ 0 } + kDispatchRun + kDrain);
  for (std::size_t i = 0; i < callers_.size(); ++i) {
    close(i);
  }
  return tally_.figures();
}

void DispatchFleet::begin(std::size_t index)
{
  auto& caller = callers_[index];
  const auto& parts = caller.request.work.parts;
  for (std::size_t i = 0; i + 1 < parts.size(); ++i) {
    tally_.sharedOffered(parts[i].tokens);
  }
  time_.after(caller.request.work.deadline - time_.now(), [this, index] { expire(index); });
  attempt(index);
}

void DispatchFleet::attempt(std::size_t index)
{
  auto& caller = callers_[index];
  const auto choice = policyOf(caller).choose(time_.now(), caller.request.work, caller.excluded);
  if (!choice) {
    caller.result.refused = !caller.wasSent;
    close(index);
    return;
  }
  ++caller.attempt;
  caller.inFlight = true;
  caller.answering = false;
  caller.connecting = false;
  caller.backend = backendOf(choice->endpoint);
  caller.excluded.push_back(choice->endpoint);
  const auto& work = caller.request.work;
  tally_.sent(crossesZones(caller),
              caller.wasSent,
              kKilobytesPerPromptToken * static_cast<double>(work.promptTokens));
  caller.wasSent = true;
  time_.after(hop(caller), [this, index, number = caller.attempt] { arrive(index, number); });
}

void DispatchFleet::arrive(std::size_t index, std::uint32_t number)
{
  if (!isCurrent(index, number)) {
    return;
  }
  const auto& caller = callers_[index];
  auto& backend = backends_[caller.backend];
  const auto way = hop(caller);
  const bool affected = random_.chance(kFailing);
  switch (backend.sickness) {
    case Sickness::dark:
      callers_[index].connecting = true;
      endAfter(kConnectTimeout, index, number, Outcome::notConnected);
      return;
    case Sickness::down:
      endAfter(way, index, number, Outcome::notConnected);
      return;
    case Sickness::fails:
      if (affected) {
        endAfter(way + 20ms, index, number, Outcome::serverError, loadOf(backend));
        return;
      }
      break;
    case Sickness::hangs:
      if (affected) {
        return;
      }
      break;
    case Sickness::sheds:
      if (affected) {
        endAfter(way, index, number, Outcome::notExecuted, loadOf(backend));
        return;
      }
      break;
    case Sickness::none:
      break;
  }
  if (backend.engine) {
    arriveAtEngine(index, number, backend);
  } else {
    arriveAtPlain(index, number, backend);
  }
}

void DispatchFleet::arriveAtPlain(std::size_t index, std::uint32_t number, Backend& backend)
{
  const auto& caller = callers_[index];
  if (backend.busy >= kPlainSlots) {
    endAfter(hop(caller), index, number, Outcome::notExecuted, loadOf(backend));
    return;
  }
  ++backend.busy;
  const auto length = Duration(static_cast<std::int64_t>(
    static_cast<double>(caller.request.plainTime.count()) * backend.slowness));
  time_.after(length, [this, index, number, place = caller.backend] {
    auto& served = backends_[place];
    const auto load = loadOf(served);
    --served.busy;
    if (!isCurrent(index, number) || served.sickness == Sickness::dark) {
      return;
    }
    time_.after(hop(callers_[index]),
                [this, index, number, load] { event(index, number, true, load); });
  });
}

void DispatchFleet::arriveAtEngine(std::size_t index, std::uint32_t number, Backend& backend)
{
  const auto& caller = callers_[index];
  const auto& work = caller.request.work;
  KvSequence sequence;
  sequence.request = index;
  sequence.attempt = number;
  sequence.priority = work.priority;
  sequence.parts = work.parts;
  sequence.keys = dispatch::prefixKeys(work);
  sequence.promptTokens = work.promptTokens;
  sequence.output = outputTokens(caller.request.kind, 6);
  if (!backend.engine->add(std::move(sequence))) {
    endAfter(hop(caller), index, number, Outcome::notExecuted, loadOf(backend));
    return;
  }
  if (caller.request.crashes) {
    time_.after(kCrashDelay, [this, place = caller.backend, life = backend.life] {
      if (backends_[place].life == life) {
        crash(place);
      }
    });
  }
  pump(caller.backend);
}

void DispatchFleet::pump(std::size_t place)
{
  auto& backend = backends_[place];
  if (backend.stepping || backend.sickness == Sickness::dark) {
    return;
  }
  const auto length = backend.engine->beginStep();
  for (const auto& part : backend.engine->takeReadParts()) {
    tally_.partRead(time_.now(), part.hash, part.tokens);
  }
  for (const auto key : backend.engine->takeUsedKeys()) {
    tally_.partUsed(time_.now(), key);
  }
  if (length == Duration(0)) {
    return;
  }
  backend.stepping = true;
  const auto slowed =
    Duration(static_cast<std::int64_t>(static_cast<double>(length.count()) * backend.slowness));
  time_.after(slowed, [this, place, life = backend.life] {
    auto& stepped = backends_[place];
    if (stepped.life != life) {
      return;
    }
    stepped.stepping = false;
    if (stepped.sickness == Sickness::dark) {
      return;
    }
    const auto load = loadOf(stepped);
    for (const auto& produced : stepped.engine->endStep()) {
      const auto& caller = callers_[produced.request];
      time_.after(hop(caller), [this, produced, load] {
        event(produced.request, produced.attempt, produced.done, load);
      });
    }
    pump(place);
  });
}

void DispatchFleet::event(std::size_t index,
                          std::uint32_t number,
                          bool done,
                          dispatch::LoadReport load)
{
  if (!isCurrent(index, number)) {
    return;
  }
  auto& caller = callers_[index];
  auto& policy = policyOf(caller);
  const auto now = time_.now();
  if (!caller.answering) {
    caller.answering = true;
    policy.load(now, backends_[caller.backend].record.id, load);
    policy.firstByte(now, caller.request.work.id);
  }
  policy.progress(now, caller.request.work.id, 6);
  if (caller.result.firstEvent < Duration(0)) {
    caller.result.firstEvent = now - caller.request.arrival;
  } else {
    caller.result.longestGap = std::max(caller.result.longestGap, now - caller.lastEvent);
  }
  caller.lastEvent = now;
  if (!done) {
    return;
  }
  if (crossesZones(caller)) {
    tally_.answeredAcross(kKilobytesPerOutputToken * outputTokens(caller.request.kind, 6));
  }
  caller.inFlight = false;
  caller.result.complete = true;
  policy.finished(now, caller.request.work.id, Outcome::answered);
  close(index);
}

void DispatchFleet::endAfter(Duration delay,
                             std::size_t index,
                             std::uint32_t number,
                             Outcome outcome,
                             std::optional<dispatch::LoadReport> load)
{
  time_.after(delay, [this, index, number, outcome, load] {
    if (!isCurrent(index, number)) {
      return;
    }
    auto& caller = callers_[index];
    if (load) {
      policyOf(caller).load(time_.now(), backends_[caller.backend].record.id, *load);
    }
    endAttempt(index, outcome);
  });
}

void DispatchFleet::endAttempt(std::size_t index, Outcome outcome)
{
  auto& caller = callers_[index];
  auto& backend = backends_[caller.backend];
  if (backend.engine) {
    backend.engine->cancel(index, caller.attempt);
  }
  caller.inFlight = false;
  policyOf(caller).finished(time_.now(), caller.request.work.id, outcome);
  if (mayRunAgain(caller.request.work, outcome)) {
    attempt(index);
  } else {
    close(index);
  }
}

void DispatchFleet::expire(std::size_t index)
{
  auto& caller = callers_[index];
  if (!caller.open) {
    return;
  }
  if (caller.inFlight) {
    caller.inFlight = false;
    auto& backend = backends_[caller.backend];
    if (backend.engine) {
      backend.engine->cancel(index, caller.attempt);
    }
    policyOf(caller).finished(time_.now(), caller.request.work.id, Outcome::timedOut);
  }
  close(index);
}

void DispatchFleet::close(std::size_t index)
{
  auto& caller = callers_[index];
  if (!caller.open) {
    return;
  }
  caller.open = false;
  policyOf(caller).forget(caller.request.work.id);
  if (!caller.request.crashes) {
    tally_.ended(caller.result);
    return;
  }
  // The caller of a crashing request sends it again through any entry process.
  if (caller.resends >= kResends) {
    return;
  }
  Caller again;
  again.request = caller.request;
  again.request.entry = random_.below(kEntries);
  again.request.work.id = callers_.size() + 1;
  again.request.arrival = time_.now() + kCallerPause;
  again.request.work.arrival = again.request.arrival;
  again.request.work.deadline = again.request.arrival + traitsOf(again.request.kind).timeout;
  again.result.kind = again.request.kind;
  again.resends = caller.resends + 1;
  callers_.push_back(std::move(again));
  time_.after(kCallerPause, [this, next = callers_.size() - 1] { begin(next); });
}

void DispatchFleet::crash(std::size_t place)
{
  auto& backend = backends_[place];
  tally_.crashed();
  backend.sickness = Sickness::down;
  backend.stepping = false;
  ++backend.life;
  for (const auto& lost : backend.engine->crash()) {
    endAfter(hop(callers_[lost.request]), lost.request, lost.attempt, Outcome::broken);
  }
  time_.after(kRestart, [this, place] { restart(place); });
}

void DispatchFleet::restart(std::size_t place)
{
  auto& backend = backends_[place];
  backend.sickness = Sickness::none;
  backend.slowness = 2;
  ++backend.record.startedAtMs;
  backend.record.warmupMs = std::chrono::duration_cast<std::chrono::milliseconds>(kWarmup).count();
  publish();
  time_.after(kWarmup, [this, place] { backends_[place].slowness = 1; });
}

void DispatchFleet::tick()
{
  for (auto& policy : policies_) {
    policy->tick(time_.now());
    for (const auto id : policy->takeStalled()) {
      const auto index = static_cast<std::size_t>(id - 1);
      auto& caller = callers_[index];
      const auto outcome = caller.connecting ? Outcome::notConnected : Outcome::timedOut;
      if (caller.inFlight && mayRunAgain(caller.request.work, outcome)) {
        endAttempt(index, outcome);
      }
    }
  }
  time_.after(kTick, [this] { tick(); });
}

void DispatchFleet::exchangeCrashes()
{
  for (auto& policy : policies_) {
    for (const auto fingerprint : policy->takeCrashes()) {
      for (auto& other : policies_) {
        if (other != policy) {
          other->addCrashes(time_.now(), fingerprint, 1);
        }
      }
    }
  }
  time_.after(kCrashExchange, [this] { exchangeCrashes(); });
}

std::size_t DispatchFleet::backendOf(const EndpointId& id) const
{
  const auto found = std::find_if(backends_.begin(), backends_.end(), [&](const Backend& backend) {
    return backend.record.id == id;
  });
  return static_cast<std::size_t>(found - backends_.begin());
}

bool DispatchFleet::isCurrent(std::size_t caller, std::uint32_t attempt) const
{
  return callers_[caller].inFlight && callers_[caller].attempt == attempt;
}

bool DispatchFleet::crossesZones(const Caller& caller) const
{
  return backends_[caller.backend].record.zone != entryZone(caller.request.entry);
}

Duration DispatchFleet::hop(const Caller& caller) const
{
  return crossesZones(caller) ? kHopAcross : kHopInside;
}

dispatch::LoadReport DispatchFleet::loadOf(const Backend& backend)
{
  if (!backend.engine) {
    return { backend.busy, 0, kPlainSlots };
  }
  return { backend.engine->running(), backend.engine->waiting(), backend.engine->slots() };
}

} // namespace figchute::measure
