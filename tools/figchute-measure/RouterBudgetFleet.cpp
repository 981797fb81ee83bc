#include "RouterBudgetFleet.h"

#include <algorithm>

namespace figchute::measure {
namespace {

constexpr Duration kTickInterval{ 10'000 };
/** One-way delay between two processes: mostly within a zone or between nearby zones, at times
    longer. */
constexpr std::int64_t kMinDelayMicros = 300;
constexpr std::int64_t kMaxFastDelayMicros = 2'500;
constexpr std::int64_t kMaxSlowDelayMicros = 12'000;
constexpr double kSlowDelayChance = 0.1;
/** Commit delay: a sync on a slow disk and the delay to a majority. */
constexpr std::int64_t kMinCommitDelayMicros = 2'000;
constexpr std::int64_t kMaxCommitDelayMicros = 9'000;
constexpr double kPacketLossRate = 0.001;

} // namespace

RouterBudgetFleet::RouterBudgetFleet(int holderCount, std::uint64_t seed, Time startTime)
  : random_(seed)
  , entryProcesses_(static_cast<std::size_t>(holderCount))
  , nextTickTime_(startTime)
{
  for (int holder = 0; holder < holderCount; ++holder) {
    this->startProcess(startTime, holder);
  }
}

ProcessId RouterBudgetFleet::processIdOf(int process)
{
  return ProcessId(std::to_string(process));
}

int RouterBudgetFleet::processIndexOf(const ProcessId& id)
{
  return std::stoi(id.value);
}

void RouterBudgetFleet::startProcess(Time now, int holder)
{
  auto& entryProcess = entryProcesses_[static_cast<std::size_t>(holder)];
  const HolderId self{ processIdOf(holder), entryProcess.incarnation };
  const ZoneId zone(std::to_string(holder % 3));
  entryProcess.quotaManager =
    std::make_unique<ledger::QuotaManager>(ledger::routerQuotaSettings(self, zone));
  entryProcess.isConfigured = false;
  entryProcess.isDraining = false;
  distributeConfiguration(now);
}

void RouterBudgetFleet::distributeConfiguration(Time now)
{
  // Processes receive configurations and their list of peers from control.
  if (isControlPartitioned_) {
    return;
  }
  std::vector<ledger::Peer> peers;
  for (int holder = 0; holder < holderCount(); ++holder) {
    const auto& entryProcess = entryProcesses_[static_cast<std::size_t>(holder)];
    const ZoneId zone(std::to_string(holder % 3));
    const bool isLive = entryProcess.quotaManager != nullptr;
    peers.push_back(
      { { processIdOf(holder), entryProcess.incarnation }, zone, true, false, isLive });
  }
  peers.push_back(
    { { processIdOf(controlIndex()), Incarnation{ 1 } }, ZoneId("0"), false, true, true });
  for (auto& entryProcess : entryProcesses_) {
    if (entryProcess.quotaManager) {
      entryProcess.quotaManager->setPeers(now, peers);
      entryProcess.quotaManager->setBudgets(now, budgets_);
      entryProcess.isConfigured = !budgets_.empty();
    }
  }
}

void RouterBudgetFleet::setPrepaidBudgets(Time now, std::vector<ledger::PrepaidBudget> budgets)
{
  budgets_ = std::move(budgets);
  control_.setPrepaid(budgets_);
  distributeConfiguration(now);
}

void RouterBudgetFleet::send(Time now,
                             int from,
                             const ledger::OutgoingMessage& outgoing,
                             Duration extraDelay)
{
  const auto recipient = processIndexOf(outgoing.to);
  auto encodedMessage = wire::encode(outgoing.message);
  ++traffic_.messages;
  traffic_.bytes += encodedMessage.size();
  const bool involvesControl = from == controlIndex() || recipient == controlIndex();
  if ((involvesControl ? isControlPartitioned_ : areEntriesPartitioned_) ||
      random_.chance(kPacketLossRate)) {
    return;
  }
  const auto maxDelayMicros =
    random_.chance(kSlowDelayChance) ? kMaxSlowDelayMicros : kMaxFastDelayMicros;
  const auto delay = Duration(random_.between(kMinDelayMicros, maxDelayMicros)) + extraDelay;
  packetsInFlight_.emplace(now + delay, Packet{ from, recipient, std::move(encodedMessage) });
}

void RouterBudgetFleet::sendOutgoing(Time now, int process)
{
  if (process == controlIndex()) {
    for (const auto& outgoing : control_.takeOutgoing()) {
      send(now, process, outgoing);
    }
    return;
  }
  const auto& entryProcess = entryProcesses_[static_cast<std::size_t>(process)];
  if (!entryProcess.quotaManager) {
    return;
  }
  for (const auto& outgoing : entryProcess.quotaManager->takeOutgoing()) {
    send(now, process, outgoing);
  }
}

void RouterBudgetFleet::deliver(Time now, const Packet& packet)
{
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  if (!message) {
    return;
  }
  if (packet.to != controlIndex()) {
    const auto& entryProcess = entryProcesses_[static_cast<std::size_t>(packet.to)];
    if (entryProcess.quotaManager) {
      entryProcess.quotaManager->receive(now, processIdOf(packet.from), *message);
      sendOutgoing(now, packet.to);
    }
    return;
  }
  if (const auto* propose = std::get_if<ledger::Propose>(&*message)) {
    const auto result = control_.applyEncoded(++traffic_.commands, now, propose->command);
    const ledger::ProposeReply reply{
      propose->proposalId, true, processIdOf(controlIndex()), result.value_or(std::string()), {}
    };
    const Duration commitDelay(random_.between(kMinCommitDelayMicros, kMaxCommitDelayMicros));
    send(now, controlIndex(), { processIdOf(packet.from), reply }, commitDelay);
  }
  sendOutgoing(now, controlIndex());
}

void RouterBudgetFleet::stopDrainedProcesses(Time now)
{
  for (int holder = 0; holder < holderCount(); ++holder) {
    const auto& entryProcess = entryProcesses_[static_cast<std::size_t>(holder)];
    if (entryProcess.quotaManager && entryProcess.isDraining &&
        entryProcess.quotaManager->isDrained()) {
      crash(now, holder, entryProcess.restartDelay);
    }
  }
}

void RouterBudgetFleet::advance(Time now)
{
  while (!packetsInFlight_.empty() && packetsInFlight_.begin()->first <= now) {
    const auto deliveryTime = packetsInFlight_.begin()->first;
    const auto packet = packetsInFlight_.begin()->second;
    packetsInFlight_.erase(packetsInFlight_.begin());
    deliver(deliveryTime, packet);
  }
  while (!pendingRestarts_.empty() && pendingRestarts_.begin()->first <= now) {
    startProcess(now, pendingRestarts_.begin()->second);
    pendingRestarts_.erase(pendingRestarts_.begin());
  }
  sendOutgoing(now, controlIndex());
  for (; nextTickTime_ <= now; nextTickTime_ = nextTickTime_ + kTickInterval) {
    for (int holder = 0; holder < holderCount(); ++holder) {
      const auto& entryProcess = entryProcesses_[static_cast<std::size_t>(holder)];
      if (entryProcess.quotaManager) {
        entryProcess.quotaManager->tick(nextTickTime_);
      }
    }
    stopDrainedProcesses(nextTickTime_);
  }
  for (int holder = 0; holder < holderCount(); ++holder) {
    sendOutgoing(now, holder);
  }
}

void RouterBudgetFleet::crash(Time now, int holder, Duration restartDelay)
{
  auto& entryProcess = entryProcesses_[static_cast<std::size_t>(holder)];
  entryProcess.quotaManager.reset();
  ++entryProcess.incarnation.number;
  pendingRestarts_.emplace(now + restartDelay, holder);
  distributeConfiguration(now);
}

void RouterBudgetFleet::drain(Time now, int holder, Duration restartDelay)
{
  auto& entryProcess = entryProcesses_[static_cast<std::size_t>(holder)];
  entryProcess.isDraining = true;
  entryProcess.restartDelay = restartDelay;
  entryProcess.quotaManager->drain(now);
}

void RouterBudgetFleet::setPartition(Time now, bool fromControl, bool fromEachOther)
{
  isControlPartitioned_ = fromControl;
  areEntriesPartitioned_ = fromEachOther;
  distributeConfiguration(now);
}

bool RouterBudgetFleet::isServing(int holder) const
{
  const auto& entryProcess = entryProcesses_[static_cast<std::size_t>(holder)];
  return entryProcess.quotaManager != nullptr && entryProcess.isConfigured &&
         !entryProcess.isDraining;
}

std::uint64_t RouterBudgetFleet::incarnationNumber(int holder) const
{
  return entryProcesses_[static_cast<std::size_t>(holder)].incarnation.number;
}

ledger::QuotaManager& RouterBudgetFleet::quotaManager(int holder)
{
  return *entryProcesses_[static_cast<std::size_t>(holder)].quotaManager;
}

std::vector<ledger::Decision> RouterBudgetFleet::takeDecisions(int holder)
{
  const auto& entryProcess = entryProcesses_[static_cast<std::size_t>(holder)];
  if (!entryProcess.quotaManager) {
    return {};
  }
  (void)entryProcess.quotaManager->takeRecordedCharges();
  return entryProcess.quotaManager->takeDecisions();
}

} // namespace figchute::measure
