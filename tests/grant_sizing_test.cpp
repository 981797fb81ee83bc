#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "RouterCluster.h"

#include "ledger/GrantSizing.h"

#include <doctest/doctest.h>

using namespace figchute;
using namespace figchute::ledger;
using figchute::ledger::detail::ReserveState;
using figchute::ledger::detail::reserveToReturn;
using figchute::ledger::detail::stockRequest;
using figchute::ledger::detail::StockState;
using figchute::ledger::test::kMs;
using figchute::ledger::test::kSecond;
using figchute::ledger::test::NineRouters;
using figchute::ledger::test::Router;

// Guards against requests ahead of need that make control recall tokens from all holders because
// they exceed what is free.
TEST_CASE("stockRequest_littleIsFree_isBounded")
{
  const StockState plenty{ Tokens{ 100 }, Tokens{ 1000 }, Tokens{ 80'000 }, {}, Tokens{ 100'000 } };
  CHECK(stockRequest(plenty) == Tokens{ 900 });
  auto state = plenty;
  state.available = Tokens{ 750 };
  CHECK(stockRequest(state) == Tokens{ 0 });
  state = plenty;
  state.free = Tokens{ 6000 };
  CHECK(stockRequest(state) == Tokens{ 750 });
  state.free = Tokens{ 4999 };
  CHECK(stockRequest(state) == Tokens{ 0 });
  state.reserve = Tokens{ 2000 };
  CHECK(stockRequest(state) == Tokens{ 500 });
  state.free.reset();
  CHECK(stockRequest(state) == Tokens{ 0 });
}

// Guards against reserves that leave nothing free, and against messages for small excesses.
TEST_CASE("reserveToReturn_reserveIsLarge_returnsWhatIsNotNeeded")
{
  ReserveState state{ Tokens{ 5000 }, Tokens{ 500 }, Tokens{ 1000 }, Tokens{ 100'000 }, 100 };
  CHECK(reserveToReturn(state) == Tokens{ 2500 });
  state.reserve = Tokens{ 3000 };
  CHECK(reserveToReturn(state) == Tokens{ 0 });
  state.reserve = Tokens{ 50'000 };
  state.free = Tokens{ 30'000 };
  CHECK(reserveToReturn(state) == Tokens{ 0 });
  state.free.reset();
  CHECK(reserveToReturn(state) == Tokens{ 0 });
}

// Guards against a busy holder that has nothing in stock, so that each request waits for a grant
// and all are refused once the leader is silent.
TEST_CASE_FIXTURE(Router, "RouterQuotaManager_busyHolder_hasTokensForThreeSeconds")
{
  startProcesses(9, 1'000'000);
  reportsControlLost = true;
  REQUIRE(runRequests("a", 60, 200, 50 * kMs) == 0);
  for (const std::string other : { "ctl", "b", "c", "d", "e", "f", "g", "h", "i" }) {
    disconnectedLinks.insert({ "a", other });
  }
  CHECK(runRequests("a", 56, 200, 50 * kMs) == 0);
}

// Guards against a spent budget whose requests all wait for recalled tokens.
TEST_CASE_FIXTURE(NineRouters, "RouterQuotaManager_budgetIsKnownToBeSpent_refusesAtOnce")
{
  REQUIRE(decide("a", "r1", 99'500).status == ReserveStatus::admitted);
  REQUIRE(charge("a", "r1", 99'500));
  advance(2 * kSecond);
  const auto first = now;
  REQUIRE(decide("b", "r2", 5000).status == ReserveStatus::refused);
  CHECK(now - first < 10 * kMs);
  CHECK(reserve("b", "r3", 5000).status == ReserveStatus::refused);
  // A top-up must end this at once.
  setPrepaidAmount(200'000);
  CHECK(decide("b", "r4", 5000).status == ReserveStatus::admitted);
}

// Guards against a fleet whose processes spend their processor time on transfer requests while
// nobody has tokens.
TEST_CASE_FIXTURE(Router, "RouterQuotaManager_nobodyHasTokens_requestsTransfersInRounds")
{
  startProcesses(9, 1000);
  reportsControlLost = true;
  disconnectControl();
  advance(2 * kSecond);
  REQUIRE(reserve("a", "r1", 50'000).status == ReserveStatus::waiting);
  std::set<std::pair<Time, std::string>> requests;
  for (int ms = 0; ms < 180; ++ms) {
    advance(kMs);
    for (const auto& [time, packet] : packetQueue) {
      const auto message = *wire::decode<Message>(packet.bytes);
      if (packet.from == "a" && std::holds_alternative<TransferRequest>(message)) {
        requests.insert({ time, packet.to });
      }
    }
  }
  CHECK(requests.size() >= 8);
  CHECK(requests.size() <= 24);
}
