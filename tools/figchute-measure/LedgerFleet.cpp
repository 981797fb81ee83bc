#include "LedgerFleet.h"

#include <algorithm>

namespace figchute::measure {
namespace {

constexpr Duration kTick{ 10'000 };
constexpr Duration kPollInterval{ 500'000 };
constexpr Duration kReportInterval{ 1'000'000 };
constexpr Duration kInZone{ 200 };
constexpr Duration kJitter{ 500 };
/** Sync of a log entry on the leader's disk. */
constexpr Duration kSync{ 1000 };
constexpr double kLoss = 0.001;

} // namespace

FigchutePolicy::FigchutePolicy(const Site& site, std::uint64_t seed, Time start)
  : site_(site)
  , random_(seed)
  , controlWitness_(HolderId{ nameOf(kControl), Incarnation{ 1 } })
  , entries_(kEntryVms)
  , nextTick_(start)
{
  for (int vm = 0; vm < kEntryVms; ++vm) {
    this->start(start, vm);
  }
  tellPeers(start);
}

int FigchutePolicy::zoneOf(int process) const
{
  return process == kControl ? 0 : process % site_.zones;
}

ProcessId FigchutePolicy::nameOf(int process)
{
  return ProcessId(std::string(1, static_cast<char>('a' + process)));
}

int FigchutePolicy::processOf(const ProcessId& name)
{
  return name.value.front() - 'a';
}

void FigchutePolicy::start(Time /*now*/, int vm)
{
  auto& entry = entries_[static_cast<std::size_t>(vm)];
  ledger::WalletSettings settings;
  settings.self = HolderId{ nameOf(vm), entry.incarnation };
  settings.zone = ZoneId(std::to_string(zoneOf(vm)));
  entry.wallet = std::make_unique<ledger::Wallet>(settings);
  entry.witness = std::make_unique<ledger::Witness>(settings.self);
  entry.revision = 0;
}

void FigchutePolicy::tellPeers(Time now)
{
  std::vector<ledger::Peer> peers;
  for (int vm = 0; vm < kEntryVms; ++vm) {
    const auto& entry = entries_[static_cast<std::size_t>(vm)];
    const ZoneId zone(std::to_string(zoneOf(vm)));
    const bool live = entry.wallet != nullptr;
    peers.push_back({ { nameOf(vm), entry.incarnation }, zone, true, false, live });
  }
  peers.push_back({ { nameOf(kControl), Incarnation{ 1 } }, ZoneId("0"), false, true, true });
  for (auto& entry : entries_) {
    if (entry.wallet) {
      entry.wallet->setPeers(now, peers);
    }
  }
}

void FigchutePolicy::buy(Time now, const std::vector<ledger::Purchase>& purchases)
{
  control_.apply(
    ++index_,
    now,
    ledger::ApplyDocument{
      TeamId("t"), version_, ChangeId("c" + std::to_string(version_)), "", purchases });
  ++version_;
}

void FigchutePolicy::send(Time now, int from, const ledger::Outgoing& outgoing, Duration extra)
{
  const auto to = processOf(outgoing.to);
  auto bytes = wire::encode(outgoing.message);
  bytes_ += bytes.size();
  const bool sameZone = zoneOf(from) == zoneOf(to);
  const bool cut = !sameZone && (zoneOf(from) == cutZone_ || zoneOf(to) == cutZone_);
  if (cut || random_.chance(kLoss)) {
    return;
  }
  const auto delay =
    (sameZone ? kInZone : site_.crossZone) + Duration(random_.between(0, kJitter.count())) + extra;
  packets_.emplace(now + delay, Packet{ from, to, std::move(bytes) });
}

void FigchutePolicy::flush(Time now, int process)
{
  if (process == kControl) {
    for (const auto& outgoing : controlWitness_.takeOutgoing()) {
      send(now, kControl, outgoing);
    }
    for (const auto& outgoing : control_.takeOutgoing()) {
      if (outgoing.to != nameOf(kControl)) {
        send(now, kControl, outgoing);
      }
    }
    return;
  }
  const auto& entry = entries_[static_cast<std::size_t>(process)];
  if (!entry.wallet) {
    return;
  }
  for (const auto& outgoing : entry.wallet->takeOutgoing()) {
    send(now, process, outgoing);
  }
  for (const auto& outgoing : entry.witness->takeOutgoing()) {
    send(now, process, outgoing);
  }
}

void FigchutePolicy::deliverToControl(Time now, int from, const ledger::Message& message)
{
  if (const auto* propose = std::get_if<ledger::Propose>(&message)) {
    const auto result = control_.applyEncoded(++index_, now, propose->command);
    // The answer waits for the sync and for a majority in another zone.
    const auto commit = kSync + site_.crossZone * 2;
    send(now,
         kControl,
         { nameOf(from),
           ledger::ProposeReply{
             propose->proposalId, true, nameOf(kControl), result.value_or(std::string()) } },
         commit);
  }
  if (const auto* report = std::get_if<ledger::WitnessReport>(&message)) {
    control_.apply(++index_, now, ledger::ControlState::makeRetireCommand(*report));
  }
  if (const auto* poll = std::get_if<ledger::DocumentPoll>(&message)) {
    send(now, kControl, { nameOf(from), control_.documentsSince(*poll) });
  }
  controlWitness_.receive(now, nameOf(from), message);
}

void FigchutePolicy::deliver(Time now, const Packet& packet)
{
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  if (!message) {
    return;
  }
  if (packet.to == kControl) {
    deliverToControl(now, packet.from, *message);
  } else {
    auto& entry = entries_[static_cast<std::size_t>(packet.to)];
    if (!entry.wallet) {
      return;
    }
    if (const auto* push = std::get_if<ledger::DocumentPush>(&*message)) {
      entry.revision = std::max(entry.revision, push->revision);
    }
    entry.wallet->receive(now, nameOf(packet.from), *message);
    entry.witness->receive(now, nameOf(packet.from), *message);
  }
  flush(now, packet.to);
}

void FigchutePolicy::tick(Time now)
{
  for (int vm = 0; vm < kEntryVms; ++vm) {
    const auto& entry = entries_[static_cast<std::size_t>(vm)];
    if (!entry.wallet) {
      continue;
    }
    entry.wallet->tick(now);
    // The VMs poll at different phases of the interval.
    const auto phase = kPollInterval.count() * vm / kEntryVms / kTick.count() * kTick.count();
    if ((now.micros - phase) % kPollInterval.count() == 0) {
      send(now, vm, { nameOf(kControl), ledger::DocumentPoll{ entry.revision, 0 } });
    }
    flush(now, vm);
  }
  if (now.micros % kReportInterval.count() == 0) {
    for (const auto& request : control_.reportRequests()) {
      send(now, kControl, request);
    }
  }
}

void FigchutePolicy::advance(Time now)
{
  while (!packets_.empty() && packets_.begin()->first <= now) {
    const auto at = packets_.begin()->first;
    const auto packet = packets_.begin()->second;
    packets_.erase(packets_.begin());
    deliver(at, packet);
  }
  while (!restarts_.empty() && restarts_.begin()->first <= now) {
    start(now, restarts_.begin()->second);
    restarts_.erase(restarts_.begin());
    tellPeers(now);
  }
  while (nextTick_ <= now) {
    tick(nextTick_);
    nextTick_ = nextTick_ + kTick;
  }
}

ledger::Decision FigchutePolicy::reserve(Time now,
                                         int vm,
                                         const RequestId& request,
                                         std::span<const BudgetId> budgets,
                                         Tokens bound)
{
  auto& entry = entries_[static_cast<std::size_t>(vm)];
  auto decision = entry.wallet->reserve(now, request, std::nullopt, budgets, bound);
  flush(now, vm);
  return decision;
}

void FigchutePolicy::reduceReservation(Time now, int vm, const RequestId& request, Tokens bound)
{
  entries_[static_cast<std::size_t>(vm)].wallet->reduceReservation(now, request, bound);
  flush(now, vm);
}

void FigchutePolicy::charge(Time now, int vm, const RequestId& request, Tokens actual)
{
  (void)entries_[static_cast<std::size_t>(vm)].wallet->charge(now, request, actual);
  flush(now, vm);
}

std::vector<ledger::Decision> FigchutePolicy::takeDecisions(int vm)
{
  const auto& entry = entries_[static_cast<std::size_t>(vm)];
  return entry.wallet ? entry.wallet->takeDecisions() : std::vector<ledger::Decision>();
}

std::vector<RequestId> FigchutePolicy::takeRecordedCharges(int vm)
{
  const auto& entry = entries_[static_cast<std::size_t>(vm)];
  return entry.wallet ? entry.wallet->takeRecordedCharges() : std::vector<RequestId>();
}

void FigchutePolicy::crash(Time now, int vm, Duration pause)
{
  auto& entry = entries_[static_cast<std::size_t>(vm)];
  entry.wallet.reset();
  entry.witness.reset();
  ++entry.incarnation.number;
  restarts_.emplace(now + pause, vm);
  tellPeers(now);
}

void FigchutePolicy::cut(int zone)
{
  cutZone_ = zone;
}

Tokens FigchutePolicy::available(int vm, const BudgetId& budget) const
{
  const auto& entry = entries_[static_cast<std::size_t>(vm)];
  const auto account = entry.wallet ? entry.wallet->account(budget) : std::nullopt;
  return account ? account->available : Tokens{ 0 };
}

bool FigchutePolicy::informed(int vm) const
{
  return entries_[static_cast<std::size_t>(vm)].revision == control_.revision();
}

bool FigchutePolicy::recovered(Tokens billed) const
{
  Tokens settled;
  for (const auto& budget : control_.budgets()) {
    settled += budget.settled;
  }
  return settled >= billed && control_.unreclaimedTokens().empty();
}

EqualSplitPolicy::EqualSplitPolicy(const Site& site, std::uint64_t seed, Time start)
  : site_(site)
  , shares_(kEntryVms)
{
  Random random(seed);
  for (auto& share : shares_) {
    share.nextPoll = start + Duration(random.between(0, kPollInterval.count()));
  }
}

void EqualSplitPolicy::buy(Time /*now*/, const std::vector<ledger::Purchase>& purchases)
{
  for (const auto& [budget, bought] : purchases) {
    bought_[budget] = bought;
  }
  ++revision_;
}

ledger::Decision EqualSplitPolicy::reserve(Time /*now*/,
                                           int vm,
                                           const RequestId& request,
                                           std::span<const BudgetId> budgets,
                                           Tokens bound)
{
  auto& share = shares_[static_cast<std::size_t>(vm)];
  const bool fits = std::all_of(budgets.begin(), budgets.end(), [&](const BudgetId& budget) {
    return available(vm, budget) >= bound;
  });
  if (!fits) {
    return { request, ledger::ReserveStatus::refused, Error{ ErrorKind::budgetExhausted, "" } };
  }
  for (const auto& budget : budgets) {
    share.used[budget] += bound;
  }
  share.running[request] = { { budgets.begin(), budgets.end() }, bound };
  return { request, ledger::ReserveStatus::admitted, std::nullopt };
}

void EqualSplitPolicy::lower(Share& share, const Reservation& reservation, Tokens amount)
{
  for (const auto& budget : reservation.budgets) {
    share.used[budget] -= amount;
  }
}

void EqualSplitPolicy::reduceReservation(Time /*now*/,
                                         int vm,
                                         const RequestId& request,
                                         Tokens bound)
{
  auto& share = shares_[static_cast<std::size_t>(vm)];
  auto& reservation = share.running.at(request);
  lower(share, reservation, reservation.bound - bound);
  reservation.bound = bound;
}

void EqualSplitPolicy::charge(Time /*now*/, int vm, const RequestId& request, Tokens actual)
{
  auto& share = shares_[static_cast<std::size_t>(vm)];
  const auto reservation = share.running.at(request);
  lower(share, reservation, reservation.bound - actual);
  share.running.erase(request);
  share.recorded.push_back(request);
}

std::vector<ledger::Decision> EqualSplitPolicy::takeDecisions(int /*vm*/)
{
  return {};
}

std::vector<RequestId> EqualSplitPolicy::takeRecordedCharges(int vm)
{
  return std::exchange(shares_[static_cast<std::size_t>(vm)].recorded, {});
}

void EqualSplitPolicy::advance(Time now)
{
  for (int vm = 0; vm < kEntryVms; ++vm) {
    auto& share = shares_[static_cast<std::size_t>(vm)];
    if (share.nextPoll > now) {
      continue;
    }
    share.nextPoll = share.nextPoll + kPollInterval;
    if (zoneOf(vm) != cutZone_) {
      share.bought = bought_;
      share.revision = revision_;
    }
  }
}

void EqualSplitPolicy::crash(Time /*now*/, int vm, Duration /*pause*/)
{
  auto& share = shares_[static_cast<std::size_t>(vm)];
  for (const auto& [request, reservation] : std::exchange(share.running, {})) {
    lower(share, reservation, reservation.bound);
  }
}

void EqualSplitPolicy::cut(int zone)
{
  cutZone_ = zone;
}

Tokens EqualSplitPolicy::available(int vm, const BudgetId& budget) const
{
  const auto& share = shares_[static_cast<std::size_t>(vm)];
  const auto bought = share.bought.find(budget);
  const auto used = share.used.find(budget);
  const auto ninth = bought == share.bought.end() ? 0 : bought->second.count / kEntryVms;
  return Tokens{ ninth - (used == share.used.end() ? 0 : used->second.count) };
}

bool EqualSplitPolicy::informed(int vm) const
{
  return shares_[static_cast<std::size_t>(vm)].revision == revision_;
}

bool EqualSplitPolicy::recovered(Tokens /*billed*/) const
{
  return true;
}

} // namespace figchute::measure
