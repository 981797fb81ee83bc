#include "ledger/AccountTable.h"

#include <algorithm>
#include <tuple>

namespace figchute::ledger::detail {
namespace {

/** Long enough to smooth out the settle batches, short enough to follow a sudden rise in the usage
    of a workspace. */
constexpr Duration kUsageInterval{ 5'000'000 };

Tokens unlockedIdle(const HolderAccount& account)
{
  return account.unlockedHeld() - account.reserved;
}

void move(AccountRanking& ranking, HolderAccount& account, Tokens from, Tokens to)
{
  if (from != to) {
    ranking.remove(account, from);
    ranking.add(account, to);
  }
}

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
  idle += other.idle;
  return *this;
}

AccountAmounts& AccountAmounts::operator-=(const AccountAmounts& other)
{
  netGranted -= other.netGranted;
  settled -= other.settled;
  held -= other.held;
  idle -= other.idle;
  return *this;
}

AccountAmounts amountsOf(const HolderAccount& account)
{
  const auto held = account.held();
  return { account.granted - account.returned,
           account.settled(),
           held,
           std::max(Tokens{ 0 }, held - account.reserved) };
}

void AccountRanking::add(HolderAccount& account, Tokens amount)
{
  if (amount > Tokens{ 0 }) {
    accounts_.emplace(amount, &account);
  }
}

void AccountRanking::remove(HolderAccount& account, Tokens amount)
{
  if (amount > Tokens{ 0 }) {
    accounts_.erase({ amount, &account });
  }
}

const HolderAccount* AccountTable::find(const HolderId& holder) const
{
  const auto entry = accounts_.find(holder);
  return entry == accounts_.end() ? nullptr : &entry->second;
}

HolderAccount* AccountTable::findForChange(const HolderId& holder)
{
  const auto entry = accounts_.find(holder);
  if (entry == accounts_.end()) {
    return nullptr;
  }
  beginChange(entry->second);
  return &entry->second;
}

std::pair<HolderAccount&, bool> AccountTable::findOrOpen(const HolderId& holder)
{
  const auto [entry, isNew] = accounts_.try_emplace(holder);
  auto& account = entry->second;
  account.holder = holder;
  beginChange(account);
  return { account, isNew };
}

void AccountTable::close(const HolderId& holder)
{
  finishChanges();
  const auto entry = accounts_.find(holder);
  auto& account = entry->second;
  const auto amounts = amountsOf(account);
  sums_ -= amounts;
  byIdle_.remove(account, amounts.idle);
  byUnlockedIdle_.remove(account, unlockedIdle(account));
  accounts_.erase(entry);
}

void AccountTable::beginChange(HolderAccount& account)
{
  const bool isListed =
    std::any_of(changed_.begin(), changed_.end(), [&account](const ChangedAccount& changed) {
      return changed.account == &account;
    });
  if (!isListed) {
    changed_.push_back({ &account, amountsOf(account), unlockedIdle(account) });
  }
}

void AccountTable::finishChanges()
{
  include();
  changed_.clear();
}

void AccountTable::include() const
{
  for (auto& [account, included, includedUnlockedIdle] : changed_) {
    const auto amounts = amountsOf(*account);
    const auto currentUnlockedIdle = unlockedIdle(*account);
    sums_ -= included;
    sums_ += amounts;
    move(byIdle_, *account, included.idle, amounts.idle);
    move(byUnlockedIdle_, *account, includedUnlockedIdle, currentUnlockedIdle);
    included = amounts;
    includedUnlockedIdle = currentUnlockedIdle;
  }
}

std::vector<const HolderAccount*> AccountTable::changed() const
{
  std::vector<const HolderAccount*> accounts;
  accounts.reserve(changed_.size());
  for (const auto& changed : changed_) {
    accounts.push_back(changed.account);
  }
  return accounts;
}

void AccountTable::rebuild()
{
  changed_.clear();
  byIdle_.clear();
  byUnlockedIdle_.clear();
  sums_ = addUp();
  for (auto& [holder, account] : accounts_) {
    byIdle_.add(account, amountsOf(account).idle);
    byUnlockedIdle_.add(account, unlockedIdle(account));
  }
}

const AccountAmounts& AccountTable::sums() const
{
  include();
  return sums_;
}

AccountAmounts AccountTable::addUp() const
{
  AccountAmounts total;
  for (const auto& [holder, account] : accounts_) {
    total += amountsOf(account);
  }
  return total;
}

const AccountRanking& AccountTable::byIdle() const
{
  include();
  return byIdle_;
}

const AccountRanking& AccountTable::byUnlockedIdle() const
{
  include();
  return byUnlockedIdle_;
}

void AccountTable::msgpack_unpack(const msgpack::object& object)
{
  accounts_.clear();
  for (auto& account : object.as<std::vector<HolderAccount>>()) {
    auto holder = account.holder;
    accounts_.emplace(std::move(holder), std::move(account));
  }
  rebuild();
}

} // namespace figchute::ledger::detail
