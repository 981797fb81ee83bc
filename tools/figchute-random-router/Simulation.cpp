#include "Simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr int kEntryCount = 9;
constexpr int kWorkspaceCount = 4;
constexpr int kEngineSlots = 24;
constexpr int kPlainSlots = 6;
constexpr Duration kLeaderCheckInterval = std::chrono::milliseconds(50);
/** Time for the fleet to start before the first fault. */
constexpr Duration kFirstFaultDelay = std::chrono::seconds(4);
/** Time after the last fault within which all processes must have recovered. */
constexpr Duration kRecoveryTime = std::chrono::seconds(15);
/** Time after the last fault at which the operators send the last change. */
constexpr Duration kLastChangeDelay = std::chrono::seconds(9);
constexpr std::int64_t kLastRaiseTokens = 500'000;
constexpr Duration kProbeTime = std::chrono::seconds(10);

int zoneCountOf(const std::string& deployment)
{
  return deployment == "goggle" ? 4 : 3;
}

Duration interZoneDelayOf(const std::string& deployment)
{
  return Duration(deployment == "goggle" ? 500 : 1000);
}

} // namespace

std::vector<std::string> breakNames()
{
  return {
    "overspend", "revert",       "lost_configuration", "stale_read", "invalid",  "content",
    "one_group", "drained_work", "old_incarnation",    "repeats",    "recovery", "write_off"
  };
}

Simulation::Simulation(Options options)
  : options_(std::move(options))
  , zoneCount_(zoneCountOf(options_.deployment))
  , world_(options_, interZoneDelayOf(options_.deployment))
  , operators_(world_, kWorkspaceCount)
{
  addControls();
  addEntries();
  addEndpoints();
  operators_.start();
  callPeriodically(kLeaderCheckInterval, [this] { checkLeaders(); });
  scheduleRequest();
  world_.schedule.callAfter(kFirstFaultDelay, [this] {
    breakRule();
    scheduleFault();
    scheduleEndpointChange();
  });
}

Duration Simulation::randomDuration(std::int64_t minMs, std::int64_t maxMs)
{
  return Duration(world_.random.between(minMs * 1000, maxMs * 1000));
}

ControlProcess& Simulation::addControl(int zone)
{
  const ProcessId id("c" + std::to_string(++lastControl_));
  controls_.push_back(
    std::make_unique<ControlProcess>(world_, id, zone, randomDuration(1, 5'000'000)));
  world_.controls[id] = controls_.back().get();
  return *controls_.back();
}

void Simulation::addControls()
{
  const int controlCount = options_.deployment == "goggle" ? 5 : 3;
  for (int i = 0; i < controlCount; ++i) {
    addControl(i % zoneCount_);
  }
  const std::vector<ProcessId> seeds{ controls_[0]->id(), controls_[1]->id(), controls_[2]->id() };
  for (auto& control : controls_) {
    control->setSeeds(seeds);
    control->start(true);
  }
}

void Simulation::addEntries()
{
  for (int i = 0; i < kEntryCount; ++i) {
    const ProcessId id("e" + std::to_string(i + 1));
    entries_.push_back(
      std::make_unique<EntryProcess>(world_, id, i % zoneCount_, randomDuration(1, 5'000'000)));
    entries_.back()->setSeeds(controls_[0]->seeds());
    entries_.back()->start();
  }
}

