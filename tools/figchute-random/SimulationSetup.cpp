#include "Simulation.h"

namespace figchute::simulation {
namespace {

constexpr int kInitialVoters = 5;
constexpr int kControlCount = 7;
constexpr Duration kTickInterval{ 10'000 };
constexpr int kEntryCount = 6;
constexpr int kDocumentOperatorCount = 2;
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
  for (int i = 0; i < kControlCount; ++i) {
    const ProcessId id("k" + std::to_string(i));
    controls_.push_back(
      std::make_unique<ControlProcess>(id, settings, schedule_, random_, network_, tallies_));
    auto& process = *controls_.back();
    network_.addProcess(
      id, i % zoneCount_, [&process](const Packet& packet) { process.receive(packet); });
    process.start();
    callPeriodically(kTickInterval, [this, &process] {
      process.tick();
      checkLeaders();
    });
  }
}

void Simulation::addEntries()
{
  for (int i = 0; i < kEntryCount; ++i) {
    const ProcessId id("e" + std::to_string(i));
    const bool hasDisk = i % 3 == 0;
    entries_.push_back(
      std::make_unique<EntryProcess>(id, hasDisk, schedule_, random_, network_, tallies_.ledger));
    auto& entry = *entries_.back();
    network_.addProcess(
      id, i % zoneCount_, [&entry](const Packet& packet) { entry.receive(packet); });
    callPeriodically(kTickInterval, [&entry] { entry.tick(); });
    callPeriodically(kPollInterval, [this, &entry] { entry.pollDocuments(randomControl().id()); });
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
  for (int i = 0; i < kDocumentOperatorCount; ++i) {
    const ProcessId id("o" + std::to_string(i));
    documentOperators_.push_back(
      std::make_unique<DocumentOperator>(id, schedule_, random_, network_));
    auto& documentOperator = *documentOperators_.back();
    documentOperator.setControls(controls);
    network_.addProcess(id, i % zoneCount_, [&documentOperator](const Packet& packet) {
      documentOperator.receive(packet);
    });
    callPeriodically(kTickInterval, [&documentOperator] { documentOperator.tick(); });
    callPeriodically(kDocumentInterval, [this, &documentOperator] {
      if (requestsEnabled_) {
        documentOperator.sendChange();
      }
    });
  }
}

void Simulation::addTraffic()
{
  callPeriodically(kRequestInterval, [this] {
    if (requestsEnabled_) {
      workload_.sendRequest();
    }
  });
  callPeriodically(kPeerInterval, [this] { updatePeers(); });
  callPeriodically(kHeldCheckInterval, [this] { checkHeld(); });
  callPeriodically(kReportInterval, [this] {
    for (auto& process : controls_) {
      process->requestReports();
    }
  });
}

std::vector<ledger::Peer> Simulation::peersOf(const ProcessId& process) const
{
  std::vector<ledger::Peer> peers;
  const auto addPeer = [&](const HolderId& id, bool isEntry, bool isRunning) {
    const ZoneId zone("z" + std::to_string(network_.zoneOf(id.process)));
    const bool isBlocked =
      network_.isBlocked(process, id.process) || network_.isBlocked(id.process, process);
    peers.push_back({ id, zone, isEntry, !isEntry, isRunning && !isBlocked });
  };
  for (const auto& entry : entries_) {
    addPeer(entry->holder(), true, entry->isRunning());
  }
  for (const auto& control : controls_) {
    addPeer(control->holder(), false, control->isRunning());
  }
  return peers;
}

void Simulation::updatePeers()
{
  for (auto& entry : entries_) {
    if (entry->isRetired() && !drainStarted_) {
      entry->crash();
      startEntry(*entry);
    } else if (entry->isRunning()) {
      entry->updatePeers([this](const ProcessId& id) { return peersOf(id); });
    }
  }
}

void Simulation::startEntry(EntryProcess& entry)
{
  entry.start([this](const ProcessId& id) { return peersOf(id); });
}

} // namespace figchute::simulation
