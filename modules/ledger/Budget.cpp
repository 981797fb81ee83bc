#include "ledger/Budget.h"

#include <algorithm>

namespace figchute::ledger::detail {
namespace {

/** Long enough to smooth out the settle batches, short enough to follow a sudden rise in the usage
    of a workspace. */
constexpr Duration kUsageInterval{ 5'000'000 };

/** Compares an account with a holder, for binary searches in the sorted accounts. */
constexpr auto kOrderByHolder = [](const HolderAccount& account, const HolderId& holder) {
  return account.holder < holder;
};

} // namespace

void UsageWindow::add(Time time, Tokens amount)
{
  const auto age = time - intervalStart;
  if (age >= kUsageInterval) {
    previousUsage = age < 2 * kUsageInterval ? currentUsage : Tokens{ 0 };
    currentUsage = Tokens{ 0 };
    intervalStart = time;
  }
  currentUsage += amount;
}

double UsageWindow::perSecond(Time time) const
{
  const auto age = std::clamp(time - intervalStart, Duration{ 0 }, 2 * kUsageInterval);
  const auto seconds = static_cast<double>((age + kUsageInterval).count()) / 1e6;
  return static_cast<double>((previousUsage + currentUsage).count) / seconds;
}

HolderAccount* Budget::find(const HolderId& holder)
{
  const auto at = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  return at != accounts.end() && at->holder == holder ? &*at : nullptr;
}

const HolderAccount* Budget::find(const HolderId& holder) const
{
  const auto at = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  return at != accounts.end() && at->holder == holder ? &*at : nullptr;
}

HolderAccount& Budget::findOrOpen(const HolderId& holder)
{
  auto at = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  if (at == accounts.end() || at->holder != holder) {
    at = accounts.insert(at, HolderAccount{});
    at->holder = holder;
  }
  return *at;
}

TransferTotals& Budget::transferTotals(const HolderId& from, const HolderId& to)
{
  for (auto& transfer : transfers) {
    if (transfer.from == from && transfer.to == to) {
      return transfer;
    }
  }
  transfers.push_back(TransferTotals{ from, to, {}, {}, false, false });
  return transfers.back();
}

bool Budget::hasTransfers(const HolderId& holder) const
{
  return std::any_of(transfers.begin(), transfers.end(), [&holder](const TransferTotals& transfer) {
    return transfer.from == holder || transfer.to == holder;
  });
}

Tokens Budget::held(const HolderAccount& account) const
{
  auto held = account.granted - account.settled() - account.returned;
  for (const auto& transfer : transfers) {
    if (transfer.to == account.holder) {
      held += transfer.total();
    }
    if (transfer.from == account.holder) {
      held -= transfer.total();
    }
  }
  return held;
}

Tokens Budget::held() const
{
  Tokens sum;
  for (const auto& account : accounts) {
    sum += held(account);
  }
  return sum;
}

Tokens Budget::settled() const
{
  auto sum = closedSettled;
  for (const auto& account : accounts) {
    sum += account.settled();
  }
  return sum;
}

Tokens Budget::free() const
{
  auto free = bought - closedNetGranted;
  for (const auto& account : accounts) {
    free -= account.granted - account.returned;
  }
  return free;
}

Tokens Budget::grantable() const
{
  return closed ? Tokens{ 0 } : std::max(Tokens{ 0 }, free());
}

void Budget::close(const HolderId& holder)
{
  const auto at = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  closedSettled += at->settled();
  closedNetGranted += at->granted - at->returned;
  accounts.erase(at);
  accounts.shrink_to_fit();
}

} // namespace figchute::ledger::detail
