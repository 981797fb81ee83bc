#include "RouterBudgetFleet.h"

#include <algorithm>

namespace figchute::measure {
namespace {

constexpr Duration kTick{ 10'000 };
/** One way between two processes: mostly within a zone or between near zones, at times slower. */
constexpr std::int64_t kFastLow = 300;
constexpr std::int64_t kFastHigh = 2'500;
constexpr std::int64_t kSlowHigh = 12'000;
constexpr double kSlow = 0.1;
/** Sync on a slow disk and the way to a majority. */
constexpr std::int64_t kCommitLow = 2'000;
constexpr std::int64_t kCommitHigh = 9'000;
constexpr double kLoss = 0.001;

} // namespace

RouterBudgetFleet::RouterBudgetFleet(int holders, std::uint64_t seed, Time start)
  : random_(seed)
  , entries_(static_cast<std::size_t>(holders))
  , nextTick_(start)
{
  for (int holder = 0; holder < holders; ++holder) {
    this->start(start, holder);
  }
}

ProcessId RouterBudgetFleet::nameOf(int process)
{
  return ProcessId(std::to_string(process));
}

int RouterBudgetFleet::processOf(const ProcessId& name)
{
  return std::stoi(name.value);
}

void RouterBudgetFleet::start(Time now, int holder)
{
  auto& entry = entries_[static_cast<std::size_t>(holder)];
  const HolderId self{ nameOf(holder), entry.incarnation };
  const ZoneId zone(std::to_string(holder % 3));
  entry.wallet = std::make_unique<ledger::Wallet>(ledger::routerWalletSettings(self, zone));
  entry.configured = false;
  entry.draining = false;
  configure(now);
}

void RouterBudgetFleet::configure(Time now)
{
  // Processes learn configurations and each other from control.
  if (controlCut_) {
    return;
  }
  std::vector<ledger::Peer> peers;
  for (int holder = 0; holder < holders(); ++holder) {
    const auto& entry = entries_[static_cast<std::size_t>(holder)];
    const ZoneId zone(std::to_string(holder % 3));
    const bool live = entry.wallet != nullptr;
    peers.push_back({ { nameOf(holder), entry.incarnation }, zone, true, false, live });
  }
  peers.push_back({ { nameOf(controlIndex()), Incarnation{ 1 } }, ZoneId("0"), false, true, true });
  for (auto& entry : entries_) {
    if (entry.wallet) {
      entry.wallet->setPeers(now, peers);
      entry.wallet->setBudgets(now, budgets_);
      entry.configured = !budgets_.empty();
    }
  }
}

void RouterBudgetFleet::prepay(Time now, std::vector<ledger::PrepaidBudget> budgets)
{
  budgets_ = std::move(budgets);
  control_.setPrepaid(budgets_);
  configure(now);
}

void RouterBudgetFleet::send(Time now, int from, const ledger::Outgoing& outgoing, Duration extra)
{
  const auto to = processOf(outgoing.to);
  auto bytes = wire::encode(outgoing.message);
  ++traffic_.messages;
  traffic_.bytes += bytes.size();
  const bool withControl = from == controlIndex() || to == controlIndex();
  if ((withControl ? controlCut_ : entriesCut_) || random_.chance(kLoss)) {
    return;
  }
  const auto high = random_.chance(kSlow) ? kSlowHigh : kFastHigh;
  const auto delay = Duration(random_.between(kFastLow, high)) + extra;
  packets_.emplace(now + delay, Packet{ from, to, std::move(bytes) });
}

void RouterBudgetFleet::flush(Time now, int process)
{
  if (process == controlIndex()) {
    for (const auto& outgoing : control_.takeOutgoing()) {
      send(now, process, outgoing);
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
}

void RouterBudgetFleet::deliver(Time now, const Packet& packet)
{
  const auto message = wire::decode<ledger::Message>(packet.bytes);
  if (!message) {
    return;
  }
  if (packet.to != controlIndex()) {
    const auto& entry = entries_[static_cast<std::size_t>(packet.to)];
    if (entry.wallet) {
      entry.wallet->receive(now, nameOf(packet.from), *message);
      flush(now, packet.to);
    }
    return;
  }
  if (const auto* propose = std::get_if<ledger::Propose>(&*message)) {
    const auto result = control_.applyEncoded(++traffic_.commands, now, propose->command);
    const ledger::ProposeReply reply{
      propose->proposalId, true, nameOf(controlIndex()), result.value_or(std::string())
    };
    const Duration commit(random_.between(kCommitLow, kCommitHigh));
    send(now, controlIndex(), { nameOf(packet.from), reply }, commit);
  }
  flush(now, controlIndex());
}

void RouterBudgetFleet::stopDrained(Time now)
{
  for (int holder = 0; holder < holders(); ++holder) {
    const auto& entry = entries_[static_cast<std::size_t>(holder)];
    if (entry.wallet && entry.draining && entry.wallet->drained()) {
      crash(now, holder, entry.pause);
    }
  }
}

void RouterBudgetFleet::advance(Time now)
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
  }
  flush(now, controlIndex());
  for (; nextTick_ <= now; nextTick_ = nextTick_ + kTick) {
    for (int holder = 0; holder < holders(); ++holder) {
      const auto& entry = entries_[static_cast<std::size_t>(holder)];
      if (entry.wallet) {
        entry.wallet->tick(nextTick_);
      }
    }
    stopDrained(nextTick_);
  }
  for (int holder = 0; holder < holders(); ++holder) {
    flush(now, holder);
  }
}

void RouterBudgetFleet::crash(Time now, int holder, Duration pause)
{
  auto& entry = entries_[static_cast<std::size_t>(holder)];
  entry.wallet.reset();
  ++entry.incarnation.number;
  restarts_.emplace(now + pause, holder);
  configure(now);
}

void RouterBudgetFleet::drain(Time now, int holder, Duration pause)
{
  auto& entry = entries_[static_cast<std::size_t>(holder)];
  entry.draining = true;
  entry.pause = pause;
  entry.wallet->drain(now);
}

void RouterBudgetFleet::cut(Time now, bool fromControl, bool fromEachOther)
{
  controlCut_ = fromControl;
  entriesCut_ = fromEachOther;
  configure(now);
}

bool RouterBudgetFleet::serves(int holder) const
{
  const auto& entry = entries_[static_cast<std::size_t>(holder)];
  return entry.wallet != nullptr && entry.configured && !entry.draining;
}

std::uint64_t RouterBudgetFleet::life(int holder) const
{
  return entries_[static_cast<std::size_t>(holder)].incarnation.number;
}

ledger::Wallet& RouterBudgetFleet::wallet(int holder)
{
  return *entries_[static_cast<std::size_t>(holder)].wallet;
}

std::vector<ledger::Decision> RouterBudgetFleet::takeDecisions(int holder)
{
  const auto& entry = entries_[static_cast<std::size_t>(holder)];
  if (!entry.wallet) {
    return {};
  }
  (void)entry.wallet->takeRecordedCharges();
  return entry.wallet->takeDecisions();
}

} // namespace figchute::measure
