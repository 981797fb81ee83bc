#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "LoadedFleet.h"

using namespace figchute;
using namespace figchute::ledger;
using figchute::ledger::test::LoadedFleet;
using figchute::ledger::test::QueueLeader;

namespace {

constexpr Duration kSecond{ 1'000'000 };

} // namespace

// Guards against a leader that is overloaded for many seconds after a partition. Every holder had
// sent one grant request for each need since its start, most of them for requests that no longer
// waited.
TEST_CASE("QuotaManager_controlReturnsAfterPartition_leaderKeepsUp")
{
  for (const std::uint64_t seed : { 1, 2 }) {
    LoadedFleet<QueueLeader> fleet(seed);
    fleet.run(8 * kSecond, false);
    fleet.run(4 * kSecond);
    fleet.setControlCut(true);
    fleet.run(7 * kSecond);
    fleet.setControlCut(false);
    const auto firstSecond = fleet.run(kSecond);
    const auto nextSecond = fleet.run(kSecond);
    INFO("seed ", seed, ", first second: ", firstSecond.text(), "; next: ", nextSecond.text());
    CHECK(nextSecond.longestQueueTime < Proposer::kResendAfter);
    CHECK(nextSecond.noQuorum == 0);
  }
}
