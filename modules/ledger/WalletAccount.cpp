#include "ledger/WalletAccount.h"

#include <algorithm>
#include <cmath>

namespace figchute::ledger::detail {
namespace {

constexpr double kMicrosPerSecond = 1e6;

Tokens sum(const std::vector<PeerTotal>& totals)
{
  Tokens sum;
  for (const auto& entry : totals) {
    sum += entry.total;
  }
  return sum;
}

} // namespace

Tokens WalletAccount::received() const
{
  return sum(in);
}

Tokens WalletAccount::passedOn() const
{
  return sum(out);
}

void WalletAccount::noteUse()
{
  ownUsed = std::max(ownUsed, spent() + returned - received());
}

Tokens WalletAccount::transferable() const
{
  const auto own = granted - ownUsed - passedOn();
  return std::max(Tokens{ 0 }, std::min(available(), own));
}

double WalletAccount::demandAtTime(Time now, Duration window) const
{
  const auto age = static_cast<double>((now - demandAt).count());
  return demand * std::exp(-age / static_cast<double>(window.count()));
}

Tokens WalletAccount::demandWithin(Time now, Duration window, Duration horizon) const
{
  const auto seconds = static_cast<double>(horizon.count()) / kMicrosPerSecond;
  return Tokens{ static_cast<std::int64_t>(demandAtTime(now, window) * seconds) };
}

void WalletAccount::addDemand(Time now, Tokens bound, Duration window)
{
  const auto seconds = static_cast<double>(window.count()) / kMicrosPerSecond;
  demand = demandAtTime(now, window) + static_cast<double>(bound.count) / seconds;
  demandAt = now;
  lastReserve = now;
  lastBound = bound;
  // Forgets a large request after some tens of smaller ones.
  largestBound = std::max(bound, largestBound - Tokens{ largestBound.count / 32 });
}

AccountTotals WalletAccount::totals(const BudgetId& id) const
{
  return { id, charged, returned, in, out, opened };
}

Tokens& totalOf(std::vector<PeerTotal>& totals, const HolderId& peer)
{
  for (auto& entry : totals) {
    if (entry.peer == peer) {
      return entry.total;
    }
  }
  totals.push_back({ peer, {} });
  return totals.back().total;
}

} // namespace figchute::ledger::detail
