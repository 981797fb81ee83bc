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

void TransferTable::msgpack_unpack(const msgpack::object& object)
{
  if (object.type != msgpack::type::ARRAY) {
    throw msgpack::type_error();
  }
  totals.clear();
  for (std::uint32_t i = 0; i < object.via.array.size; ++i) {
    const auto& item = object.via.array.ptr[i];
    if (item.type != msgpack::type::ARRAY || item.via.array.size != kFields) {
      throw msgpack::type_error();
    }
    const auto* fields = item.via.array.ptr;
    totals[{ fields[0].as<HolderId>(), fields[1].as<HolderId>() }] = {
      fields[2].as<Tokens>(), fields[3].as<Tokens>(), fields[4].as<bool>(), fields[5].as<bool>()
    };
  }
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
  if (account != accounts.end() && account->holder == holder) {
    return *account;
  }
  account = accounts.insert(account, HolderAccount{});
  account->holder = holder;
  for (const auto& [pair, transfer] : transfers.totals) {
    if (pair.contains(holder)) {
      ++account->transferPairs;
      account->transferredNet +=
        pair.to == holder ? transfer.total() : Tokens{ 0 } - transfer.total();
    }
  }
  return *account;
}

std::optional<TransferTotals> Budget::findTransfer(const TransferPair& pair) const
{
  const auto transfer = transfers.totals.find(pair);
  return transfer == transfers.totals.end() ? std::nullopt : std::optional(transfer->second);
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
  const auto transfer = transfers.totals.find(pair);
  if (transfer == transfers.totals.end()) {
    return;
  }
  moveTokens(pair, Tokens{ 0 } - transfer->second.total());
  countPair(pair, -1);
  transfers.totals.erase(transfer);
}

void Budget::rebuildTransferSums()
{
  for (auto& account : accounts) {
    account.transferredNet = Tokens{ 0 };
    account.transferPairs = 0;
  }
  for (const auto& [pair, transfer] : transfers.totals) {
    countPair(pair, 1);
    moveTokens(pair, transfer.total());
  }
}

Tokens Budget::held() const
{
  Tokens sum;
  for (const auto& account : accounts) {
    sum += account.held();
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
