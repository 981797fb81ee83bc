#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "dispatch/dispatch.h"
#include "dispatch/PromptCacheModel.h"
#include "figchute-measure/KvEngine.h"
#include "figchute-measure/VirtualTime.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <numbers>
#include <string>
#include <unordered_set>
#include <vector>

using namespace figchute;
using namespace figchute::dispatch;
using namespace std::chrono_literals;
using measure::KvEngine;

namespace {

constexpr std::size_t kChoosers = 68;
constexpr std::size_t kEngines = 90;
constexpr std::size_t kWorkspaces = 24;
constexpr int kSlots = 64;
constexpr std::int64_t kKvCapacity = 358'220;
constexpr int kTokensPerEvent = 6;
constexpr std::array<double, 3> kSpeeds{ 0.6, 1.0, 1.6 };
constexpr double kSlowdown = 2.5;
constexpr double kSlowShare = 0.15;
constexpr Duration kSlowDuration = 600ms;
constexpr Duration kReportInterval = 100ms;
/** A step without prefill is shorter than this on an engine of mean speed. */
constexpr Duration kLongestDecodeStep = 8ms;
constexpr Duration kHop = 500us;
constexpr Duration kTick = 100ms;
constexpr Duration kMaxPause = 500ms;
constexpr Duration kCallerTimeout = 5s;
constexpr Duration kStart = 14s;
constexpr Duration kEnd = 20s;
/** Exponent of the sizes of the workspaces and of the shares of the choosers. */
constexpr double kSkew = 1.2;
/** Exponent of the popularity of the subjects that requests share, as in figchute-measure. */
constexpr double kSubjectSkew = 0.7;
const ServiceName kModel("model");

/** A kind of request of deployment D. */
struct Kind
{
  const char* name;
  double perSecond;
  Duration target;
  int priority;
  int events;
  std::size_t subjects;
  std::int64_t commonTokens;
  std::int64_t subjectTokens;
  std::int64_t ownTokens;
  /** Standard deviation of the logarithm of the own tokens. */
  double ownTokensSigma;
  std::int64_t maxOwnTokens;
};

const std::array<Kind, 3> kKinds{ {
  { "review", 94, 1000ms, 2, 64, 70, 482, 4'900, 6'610, 0.75, 54'600 },
  { "hint", 168, 600ms, 1, 49, 200, 98, 100, 628, 0.52, 3'310 },
  { "verdict", 144, 600ms, 5, 4, 120, 168, 400, 1'800, 0.43, 6'870 },
} };

/** Figures of one run. */
struct Figures
{
  /** Mean over time of the load of the busiest engine divided by the mean load. */
  double busiest = 0;
  /** The same for loads that are averaged over a second. */
  double busiestSecond = 0;
  double meanLoad = 0;
  /** Share of the time in which the engines prefill prompts. */
  double utilization = 0;
  std::array<double, kKinds.size()> lateShares{};
  /** Share of the requests whose stream paused for more than 500 ms. */
  std::array<double, kKinds.size()> pausedShares{};
  /** Share of the shared tokens that were prefilled. */
  double sharedPrefilled = 0;
  double preemptionsPerSecond = 0;
  std::size_t refused = 0;
  std::array<double, kKinds.size()> offered{};
};

std::vector<double> powerLaw(std::size_t count, double exponent)
{
  std::vector<double> sums;
  double sum = 0;
  for (std::size_t i = 0; i < count; ++i) {
    sum += std::pow(static_cast<double>(i + 1), -exponent);
    sums.push_back(sum);
  }
  return sums;
}

std::size_t draw(Random& random, const std::vector<double>& sums)
{
  return static_cast<std::size_t>(
    std::upper_bound(sums.begin(), sums.end(), random.unit() * sums.back()) - sums.begin());
}

ZoneId zoneOf(std::size_t index)
{
  return ZoneId(std::string(1, static_cast<char>('a' + index % 3)));
}

/** 68 dispatchers without contact to each other and 90 engines. */
class Fleet
{
public:
  Fleet(bool evenLoad, double load, std::uint64_t seed)
    : random_(seed)
    , rateFactor_(load)
  {
    std::vector<fleet::EndpointRecord> records;
    for (std::size_t i = 0; i < kEngines; ++i) {
      measure::KvEngineSizes sizes;
      sizes.slots = kSlots;
      sizes.kvCapacityTokens = kKvCapacity;
      sizes.tokensPerEvent = kTokensPerEvent;
      sizes.prefillTokensPerMs = 48.2;
      sizes.baseStepMs = 2.6;
      engines_.emplace_back(sizes);
      engines_.back().speed = kSpeeds.at(i / 3 % kSpeeds.size());
      fleet::EndpointRecord record;
      record.id = EndpointId(fmt::format("engine{:02}", i));
      record.service = kModel;
      record.address = fmt::format("10.0.0.{}:80", i);
      record.zone = zoneOf(i);
      record.slots = kSlots;
      record.startedAtMs = 1;
      records.push_back(record);
    }
    fleet::ServiceSettings service;
    service.name = kModel;
    service.maxConnections = 64 * kChoosers;
    service.engine = fleet::EngineTraits{ kSlots, kKvCapacity, 100, kTokensPerEvent };
    for (std::size_t i = 0; i < kChoosers; ++i) {
      DispatcherSettings settings;
      settings.zone = zoneOf(i);
      settings.seed = seed * 1000 + i;
      settings.evenLoad = evenLoad;
      choosers_.push_back(std::make_unique<Dispatcher>(settings));
      choosers_.back()->setServices(now(), std::array{ service });
      choosers_.back()->setPeers(kChoosers);
      choosers_.back()->setEndpoints(now(), records);
    }
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      homes_.push_back(random_.below(kChoosers));
    }
  }

  Figures run()
  {
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      scheduleArrival(kind);
    }
    for (std::size_t i = 0; i < kEngines; ++i) {
      const auto phase = Duration(static_cast<std::int64_t>(random_.below(600'000)));
      time_.scheduleAfter(phase % kReportInterval, [this, i] { report(i); });
      time_.scheduleAfter(phase, [this, i] { changeSpeed(i); });
    }
    time_.scheduleAfter(kTick, [this] { tick(); });
    time_.scheduleAfter(kStart, [this] { sample(); });
    time_.runUntil(Time{ 0 } + kEnd);
    return figures();
  }

private:
  struct Engine
  {
    explicit Engine(const measure::KvEngineSizes& sizes)
      : engine(sizes)
    {
    }

    KvEngine engine;
    double speed = 1;
    bool slowed = false;
    bool stepping = false;
    LoadReport previousReport;
    LoadReport nextReport;
    Duration prefilling{};
    double secondLoad = 0;
  };

  struct Call
  {
    RequestInfo info;
    std::size_t kind = 0;
    std::size_t chooser = 0;
    std::size_t engine = 0;
    bool open = true;
    bool answering = false;
    bool paused = false;
    Time lastEventAt;
  };

  [[nodiscard]] Time now() const { return time_.now(); }
  [[nodiscard]] bool measuring() const { return now() >= Time{ 0 } + kStart; }

  void scheduleArrival(std::size_t kind)
  {
    const double rate = kKinds.at(kind).perSecond * rateFactor_;
    const auto wait =
      Duration(static_cast<std::int64_t>(-std::log(1 - random_.unit()) / rate * 1e6));
    time_.scheduleAfter(wait, [this, kind] {
      scheduleArrival(kind);
      startCall(kind);
    });
  }

  std::int64_t drawOwnTokens(const Kind& kind)
  {
    const double radius = std::sqrt(-2 * std::log(1 - random_.unit()));
    const double normal = radius * std::cos(2 * std::numbers::pi * random_.unit());
    const double sigma = kind.ownTokensSigma;
    const double median = static_cast<double>(kind.ownTokens) * std::exp(-sigma * sigma / 2);
    const auto tokens = static_cast<std::int64_t>(median * std::exp(sigma * normal));
    return std::clamp<std::int64_t>(tokens, 1, kind.maxOwnTokens);
  }

  void startCall(std::size_t kindIndex)
  {
    const auto& kind = kKinds.at(kindIndex);
    const auto workspace = draw(random_, workspaceSums_);
    Call call;
    call.kind = kindIndex;
    call.chooser = random_.chance(0.5) ? homes_[workspace] : draw(random_, chooserSums_);
    auto& info = call.info;
    info.id = calls_.size();
    info.service = kModel;
    info.kind = fleet::RouteKind::stream;
    info.priority = kind.priority;
    info.workspace = fmt::format("w{}", workspace);
    info.model = ModelName("m");
    info.arrival = now();
    info.deadline = now() + kCallerTimeout;
    info.target = kind.target;
    const auto subject = draw(random_, subjectSums_.at(kindIndex));
    const auto ownTokens = drawOwnTokens(kind);
    info.parts = { { kindIndex + 1, kind.commonTokens },
                   { (kindIndex + 1) * 1'000 + subject, kind.subjectTokens },
                   { 1'000'000 + info.id, ownTokens } };
    info.promptTokens = kind.commonTokens + kind.subjectTokens + ownTokens;
    const auto keys = prefixKeys(info);
    sharedKeys_.insert(keys.begin(), keys.end() - 1);
    const auto choice = choosers_[call.chooser]->choose(now(), info, {});
    if (measuring()) {
      ++offered_.at(kindIndex);
      sharedOffered_ += kind.commonTokens + kind.subjectTokens;
    }
    calls_.push_back(call);
    auto& stored = calls_.back();
    if (!choice) {
      choosers_[call.chooser]->forget(info.id);
      stored.open = false;
      refused_ += measuring() ? 1 : 0;
      countLate(stored);
      return;
    }
    stored.engine = static_cast<std::size_t>(std::stoul(choice->endpoint.value.substr(6)));
    time_.scheduleAfter(kHop, [this, id = info.id] { arrive(id); });
    time_.scheduleAfter(kCallerTimeout, [this, id = info.id] { timeOut(id); });
  }

  void arrive(std::size_t id)
  {
    const auto& call = calls_[id];
    auto& engine = engines_[call.engine];
    choosers_[call.chooser]->load(now(), idOf(call.engine), engine.previousReport);
    measure::KvSequence sequence;
    sequence.request = id;
    sequence.priority = call.info.priority;
    sequence.parts = call.info.parts;
    sequence.prefixKeys = prefixKeys(call.info);
    sequence.promptTokens = call.info.promptTokens;
    sequence.outputTokens = kKinds.at(call.kind).events * kTokensPerEvent;
    if (engine.engine.add(std::move(sequence))) {
      step(call.engine);
    } else {
      end(id, Outcome::notExecuted);
    }
  }

  void step(std::size_t index)
  {
    auto& engine = engines_[index];
    if (engine.stepping) {
      return;
    }
    const auto idle = engine.engine.beginStep();
    for (const auto& part : engine.engine.takePrefilledParts()) {
      sharedPrefilled_ += measuring() && sharedKeys_.contains(part.hash) ? part.tokens : 0;
    }
    engine.engine.takeUsedKeys();
    if (idle == Duration(0)) {
      return;
    }
    engine.stepping = true;
    const double factor = (engine.slowed ? kSlowdown : 1) / engine.speed;
    const auto duration =
      Duration(static_cast<std::int64_t>(static_cast<double>(idle.count()) * factor));
    engine.prefilling += measuring() && idle > kLongestDecodeStep ? duration : Duration(0);
    time_.scheduleAfter(duration, [this, index] {
      engines_[index].stepping = false;
      for (const auto& event : engines_[index].engine.endStep()) {
        handleEvent(event.request, event.isDone);
      }
      step(index);
    });
  }

  void handleEvent(std::size_t id, bool done)
  {
    auto& call = calls_[id];
    if (!call.open) {
      return;
    }
    auto& chooser = *choosers_[call.chooser];
    if (!call.answering) {
      call.answering = true;
      chooser.firstByte(now(), id);
      if (now() - call.info.arrival > call.info.target) {
        countLate(call);
      }
    }
    notePause(call);
    chooser.progress(now(), id, kTokensPerEvent);
    if (done) {
      end(id, Outcome::answered);
    }
  }

  void notePause(Call& call)
  {
    const bool isFirst = call.lastEventAt == Time{};
    if (!isFirst && !call.paused && now() - call.lastEventAt > kMaxPause &&
        call.info.arrival >= Time{ 0 } + kStart) {
      call.paused = true;
      ++paused_.at(call.kind);
    }
    call.lastEventAt = now();
  }

  void timeOut(std::size_t id)
  {
    auto& call = calls_[id];
    if (call.open) {
      if (!call.answering) {
        countLate(call);
      }
      engines_[call.engine].engine.cancel(id, 0);
      end(id, Outcome::timedOut);
    }
  }

  void end(std::size_t id, Outcome outcome)
  {
    auto& call = calls_[id];
    call.open = false;
    if (outcome == Outcome::notExecuted) {
      countLate(call);
    }
    choosers_[call.chooser]->finished(now(), id, outcome);
    choosers_[call.chooser]->forget(id);
  }

  void countLate(const Call& call)
  {
    if (call.info.arrival >= Time{ 0 } + kStart) {
      ++late_.at(call.kind);
    }
  }

  void report(std::size_t index)
  {
    auto& engine = engines_[index];
    engine.previousReport = engine.nextReport;
    engine.nextReport = { engine.engine.running(), engine.engine.waiting(), kSlots };
    time_.scheduleAfter(kReportInterval, [this, index] { report(index); });
  }

  void changeSpeed(std::size_t index)
  {
    engines_[index].slowed = random_.chance(kSlowShare);
    time_.scheduleAfter(kSlowDuration, [this, index] { changeSpeed(index); });
  }

  void tick()
  {
    for (auto& chooser : choosers_) {
      chooser->tick(now());
      chooser->takeStalled();
      chooser->takeEvents();
    }
    time_.scheduleAfter(kTick, [this] { tick(); });
  }

  void sample()
  {
    constexpr int kSamplesPerSecond = 50;
    double sum = 0;
    double largest = 0;
    for (auto& engine : engines_) {
      const double load = engine.engine.running() + engine.engine.waiting();
      sum += load;
      largest = std::max(largest, load);
      engine.secondLoad += load;
    }
    ratioSum_ += largest / (sum / kEngines);
    loadSum_ += sum / kEngines;
    if (++samples_ % kSamplesPerSecond == 0) {
      sum = 0;
      largest = 0;
      for (auto& engine : engines_) {
        sum += engine.secondLoad;
        largest = std::max(largest, engine.secondLoad);
        engine.secondLoad = 0;
      }
      secondRatioSum_ += largest / (sum / kEngines);
      ++seconds_;
    }
    time_.scheduleAfter(Duration(1'000'000 / kSamplesPerSecond), [this] { sample(); });
  }

  [[nodiscard]] Figures figures() const
  {
    Figures result;
    result.busiest = ratioSum_ / samples_;
    result.busiestSecond = secondRatioSum_ / seconds_;
    result.meanLoad = loadSum_ / samples_;
    std::uint64_t preemptions = 0;
    for (const auto& engine : engines_) {
      result.utilization += static_cast<double>(engine.prefilling.count()) /
                            static_cast<double>((kEnd - kStart).count()) / kEngines;
      preemptions += engine.engine.preemptionCount();
    }
    result.preemptionsPerSecond =
      static_cast<double>(preemptions) / std::chrono::duration<double>(kEnd).count();
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      result.lateShares.at(kind) = late_.at(kind) / std::max(offered_.at(kind), 1.0);
      result.pausedShares.at(kind) = paused_.at(kind) / std::max(offered_.at(kind), 1.0);
    }
    result.sharedPrefilled =
      static_cast<double>(sharedPrefilled_) / static_cast<double>(sharedOffered_);
    result.refused = refused_;
    result.offered = offered_;
    return result;
  }

  static EndpointId idOf(std::size_t engine)
  {
    return EndpointId(fmt::format("engine{:02}", engine));
  }

  measure::VirtualTime time_;
  Random random_;
  double rateFactor_;
  std::vector<double> workspaceSums_ = powerLaw(kWorkspaces, kSkew);
  std::vector<double> chooserSums_ = powerLaw(kChoosers, kSkew);
  std::array<std::vector<double>, kKinds.size()> subjectSums_{
    powerLaw(kKinds[0].subjects, kSubjectSkew),
    powerLaw(kKinds[1].subjects, kSubjectSkew),
    powerLaw(kKinds[2].subjects, kSubjectSkew)
  };
  std::vector<std::size_t> homes_;
  std::vector<Engine> engines_;
  std::vector<std::unique_ptr<Dispatcher>> choosers_;
  std::vector<Call> calls_;
  std::unordered_set<Fingerprint> sharedKeys_;
  std::array<double, kKinds.size()> offered_{};
  std::array<double, kKinds.size()> late_{};
  std::array<double, kKinds.size()> paused_{};
  std::int64_t sharedOffered_ = 0;
  std::int64_t sharedPrefilled_ = 0;
  std::size_t refused_ = 0;
  double ratioSum_ = 0;
  double secondRatioSum_ = 0;
  double loadSum_ = 0;
  int samples_ = 0;
  int seconds_ = 0;
};

std::string toString(const Figures& figures)
{
  std::string text =
    fmt::format("busiest {:.2f} ({:.2f} per second) of mean {:.1f}, utilization {:.2f}, late",
                figures.busiest,
                figures.busiestSecond,
                figures.meanLoad,
                figures.utilization);
  for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
    text += fmt::format(" {} {:.4f} (paused {:.4f})",
                        kKinds.at(kind).name,
                        figures.lateShares.at(kind),
                        figures.pausedShares.at(kind));
  }
  return text + fmt::format(", shared tokens prefilled {:.4f}, preemptions {:.1f}/s, refused {}",
                            figures.sharedPrefilled,
                            figures.preemptionsPerSecond,
                            figures.refused);
}

/** Returns the mean figures of the runs with three seeds. The shares of single runs differ by a
    fifth. */
Figures meanOverSeeds(bool evenLoad, double load)
{
  constexpr std::uint64_t kSeeds = 3;
  Figures result;
  const auto addTo = [](double& mean, double value) { mean += value / kSeeds; };
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    const auto figures = Fleet(evenLoad, load, seed).run();
    addTo(result.busiest, figures.busiest);
    addTo(result.busiestSecond, figures.busiestSecond);
    addTo(result.meanLoad, figures.meanLoad);
    addTo(result.utilization, figures.utilization);
    for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
      addTo(result.lateShares.at(kind), figures.lateShares.at(kind));
      addTo(result.pausedShares.at(kind), figures.pausedShares.at(kind));
      result.offered.at(kind) += figures.offered.at(kind);
    }
    addTo(result.sharedPrefilled, figures.sharedPrefilled);
    addTo(result.preemptionsPerSecond, figures.preemptionsPerSecond);
    result.refused += figures.refused;
  }
  return result;
}

/** Returns the mean of the shares of all kinds. */
double meanOf(const std::array<double, kKinds.size()>& shares)
{
  double sum = 0;
  for (const double share : shares) {
    sum += share;
  }
  return sum / kKinds.size();
}

/** Compares the figures at a load with the setting off and on. */
void compare(double load, double minUtilization, double maxUtilization, double maxBusiestRatio)
{
  const auto off = meanOverSeeds(false, load);
  const auto on = meanOverSeeds(true, load);
  MESSAGE("off: " << toString(off));
  MESSAGE("on:  " << toString(on));
  CHECK(off.utilization > minUtilization);
  CHECK(off.utilization < maxUtilization);
  CHECK(on.busiest < maxBusiestRatio * off.busiest);
  CHECK(on.busiestSecond < maxBusiestRatio * off.busiestSecond);
  CHECK(on.sharedPrefilled <= off.sharedPrefilled);
  CHECK(on.refused <= off.refused);
  CHECK(meanOf(on.lateShares) <= meanOf(off.lateShares));
  CHECK(meanOf(on.pausedShares) <= meanOf(off.pausedShares));
  for (std::size_t kind = 0; kind < kKinds.size(); ++kind) {
    // Two standard errors of the difference of two shares that are equal.
    const double share = off.lateShares.at(kind);
    const double tolerance = 2 * std::sqrt(2 * share * (1 - share) / off.offered.at(kind));
    CHECK(on.lateShares.at(kind) <= share + tolerance);
  }
}

} // namespace

TEST_CASE("evenLoad_enginesAtTwoThirdsOfCapacity_isMoreEvenAndNotLater")
{
  // Guards against choosers that overload the same engines because each of them knows the same old
  // loads, and against an even load that is paid for with shared prompt parts prefilled again.
  compare(2.2, 0.6, 0.8, 0.75);
}

TEST_CASE("evenLoad_ratesOfDeploymentD_isMoreEvenAndNotLater")
{
  // Guards against a choice that is only more even while all engines have queues. With five
  // requests per engine, the busiest of 90 would have 2.5 times the mean by chance alone.
  compare(1, 0.25, 0.4, 0.95);
}
