#include "Simulation.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr Duration kProposalInterval{ 50'000 };
constexpr Duration kLogProposalInterval{ 5'000 };
constexpr Duration kOperatorInterval{ 200'000 };
constexpr Duration kFirstFaultDelay{ 3'000'000 };
/** Elections, snapshots and all membership steps complete well within this time. */
constexpr Duration kRecoveryTimeout{ 60'000'000 };
constexpr Duration kSettlingTime{ 3'000'000 };

int zoneCountOf(const std::string& deployment)
{
  return deployment == "goggle" ? 4 : 3;
}

Duration interZoneDelayOf(const std::string& deployment)
{
  return Duration(deployment == "goggle" ? 500 : 1000);
}

} // namespace

Simulation::Simulation(Options options)
  : options_(std::move(options))
  , zoneCount_(zoneCountOf(options_.deployment))
  , random_(options_.seed)
  , network_(schedule_, random_, interZoneDelayOf(options_.deployment))
  , operator_(controls_, tallies_.log)
  , workload_(entries_, schedule_, random_)
{
  addControls();
  if (options_.part == "all") {
    addEntries();
    addOperators();
    addTraffic();
  }
  callPeriodically(options_.part == "all" ? kProposalInterval : kLogProposalInterval,
                   [this] { propose(); });
  callPeriodically(kOperatorInterval, [this] { operator_.tick(); });
  schedule_.callAt(schedule_.now() + kFirstFaultDelay, [this] {
    breakInvariant();
    scheduleFault();
  });
}

void Simulation::checkHeld()
{
  std::map<BudgetId, Tokens> spendable;
  for (const auto& entry : entries_) {
    if (!entry->isRunning()) {
      continue;
    }
    for (const auto& account : entry->quotaManager().accounts()) {
      spendable[account.budget] += account.available + account.reserved;
    }
  }
  for (const auto& [budget, amount] : spendable) {
    tallies_.ledger.checkHeld(budget, amount);
  }
}

void Simulation::callPeriodically(Duration interval, std::function<void()> action)
{
  schedule_.callAt(schedule_.now() + interval, [this, interval, action = std::move(action)] {
    action();
    callPeriodically(interval, action);
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
  ControlProcess* currentLeader = leader();
  if (proposalsEnabled_ && currentLeader != nullptr) {
    const std::string padding(random_.below(300), 'x');
    currentLeader->propose(fmt::format("command {} {}", ++proposalCount_, padding));
  }
}

void Simulation::checkLeaders() const
{
  const ControlProcess* firstLeader = nullptr;
  for (const auto& process : controls_) {
    if (process->isLeader()) {
      require(firstLeader == nullptr,
              "one_leader: " + (firstLeader == nullptr ? "" : firstLeader->id().value) + " and " +
                process->id().value + " act as leader at the same time");
      firstLeader = process.get();
    }
  }
}

void Simulation::run()
{
  while (schedule_.stepCount() < options_.steps) {
    schedule_.step();
  }
  endFaults();
  const Time deadline = schedule_.now() + kRecoveryTimeout;
  while (schedule_.now() < deadline && !(operator_.isIdle() && leader() != nullptr)) {
    schedule_.step();
  }
  requestsEnabled_ = false;
  runUntil(schedule_.now() + kSettlingTime);
  checkRecovered();
}

bool Simulation::drainEntries()
{
  bool allDrained = true;
  for (auto& entry : entries_) {
    if (!drainStarted_) {
      entry->drain();
    }
    allDrained = allDrained && entry->quotaManager().isDrained();
  }
  drainStarted_ = true;
  return allDrained;
}

void Simulation::endFaults()
{
  faultsEnabled_ = false;
  network_.heal();
  network_.setFaults({});
  for (auto& process : controls_) {
    process->disk().clearFailure();
    if (!process->isRunning()) {
      process->start();
    }
  }
  for (auto& entry : entries_) {
    if (!entry->isRunning()) {
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
  require(operator_.isIdle(),
          "recovery: a membership step was not completed after all faults ended");
  ControlProcess* currentLeader = leader();
  require(currentLeader != nullptr, "recovery: no leader after all faults ended");
  const auto previousCount = tallies_.log.acknowledgedCount();
  runUntil(schedule_.now() + kSettlingTime);
  require(tallies_.log.acknowledgedCount() > previousCount, "recovery: no command was committed");
  const Time deadline = schedule_.now() + kRecoveryTimeout;
  while (!drainEntries()) {
    require(schedule_.now() < deadline, "recovery: a quota manager did not return its grants");
    runUntil(schedule_.now() + kSettlingTime);
  }
  proposalsEnabled_ = false;
  runUntil(schedule_.now() + kSettlingTime);
  // Control still proposes witness reports, so an entry may have just been acknowledged. Followers
  // are notified of it by the next heartbeat.
  const auto acknowledged = tallies_.log.lastAcknowledged();
  runUntil(schedule_.now() + kSettlingTime);
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
  std::uint64_t totalRestores = 0;
  for (const auto& process : controls_) {
    totalRestores += process->restoreCount();
  }
  return fmt::format(
    "seed={} deployment={} steps={} seconds={} messages={} entries={} "
    "acknowledged={} terms={} crashes={} disk_losses={} partitions={} "
    "membership_steps={} snapshots_received={} entry_crashes={} answers={} bookings={} "
    "documents={} hash={:016x}",
    options_.seed,
    options_.deployment,
    schedule_.stepCount(),
    (schedule_.now() - Schedule().now()).count() / 1'000'000,
    network_.deliveredCount(),
    tallies_.log.entryCount(),
    tallies_.log.acknowledgedCount(),
    tallies_.log.leaderCount(),
    counts_.crashes,
    counts_.diskLosses,
    counts_.partitions,
    operator_.completedCount(),
    totalRestores,
    counts_.entryCrashes,
    tallies_.ledger.answerCount(),
    tallies_.ledger.bookingCount(),
    tallies_.ledger.revision(),
    tallies_.log.hashAt(tallies_.log.entryCount()));
}

} // namespace figchute::simulation
