#include "ledger/Budget.h"

#include <algorithm>

namespace figchute::ledger::detail {
namespace {

/** Long enough to smooth out the settle batches, short enough to follow a sudden rise in the usage
    of a workspace. */
constexpr Duration kUsageInterval{ 5'000'000 };

/** How long a holder counts as active on a budget after a grant request. */
constexpr Duration kActiveHolderTime{ 30'000'000 };
/** The interval at which holders that became idle are no longer counted as active. */
constexpr Duration kActiveCountInterval{ 1'000'000 };

bool isActive(Time time, const HolderAccount& account)
{
  return account.lastGrantRequestAt != Time{} &&
         account.lastGrantRequestAt + kActiveHolderTime >= time;
}

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

AccountAmounts& AccountAmounts::operator+=(const AccountAmounts& other)
{
  netGranted += other.netGranted;
  settled += other.settled;
  held += other.held;
  return *this;
}

AccountAmounts& AccountAmounts::operator-=(const AccountAmounts& other)
{
  netGranted -= other.netGranted;
  settled -= other.settled;
  held -= other.held;
  return *this;
}

AccountAmounts amountsOf(const HolderAccount& account)
{
  return { account.granted - account.returned, account.settled(), account.held() };
}

HolderAccount* Budget::findAccount(const HolderId& holder)
{
  const auto account = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  return account != accounts.end() && account->holder == holder ? beginChange(account) : nullptr;
}

const HolderAccount* Budget::findAccount(const HolderId& holder) const
{
  const auto account = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  return account != accounts.end() && account->holder == holder ? &*account : nullptr;
}

HolderAccount& Budget::findOrOpenAccount(const HolderId& holder)
{
  auto account = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  if (account != accounts.end() && account->holder == holder) {
    return *beginChange(account);
  }
  finishChanges();
  account = accounts.insert(account, HolderAccount{});
  beginChange(account);
  account->holder = holder;
  for (const auto& pair : transfers.pairsOf(holder)) {
    const auto total = transfers.find(pair)->total();
    ++account->transferPairs;
    account->transferredNet += pair.to == holder ? total : Tokens{ 0 } - total;
  }
  return *account;
}

std::optional<TransferTotals> Budget::findTransfer(const TransferPair& pair) const
{
  const auto* totals = transfers.find(pair);
  return totals == nullptr ? std::nullopt : std::optional(*totals);
}

void Budget::countPair(const TransferPair& pair, std::int32_t change)
{
  for (const auto* holder : { &pair.from, &pair.to }) {
    if (auto* account = findAccount(*holder)) {
      account->transferPairs += static_cast<std::uint32_t>(change);
    }
  }
}

void Budget::moveTokens(const TransferPair& pair, Tokens amount)
{
  if (amount == Tokens{ 0 }) {
    return;
  }
  if (auto* sender = findAccount(pair.from)) {
    sender->transferredNet -= amount;
  }
  if (auto* receiver = findAccount(pair.to)) {
    receiver->transferredNet += amount;
  }
}

void Budget::eraseTransfer(const TransferPair& pair)
{
  const auto* totals = transfers.find(pair);
  if (totals == nullptr) {
    return;
  }
  moveTokens(pair, Tokens{ 0 } - totals->total());
  countPair(pair, -1);
  transfers.erase(pair);
}

void Budget::rebuildSums()
{
  for (auto& account : accounts) {
    account.transferredNet = Tokens{ 0 };
    account.transferPairs = 0;
  }
  for (const auto& [pair, transfer] : transfers.totals()) {
    countPair(pair, 1);
    moveTokens(pair, transfer.total());
  }
  changedAccounts_.clear();
  sums_ = addUpAccounts();
}

HolderAccount* Budget::beginChange(std::vector<HolderAccount>::iterator account)
{
  const auto index = static_cast<std::size_t>(account - accounts.begin());
  const bool isListed =
    std::any_of(changedAccounts_.begin(), changedAccounts_.end(), [index](const auto& changed) {
      return changed.index == index;
    });
  if (!isListed) {
    changedAccounts_.push_back({ index, amountsOf(*account) });
  }
  return &*account;
}

void Budget::finishChanges()
{
  static_cast<void>(sums());
  changedAccounts_.clear();
}

std::vector<const HolderAccount*> Budget::changedAccounts() const
{
  std::vector<const HolderAccount*> changed;
  for (const auto& account : changedAccounts_) {
    changed.push_back(&accounts[account.index]);
  }
  return changed;
}

const AccountAmounts& Budget::sums() const
{
  for (auto& changed : changedAccounts_) {
    const auto amounts = amountsOf(accounts[changed.index]);
    sums_ -= changed.included;
    sums_ += amounts;
    changed.included = amounts;
  }
  return sums_;
}

std::vector<HolderId> Budget::richestHolders(const HolderId& except, std::size_t maxCount) const
{
  std::vector<std::pair<Tokens, const HolderAccount*>> richest;
  for (const auto& account : accounts) {
    const auto idle = account.unlockedHeld() - account.reserved;
    if (idle <= Tokens{ 0 } || account.holder == except) {
      continue;
    }
    const auto place = std::find_if(
      richest.begin(), richest.end(), [idle](const auto& item) { return item.first < idle; });
    richest.insert(place, { idle, &account });
    richest.resize(std::min(richest.size(), maxCount));
  }
  std::vector<HolderId> holders;
  holders.reserve(richest.size());
  for (const auto& [idle, account] : richest) {
    holders.push_back(account->holder);
  }
  return holders;
}

Tokens Budget::idleTokens(const HolderId& except) const
{
  Tokens idle;
  for (const auto& account : accounts) {
    if (account.holder != except) {
      idle += std::max(Tokens{ 0 }, account.held() - account.reserved);
    }
  }
  return idle;
}

AccountAmounts Budget::addUpAccounts() const
{
  AccountAmounts total;
  for (const auto& account : accounts) {
    total += amountsOf(account);
  }
  return total;
}

Tokens Budget::free() const
{
  return bought - closedNetGranted - sums().netGranted;
}

void Budget::addGrantRequest(Time time, HolderAccount& account)
{
  if (!isActive(time, account)) {
    ++activeHolders;
  }
  account.lastGrantRequestAt = time;
  if (firstGrantRequestAt == Time{}) {
    firstGrantRequestAt = time;
  }
}

std::int64_t Budget::countActiveHolders(Time time)
{
  if (time >= activeHoldersAt + kActiveCountInterval || activeHolders == 0) {
    activeHoldersAt = time;
    activeHolders = std::count_if(accounts.begin(), accounts.end(), [time](const auto& account) {
      return isActive(time, account);
    });
  }
  return std::max<std::int64_t>(1, activeHolders);
}

Tokens Budget::grantable() const
{
  return closed ? Tokens{ 0 } : std::max(Tokens{ 0 }, free());
}

void Budget::closeAccount(const HolderId& holder)
{
  finishChanges();
  const auto account = std::lower_bound(accounts.begin(), accounts.end(), holder, kOrderByHolder);
  closedSettled += account->settled();
  closedNetGranted += account->granted - account->returned;
  sums_ -= amountsOf(*account);
  accounts.erase(account);
  // Shrinking copies all accounts, so it must not be done each time that one is closed.
  if (accounts.capacity() > 2 * accounts.size()) {
    accounts.shrink_to_fit();
  }
}

} // namespace figchute::ledger::detail
