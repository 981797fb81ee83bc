#include "Simulation.h"

#include <fmt/format.h>

namespace figchute::simulation {
namespace {

constexpr int kInitialVoters = 5;
constexpr int kControls = 7;
constexpr std::size_t kMinVoters = 3;
constexpr Duration kTick{ 10'000 };
constexpr int kEntries = 6;
constexpr int kDocumentOperators = 2;
constexpr Duration kProposalInterval{ 50'000 };
constexpr Duration kLogProposalInterval{ 5'000 };
constexpr Duration kRequestInterval{ 10'000 };
constexpr Duration kDocumentInterval{ 700'000 };
constexpr Duration kPollInterval{ 500'000 };
constexpr Duration kPeerInterval{ 250'000 };
constexpr Duration kReportInterval{ 1'000'000 };
constexpr Duration kHeldCheckInterval{ 100'000 };
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

/** Adds to the returned amount in every report of a wallet to control. */
void raiseReturned(Packet& packet)
{
  auto message = wire::decode<ledger::Message>(packet.bytes);
  if (packet.channel != wire::Channel::ledger || !message) {
    return;
  }
  auto* propose = std::get_if<ledger::Propose>(&*message);
  auto command = propose == nullptr ? Expected<ledger::Command>(fail(ErrorKind::codecError, ""))
                                    : wire::decode<ledger::Command>(propose->command);
  auto* settle = command ? std::get_if<ledger::Settle>(&*command) : nullptr;
  if (settle != nullptr) {
    for (auto& totals : settle->totals) {
      totals.returned += Tokens{ 1 };
    }
    propose->command = wire::encode(*command);
    packet.bytes = wire::encode(*message);
  }
}

} // namespace

std::vector<std::string> breakNames()
{
  return { "committed_entry", "acknowledged_entry", "one_leader",  "sync", "overspend", "one_bill",
           "one_run",         "revision",           "conservation" };
}

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

void Simulation::addControls()
{
  ControlSettings settings;
  for (int i = 0; i < kInitialVoters; ++i) {
    settings.initialMembers.push_back({ ProcessId("k" + std::to_string(i)), "" });
  }
  for (int i = 0; i < kControls; ++i) {
    const ProcessId id("k" + std::to_string(i));
    controls_.push_back(
      std::make_unique<ControlProcess>(id, settings, schedule_, random_, network_, tallies_));
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

void Simulation::addEntries()
{
  for (int i = 0; i < kEntries; ++i) {
    const ProcessId id("e" + std::to_string(i));
    const bool hasDisk = i % 3 == 0;
    entries_.push_back(
      std::make_unique<EntryProcess>(id, hasDisk, schedule_, random_, network_, tallies_.ledger));
    auto& entry = *entries_.back();
    network_.addProcess(id, i % zones_, [&entry](const Packet& packet) { entry.receive(packet); });
    every(kTick, [&entry] { entry.tick(); });
    every(kPollInterval, [this, &entry] { entry.poll(anyControl().id()); });
  }
  for (auto& entry : entries_) {
    startEntry(*entry);
  }
}

void Simulation::addOperators()
{
  std::vector<ProcessId> controls;
  for (const auto& process : controls_) {
    controls.push_back(process->id());
  }
  for (int i = 0; i < kDocumentOperators; ++i) {
    const ProcessId id("o" + std::to_string(i));
    documentOperators_.push_back(
      std::make_unique<DocumentOperator>(id, schedule_, random_, network_));
    auto& documents = *documentOperators_.back();
    documents.setControls(controls);
    network_.addProcess(
      id, i % zones_, [&documents](const Packet& packet) { documents.receive(packet); });
    every(kTick, [&documents] { documents.tick(); });
    every(kDocumentInterval, [this, &documents] {
      if (requesting_) {
        documents.act();
      }
    });
  }
}

void Simulation::addTraffic()
{
  every(kRequestInterval, [this] {
    if (requesting_) {
      workload_.sendRequest();
    }
  });
  every(kPeerInterval, [this] { updatePeers(); });
  every(kHeldCheckInterval, [this] { checkHeld(); });
  every(kReportInterval, [this] {
    for (auto& process : controls_) {
      process->requestReports();
    }
  });
}

std::vector<ledger::Peer> Simulation::peersOf(const ProcessId& process) const
{
  std::vector<ledger::Peer> peers;
  const auto add = [&](const HolderId& id, bool entry, bool running) {
    const ZoneId zone("z" + std::to_string(network_.zoneOf(id.process)));
    const bool cut = network_.isCut(process, id.process) || network_.isCut(id.process, process);
    peers.push_back({ id, zone, entry, !entry, running && !cut });
  };
  for (const auto& entry : entries_) {
    add(entry->holder(), true, entry->running());
  }
  for (const auto& control : controls_) {
    add(control->holder(), false, control->running());
  }
  return peers;
}

void Simulation::updatePeers()
{
  for (auto& entry : entries_) {
    if (entry->retired() && !draining_) {
      entry->crash();
      startEntry(*entry);
    } else if (entry->running()) {
      entry->updatePeers([this](const ProcessId& id) { return peersOf(id); });
    }
  }
}

void Simulation::startEntry(EntryProcess& entry)
{
  entry.start([this](const ProcessId& id) { return peersOf(id); });
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

void Simulation::breakInvariant()
{
  BrokenParts broken;
  broken.committedEntry = options_.breakName == "committed_entry";
  broken.acknowledgedEntry = options_.breakName == "acknowledged_entry";
  if (options_.breakName == "one_leader") {
    network_.setTamper(grantEveryVote);
  }
  BrokenEntry brokenEntry;
  brokenEntry.overspend = options_.breakName == "overspend";
  brokenEntry.bill = options_.breakName == "one_bill";
  brokenEntry.run = options_.breakName == "one_run";
  brokenEntry.revision = options_.breakName == "revision";
  for (auto& entry : entries_) {
    entry->setBroken(brokenEntry);
  }
  if (options_.breakName == "conservation") {
    network_.setTamper(raiseReturned);
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
  for (const auto& member : tallies_.log.members().members) {
    tallies_.log.checkComplete(member.id.process);
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
