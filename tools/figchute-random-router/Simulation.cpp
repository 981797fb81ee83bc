#include "Simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr int kEntries = 9;
constexpr int kWorkspaces = 4;
constexpr int kEngineSlots = 24;
constexpr int kPlainSlots = 6;
constexpr Duration kLeaderCheck = std::chrono::milliseconds(50);
/** Time for the first start before the first fault. */
constexpr Duration kStart = std::chrono::seconds(4);
/** All processes must have recovered this long after the last fault. */
constexpr Duration kRecovery = std::chrono::seconds(15);
/** The operators put a last change in force this long after the last fault. */
constexpr Duration kLastChange = std::chrono::seconds(9);
constexpr std::int64_t kLastRaise = 500'000;
constexpr Duration kProbeTime = std::chrono::seconds(10);

int zonesOf(const std::string& deployment)
{
  return deployment == "goggle" ? 4 : 3;
}

Duration delayOf(const std::string& deployment)
{
  return Duration(deployment == "goggle" ? 500 : 1000);
}

} // namespace

std::vector<std::string> breakNames()
{
  return { "overspend", "revert",       "lost_configuration", "stale_read", "invalid", "content",
           "one_group", "drained_work", "old_incarnation",    "repeats",    "recovery" };
}

Simulation::Simulation(Options options)
  : options_(std::move(options))
  , zones_(zonesOf(options_.deployment))
  , world_(options_, delayOf(options_.deployment))
  , operators_(world_, kWorkspaces)
{
  addControls();
  addEntries();
  addEndpoints();
  operators_.begin();
  every(kLeaderCheck, [this] { checkLeaders(); });
  callLater();
  world_.schedule.after(kStart, [this] {
    startBreak();
    scheduleFault();
    scheduleEndpointChange();
  });
}

Duration Simulation::span(std::int64_t lowMs, std::int64_t highMs)
{
  return Duration(world_.random.between(lowMs * 1000, highMs * 1000));
}

ControlProcess& Simulation::addControl(int zone)
{
  const ProcessId id("c" + std::to_string(++lastControl_));
  controls_.push_back(std::make_unique<ControlProcess>(world_, id, zone, span(1, 5'000'000)));
  world_.controls[id] = controls_.back().get();
  return *controls_.back();
}

void Simulation::addControls()
{
  const int count = options_.deployment == "goggle" ? 5 : 3;
  for (int i = 0; i < count; ++i) {
    addControl(i % zones_);
  }
  const std::vector<ProcessId> seeds{ controls_[0]->id(), controls_[1]->id(), controls_[2]->id() };
  for (auto& control : controls_) {
    control->setSeeds(seeds);
    control->start(true);
  }
}

