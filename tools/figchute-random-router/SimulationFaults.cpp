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

/** Gives every endpoint in an update an earlier start. */
void ageEndpoints(Packet& packet)
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

/** Changes the text of every configuration in an update, but not its version. */
void changeConfiguration(Packet& packet)
{
  auto message = packet.channel == wire::Channel::fleet
                   ? wire::decode<fleet::Message>(packet.bytes)
                   : Expected<fleet::Message>(fail(ErrorKind::codecError, ""));
  auto* update = message ? std::get_if<fleet::FleetUpdate>(&*message) : nullptr;
  if (update != nullptr && update->configurationVersion > 0) {
    update->configuration += " ";
    packet.bytes = wire::encode(*message);
  }
}

} // namespace

ControlProcess& Simulation::anyControl()
{
  return *controls_[world_.random.below(controls_.size())];
}

void Simulation::startBreak()
{
  if (options_.breakName == "old_incarnation") {
    world_.network.setTamper(ageEndpoints);
  } else if (options_.breakName == "content") {
    world_.network.setTamper(changeConfiguration);
  } else if (options_.breakName == "lost_configuration") {
    // The disks ignore syncs; a power cut of all of them then loses what was acknowledged.
    world_.schedule.after(std::chrono::seconds(3), [this] {
      for (auto& control : controls_) {
        if (control->running()) {
          control->kill(true);
          restartControl(*control, std::chrono::seconds(1));
        }
      }
    });
  } else if (options_.breakName == "one_group") {
    // A process that founds a second group because it was told to bootstrap again.
    auto& control = *controls_.back();
    control.kill(true);
    control.wipe();
    control.setSeeds({ control.id() });
    control.start(true);
  }
}

void Simulation::scheduleFault()
{
  world_.schedule.after(span(100, 1800), [this] {
    if (!faults_) {
      return;
    }
    if (world_.schedule.now() >= quietUntil_) {
      injectFault();
    }
    scheduleFault();
  });
}

void Simulation::scheduleEndpointChange()
{
  world_.schedule.after(span(100, 2500), [this] {
    if (faults_) {
      disturbEndpoint();
      scheduleEndpointChange();
    }
  });
}

void Simulation::injectFault()
{
  ++counts_.faults;
  const auto choice = world_.random.below(100);
  if (choice < 12) {
    killControls();
  } else if (choice < 16) {
    spoilDisk();
  } else if (choice < 30) {
    killEntries();
  } else if (choice < 35) {
    stopEntry();
  } else if (choice < 43) {
    freezeSome();
  } else if (choice < 62) {
    partition();
  } else if (choice < 70) {
    disturbNetwork();
  } else if (choice < 95) {
    loseControl();
  } else {
    // A calm time, in which the group can be repaired and drains must be followed.
    quietUntil_ = world_.schedule.now() + span(3'000, 9'000);
  }
}

