#include "Simulation.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::simulation {
namespace {

bool isControl(const ProcessId& id)
{
  return id.value.starts_with("c");
}

bool isEntry(const ProcessId& id)
{
  return id.value.starts_with("e");
}

/** Sets an earlier start time for every endpoint in an update. */
void moveStartTimesBack(Packet& packet)
{
  auto message = packet.channel == wire::Channel::fleet
                   ? wire::decode<fleet::Message>(packet.bytes)
                   : Expected<fleet::Message>(fail(ErrorKind::codecError, ""));
  auto* update = message ? std::get_if<fleet::FleetUpdate>(&*message) : nullptr;
  if (update == nullptr) {
    return;
  }
  for (auto& record : update->endpoints) {
    record.startedAtMs -= 100'000;
  }
  packet.bytes = wire::encode(*message);
}

/** Changes the text of the configuration in an update, but not its version. Makes subscribers
   refuse deltas, whose digest would reveal the change. */
void changeConfiguration(Packet& packet)
{
  auto message = packet.channel == wire::Channel::fleet
                   ? wire::decode<fleet::Message>(packet.bytes)
                   : Expected<fleet::Message>(fail(ErrorKind::codecError, ""));
  if (!message) {
    return;
  }
  if (auto* subscribe = std::get_if<fleet::Subscribe>(&*message)) {
    subscribe->acceptsDeltas = false;
  }
  auto* update = std::get_if<fleet::FleetUpdate>(&*message);
  if (update != nullptr && update->configurationVersion > 0) {
    update->configuration += " ";
  }
  packet.bytes = wire::encode(*message);
}

} // namespace

ControlProcess& Simulation::randomControl()
{
  return *controls_[world_.random.below(controls_.size())];
}

void Simulation::breakRule()
{
  if (options_.breakName == "old_incarnation") {
    world_.network.setPacketModifier(moveStartTimesBack);
  } else if (options_.breakName == "content") {
    world_.network.setPacketModifier(changeConfiguration);
  } else if (options_.breakName == "lost_configuration") {
    // The disks ignore syncs, so a power loss of all of them loses acknowledged configurations.
    world_.schedule.callAfter(std::chrono::seconds(3), [this] {
      for (auto& control : controls_) {
        if (control->isRunning()) {
          control->kill(true);
          restartControl(*control, std::chrono::seconds(1));
        }
      }
    });
  } else if (options_.breakName == "one_group") {
    // The process forms a second group because it is started with bootstrap again.
    auto& control = *controls_.back();
    control.kill(true);
    control.wipeDisk();
    control.setSeeds({ control.id() });
    control.start(true);
  }
}

void Simulation::scheduleFault()
{
  world_.schedule.callAfter(randomDuration(100, 1800), [this] {
    if (!faultsEnabled_) {
      return;
    }
    if (world_.schedule.now() >= noFaultsUntil_) {
      injectFault();
    }
    scheduleFault();
  });
}

void Simulation::scheduleEndpointChange()
{
  world_.schedule.callAfter(randomDuration(100, 2500), [this] {
    if (faultsEnabled_) {
      disruptEndpoint();
      scheduleEndpointChange();
    }
  });
}

void Simulation::injectFault()
{
  ++counts_.faults;
  const auto faultRoll = world_.random.below(100);
  if (faultRoll < 12) {
    killControls();
  } else if (faultRoll < 16) {
    failDisk();
  } else if (faultRoll < 30) {
    killEntries();
  } else if (faultRoll < 35) {
    stopEntry();
  } else if (faultRoll < 43) {
    freezeRandomProcess();
  } else if (faultRoll < 62) {
    partitionNetwork();
  } else if (faultRoll < 70) {
    degradeNetwork();
  } else if (faultRoll < 95) {
    wipeOrReplaceControl();
  } else {
    // A period without faults, in which the group can be repaired and drains must be observed.
    noFaultsUntil_ = world_.schedule.now() + randomDuration(3'000, 9'000);
    if (world_.random.chance(0.5)) {
      noRequestsUntil_ = noFaultsUntil_ + randomDuration(1'000, 3'000);
    }
  }
}