void Simulation::addEndpoints()
{
  const bool isGoggle = options_.deployment == "goggle";
  const int engineEndpointCount = isGoggle ? 18 : 12;
  const int plainEndpointCount = isGoggle ? 4 : 3;
  for (int i = 0; i < engineEndpointCount + plainEndpointCount; ++i) {
    const bool isEngine = i < engineEndpointCount;
    endpoints_.push_back(
      std::make_unique<EndpointProcess>(world_,
                                        fmt::format("a{}", i + 1),
                                        i % zoneCount_,
                                        ServiceName(isEngine ? "chat" : "orders"),
                                        isEngine ? kEngineSlots : kPlainSlots,
                                        randomDuration(0, 4'000)));
    restartEndpoint(*endpoints_.back(), randomDuration(10, 1500));
  }
}

void Simulation::callPeriodically(Duration interval, std::function<void()> action)
{
  world_.schedule.callAfter(interval, [this, interval, action = std::move(action)] {
    action();
    callPeriodically(interval, action);
  });
}

void Simulation::checkLeaders() const
{
  std::vector<ProcessId> leaders;
  for (const auto& control : controls_) {
    if (control->isLeader()) {
      leaders.push_back(control->id());
    }
  }
  FleetTally::checkSingleLeader(leaders);
}

void Simulation::scheduleRequest()
{
  world_.schedule.callAfter(Duration(world_.random.between(1'000, 24'000)), [this] {
    if (!requestsEnabled_) {
      return;
    }
    if (world_.schedule.now() < noRequestsUntil_) {
      scheduleRequest();
      return;
    }
    CallerRequest request;
    const auto kind = world_.random.below(10);
    request.path = kind < 6 ? "/chat/a" : (kind < 8 ? "/orders/a" : "/stock/a");
    // One workspace sends more than all others together.
    const auto workspace =
      world_.random.chance(0.6) ? 1 : world_.random.between(1, kWorkspaceCount);
    request.workspace = "w" + std::to_string(workspace);
    request.promptTokens = world_.random.between(20, kind < 6 ? 400 : 60);
    request.maxOutputTokens = world_.random.between(6, 120);
    request.outputTokens = world_.random.between(1, request.maxOutputTokens);
    request.fingerprint = ++lastFingerprint_;
    request.crashesEndpoint = world_.random.chance(0.002);
    ++counts_.requests;
    sendRequest(request, 3);
    scheduleRequest();
  });
}

void Simulation::sendRequest(const CallerRequest& request, int attemptsLeft)
{
  auto& entry = randomEntry();
  CallerRequest attempt = request;
  attempt.onDone = [this, request, attemptsLeft](RequestOutcome outcome) {
    counts_.answered += outcome == RequestOutcome::answered ? 1 : 0;
    counts_.budgetRefusals += outcome == RequestOutcome::refusedByBudget ? 1 : 0;
    if (outcome != RequestOutcome::answered && attemptsLeft > 1) {
      world_.schedule.callAfter(randomDuration(50, 600), [this, request, attemptsLeft] {
        sendRequest(request, attemptsLeft - 1);
      });
    }
  };
  entry.receiveRequest(std::move(attempt));
}

void Simulation::run()
{
  while (world_.schedule.stepCount() < options_.steps) {
    world_.schedule.step();
  }
  endFaults();
  const Time faultsEndedAt = world_.schedule.now();
  runUntil(faultsEndedAt + kLastChangeDelay);
  operators_.raiseAllBudgets(kLastRaiseTokens);
  runUntil(faultsEndedAt + kRecoveryTime);
  checkRecovered();
  sendProbes();
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
  faultsEnabled_ = false;
  requestsEnabled_ = false;
  operators_.stopChanges();
  world_.network.heal();
  world_.network.setFaults({});
  for (auto& control : controls_) {
    control->disk().clearFailure();
    control->thaw();
    if (!control->isRunning()) {
      control->start(false);
    }
  }
  for (auto& entry : entries_) {
    entry->thaw();
    if (!entry->isRunning()) {
      entry->start();
    }
  }
  for (auto& endpoint : endpoints_) {
    endpoint->setFailureRatio(0);
  }
  if (options_.breakName == "recovery") {
    world_.network.addPartition(std::chrono::hours(1),
                                [](const ProcessId& from, const ProcessId& to) {
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
  const auto newestVersion = world_.tally.newestAcknowledgedVersion();
  require(world_.tally.newestAcknowledgedVersion() > 0,
          "recovery: no configuration was ever acknowledged");
  for (const auto& control : controls_) {
    const auto version = control->node().state().fleet().configuration.version();
    require(version >= newestVersion,
            fmt::format("recovery: {} has version {}, {} is acknowledged",
                        control->id().value,
                        version,
                        newestVersion));
    require(control->hasLeaderContact(), "recovery: " + control->id().value + " has no leader");
  }
  for (const auto& entry : entries_) {
    if (!entry->isRunning()) {
      continue;
    }
    require(entry->version() >= newestVersion,
            fmt::format("recovery: {} is acknowledged, but {}", newestVersion, entry->describe()));
  }
}

void Simulation::sendProbes()
{
  for (const auto& entry : entries_) {
    if (!entry->isRunning() || entry->isStopping()) {
      continue;
    }
    for (int i = 0; i <= kWorkspaceCount; ++i) {
      CallerRequest request;
      request.workspace = "w" + std::to_string(i % kWorkspaceCount + 1);
      request.path = i < kWorkspaceCount ? "/chat/a" : "/stock/a";
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
                           int attemptsLeft)
{
  auto attempt = request;
  attempt.onDone = [this, &entry, &probe, request, attemptsLeft](RequestOutcome outcome) {
    // The few endpoints of a plain service may all be full at the same time.
    if (outcome == RequestOutcome::refusedByDispatch && attemptsLeft > 1) {
      sendProbe(entry, probe, request, attemptsLeft - 1);
      return;
    }
    probe.isCompleted = true;
    probe.outcome = outcome;
  };
  world_.schedule.callAfter(randomDuration(100, 2500), [&entry, attempt = std::move(attempt)] {
    entry.receiveRequest(attempt);
  });
}

void Simulation::checkProbes() const
{
  for (const auto& probe : probes_) {
    require(probe->isCompleted && probe->outcome == RequestOutcome::answered,
            fmt::format("recovery: the request {} was not served: {}",
                        probe->name,
                        probe->isCompleted ? static_cast<int>(probe->outcome) : -1));
  }
}

std::string Simulation::summary() const
{
  return fmt::format(
    "seed={} deployment={} steps={} seconds={} messages={} faults={} control_kills={} wipes={} "
    "replacements={} entry_kills={} partitions={} freezes={} versions={} sent={} refused={} "
    "reads={} requests={} answered={} budget_refusals={} charges={} repeats={} most_repeats={} "
    "drains={} drain_checks={} retirement_checks={}",
    options_.seed,
    options_.deployment,
    world_.schedule.stepCount(),
    (world_.schedule.now() - Schedule().now()).count() / 1'000'000,
    world_.network.deliveredCount(),
    counts_.faults,
    counts_.controlKills,
    counts_.wipes,
    counts_.replacements,
    counts_.entryKills,
    counts_.partitions,
    counts_.freezes,
    world_.tally.newestAcknowledgedVersion(),
    operators_.sentCount(),
    operators_.refusedCount(),
    world_.tally.readCount(),
    counts_.requests,
    counts_.answered,
    counts_.budgetRefusals,
    world_.tally.chargeCount(),
    world_.tally.repeatCount(),
    world_.tally.maxRepeatCount(),
    world_.tally.drainCount(),
    world_.tally.drainCheckCount(),
    world_.tally.retirementCheckCount());
}

} // namespace figchute::simulation
