#include "ledger/QuotaAccount.h"

#include "ledger/UnlockLimit.h"

#include <algorithm>
#include <cmath>

namespace figchute::ledger::detail {
namespace {

constexpr double kMicrosPerSecond = 1e6;
/** The time constant of the short demand rate. */
constexpr Duration kShortDemandWindow{ 1'000'000 };
/** A demand that began later than this counts as this old, because the first requests alone would
    give a much too high rate. */
constexpr Duration kMinDemandAge{ 2'000'000 };
/** After a pause of this many time constants, the rate starts anew. */
constexpr int kPauseWindows = 4;

double decayed(double rate, Duration age, Duration window)
{
  return rate * std::exp(-static_cast<double>(age.count()) / static_cast<double>(window.count()));
}

PeerTransfers& findOrAdd(std::vector<PeerTransfers>& transfers, const HolderId& peer)
{
  for (auto& transfer : transfers) {
    if (transfer.peer == peer) {
      return transfer;
    }
  }
  transfers.push_back({ peer, {}, {} });
  return transfers.back();
}

Tokens sum(const std::vector<PeerTransfers>& transfers)
{
  Tokens sum;
  for (const auto& transfer : transfers) {
    sum += transfer.total;
  }
  return sum;
}

std::vector<PeerTotal> allTotals(const std::vector<PeerTransfers>& transfers)
{
  std::vector<PeerTotal> totals;
  totals.reserve(transfers.size());
  for (const auto& transfer : transfers) {
    totals.push_back({ transfer.peer, transfer.total });
  }
  return totals;
}

std::vector<PeerTotal> unconfirmed(const std::vector<PeerTransfers>& transfers)
{
  std::vector<PeerTotal> totals;
  for (const auto& transfer : transfers) {
    if (transfer.total != transfer.confirmed) {
      totals.push_back({ transfer.peer, transfer.total });
    }
  }
  return totals;
}

void confirm(std::vector<PeerTransfers>& transfers, const std::vector<PeerTotal>& reported)
{
  for (const auto& [peer, total] : reported) {
    findOrAdd(transfers, peer).confirmed = total;
  }
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

Tokens QuotaAccount::unlockableAmount() const
{
  return std::max(Tokens{ 0 }, unlockLimit(granted, confirmedUnlocked) - unlocked);
}

double QuotaAccount::demandRateAt(Time now, Duration window) const
{
  return decayed(demandRate, now - demandUpdatedAt, window);
}

Tokens QuotaAccount::demandWithin(Time now, Duration window, Duration horizon) const
{
  const auto seconds = static_cast<double>(horizon.count()) / kMicrosPerSecond;
  return Tokens{ static_cast<std::int64_t>(demandRateAt(now, window) * seconds) };
}

bool QuotaAccount::isSpent(Tokens bound) const
{
  return lastFree && lastHeldByOthers &&
         available() + reserveAmount() + *lastFree + *lastHeldByOthers < bound;
}

Tokens QuotaAccount::stockDemandWithin(Time now, Duration window, Duration horizon) const
{
  const auto seconds = static_cast<double>(horizon.count()) / kMicrosPerSecond;
  const auto age = std::max(now - demandStartedAt, kMinDemandAge);
  const auto corrected = demandRateAt(now, window) / (1 - decayed(1, age, window));
  // One large request after a pause is not a rise of the demand.
  const auto singleRequest = static_cast<double>(largestBound.count) * kMicrosPerSecond /
                             static_cast<double>(kShortDemandWindow.count());
  const auto shortRate =
    decayed(shortDemandRate, now - demandUpdatedAt, kShortDemandWindow) - singleRequest;
  return Tokens{ static_cast<std::int64_t>(std::max(corrected, shortRate) * seconds) };
}

void QuotaAccount::addDemand(Time now, Tokens bound, Duration window)
{
  const auto seconds = static_cast<double>(window.count()) / kMicrosPerSecond;
  if (demandStartedAt == Time{} || now > demandUpdatedAt + kPauseWindows * window) {
    demandStartedAt = now;
  }
  shortDemandRate = decayed(shortDemandRate, now - demandUpdatedAt, kShortDemandWindow) +
                    static_cast<double>(bound.count) * kMicrosPerSecond /
                      static_cast<double>(kShortDemandWindow.count());
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
  return { id, charged, returned, allTotals(transfersIn), allTotals(transfersOut), unlocked, {} };
}

AccountTotals QuotaAccount::unconfirmedTotals(const BudgetId& id) const
{
  return { id,       charged, returned, unconfirmed(transfersIn), unconfirmed(transfersOut),
           unlocked, reserved };
}

void QuotaAccount::confirmTransfers(const AccountTotals& reported)
{
  confirm(transfersIn, reported.transferredIn);
  confirm(transfersOut, reported.transferredOut);
}

Tokens& findOrAddTotal(std::vector<PeerTransfers>& transfers, const HolderId& peer)
{
  return findOrAdd(transfers, peer).total;
}

} // namespace figchute::ledger::detail
