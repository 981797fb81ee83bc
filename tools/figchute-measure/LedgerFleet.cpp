#include "LedgerFleet.h"

#include <algorithm>

namespace figchute::measure {
namespace {

constexpr Duration kTickInterval{ 10'000 };
constexpr Duration kPollInterval{ 500'000 };
constexpr Duration kReportInterval{ 1'000'000 };
constexpr Duration kInZoneDelay{ 200 };
constexpr Duration kMaxJitter{ 500 };
/** Time to sync a log entry to the disk of the leader. */
constexpr Duration kLogSyncTime{ 1000 };
constexpr double kPacketLossRate = 0.001;

} // namespace

FigchutePolicy::FigchutePolicy(const Deployment& deployment, std::uint64_t seed, Time startTime)
  : deployment_(deployment)
  , random_(seed)
  , controlWitness_(HolderId{ processIdOf(kControlVm), Incarnation{ 1 } })
  , entryVms_(kEntryVmCount)
  , nextTickTime_(startTime)
{
  for (int vm = 0; vm < kEntryVmCount; ++vm) {
    this->startVm(startTime, vm);
  }
  updatePeers(startTime);
}

int FigchutePolicy::zoneOf(int process) const
{
  return process == kControlVm ? 0 : process % deployment_.zoneCount;
}

ProcessId FigchutePolicy::processIdOf(int process)
{
  return ProcessId(std::string(1, static_cast<char>('a' + process)));
}

int FigchutePolicy::processIndexOf(const ProcessId& id)
{
  return id.value.front() - 'a';
}

void FigchutePolicy::startVm(Time /*now*/, int vm)
{
  auto& entryVm = entryVms_[static_cast<std::size_t>(vm)];
  ledger::QuotaSettings settings;
  settings.self = HolderId{ processIdOf(vm), entryVm.incarnation };
  settings.zone = ZoneId(std::to_string(zoneOf(vm)));
  entryVm.quotaManager = std::make_unique<ledger::QuotaManager>(settings);
  entryVm.witness = std::make_unique<ledger::Witness>(settings.self);
  entryVm.documentRevision = 0;
}

void FigchutePolicy::updatePeers(Time now)
{
  std::vector<ledger::Peer> peers;
  for (int vm = 0; vm < kEntryVmCount; ++vm) {
    const auto& entryVm = entryVms_[static_cast<std::size_t>(vm)];
    const ZoneId zone(std::to_string(zoneOf(vm)));
    const bool isLive = entryVm.quotaManager != nullptr;
    peers.push_back({ { processIdOf(vm), entryVm.incarnation }, zone, true, false, isLive });
  }
  peers.push_back(
    { { processIdOf(kControlVm), Incarnation{ 1 } }, ZoneId("0"), false, true, true });
  for (auto& entryVm : entryVms_) {
    if (entryVm.quotaManager) {
      entryVm.quotaManager->setPeers(now, peers);
    }
  }
}

void FigchutePolicy::applyPurchases(Time now, const std::vector<ledger::Purchase>& purchases)
{
  control_.apply(++commandIndex_,
                 now,
                 ledger::ApplyDocument{ TeamId("t"),
                                        documentVersion_,
                                        ChangeId("c" + std::to_string(documentVersion_)),
                                        "",
                                        purchases });
  ++documentVersion_;
}

void FigchutePolicy::send(Time now,
                          int from,
                          const ledger::OutgoingMessage& outgoing,
                          Duration extraDelay)
{
  const auto recipient = processIndexOf(outgoing.to);
  auto encodedMessage = wire::encode(outgoing.message);
  sentBytes_ += encodedMessage.size();
  const bool isSameZone = zoneOf(from) == zoneOf(recipient);
  const bool isPartitioned =
    !isSameZone && (zoneOf(from) == partitionedZone_ || zoneOf(recipient) == partitionedZone_);
  if (isPartitioned || random_.chance(kPacketLossRate)) {
    return;
  }
  const auto delay = (isSameZone ? kInZoneDelay : deployment_.crossZoneDelay) +
                     Duration(random_.between(0, kMaxJitter.count())) + extraDelay;
  packetsInFlight_.emplace(now + delay, Packet{ from, recipient, std::move(encodedMessage) });
}

void FigchutePolicy::sendOutgoing(Time now, int process)
{
  if (process == kControlVm) {
    for (const auto& outgoing : controlWitness_.takeOutgoing()) {
      send(now, kControlVm, outgoing);
    }
    for (const auto& outgoing : control_.takeOutgoing()) {
      if (outgoing.to != processIdOf(kControlVm)) {
        send(now, kControlVm, outgoing);
      }
    }
    return;
  }
  const auto& entryVm = entryVms_[static_cast<std::size_t>(process)];
  if (!entryVm.quotaManager) {
    return;
  }
  for (const auto& outgoing : entryVm.quotaManager->takeOutgoing()) {
    send(now, process, outgoing);
  }
  for (const auto& outgoing : entryVm.witness->takeOutgoing()) {
    send(now, process, outgoing);
  }
}

void FigchutePolicy::deliverToControl(Time now, int from, const ledger::Message& message)
{
  if (const auto* propose = std::get_if<ledger::Propose>(&message)) {
    const auto result = control_.applyEncoded(++commandIndex_, now, propose->command);
    // The reply is sent after the disk sync and after a majority in another zone has acknowledged.
    const auto commitDelay = kLogSyncTime + deployment_.crossZoneDelay * 2;
    send(now,
         kControlVm,
         { processIdOf(from),
           ledger::ProposeReply{ propose->proposalId,
                                 true,
                                 processIdOf(kControlVm),
                                 result.value_or(std::string()),
                                 {} } },
         commitDelay);
  }
  if (const auto* report = std::get_if<ledger::WitnessReport>(&message)) {
    control_.apply(++commandIndex_, now, ledger::ControlState::makeRetireCommand(*report));
  }
  if (const auto* poll = std::get_if<ledger::DocumentPoll>(&message)) {
    send(now, kControlVm, { processIdOf(from), control_.documentsSince(*poll) });
  }
  controlWitness_.receive(now, processIdOf(from), message);
}

void FigchutePolicy::deliver(Time now, const Packet& packet)
{
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  if (!message) {
    return;
  }
  if (packet.to == kControlVm) {
    deliverToControl(now, packet.from, *message);
  } else {
    auto& entryVm = entryVms_[static_cast<std::size_t>(packet.to)];
    if (!entryVm.quotaManager) {
      return;
    }
    if (const auto* push = std::get_if<ledger::DocumentPush>(&*message)) {
      entryVm.documentRevision = std::max(entryVm.documentRevision, push->revision);
    }
    entryVm.quotaManager->receive(now, processIdOf(packet.from), *message);
    entryVm.witness->receive(now, processIdOf(packet.from), *message);
  }
  sendOutgoing(now, packet.to);
}

void FigchutePolicy::runTimers(Time now)
{
  for (int vm = 0; vm < kEntryVmCount; ++vm) {
    const auto& entryVm = entryVms_[static_cast<std::size_t>(vm)];
    if (!entryVm.quotaManager) {
      continue;
    }
    entryVm.quotaManager->tick(now);
    // The VMs poll at different phases of the poll interval.
    const auto phase =
      kPollInterval.count() * vm / kEntryVmCount / kTickInterval.count() * kTickInterval.count();
    if ((now.micros - phase) % kPollInterval.count() == 0) {
      send(
        now, vm, { processIdOf(kControlVm), ledger::DocumentPoll{ entryVm.documentRevision, 0 } });
    }
    sendOutgoing(now, vm);
  }
  if (now.micros % kReportInterval.count() == 0) {
    for (const auto& request : control_.reportRequests()) {
      send(now, kControlVm, request);
    }
  }
}

void FigchutePolicy::advance(Time now)
{
  while (!packetsInFlight_.empty() && packetsInFlight_.begin()->first <= now) {
    const auto deliveryTime = packetsInFlight_.begin()->first;
    const auto packet = packetsInFlight_.begin()->second;
    packetsInFlight_.erase(packetsInFlight_.begin());
    deliver(deliveryTime, packet);
  }
  while (!pendingRestarts_.empty() && pendingRestarts_.begin()->first <= now) {
    startVm(now, pendingRestarts_.begin()->second);
    pendingRestarts_.erase(pendingRestarts_.begin());
    updatePeers(now);
  }
  while (nextTickTime_ <= now) {
    runTimers(nextTickTime_);
    nextTickTime_ = nextTickTime_ + kTickInterval;
  }
}

ledger::Decision FigchutePolicy::reserve(Time now,
                                         int vm,
                                         const RequestId& request,
                                         std::span<const BudgetId> budgets,
                                         Tokens bound)
{
  auto& entryVm = entryVms_[static_cast<std::size_t>(vm)];
  auto decision = entryVm.quotaManager->reserve(now, request, std::nullopt, budgets, bound);
  sendOutgoing(now, vm);
  return decision;
}

void FigchutePolicy::reduceReservation(Time now, int vm, const RequestId& request, Tokens bound)
{
  entryVms_[static_cast<std::size_t>(vm)].quotaManager->reduceReservation(now, request, bound);
  sendOutgoing(now, vm);
}

void FigchutePolicy::charge(Time now, int vm, const RequestId& request, Tokens actual)
{
  (void)entryVms_[static_cast<std::size_t>(vm)].quotaManager->charge(now, request, actual);
  sendOutgoing(now, vm);
}

std::vector<ledger::Decision> FigchutePolicy::takeDecisions(int vm)
{
  const auto& entryVm = entryVms_[static_cast<std::size_t>(vm)];
  return entryVm.quotaManager ? entryVm.quotaManager->takeDecisions()
                              : std::vector<ledger::Decision>();
}

std::vector<RequestId> FigchutePolicy::takeRecordedCharges(int vm)
{
  const auto& entryVm = entryVms_[static_cast<std::size_t>(vm)];
  return entryVm.quotaManager ? entryVm.quotaManager->takeRecordedCharges()
                              : std::vector<RequestId>();
}

void FigchutePolicy::crash(Time now, int vm, Duration restartDelay)
{
  auto& entryVm = entryVms_[static_cast<std::size_t>(vm)];
  entryVm.quotaManager.reset();
  entryVm.witness.reset();
  ++entryVm.incarnation.number;
  pendingRestarts_.emplace(now + restartDelay, vm);
  updatePeers(now);
}

void FigchutePolicy::setPartitionedZone(int zone)
{
  partitionedZone_ = zone;
}

Tokens FigchutePolicy::available(int vm, const BudgetId& budget) const
{
  const auto& entryVm = entryVms_[static_cast<std::size_t>(vm)];
  const auto account = entryVm.quotaManager ? entryVm.quotaManager->account(budget) : std::nullopt;
  return account ? account->available : Tokens{ 0 };
}

bool FigchutePolicy::hasLatestDocument(int vm) const
{
  return entryVms_[static_cast<std::size_t>(vm)].documentRevision == control_.revision();
}

bool FigchutePolicy::isRecovered(Tokens totalCharged) const
{
  Tokens settledTokens;
  for (const auto& budget : control_.budgets()) {
    settledTokens += budget.settled;
  }
  return settledTokens >= totalCharged && control_.unreclaimedTokens().empty();
}

EqualSplitPolicy::EqualSplitPolicy(const Deployment& deployment, std::uint64_t seed, Time startTime)
  : deployment_(deployment)
  , vmShares_(kEntryVmCount)
{
  Random random(seed);
  for (auto& vmShare : vmShares_) {
    vmShare.nextPollTime = startTime + Duration(random.between(0, kPollInterval.count()));
  }
}

void EqualSplitPolicy::applyPurchases(Time /*now*/, const std::vector<ledger::Purchase>& purchases)
{
  for (const auto& [budget, purchased] : purchases) {
    purchased_[budget] = purchased;
  }
  ++documentRevision_;
}

ledger::Decision EqualSplitPolicy::reserve(Time /*now*/,
                                           int vm,
                                           const RequestId& request,
                                           std::span<const BudgetId> budgets,
                                           Tokens bound)
{
  auto& vmShare = vmShares_[static_cast<std::size_t>(vm)];
  const bool isCovered = std::all_of(budgets.begin(), budgets.end(), [&](const BudgetId& budget) {
    return available(vm, budget) >= bound;
  });
  if (!isCovered) {
    return { request, ledger::ReserveStatus::refused, Error{ ErrorKind::budgetExhausted, "" } };
  }
  for (const auto& budget : budgets) {
    vmShare.usedTokens[budget] += bound;
  }
  vmShare.reservations[request] = { { budgets.begin(), budgets.end() }, bound };
  return { request, ledger::ReserveStatus::admitted, std::nullopt };
}

void EqualSplitPolicy::releaseTokens(VmShare& vmShare,
                                     const Reservation& reservation,
                                     Tokens amount)
{
  for (const auto& budget : reservation.budgets) {
    vmShare.usedTokens[budget] -= amount;
  }
}

void EqualSplitPolicy::reduceReservation(Time /*now*/,
                                         int vm,
                                         const RequestId& request,
                                         Tokens bound)
{
  auto& vmShare = vmShares_[static_cast<std::size_t>(vm)];
  auto& reservation = vmShare.reservations.at(request);
  releaseTokens(vmShare, reservation, reservation.bound - bound);
  reservation.bound = bound;
}

void EqualSplitPolicy::charge(Time /*now*/, int vm, const RequestId& request, Tokens actual)
{
  auto& vmShare = vmShares_[static_cast<std::size_t>(vm)];
  const auto reservation = vmShare.reservations.at(request);
  releaseTokens(vmShare, reservation, reservation.bound - actual);
  vmShare.reservations.erase(request);
  vmShare.recordedCharges.push_back(request);
}

std::vector<ledger::Decision> EqualSplitPolicy::takeDecisions(int /*vm*/)
{
  return {};
}

std::vector<RequestId> EqualSplitPolicy::takeRecordedCharges(int vm)
{
  return std::exchange(vmShares_[static_cast<std::size_t>(vm)].recordedCharges, {});
}

void EqualSplitPolicy::advance(Time now)
{
  for (int vm = 0; vm < kEntryVmCount; ++vm) {
    auto& vmShare = vmShares_[static_cast<std::size_t>(vm)];
    if (vmShare.nextPollTime > now) {
      continue;
    }
    vmShare.nextPollTime = vmShare.nextPollTime + kPollInterval;
    if (zoneOf(vm) != partitionedZone_) {
      vmShare.purchased = purchased_;
      vmShare.documentRevision = documentRevision_;
    }
  }
}

void EqualSplitPolicy::crash(Time /*now*/, int vm, Duration /*restartDelay*/)
{
  auto& vmShare = vmShares_[static_cast<std::size_t>(vm)];
  for (const auto& [request, reservation] : std::exchange(vmShare.reservations, {})) {
    releaseTokens(vmShare, reservation, reservation.bound);
  }
}

void EqualSplitPolicy::setPartitionedZone(int zone)
{
  partitionedZone_ = zone;
}

Tokens EqualSplitPolicy::available(int vm, const BudgetId& budget) const
{
  const auto& vmShare = vmShares_[static_cast<std::size_t>(vm)];
  const auto purchasedIt = vmShare.purchased.find(budget);
  const auto usedIt = vmShare.usedTokens.find(budget);
  const auto ownedTokens =
    purchasedIt == vmShare.purchased.end() ? 0 : purchasedIt->second.count / kEntryVmCount;
  return Tokens{ ownedTokens - (usedIt == vmShare.usedTokens.end() ? 0 : usedIt->second.count) };
}

bool EqualSplitPolicy::hasLatestDocument(int vm) const
{
  return vmShares_[static_cast<std::size_t>(vm)].documentRevision == documentRevision_;
}

bool EqualSplitPolicy::isRecovered(Tokens /*totalCharged*/) const
{
  return true;
}

} // namespace figchute::measure
