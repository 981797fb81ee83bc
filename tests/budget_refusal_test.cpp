#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "RouterCluster.h"

#include <doctest/doctest.h>

using namespace figchute;
using namespace figchute::ledger;
using figchute::ledger::test::kMs;
using figchute::ledger::test::kSecond;
using figchute::ledger::test::NineRouters;
using figchute::ledger::test::Router;

namespace {

/** The answer to a grant request as an older release states it. */
struct OlderItem
{
  BudgetId budget;
  std::uint64_t sequence = 0;
  Tokens granted;
  Tokens free;
  bool budgetLow = false;
  Tokens unlocked;
  Tokens excessReserve;

  MSGPACK_DEFINE(budget, sequence, granted, free, budgetLow, unlocked, excessReserve)
};

} // namespace

// Guards against a reason that names another remedy than the one that would have helped.
TEST_CASE("refusalReason_eachShortage_isNamed")
{
  const Tokens bound{ 100 };
  CHECK(refusalReason({ Tokens{ 40 }, {}, Tokens{ 20 }, Tokens{ 39 } }, bound, true) ==
        RefusalReason::spent);
  CHECK(refusalReason({ Tokens{ 40 }, {}, Tokens{ 20 }, Tokens{ 40 } }, bound, true) ==
        RefusalReason::heldByOthers);
  CHECK(refusalReason({ Tokens{ 40 }, Tokens{ 60 }, {}, {} }, bound, false) ==
        RefusalReason::reserve);
  CHECK(refusalReason({ Tokens{ 40 }, Tokens{ 59 }, {}, {} }, bound, false) ==
        RefusalReason::notGranted);
  // An older control process does not state what others hold.
  CHECK(refusalReason({ {}, {}, Tokens{ 0 }, {} }, bound, true) == RefusalReason::heldByOthers);
}

// Guards against a spent budget that is reported as held elsewhere.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_budgetIsSpent_reasonIsSpent")
{
  REQUIRE(decide("a", "r1", 99'000).status == ReserveStatus::admitted);
  REQUIRE(charge("a", "r1", 99'000));
  advance(2 * kSecond);
  const auto decision = decide("b", "r2", 1500);
  REQUIRE(decision.status == ReserveStatus::refused);
  REQUIRE(decision.cause);
  CHECK(decision.cause->reason == RefusalReason::spent);
  REQUIRE(decision.cause->tokens.others);
  CHECK(*decision.cause->tokens.others < Tokens{ 1500 });
}

// Guards against a spent budget that is reported as held elsewhere because of running requests,
// whose tokens nobody else can get.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_tokensRunElsewhere_reasonIsSpent")
{
  REQUIRE(decide("a", "r1", 90'000).status == ReserveStatus::admitted);
  REQUIRE(decide("a", "r2", 1000).status == ReserveStatus::admitted);
  const auto decision = decide("b", "r3", 50'000);
  REQUIRE(decision.status == ReserveStatus::refused);
  REQUIRE(decision.cause);
  CHECK(decision.cause->reason == RefusalReason::spent);
}

// Guards against tokens that lie idle at others and are reported as spent.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_othersDoNotReturnTokens_reasonIsHeld")
{
  advance(3 * kSecond);
  for (const std::string other : { "c", "d", "e", "f", "g", "h", "i" }) {
    suspended.insert(other);
  }
  const auto decision = decide("b", "r1", 60'000);
  REQUIRE(decision.status == ReserveStatus::refused);
  REQUIRE(decision.cause);
  CHECK(decision.cause->reason == RefusalReason::heldByOthers);
}

// Guards against a process without contact that is reported as a spent budget.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_isAlone_reasonIsReserveOrLate")
{
  reportsControlLost = true;
  advance(3 * kSecond);
  for (const std::string other : { "ctl", "b", "c", "d", "e", "f", "g", "h", "i" }) {
    disconnectedLinks.insert({ "a", other });
  }
  const auto covered = decide("a", "r1", 4000);
  REQUIRE(covered.status == ReserveStatus::refused);
  REQUIRE(covered.cause);
  CHECK(covered.cause->reason == RefusalReason::reserve);
  const auto large = decide("a", "r2", 50'000);
  REQUIRE(large.status == ReserveStatus::refused);
  REQUIRE(large.cause);
  CHECK(large.cause->reason == RefusalReason::notGranted);
}

// Guards against a release that cannot read the grants of an older one.
TEST_CASE("GrantedItem_ofOlderRelease_othersAreUnknown")
{
  const auto item = wire::decode<GrantedItem>(
    wire::encode(OlderItem{ BudgetId("w:x"), 3, Tokens{ 5 }, Tokens{ 6 }, true, Tokens{ 4 }, {} }));
  REQUIRE(item.has_value());
  CHECK(item->free == Tokens{ 6 });
  CHECK_FALSE(item->heldByOthers.has_value());
  const auto older = wire::decode<OlderItem>(wire::encode(*item));
  REQUIRE(older.has_value());
  CHECK(older->unlocked == Tokens{ 4 });
}
