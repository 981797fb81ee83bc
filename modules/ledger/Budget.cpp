#include "ledger/Budget.h"

#include <algorithm>

namespace figchute::ledger::detail {
namespace {

/** How long a holder counts as active on a budget after a grant request. */
constexpr Duration kActiveHolderTime{ 30'000'000 };
/** The interval at which holders that became idle are no longer counted as active. */
constexpr Duration kActiveCountInterval{ 1'000'000 };

bool isActive(Time time, const HolderAccount& account)
{
  return account.lastGrantRequestAt != Time{} &&
         account.lastGrantRequestAt + kActiveHolderTime >= time;
}

} // namespace

std::pair<HolderAccount&, bool> Budget::findOrOpenAccount(const HolderId& holder)
{
  const auto result = accounts.findOrOpen(holder);
  auto& [account, isNew] = result;
  if (isNew) {
    for (const auto& pair : transfers.pairsOf(holder)) {
      const auto total = transfers.find(pair)->total();
      ++account.transferPairs;
      account.transferredNet += pair.to == holder ? total : Tokens{ 0 } - total;
    }
  }
  return result;
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
  accounts.changeAll([](HolderAccount& account) {
    account.transferredNet = Tokens{ 0 };
    account.transferPairs = 0;
  });
  for (const auto& [pair, transfer] : transfers.totals()) {
    countPair(pair, 1);
    moveTokens(pair, transfer.total());
  }
  accounts.rebuild();
}

std::vector<HolderId> Budget::richestHolders(const HolderId& except, std::size_t maxCount) const
{
  std::vector<HolderId> holders;
  holders.reserve(maxCount);
  accounts.byUnlockedIdle().visit([&](const HolderAccount& account) {
    if (account.holder != except && holders.size() < maxCount) {
      holders.push_back(account.holder);
    }
    return holders.size() < maxCount;
  });
  return holders;
}

Tokens Budget::idleTokens(const HolderId& except) const
{
  const auto* account = accounts.find(except);
  const auto own = account == nullptr ? Tokens{ 0 } : amountsOf(*account).idle;
  return accounts.sums().idle - own;
}

Tokens Budget::free() const
{
  return bought - closedNetGranted - accounts.sums().netGranted;
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
    const auto& all = accounts.all();
    activeHolders = std::count_if(
      all.begin(), all.end(), [time](const auto& item) { return isActive(time, item.second); });
  }
  return std::max<std::int64_t>(1, activeHolders);
}

Tokens Budget::grantable() const
{
  return closed ? Tokens{ 0 } : std::max(Tokens{ 0 }, free());
}

void Budget::closeAccount(const HolderId& holder)
{
  const auto& account = *accounts.find(holder);
  closedSettled += account.settled();
  closedNetGranted += account.granted - account.returned;
  accounts.close(holder);
}

} // namespace figchute::ledger::detail
