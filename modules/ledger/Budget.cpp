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

HolderAccount* Budget::findAccount(const HolderId& holder)
{
  const auto account = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  return account != accounts.end() && account->holder == holder ? &*account : nullptr;
}

const HolderAccount* Budget::findAccount(const HolderId& holder) const
{
  const auto account = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  return account != accounts.end() && account->holder == holder ? &*account : nullptr;
}

HolderAccount& Budget::findOrOpenAccount(const HolderId& holder)
{
  auto account = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  if (account == accounts.end() || account->holder != holder) {
    account = accounts.insert(account, HolderAccount{});
    account->holder = holder;
  }
  return *account;
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
  auto heldTokens = account.granted - account.settled() - account.returned;
  for (const auto& transfer : transfers) {
    if (transfer.to == account.holder) {
      heldTokens += transfer.total();
    }
    if (transfer.from == account.holder) {
      heldTokens -= transfer.total();
    }
  }
  return heldTokens;
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
  auto freeTokens = bought - closedNetGranted;
  for (const auto& account : accounts) {
    freeTokens -= account.granted - account.returned;
  }
  return freeTokens;
}

Tokens Budget::grantable() const
{
  return closed ? Tokens{ 0 } : std::max(Tokens{ 0 }, free());
}

void Budget::closeAccount(const HolderId& holder)
{
  const auto account = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  closedSettled += account->settled();
  closedNetGranted += account->granted - account->returned;
  accounts.erase(account);
  accounts.shrink_to_fit();
}

} // namespace figchute::ledger::detail