void Simulation::killControls()
{
  const bool losesPower = world_.random.chance(0.6);
  const bool killAll = world_.random.chance(0.2);
  const auto targetId = randomControl().id();
  for (auto& control : controls_) {
    if (control->isRunning() && (killAll || control->id() == targetId)) {
      ++counts_.controlKills;
      control->kill(losesPower);
      restartControl(*control, randomDuration(50, 6'000));
    }
  }
}

void Simulation::restartControl(ControlProcess& process, Duration delay)
{
  world_.schedule.callAfter(delay, [this, &process] {
    const bool isReplaced = world_.controls.count(process.id()) == 0;
    if (!isReplaced && !process.isRunning()) {
      process.disk().clearFailure();
      process.start(false);
    }
  });
}

void Simulation::failDisk()
{
  auto& control = randomControl();
  if (!control.isRunning()) {
    return;
  }
  control.disk().failAfterOperations(world_.random.below(8));
  const bool losesPower = world_.random.chance(0.5);
  world_.schedule.callAfter(randomDuration(300, 5'000), [this, &control, losesPower] {
    if (!losesPower) {
      control.disk().clearFailure();
    } else if (faultsEnabled_ && control.isRunning()) {
      ++counts_.controlKills;
      control.kill(true);
      restartControl(control, randomDuration(50, 3'000));
    }
  });
}

void Simulation::killEntries()
{
  const auto scope = world_.random.below(10);
  const auto targetId = randomEntry().id();
  // All machines that fail from the same cause restart at about the same time.
  const auto delay = randomDuration(100, 6'000);
  for (auto& entry : entries_) {
    const bool isAffected =
      scope == 0 || (scope < 3 ? world_.random.chance(0.5) : entry->id() == targetId);
    if (isAffected && entry->isRunning()) {
      ++counts_.entryKills;
      entry->kill();
      restartEntry(*entry, delay + randomDuration(0, 500));
    }
  }
}

void Simulation::restartEntry(EntryProcess& entry, Duration delay)
{
  world_.schedule.callAfter(delay, [&entry] {
    if (!entry.isRunning()) {
      entry.start();
    }
  });
}

void Simulation::stopEntry()
{
  auto& entry = randomEntry();
  if (!entry.isResponsive() || entry.isStopping()) {
    return;
  }
  ++counts_.entryKills;
  entry.stop([this, &entry] { restartEntry(entry, randomDuration(100, 3'000)); });
}

void Simulation::freezeRandomProcess()
{
  ++counts_.freezes;
  const auto duration = randomDuration(200, 6'000);
  if (world_.random.chance(0.5)) {
    auto& control = randomControl();
    if (control.isResponsive()) {
      control.freeze(duration);
    }
  } else {
    auto& entry = randomEntry();
    if (entry.isResponsive()) {
      entry.freeze(duration);
    }
  }
}

void Simulation::partitionNetwork()
{
  ++counts_.partitions;
  const auto duration = randomDuration(300, 9'000);
  const auto kind = world_.random.below(6);
  const bool isOneWay = world_.random.chance(0.3);
  if (kind == 0) {
    // Separates all entry processes from control; they can still reach each other.
    world_.network.addPartition(duration, [isOneWay](const ProcessId& from, const ProcessId& to) {
      return (isEntry(from) && isControl(to)) || (!isOneWay && isControl(from) && isEntry(to));
    });
  } else if (kind == 1) {
    const int zone = static_cast<int>(world_.random.below(static_cast<std::uint64_t>(zoneCount_)));
    world_.network.addPartition(
      duration, [this, zone, isOneWay](const ProcessId& from, const ProcessId& to) {
        const bool isFromZone = world_.network.zoneOf(from) == zone;
        const bool isToZone = world_.network.zoneOf(to) == zone;
        return (isFromZone && !isToZone) || (!isOneWay && isToZone && !isFromZone);
      });
  } else if (kind == 2) {
    // Splits the control processes into two halves.
    const auto salt = world_.random.next();
    const auto halfOf = [salt](const ProcessId& id) {
      return (std::stoull("0" + id.value.substr(1)) * 2654435761U + salt) >> 7U & 1U;
    };
    world_.network.addPartition(duration, [halfOf](const ProcessId& from, const ProcessId& to) {
      return isControl(from) && isControl(to) && halfOf(from) != halfOf(to);
    });
  } else {
    // Separates one process from all others.
    const ProcessId targetId = kind < 5 ? randomControl().id() : randomEntry().id();
    const bool blocksIncoming = world_.random.chance(0.5);
    world_.network.addPartition(
      duration, [targetId, isOneWay, blocksIncoming](const ProcessId& from, const ProcessId& to) {
        const bool bothWays = !isOneWay;
        return (from == targetId && (bothWays || !blocksIncoming)) ||
               (to == targetId && (bothWays || blocksIncoming));
      });
  }
}

void Simulation::degradeNetwork()
{
  NetworkFaults faults;
  faults.loss = world_.random.chance(0.5) ? 0.01 * static_cast<double>(world_.random.below(25)) : 0;
  faults.duplication = 0.01 * static_cast<double>(world_.random.below(25));
  faults.longDelay =
    world_.random.chance(0.5) ? 0.01 * static_cast<double>(world_.random.below(15)) : 0;
  world_.network.setFaults(faults);
  world_.schedule.callAfter(randomDuration(1'000, 8'000), [this] { world_.network.setFaults({}); });
}

bool Simulation::isControlGroupStable() const
{
  const ControlProcess* leader = nullptr;
  for (const auto& control : controls_) {
    if (!control->isResponsive() || control->node().log() == nullptr ||
        !control->hasLeaderContact()) {
      return false;
    }
    leader = control->isLeader() ? control.get() : leader;
  }
  if (leader == nullptr) {
    return false;
  }
  const auto& node = leader->node();
  for (const auto& control : controls_) {
    const auto* member = node.members().find(control->id());
    const auto* log = control->node().log();
    if (member == nullptr || !member->voter || member->id.diskId != log->diskId() ||
        control->node().members() != node.members()) {
      return false;
    }
  }
  return node.members().voterCount() == controls_.size();
}

std::vector<ProcessId> Simulation::selectSeeds()
{
  std::vector<ProcessId> seeds;
  for (const auto& control : controls_) {
    if (seeds.size() < 3) {
      seeds.push_back(control->id());
    }
  }
  return seeds;
}

void Simulation::updateSeeds(const std::vector<ProcessId>& seeds, const ProcessId& removedId)
{
  // Settings are updated occasionally, at the latest when no live seed would be left.
  const auto updateProcess = [&](auto& process) {
    const auto& currentSeeds = process.seeds();
    const bool hasLiveSeed =
      std::any_of(currentSeeds.begin(), currentSeeds.end(), [&](const ProcessId& seed) {
        return seed != removedId && seed != process.id() && world_.controls.count(seed) > 0;
      });
    if (!hasLiveSeed || world_.random.chance(0.4)) {
      process.setSeeds(seeds);
    }
  };
  for (auto& control : controls_) {
    updateProcess(*control);
  }
  for (auto& entry : entries_) {
    updateProcess(*entry);
  }
}

void Simulation::wipeOrReplaceControl()
{
  // The log survives the loss of one member at a time; the next loss may follow right after a
  // repair.
  if (!isControlGroupStable()) {
    return;
  }
  const auto index = world_.random.below(controls_.size());
  auto& control = *controls_[index];
  ++counts_.controlKills;
  control.kill(world_.random.chance(0.5));
  if (world_.random.chance(0.5)) {
    ++counts_.wipes;
    control.wipeDisk();
    restartControl(control, randomDuration(100, 4'000));
    return;
  }
  ++counts_.replacements;
  const auto removedId = control.id();
  const int zone = world_.network.zoneOf(removedId);
  world_.controls.erase(removedId);
  formerControls_.push_back(std::move(controls_[index]));
  controls_.erase(controls_.begin() + static_cast<std::ptrdiff_t>(index));
  auto& successor = addControl(zone);
  const auto seeds = selectSeeds();
  successor.setSeeds(seeds);
  updateSeeds(seeds, removedId);
  restartControl(successor, randomDuration(100, 4'000));
}

void Simulation::disruptEndpoint()
{
  auto& endpoint = *endpoints_[world_.random.below(endpoints_.size())];
  const auto kind = world_.random.below(10);
  if (!endpoint.isRunning()) {
    return;
  }
  if (kind < 5 && !endpoint.isDraining()) {
    endpoint.drain();
    restartEndpoint(endpoint, randomDuration(4'000, 12'000));
  } else if (kind < 8) {
    endpoint.crash();
    restartEndpoint(endpoint, randomDuration(200, 9'000));
  } else if (kind < 9) {
    endpoint.setFailureRatio(0.4);
    world_.schedule.callAfter(randomDuration(1'000, 9'000),
                              [&endpoint] { endpoint.setFailureRatio(0); });
  } else {
    disruptService(endpoint.service());
  }
}

void Simulation::disruptService(const ServiceName& service)
{
  // Repeats cannot help while all endpoints fail, so only the repeat budget limits them.
  const auto setFailureRatio = [this, service](double ratio) {
    for (auto& endpoint : endpoints_) {
      if (endpoint->service() == service) {
        endpoint->setFailureRatio(ratio);
      }
    }
  };
  setFailureRatio(0.8);
  world_.schedule.callAfter(randomDuration(1'000, 9'000),
                            [setFailureRatio] { setFailureRatio(0); });
}

void Simulation::restartEndpoint(EndpointProcess& endpoint, Duration delay)
{
  world_.schedule.callAfter(delay, [this, &endpoint, delay] {
    if (endpoint.isRunning()) {
      if (endpoint.isDraining()) {
        restartEndpoint(endpoint, delay);
      }
      return;
    }
    const bool keepsId = !endpoint.id().empty() && world_.random.chance(0.5);
    endpoint.start(keepsId ? EndpointId(endpoint.id())
                           : EndpointId(fmt::format("p{}", ++lastEndpoint_)));
  });
}

} // namespace figchute::simulation
