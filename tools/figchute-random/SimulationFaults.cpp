#include "Simulation.h"

namespace figchute::simulation {
namespace {

constexpr std::size_t kMinVoters = 3;

} // namespace

void Simulation::scheduleFault()
{
  const Duration delay(random_.between(20'000, 1'000'000) /
                       static_cast<std::int64_t>(options_.intensity));
  schedule_.callAt(schedule_.now() + delay, [this] {
    if (faultsEnabled_) {
      injectFault();
      scheduleFault();
    }
  });
}

void Simulation::injectFault()
{
  switch (random_.below(15)) {
    case 0:
    case 1:
    case 2:
      crashControl(randomControl());
      break;
    case 3:
      if (random_.chance(0.3)) {
        crashAllControls();
      }
      break;
    case 4:
    case 5:
      partitionNetwork();
      break;
    case 6:
    case 7:
      network_.heal();
      break;
    case 8:
      network_.setFaults({ random_.unit() * 0.2, random_.unit() * 0.2, random_.unit() * 0.1 });
      break;
    case 9:
      network_.setFaults({});
      break;
    case 10:
      wipeRandomDisk();
      break;
    case 11:
      changeMembership();
      break;
    default:
      if (!entries_.empty()) {
        crashEntry();
      }
      break;
  }
}

void Simulation::crashControl(ControlProcess& process)
{
  if (!process.isRunning()) {
    return;
  }
  ++counts_.crashes;
  if (random_.chance(0.5)) {
    process.crashDuringWrite(random_.below(8));
  } else {
    process.crash();
  }
  scheduleRestart(process);
}

void Simulation::crashAllControls()
{
  for (auto& process : controls_) {
    if (process->isRunning()) {
      ++counts_.crashes;
      process->crash();
      scheduleRestart(*process);
    }
  }
}

void Simulation::crashEntry()
{
  EntryProcess& entry = *entries_[random_.below(entries_.size())];
  if (!entry.isRunning()) {
    return;
  }
  ++counts_.entryCrashes;
  entry.crash();
  const Duration delay(random_.between(50'000, 6'000'000));
  schedule_.callAt(schedule_.now() + delay, [this, &entry] {
    if (!entry.isRunning()) {
      startEntry(entry);
    }
  });
}

void Simulation::scheduleRestart(ControlProcess& process)
{
  const Duration delay(random_.between(50'000, 4'000'000) /
                       static_cast<std::int64_t>(options_.intensity));
  schedule_.callAt(schedule_.now() + delay, [this, &process] {
    if (process.isRunning()) {
      if (!faultsEnabled_) {
        return;
      }
      // The disk has not reached its failing operation, or another restart ran first.
      process.crash();
    }
    process.start();
  });
}

void Simulation::partitionNetwork()
{
  ++counts_.partitions;
  if (random_.chance(0.4)) {
    network_.isolate(randomControl().id());
    return;
  }
  const int zone = static_cast<int>(random_.below(static_cast<std::uint64_t>(zoneCount_)));
  const bool isOneWay = random_.chance(0.2);
  for (int otherZone = 0; otherZone < zoneCount_; ++otherZone) {
    if (otherZone == zone) {
      continue;
    }
    network_.blockZones(zone, otherZone);
    if (!isOneWay) {
      network_.blockZones(otherZone, zone);
    }
  }
}

void Simulation::wipeRandomDisk()
{
  // The log survives the loss of one disk at a time; the next loss may follow right after a repair.
  ControlProcess& process = randomControl();
  const auto* member = tallies_.log.members().find(process.id());
  if (!operator_.isIdle() || member == nullptr ||
      tallies_.log.members().voterCount() <= kMinVoters) {
    return;
  }
  ++counts_.diskLosses;
  process.crashAndWipeDisk();
  process.start();
  operator_.repair(process.id());
}

void Simulation::changeMembership()
{
  if (!operator_.isIdle()) {
    return;
  }
  ControlProcess& process = randomControl();
  const auto* member = tallies_.log.members().find(process.id());
  if (member == nullptr) {
    operator_.add(process.id());
  } else if (tallies_.log.members().voterCount() > kMinVoters) {
    operator_.remove(process.id());
  }
}

} // namespace figchute::simulation
