#pragma once

#include "ledger/ledger.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <memory>
#include <vector>

namespace figchute::ledger::test {

/** The process that leads the log in simulated fleets. */
inline const ProcessId kControl{ "c" };

inline HolderId holderId(int entry, Incarnation incarnation = Incarnation{ 1 })
{
  return { ProcessId(fmt::format("{:04}", entry)), incarnation };
}

inline BudgetId budgetId(int workspace)
{
  return BudgetId(fmt::format("w:t/{}", workspace));
}

/** Returns the quota managers of entry processes that know each other and control. The processes
    are spread over the availability zones in turn. */
inline std::vector<std::unique_ptr<QuotaManager>> makeHolders(Time now,
                                                              int entries,
                                                              int zones,
                                                              Incarnation incarnation = Incarnation{
                                                                1 })
{
  const auto zoneOf = [zones](int entry) { return ZoneId(fmt::format("z{}", entry % zones)); };
  std::vector<Peer> peers{ { { kControl, {} }, {}, false, true, true } };
  for (int entry = 0; entry < entries; ++entry) {
    peers.push_back({ holderId(entry, incarnation), zoneOf(entry), true, false, true });
  }
  std::vector<std::unique_ptr<QuotaManager>> holders;
  for (int entry = 0; entry < entries; ++entry) {
    holders.push_back(std::make_unique<QuotaManager>(
      routerQuotaSettings(holderId(entry, incarnation), zoneOf(entry))));
    holders.back()->setPeers(now, peers);
  }
  return holders;
}

/** Workspaces whose shares of the requests follow a Zipf distribution. */
class SkewedWorkspaces
{
public:
  SkewedWorkspaces(int count, double skew)
    : skew_(skew)
  {
    double weight = 0;
    for (int workspace = 0; workspace < count; ++workspace) {
      weight += weightOf(workspace);
      cumulativeWeights_.push_back(weight);
    }
  }

  /** Returns the part of all requests that a workspace has, from 0 to 1. */
  [[nodiscard]] double share(int workspace) const
  {
    return weightOf(workspace) / cumulativeWeights_.back();
  }

  /** Returns the workspace of the next request. */
  [[nodiscard]] int pick(Random& random) const
  {
    const auto point = random.unit() * cumulativeWeights_.back();
    return static_cast<int>(
      std::lower_bound(cumulativeWeights_.begin(), cumulativeWeights_.end(), point) -
      cumulativeWeights_.begin());
  }

private:
  [[nodiscard]] double weightOf(int workspace) const { return std::pow(workspace + 1, -skew_); }

  double skew_;
  std::vector<double> cumulativeWeights_;
};

} // namespace figchute::ledger::test
