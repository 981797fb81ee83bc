#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "LoadedDay.h"

using namespace figchute;
using namespace figchute::ledger;

namespace {

constexpr int kEntries = 1000;

} // namespace

// The same days as in control_load_test with the largest number of entry processes.
TEST_CASE("Control_largestFleetReturnsAfterPartition_hasTimeForOtherWork")
{
  test::runDayWithPartition(kEntries);
}

TEST_CASE("Control_allProcessesOfLargestFleetRestart_hasTimeForOtherWork")
{
  test::runDayWithRestart(kEntries);
}
