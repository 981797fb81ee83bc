#include "RoutingTally.h"

#include <algorithm>
#include <cmath>

namespace figchute::measure {
namespace {

double percent(double part, double whole)
{
  return whole == 0 ? 100 : 100 * part / whole;
}

double quantile(const std::vector<double>& sorted, double fraction)
{
  if (sorted.empty()) {
    return 0;
  }
  const auto last = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(last * fraction)];
}

bool isOnTime(const PlannedRequest& request, const RequestRecord& record)
{
  const auto target = kTargets.at(static_cast<std::size_t>(request.rank));
  return record.firstToken != Time{} && record.firstToken - request.arrival <= target &&
         record.status != RequestRecord::Status::failed;
}

} // namespace

RoutingTally::RoutingTally(const std::vector<PlannedRequest>& requests)
  : requests_(requests)
  , records_(requests.size())
{
}

bool RoutingTally::isCounted(const PlannedRequest& request)
{
  return request.arrival >= kCountFrom && request.arrival < kCountUntil && !request.crashes;
}

void RoutingTally::addTokens(Time now, std::size_t request, int tokens)
{
  if (now >= kCountFrom && now < kArrivalsEnd) {
    const auto& planned = requests_[request];
    served_.at(static_cast<std::size_t>(planned.rank))
      .at(static_cast<std::size_t>(planned.workspace)) += tokens;
  }
}

void RoutingTally::setCacheFigures(std::int64_t cached, std::int64_t prompt)
{
  cacheHits_ = percent(static_cast<double>(cached), static_cast<double>(prompt));
}

RoutingFigures RoutingTally::figures() const
{
  RoutingFigures figures;
  figures.capacityUsed = std::min(percent(useful_, capacity_), 100.0);
  figures.cacheHits = cacheHits_;
  figures.workAfterLeave = workAfterLeave_;
  fillRanks(figures);
  fillLatency(figures);
  fillShares(figures);
  return figures;
}

void RoutingTally::fillRanks(RoutingFigures& figures) const
{
  std::array<double, kRankCount> offered{};
  std::array<double, kRankCount> onTime{};
  double counted = 0;
  double retries = 0;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    if (!isCounted(requests_[i])) {
      continue;
    }
    const auto rank = static_cast<std::size_t>(requests_[i].rank);
    const bool good = isOnTime(requests_[i], records_[i]);
    ++counted;
    ++offered.at(rank);
    onTime.at(rank) += good ? 1 : 0;
    figures.smallOnTime += good && requests_[i].workspace >= kLargeWorkspaces ? 1 : 0;
    const bool cut =
      records_[i].status == RequestRecord::Status::failed && records_[i].firstToken != Time{};
    figures.cutRequests += cut ? 1 : 0;
    retries += records_[i].retries;
  }
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    figures.onTime.at(rank) = percent(onTime.at(rank), offered.at(rank));
  }
  figures.retries = counted == 0 ? 0 : 1000 * retries / counted;
}

void RoutingTally::fillLatency(RoutingFigures& figures) const
{
  std::vector<double> millis;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const bool urgent = requests_[i].rank == Rank::urgent && isCounted(requests_[i]);
    if (urgent && records_[i].firstToken != Time{}) {
      const auto micros = (records_[i].firstToken - requests_[i].arrival).count();
      millis.push_back(static_cast<double>(micros) / 1000);
    }
  }
  std::sort(millis.begin(), millis.end());
  figures.firstTokenMedian = quantile(millis, 0.5);
  figures.firstTokenP95 = quantile(millis, 0.95);
  figures.firstTokenP99 = quantile(millis, 0.99);
}

/** What one global queue with equal weights would give each workspace of the tokens that the rank
    got: the smaller of its demand and an equal share, filled up until all is given. */
RoutingTally::ByWorkspace RoutingTally::entitlement(std::size_t rank) const
{
  ByWorkspace demand{};
  for (const auto& request : requests_) {
    if (static_cast<std::size_t>(request.rank) == rank && request.arrival < kArrivalsEnd) {
      demand.at(static_cast<std::size_t>(request.workspace)) += request.output;
    }
  }
  double left = 0;
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    left += served_.at(rank).at(i);
    demand.at(i) =
      std::max(demand.at(i) * static_cast<double>((kArrivalsEnd - kCountFrom).count()) /
                 static_cast<double>(kArrivalsEnd.micros),
               0.0);
  }
  std::array<std::size_t, kWorkspaces> order{};
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    order.at(i) = i;
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return demand.at(a) < demand.at(b);
  });
  ByWorkspace result{};
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    const double share = left / static_cast<double>(kWorkspaces - i);
    const auto workspace = order.at(i);
    result.at(workspace) = std::min(demand.at(workspace), share);
    left -= result.at(workspace);
  }
  return result;
}

void RoutingTally::fillShares(RoutingFigures& figures) const
{
  ByWorkspace served{};
  ByWorkspace entitled{};
  double error = 0;
  double all = 0;
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    const auto ideal = entitlement(rank);
    for (std::size_t i = 0; i < kWorkspaces; ++i) {
      served.at(i) += served_.at(rank).at(i);
      entitled.at(i) += ideal.at(i);
      error += std::abs(served_.at(rank).at(i) - ideal.at(i)) / 2;
      all += ideal.at(i);
    }
  }
  double sum = 0;
  double squares = 0;
  int count = 0;
  for (std::size_t i = 0; i < kWorkspaces; ++i) {
    if (entitled.at(i) > 0) {
      const double ratio = served.at(i) / entitled.at(i);
      sum += ratio;
      squares += ratio * ratio;
      ++count;
    }
  }
  figures.jain = squares == 0 ? 1 : sum * sum / (count * squares);
  figures.shareError = all == 0 ? 0 : 100 * error / all;
}

} // namespace figchute::measure
