#include "Simulation.h"

namespace figchute::simulation {
namespace {

constexpr std::size_t kMinVoters = 3;

} // namespace

void Simulation::scheduleFault()
{
  const Duration wait(random_.between(20'000, 1'000'000) /
                      static_cast<std::int64_t>(options_.intensity));
  schedule_.add(schedule_.now() + wait, [this] {
    if (faults_) {
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
      crash(anyControl());
      break;
    case 3:
      if (random_.chance(0.3)) {
        crashAll();
      }
      break;
    case 4:
    case 5:
      partition();
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
      loseDisk();
      break;
    case 11:
      changeMembers();
      break;
    default:
      if (!entries_.empty()) {
        crashEntry();
      }
      break;
  }
}

void Simulation::crash(ControlProcess& process)
{
  if (!process.running()) {
    return;
  }
  ++counts_.crashes;
  if (random_.chance(0.5)) {
    process.crashDuringWrite(random_.below(8));
  } else {
    process.crash();
  }
  restartLater(process);
}

void Simulation::crashAll()
{
  for (auto& process : controls_) {
    if (process->running()) {
      ++counts_.crashes;
      process->crash();
      restartLater(*process);
    }
  }
}

void Simulation::crashEntry()
{
  EntryProcess& entry = *entries_[random_.below(entries_.size())];
  if (!entry.running()) {
    return;
  }
  ++counts_.entryCrashes;
  entry.crash();
  const Duration wait(random_.between(50'000, 6'000'000));
  schedule_.add(schedule_.now() + wait, [this, &entry] {
    if (!entry.running()) {
      startEntry(entry);
    }
  });
}

void Simulation::restartLater(ControlProcess& process)
{
  const Duration wait(random_.between(50'000, 4'000'000) /
                      static_cast<std::int64_t>(options_.intensity));
  schedule_.add(schedule_.now() + wait, [this, &process] {
    if (process.running()) {
      // The disk did not reach its failing operation, or another restart came first.
      process.crash();
    }
    process.start();
  });
}

void Simulation::partition()
{
  ++counts_.partitions;
  if (random_.chance(0.4)) {
    network_.isolate(anyControl().id());
    return;
  }
  const int zone = static_cast<int>(random_.below(static_cast<std::uint64_t>(zones_)));
  const bool oneWay = random_.chance(0.2);
  for (int other = 0; other < zones_; ++other) {
    if (other == zone) {
      continue;
    }
    network_.cutZones(zone, other);
    if (!oneWay) {
      network_.cutZones(other, zone);
    }
  }
}

void Simulation::loseDisk()
{
  // The log outlives the loss of one disk at a time; the next may follow right after a repair.
  ControlProcess& process = anyControl();
  const auto* member = tallies_.log.members().find(process.id());
  if (!operator_.idle() || member == nullptr || tallies_.log.members().voterCount() <= kMinVoters) {
    return;
  }
  ++counts_.diskLosses;
  process.loseDisk();
  process.start();
  operator_.repair(process.id());
}

void Simulation::changeMembers()
{
  if (!operator_.idle()) {
    return;
  }
  ControlProcess& process = anyControl();
  const auto* member = tallies_.log.members().find(process.id());
  if (member == nullptr) {
    operator_.add(process.id());
  } else if (tallies_.log.members().voterCount() > kMinVoters) {
    operator_.remove(process.id());
  }
}

} // namespace figchute::simulation
