#include "Simulation.h"

namespace figchute::simulation {
namespace {

constexpr int kInitialVoters = 5;
constexpr int kControls = 7;
constexpr Duration kTick{ 10'000 };
constexpr int kEntries = 6;
constexpr int kDocumentOperators = 2;
constexpr Duration kRequestInterval{ 10'000 };
constexpr Duration kDocumentInterval{ 700'000 };
constexpr Duration kPollInterval{ 500'000 };
constexpr Duration kPeerInterval{ 250'000 };
constexpr Duration kReportInterval{ 1'000'000 };
constexpr Duration kHeldCheckInterval{ 100'000 };

} // namespace

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

} // namespace figchute::simulation