void Simulation::killControls()
{
  const bool powerLoss = world_.random.chance(0.6);
  const bool all = world_.random.chance(0.2);
  const auto single = anyControl().id();
  for (auto& control : controls_) {
    if (control->running() && (all || control->id() == single)) {
      ++counts_.controlKills;
      control->kill(powerLoss);
      restartControl(*control, span(50, 6'000));
    }
  }
}

void Simulation::restartControl(ControlProcess& process, Duration wait)
{
  world_.schedule.after(wait, [this, &process] {
    const bool replaced = world_.controls.count(process.id()) == 0;
    if (!replaced && !process.running()) {
      process.disk().clearFailure();
      process.start(false);
    }
  });
}

void Simulation::spoilDisk()
{
  auto& control = anyControl();
  if (!control.running()) {
    return;
  }
  control.disk().failAfterOperations(world_.random.below(8));
  const bool powerLoss = world_.random.chance(0.5);
  world_.schedule.after(span(300, 5'000), [this, &control, powerLoss] {
    if (!powerLoss) {
      control.disk().clearFailure();
    } else if (faults_ && control.running()) {
      ++counts_.controlKills;
      control.kill(true);
      restartControl(control, span(50, 3'000));
    }
  });
}

void Simulation::killEntries()
{
  const auto size = world_.random.below(10);
  const auto single = anyEntry().id();
  // All machines of one cause return at about the same time.
  const auto wait = span(100, 6'000);
  for (auto& entry : entries_) {
    const bool hit = size == 0 || (size < 3 ? world_.random.chance(0.5) : entry->id() == single);
    if (hit && entry->running()) {
      ++counts_.entryKills;
      entry->kill();
      restartEntry(*entry, wait + span(0, 500));
    }
  }
}

void Simulation::restartEntry(EntryProcess& entry, Duration wait)
{
  world_.schedule.after(wait, [&entry] {
    if (!entry.running()) {
      entry.start();
    }
  });
}

void Simulation::stopEntry()
{
  auto& entry = anyEntry();
  if (!entry.awake() || entry.stopping()) {
    return;
  }
  ++counts_.entryKills;
  entry.stop([this, &entry] { restartEntry(entry, span(100, 3'000)); });
}

void Simulation::freezeSome()
{
  ++counts_.freezes;
  const auto time = span(200, 6'000);
  if (world_.random.chance(0.5)) {
    auto& control = anyControl();
    if (control.awake()) {
      control.freeze(time);
    }
  } else {
    auto& entry = anyEntry();
    if (entry.awake()) {
      entry.freeze(time);
    }
  }
}

void Simulation::partition()
{
  ++counts_.partitions;
  const auto time = span(300, 9'000);
  const auto kind = world_.random.below(6);
  const bool oneWay = world_.random.chance(0.3);
  if (kind == 0) {
    // All entry processes from control; they still reach each other.
    world_.network.cut(time, [oneWay](const ProcessId& from, const ProcessId& to) {
      return (isEntry(from) && isControl(to)) || (!oneWay && isControl(from) && isEntry(to));
    });
  } else if (kind == 1) {
    const int zone = static_cast<int>(world_.random.below(static_cast<std::uint64_t>(zones_)));
    world_.network.cut(time, [this, zone, oneWay](const ProcessId& from, const ProcessId& to) {
      const bool out = world_.network.zoneOf(from) == zone;
      const bool in = world_.network.zoneOf(to) == zone;
      return (out && !in) || (!oneWay && in && !out);
    });
  } else if (kind == 2) {
    // Two halves of the control processes, and of everything else.
    const auto salt = world_.random.next();
    const auto side = [salt](const ProcessId& id) {
      return (std::stoull("0" + id.value.substr(1)) * 2654435761U + salt) >> 7U & 1U;
    };
    world_.network.cut(time, [side](const ProcessId& from, const ProcessId& to) {
      return isControl(from) && isControl(to) && side(from) != side(to);
    });
  } else {
    // One process from all others.
    const ProcessId single = kind < 5 ? anyControl().id() : anyEntry().id();
    const bool incoming = world_.random.chance(0.5);
    world_.network.cut(
      time, [single, oneWay, incoming](const ProcessId& from, const ProcessId& to) {
        const bool both = !oneWay;
        return (from == single && (both || !incoming)) || (to == single && (both || incoming));
      });
  }
}

void Simulation::disturbNetwork()
{
  NetworkFaults faults;
  faults.loss = world_.random.chance(0.5) ? 0.01 * static_cast<double>(world_.random.below(25)) : 0;
  faults.duplication = 0.01 * static_cast<double>(world_.random.below(25));
  faults.longDelay =
    world_.random.chance(0.5) ? 0.01 * static_cast<double>(world_.random.below(15)) : 0;
  world_.network.setFaults(faults);
  world_.schedule.after(span(1'000, 8'000), [this] { world_.network.setFaults({}); });
}

bool Simulation::controlsSettled() const
{
  const ControlProcess* leader = nullptr;
  for (const auto& control : controls_) {
    if (!control->awake() || control->node().log() == nullptr || !control->hasContact()) {
      return false;
    }
    leader = control->leads() ? control.get() : leader;
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

std::vector<ProcessId> Simulation::liveSeeds()
{
  std::vector<ProcessId> seeds;
  for (const auto& control : controls_) {
    if (seeds.size() < 3) {
      seeds.push_back(control->id());
    }
  }
  return seeds;
}

void Simulation::renewSeeds(const std::vector<ProcessId>& seeds, const ProcessId& gone)
{
  // Settings are brought up to date now and then; at the latest when no seed would be left.
  const auto renew = [&](auto& process) {
    const auto& known = process.seeds();
    const bool reaches = std::any_of(known.begin(), known.end(), [&](const ProcessId& seed) {
      return seed != gone && seed != process.id() && world_.controls.count(seed) > 0;
    });
    if (!reaches || world_.random.chance(0.4)) {
      process.setSeeds(seeds);
    }
  };
  for (auto& control : controls_) {
    renew(*control);
  }
  for (auto& entry : entries_) {
    renew(*entry);
  }
}

void Simulation::loseControl()
{
  // The log outlives the loss of one member at a time; the next may follow right after a repair.
  if (!controlsSettled()) {
    return;
  }
  const auto place = world_.random.below(controls_.size());
  auto& control = *controls_[place];
  ++counts_.controlKills;
  control.kill(world_.random.chance(0.5));
  if (world_.random.chance(0.5)) {
    ++counts_.wipes;
    control.wipe();
    restartControl(control, span(100, 4'000));
    return;
  }
  ++counts_.replacements;
  const auto gone = control.id();
  const int zone = world_.network.zoneOf(gone);
  world_.controls.erase(gone);
  formerControls_.push_back(std::move(controls_[place]));
  controls_.erase(controls_.begin() + static_cast<std::ptrdiff_t>(place));
  auto& successor = addControl(zone);
  const auto seeds = liveSeeds();
  successor.setSeeds(seeds);
  renewSeeds(seeds, gone);
  restartControl(successor, span(100, 4'000));
}

void Simulation::disturbEndpoint()
{
  auto& endpoint = *endpoints_[world_.random.below(endpoints_.size())];
  const auto kind = world_.random.below(10);
  if (!endpoint.running()) {
    return;
  }
  if (kind < 5 && !endpoint.draining()) {
    endpoint.drain();
    restartEndpoint(endpoint, span(4'000, 12'000));
  } else if (kind < 8) {
    endpoint.crash();
    restartEndpoint(endpoint, span(200, 9'000));
  } else {
    endpoint.setFailing(0.4);
    world_.schedule.after(span(1'000, 9'000), [&endpoint] { endpoint.setFailing(0); });
  }
}

void Simulation::restartEndpoint(EndpointProcess& endpoint, Duration wait)
{
  world_.schedule.after(wait, [this, &endpoint, wait] {
    if (endpoint.running()) {
      if (endpoint.draining()) {
        restartEndpoint(endpoint, wait);
      }
      return;
    }
    const bool sameId = !endpoint.id().empty() && world_.random.chance(0.5);
    endpoint.start(sameId ? EndpointId(endpoint.id())
                          : EndpointId(fmt::format("p{}", ++lastEndpoint_)));
  });
}

} // namespace figchute::simulation