void Simulation::addEntries()
{
  for (int i = 0; i < kEntries; ++i) {
    const ProcessId id("e" + std::to_string(i + 1));
    entries_.push_back(
      std::make_unique<EntryProcess>(world_, id, i % zones_, span(1, 5'000'000), span(0, 2'000)));
    entries_.back()->setSeeds(controls_[0]->seeds());
    entries_.back()->start();
  }
}

void Simulation::addEndpoints()
{
  const bool goggle = options_.deployment == "goggle";
  const int engines = goggle ? 18 : 12;
  const int plain = goggle ? 4 : 3;
  for (int i = 0; i < engines + plain; ++i) {
    const bool engine = i < engines;
    endpoints_.push_back(std::make_unique<EndpointProcess>(world_,
                                                           fmt::format("a{}", i + 1),
                                                           i % zones_,
                                                           ServiceName(engine ? "chat" : "orders"),
                                                           engine ? kEngineSlots : kPlainSlots,
                                                           span(0, 4'000)));
    restartEndpoint(*endpoints_.back(), span(10, 1500));
  }
}

void Simulation::every(Duration interval, std::function<void()> action)
{
  world_.schedule.after(interval, [this, interval, action = std::move(action)] {
    action();
    every(interval, action);
  });
}

void Simulation::checkLeaders() const
{
  std::vector<ProcessId> leaders;
  for (const auto& control : controls_) {
    if (control->leads()) {
      leaders.push_back(control->id());
    }
  }
  FleetTally::leadersNow(leaders);
}

void Simulation::callLater()
{
  world_.schedule.after(Duration(world_.random.between(1'000, 24'000)), [this] {
    if (!requesting_) {
      return;
    }
    CallerRequest request;
    const auto kind = world_.random.below(10);
    request.path = kind < 6 ? "/chat/a" : (kind < 8 ? "/orders/a" : "/stock/a");
    // One workspace sends more than the others together.
    const auto workspace = world_.random.chance(0.6) ? 1 : world_.random.between(1, kWorkspaces);
    request.workspace = "w" + std::to_string(workspace);
    request.promptTokens = world_.random.between(20, kind < 6 ? 400 : 60);
    request.maxOutputTokens = world_.random.between(6, 120);
    request.outputTokens = world_.random.between(1, request.maxOutputTokens);
    request.fingerprint = ++lastFingerprint_;
    request.crashes = world_.random.chance(0.002);
    ++counts_.requests;
    sendRequest(request, 3);
    callLater();
  });
}

void Simulation::sendRequest(const CallerRequest& request, int tries)
{
  auto& entry = anyEntry();
  CallerRequest copy = request;
  copy.done = [this, request, tries](Answer answer) {
    counts_.answered += answer == Answer::answered ? 1 : 0;
    counts_.budgetRefusals += answer == Answer::refusedByBudget ? 1 : 0;
    if (answer != Answer::answered && tries > 1) {
      world_.schedule.after(span(50, 600),
                            [this, request, tries] { sendRequest(request, tries - 1); });
    }
  };
  entry.begin(std::move(copy));
}

void Simulation::run()
{
  while (world_.schedule.steps() < options_.steps) {
    world_.schedule.step();
  }
  endFaults();
  const Time end = world_.schedule.now();
  runUntil(end + kLastChange);
  operators_.raiseAll(kLastRaise);
  runUntil(end + kRecovery);
  checkRecovered();
  probe();
  runUntil(world_.schedule.now() + kProbeTime);
  checkProbes();
}

void Simulation::runUntil(Time end)
{
  while (world_.schedule.now() < end) {
    world_.schedule.step();
  }
}

void Simulation::endFaults()
{
  faults_ = false;
  requesting_ = false;
  operators_.end();
  world_.network.heal();
  world_.network.setFaults({});
  for (auto& control : controls_) {
    control->disk().clearFailure();
    control->thaw();
    if (!control->running()) {
      control->start(false);
    }
  }
  for (auto& entry : entries_) {
    entry->thaw();
    if (!entry->running()) {
      entry->start();
    }
  }
  for (auto& endpoint : endpoints_) {
    endpoint->setFailing(0);
  }
  if (options_.breakName == "recovery") {
    world_.network.cut(std::chrono::hours(1), [](const ProcessId& from, const ProcessId& to) {
      return from.value == "e2" || to.value == "e2";
    });
  }
}

std::string Simulation::describe() const
{
  std::string text;
  for (const auto& control : controls_) {
    text += control->describe() + "\n";
  }
  for (const auto& entry : entries_) {
    text += entry->describe() + "\n";
  }
  return text;
}

void Simulation::checkRecovered()
{
  const auto newest = world_.tally.newest();
  require(world_.tally.newest() > 0, "recovery: no configuration was ever acknowledged");
  for (const auto& control : controls_) {
    const auto version = control->node().state().fleet().configuration.version();
    require(
      version >= newest,
      fmt::format(
        "recovery: {} has version {}, {} is acknowledged", control->id().value, version, newest));
    require(control->hasContact(), "recovery: " + control->id().value + " has no leader");
  }
  for (const auto& entry : entries_) {
    if (!entry->running()) {
      continue;
    }
    require(entry->version() >= newest,
            fmt::format("recovery: {} is acknowledged, but {}", newest, entry->describe()));
  }
}

void Simulation::probe()
{
  for (const auto& entry : entries_) {
    if (!entry->running() || entry->stopping()) {
      continue;
    }
    for (int i = 0; i <= kWorkspaces; ++i) {
      CallerRequest request;
      request.workspace = "w" + std::to_string(i % kWorkspaces + 1);
      request.path = i < kWorkspaces ? "/chat/a" : "/stock/a";
      request.promptTokens = 40;
      request.maxOutputTokens = 12;
      request.outputTokens = 12;
      request.fingerprint = ++lastFingerprint_;
      auto& probe = *probes_.emplace_back(std::make_unique<Probe>());
      probe.name =
        fmt::format("{} of {} at {}", request.path, request.workspace, entry->id().value);
      sendProbe(*entry, probe, request, 2);
    }
  }
}

void Simulation::sendProbe(EntryProcess& entry,
                           Probe& probe,
                           const CallerRequest& request,
                           int tries)
{
  auto copy = request;
  copy.done = [this, &entry, &probe, request, tries](Answer answer) {
    // Few endpoints of a plain service may all be full at one moment.
    if (answer == Answer::refusedByDispatch && tries > 1) {
      sendProbe(entry, probe, request, tries - 1);
      return;
    }
    probe.answered = true;
    probe.answer = answer;
  };
  world_.schedule.after(span(100, 2500), [&entry, copy = std::move(copy)] { entry.begin(copy); });
}

void Simulation::checkProbes() const
{
  for (const auto& probe : probes_) {
    require(probe->answered && probe->answer == Answer::answered,
            fmt::format("recovery: the request {} was not served: {}",
                        probe->name,
                        probe->answered ? static_cast<int>(probe->answer) : -1));
  }
}

std::string Simulation::summary() const
{
  return fmt::format(
    "seed={} deployment={} steps={} seconds={} messages={} faults={} control_kills={} wipes={} "
    "replacements={} entry_kills={} partitions={} freezes={} versions={} sent={} refused={} "
    "reads={} requests={} answered={} budget_refusals={} charges={} repeats={} most_repeats={} "
    "drains={} drain_checks={}",
    options_.seed,
    options_.deployment,
    world_.schedule.steps(),
    (world_.schedule.now() - Schedule().now()).count() / 1'000'000,
    world_.network.delivered(),
    counts_.faults,
    counts_.controlKills,
    counts_.wipes,
    counts_.replacements,
    counts_.entryKills,
    counts_.partitions,
    counts_.freezes,
    world_.tally.newest(),
    operators_.sent(),
    operators_.refused(),
    world_.tally.reads(),
    counts_.requests,
    counts_.answered,
    counts_.budgetRefusals,
    world_.tally.charges(),
    world_.tally.repeats(),
    world_.tally.mostRepeats(),
    world_.tally.drains(),
    world_.tally.drainChecks());
}

} // namespace figchute::simulation
