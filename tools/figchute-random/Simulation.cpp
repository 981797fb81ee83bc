#include "Simulation.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr int kInitialVoters = 5;
constexpr int kControls = 7;
constexpr std::size_t kMinVoters = 3;
constexpr Duration kTick{ 10'000 };
constexpr Duration kProposalInterval{ 5'000 };
constexpr Duration kOperatorInterval{ 200'000 };
constexpr Duration kStart{ 3'000'000 };
/** Elections, snapshots and all membership steps end well within this time. */
constexpr Duration kRecovery{ 60'000'000 };
constexpr Duration kSettling{ 3'000'000 };

int zonesOf(const std::string& deployment)
{
  return deployment == "goggle" ? 4 : 3;
}

Duration delayOf(const std::string& deployment)
{
  return Duration(deployment == "goggle" ? 500 : 1000);
}

/** Turns every refused vote into a granted one. */
void grantEveryVote(Packet& packet)
{
  auto message = wire::decode<replication::Message>(packet.bytes);
  if (packet.channel != wire::Channel::replication || !message) {
    return;
  }
  if (auto* reply = std::get_if<replication::VoteReply>(&*message)) {
    reply->granted = true;
    packet.bytes = wire::encode(*message);
  }
}

} // namespace

Simulation::Simulation(Options options)
  : options_(std::move(options))
  , zones_(zonesOf(options_.deployment))
  , random_(options_.seed)
  , network_(schedule_, random_, delayOf(options_.deployment))
  , operator_(controls_, tally_)
{
  addControls();
  every(kProposalInterval, [this] { propose(); });
  every(kOperatorInterval, [this] { operator_.tick(); });
  schedule_.add(schedule_.now() + kStart, [this] {
    breakInvariant();
    scheduleFault();
  });
}

void Simulation::addControls()
{
  ControlSettings settings;
  for (int i = 0; i < kInitialVoters; ++i) {
    settings.initialMembers.push_back({ ProcessId("k" + std::to_string(i)), "" });
  }
  for (int i = 0; i < kControls; ++i) {
    const ProcessId id("k" + std::to_string(i));
    controls_.push_back(
      std::make_unique<ControlProcess>(id, settings, schedule_, random_, network_, tally_));
    auto& process = *controls_.back();
    network_.addProcess(
      id, i % zones_, [&process](const Packet& packet) { process.receive(packet); });
    process.start();
    every(kTick, [this, &process] {
      process.tick();
      checkLeaders();
    });
  }
}

void Simulation::breakInvariant()
{
  BrokenParts broken;
  broken.committedEntry = options_.breakName == "committed_entry";
  broken.acknowledgedEntry = options_.breakName == "acknowledged_entry";
  controls_.front()->setBroken(broken);
  if (options_.breakName == "one_leader") {
    network_.setTamper(grantEveryVote);
  }
  for (auto& process : controls_) {
    process->setBroken(broken);
    process->disk().setIgnoreSync(options_.breakName == "sync");
  }
}

void Simulation::every(Duration interval, std::function<void()> action)
{
  schedule_.add(schedule_.now() + interval, [this, interval, action = std::move(action)] {
    action();
    every(interval, action);
  });
}

ControlProcess* Simulation::leader()
{
  for (auto& process : controls_) {
    if (process->isLeader()) {
      return process.get();
    }
  }
  return nullptr;
}

void Simulation::propose()
{
  ControlProcess* process = leader();
  if (proposing_ && process != nullptr) {
    const std::string size(random_.below(300), 'x');
    process->propose(fmt::format("command {} {}", ++proposals_, size));
  }
}

void Simulation::scheduleFault()
{
  const Duration wait(random_.between(20'000, 1'000'000));
  schedule_.add(schedule_.now() + wait, [this] {
    if (faults_) {
      injectFault();
      scheduleFault();
    }
  });
}

void Simulation::injectFault()
{
  switch (random_.below(12)) {
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
    default:
      changeMembers();
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

void Simulation::restartLater(ControlProcess& process)
{
  const Duration wait(random_.between(50'000, 4'000'000));
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
  const auto* member = tally_.members().find(process.id());
  if (!operator_.idle() || member == nullptr || tally_.members().voterCount() <= kMinVoters) {
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
  const auto* member = tally_.members().find(process.id());
  if (member == nullptr) {
    operator_.add(process.id());
  } else if (tally_.members().voterCount() > kMinVoters) {
    operator_.remove(process.id());
  }
}

void Simulation::checkLeaders() const
{
  const ControlProcess* first = nullptr;
  for (const auto& process : controls_) {
    if (process->isLeader()) {
      require(first == nullptr,
              "one_leader: " + (first == nullptr ? "" : first->id().value) + " and " +
                process->id().value + " act as leader at the same time");
      first = process.get();
    }
  }
}

void Simulation::run()
{
  while (schedule_.steps() < options_.steps) {
    schedule_.step();
  }
  endFaults();
  const Time limit = schedule_.now() + kRecovery;
  while (schedule_.now() < limit && !(operator_.idle() && leader() != nullptr)) {
    schedule_.step();
  }
  runUntil(schedule_.now() + kSettling);
  checkRecovered();
}

void Simulation::endFaults()
{
  faults_ = false;
  network_.heal();
  network_.setFaults({});
  for (auto& process : controls_) {
    if (!process->running()) {
      process->start();
    }
  }
}

void Simulation::runUntil(Time end)
{
  while (schedule_.now() < end) {
    schedule_.step();
  }
}

void Simulation::checkRecovered()
{
  require(operator_.idle(), "recovery: a membership step was not completed after all faults ended");
  ControlProcess* last = leader();
  require(last != nullptr, "recovery: no leader after all faults ended");
  const auto before = tally_.acknowledgedCount();
  runUntil(schedule_.now() + kSettling);
  require(tally_.acknowledgedCount() > before, "recovery: no command was committed");
  proposing_ = false;
  runUntil(schedule_.now() + kSettling);
  for (const auto& member : tally_.members().members) {
    tally_.checkComplete(member.id.process);
  }
}

std::string Simulation::summary() const
{
  std::uint64_t restores = 0;
  for (const auto& process : controls_) {
    restores += process->restores();
  }
  return fmt::format("seed={} deployment={} steps={} seconds={} messages={} entries={} "
                     "acknowledged={} terms={} crashes={} disk_losses={} partitions={} "
                     "membership_steps={} snapshots_received={} hash={:016x}",
                     options_.seed,
                     options_.deployment,
                     schedule_.steps(),
                     (schedule_.now() - Schedule().now()).count() / 1'000'000,
                     network_.delivered(),
                     tally_.size(),
                     tally_.acknowledgedCount(),
                     tally_.leaderCount(),
                     counts_.crashes,
                     counts_.diskLosses,
                     counts_.partitions,
                     operator_.completed(),
                     restores,
                     tally_.hashAt(tally_.size()));
}

} // namespace figchute::simulation
