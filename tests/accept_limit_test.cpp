#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "LinkModel.h"

#include <doctest/doctest.h>
#include <utility>
#include <vector>

using namespace figchute;
using namespace figchute::router;

namespace {

constexpr double kMegabit = 1e6 / 8;

/** Runs 12 s of a model. */
LinkModel played(Policy policy, const std::vector<double>& megabits, std::vector<HomeLoad> loads)
{
  LinkModel model(policy, megabits, std::move(loads));
  model.run(12);
  return model;
}

/** Checks that more requests of every kind with a short target are on time than with a long queue,
    and that no fewer of the others are. */
void checkAgainstLongQueue(const std::vector<double>& megabits, const std::vector<HomeLoad>& loads)
{
  const auto before = played(Policy::acceptLimit, megabits, loads);
  const auto after = played(Policy::shortQueue, megabits, loads);
  CAPTURE(before.describe());
  CAPTURE(after.describe());
  for (std::size_t i = 0; i < kReport; ++i) {
    CHECK(after.onTimeShare(i) > before.onTimeShare(i));
  }
  CHECK(after.onTimeShare(kSubmission) > before.onTimeShare(kSubmission) + 0.1);
}

} // namespace

// Guards against requests that are served after their target because their connections waited to
// be accepted behind those of others, or because they waited for a link that was filled.
TEST_CASE("AcceptLimit_workspaceAtOneVm_moreRequestsAreOnTime")
{
  checkAgainstLongQueue({ 10, 10, 10, 10 }, { { 0, 300 } });
}

TEST_CASE("AcceptLimit_neighbouringVmFullToo_moreRequestsAreOnTime")
{
  checkAgainstLongQueue({ 10, 10 }, { { 0, 300 }, { 1, 300 } });
}

TEST_CASE("AcceptLimit_vmsOfUnequalBandwidth_moreRequestsAreOnTime")
{
  checkAgainstLongQueue({ 7.5, 25 }, { { 0, 300 }, { 1, 300 } });
}

// Guards against connections that are lost at a VM whose link has room.
TEST_CASE("AcceptLimit_loadBelowTheLink_everyRequestIsServed")
{
  const auto model = played(Policy::shortQueue, { 10, 10 }, { { 0, 60 }, { 1, 60 } });
  CAPTURE(model.describe());
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    CHECK(model.outcome(i).notConnected == 0);
    CHECK(model.onTimeShare(i) > 0.99);
  }
}

TEST_CASE("AcceptLimit_backlog_growsWithTheBandwidthWithinItsBounds")
{
  constexpr int kMaxBacklog = 4096;
  const AcceptLimit limit{ 0.5, std::chrono::milliseconds(10), 3 };
  CHECK(limit.backlog(0.1 * kMegabit, kMaxBacklog) == 3);
  CHECK(limit.backlog(25 * kMegabit, kMaxBacklog) == 7);
  CHECK(limit.backlog(1000 * kMegabit, kMaxBacklog) == 305);
  CHECK(limit.backlog(100'000 * kMegabit, kMaxBacklog) == kMaxBacklog);
}
