#include "Simulation.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr Duration kProposalInterval{ 50'000 };
constexpr Duration kLogProposalInterval{ 5'000 };
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

} // namespace

Simulation::Simulation(Options options)
  : options_(std::move(options))
  , zones_(zonesOf(options_.deployment))
  , random_(options_.seed)
  , network_(schedule_, random_, delayOf(options_.deployment))
  , operator_(controls_, tallies_.log)
  , workload_(entries_, schedule_, random_)
{
  addControls();
  if (options_.part == "all") {
    addEntries();
    addOperators();
    addTraffic();
  }
  every(options_.part == "all" ? kProposalInterval : kLogProposalInterval, [this] { propose(); });
  every(kOperatorInterval, [this] { operator_.tick(); });
  schedule_.add(schedule_.now() + kStart, [this] {
    breakInvariant();
    scheduleFault();
  });
}

void Simulation::checkHeld()
{
  std::map<BudgetId, Tokens> spendable;
  for (const auto& entry : entries_) {
    if (!entry->running()) {
      continue;
    }
    for (const auto& account : entry->wallet().accounts()) {
      spendable[account.budget] += account.available + account.reserved;
    }
  }
  for (const auto& [budget, amount] : spendable) {
    tallies_.ledger.checkHeld(budget, amount);
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
  requesting_ = false;
  runUntil(schedule_.now() + kSettling);
  checkRecovered();
}

bool Simulation::drainEntries()
{
  bool drained = true;
  for (auto& entry : entries_) {
    if (!draining_) {
      entry->drain();
    }
    drained = drained && entry->wallet().drained();
  }
  draining_ = true;
  return drained;
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
  for (auto& entry : entries_) {
    if (!entry->running()) {
      startEntry(*entry);
    }
  }
  updatePeers();
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
  const auto before = tallies_.log.acknowledgedCount();
  runUntil(schedule_.now() + kSettling);
  require(tallies_.log.acknowledgedCount() > before, "recovery: no command was committed");
  const Time limit = schedule_.now() + kRecovery;
  while (!drainEntries()) {
    require(schedule_.now() < limit, "recovery: a wallet did not return its grants");
    runUntil(schedule_.now() + kSettling);
  }
  proposing_ = false;
  runUntil(schedule_.now() + kSettling);
  // Control still proposes reports of witnesses, so an entry can be acknowledged just now;
  // followers learn of it with the next heartbeat.
  const auto acknowledged = tallies_.log.lastAcknowledged();
  runUntil(schedule_.now() + kSettling);
  for (const auto& member : tallies_.log.members().members) {
    tallies_.log.checkComplete(member.id.process, acknowledged);
  }
  tallies_.ledger.checkSettled();
  for (const auto& entry : entries_) {
    require(entry->revision() == tallies_.ledger.revision(),
            "recovery: " + entry->id().value + " does not have the last document in force");
  }
}

std::string Simulation::summary() const
{
  std::uint64_t restores = 0;
  for (const auto& process : controls_) {
    restores += process->restores();
  }
  return fmt::format(
    "seed={} deployment={} steps={} seconds={} messages={} entries={} "
    "acknowledged={} terms={} crashes={} disk_losses={} partitions={} "
    "membership_steps={} snapshots_received={} entry_crashes={} answers={} bookings={} "
    "documents={} hash={:016x}",
    options_.seed,
    options_.deployment,
    schedule_.steps(),
    (schedule_.now() - Schedule().now()).count() / 1'000'000,
    network_.delivered(),
    tallies_.log.size(),
    tallies_.log.acknowledgedCount(),
    tallies_.log.leaderCount(),
    counts_.crashes,
    counts_.diskLosses,
    counts_.partitions,
    operator_.completed(),
    restores,
    counts_.entryCrashes,
    tallies_.ledger.answers(),
    tallies_.ledger.bookings(),
    tallies_.ledger.revision(),
    tallies_.log.hashAt(tallies_.log.size()));
}

} // namespace figchute::simulation
