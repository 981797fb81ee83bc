#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "core/Random.h"
#include "ledger/AccountTable.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>

using namespace figchute;
using namespace figchute::ledger::detail;

namespace {

HolderId holderId(std::uint64_t number)
{
  return { ProcessId(fmt::format("h{}", number)), Incarnation{ 1 } };
}

Tokens unlockedIdle(const HolderAccount& account)
{
  return account.unlockedHeld() - account.reserved;
}

/** Returns the accounts with a positive amount, the largest first, by sorting all of them. */
template<typename Amount>
std::vector<HolderId> sortedBy(const AccountTable& table, Amount amount)
{
  std::vector<const HolderAccount*> accounts;
  for (const auto& [holder, account] : table.all()) {
    if (amount(account) > Tokens{ 0 }) {
      accounts.push_back(&account);
    }
  }
  std::stable_sort(accounts.begin(), accounts.end(), [&](const auto* a, const auto* b) {
    return amount(*a) > amount(*b);
  });
  std::vector<HolderId> holders;
  for (const auto* account : accounts) {
    holders.push_back(account->holder);
  }
  return holders;
}

std::vector<HolderId> listed(const AccountRanking& ranking)
{
  std::vector<HolderId> holders;
  ranking.visit([&holders](const HolderAccount& account) {
    holders.push_back(account.holder);
    return true;
  });
  return holders;
}

void check(const AccountTable& table)
{
  CHECK(table.sums() == table.addUp());
  CHECK(listed(table.byIdle()) ==
        sortedBy(table, [](const auto& account) { return amountsOf(account).idle; }));
  CHECK(listed(table.byUnlockedIdle()) == sortedBy(table, unlockedIdle));
}

void changeAmounts(Random& random, HolderAccount& account)
{
  const Tokens amount{ static_cast<std::int64_t>(random.below(20)) };
  account.granted += amount;
  account.unlocked += Tokens{ static_cast<std::int64_t>(random.below(10)) };
  account.charged += Tokens{ static_cast<std::int64_t>(random.below(12)) };
  account.reserved = Tokens{ static_cast<std::int64_t>(random.below(15)) };
}

} // namespace

// Guards against sums or orders that differ from the accounts, also while a command has not
// finished its changes, and after a snapshot.
TEST_CASE("AccountTable_accountsOpenChangeAndClose_keepsSumsAndOrders")
{
  constexpr int kSteps = 3000;
  Random random(1);
  AccountTable table;
  for (int step = 0; step < kSteps; ++step) {
    const auto holder = holderId(random.below(40));
    if (random.chance(0.1) && table.find(holder) != nullptr) {
      table.close(holder);
    } else {
      changeAmounts(random, table.findOrOpen(holder).first);
      check(table);
      changeAmounts(random, *table.findForChange(holder));
    }
    if (random.chance(0.3)) {
      table.finishChanges();
    }
    check(table);
  }
  const auto bytes = wire::encode(table);
  const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
  AccountTable restored;
  unpacked.get().convert(restored);
  CHECK(wire::encode(restored) == bytes);
  check(restored);
}

// Guards against a search through all accounts of a budget.
TEST_CASE("AccountRanking_visitorStops_getsNoFurtherAccounts")
{
  AccountTable table;
  for (std::uint64_t number = 1; number <= 10; ++number) {
    table.findOrOpen(holderId(number)).first.granted = Tokens{ static_cast<std::int64_t>(number) };
  }
  int visited = 0;
  table.byIdle().visit([&visited](const HolderAccount& account) {
    CHECK(account.granted == Tokens{ 10 - visited });
    return ++visited < 3;
  });
  CHECK(visited == 3);
}
