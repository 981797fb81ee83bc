#include "ledger/QuotaAccount.h"

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

Tokens QuotaAccount::totalIn() const
{
  return sum(transfersIn);
}

Tokens QuotaAccount::totalOut() const
{
  return sum(transfersOut);
}

void QuotaAccount::updateMaxGrantUsed()
{
  maxGrantUsed = std::max(maxGrantUsed, spent() + returned - totalIn());
}

Tokens QuotaAccount::transferable() const
{
  const auto unusedGrant = granted - maxGrantUsed - totalOut();
  return std::max(Tokens{ 0 }, std::min(available(), unusedGrant));
}

double QuotaAccount::demandRateAt(Time now, Duration window) const
{
  const auto age = static_cast<double>((now - demandUpdatedAt).count());
  return demandRate * std::exp(-age / static_cast<double>(window.count()));
}

Tokens QuotaAccount::demandWithin(Time now, Duration window, Duration horizon) const
{
  const auto seconds = static_cast<double>(horizon.count()) / kMicrosPerSecond;
  return Tokens{ static_cast<std::int64_t>(demandRateAt(now, window) * seconds) };
}

void QuotaAccount::addDemand(Time now, Tokens bound, Duration window)
{
  const auto seconds = static_cast<double>(window.count()) / kMicrosPerSecond;
  demandRate = demandRateAt(now, window) + static_cast<double>(bound.count) / seconds;
  demandUpdatedAt = now;
  lastReservationAt = now;
  lastBound = bound;
  // Decays by 1/32 per request, so the effect of a single large request lasts for some tens of
  // smaller ones only.
  largestBound = std::max(bound, largestBound - Tokens{ largestBound.count / 32 });
}

AccountTotals QuotaAccount::totals(const BudgetId& id) const
{
  return { id, charged, returned, transfersIn, transfersOut, unlocked };
}

Tokens& findOrAddTotal(std::vector<PeerTotal>& totals, const HolderId& peer)
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
