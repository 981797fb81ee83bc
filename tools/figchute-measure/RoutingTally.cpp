#include "RoutingTally.h"

#include <algorithm>
#include <cmath>

namespace figchute::measure {
namespace {

double percentOf(double part, double total)
{
  return total == 0 ? 100 : 100 * part / total;
}

double quantile(const std::vector<double>& sorted, double fraction)
{
  if (sorted.empty()) {
    return 0;
  }
  const auto lastIndex = static_cast<double>(sorted.size() - 1);
  return sorted[static_cast<std::size_t>(lastIndex * fraction)];
}

bool isOnTime(const PlannedRequest& request, const RequestRecord& record)
{
  const auto target = kFirstTokenTargets.at(static_cast<std::size_t>(request.rank));
  return record.firstTokenTime != Time{} && record.firstTokenTime - request.arrival <= target &&
         record.status != RequestRecord::Status::failed;
}

} // namespace

RoutingTally::RoutingTally(const std::vector<PlannedRequest>& requests)
  : requests_(requests)
  , records_(requests.size())
{
}

bool RoutingTally::isMeasured(const PlannedRequest& request)
{
  return request.arrival >= kMeasurementStart && request.arrival < kMeasurementEnd &&
         !request.crashesEngine;
}

void RoutingTally::addTokens(Time now, std::size_t request, int tokens)
{
  if (now >= kMeasurementStart && now < kArrivalsEnd) {
    const auto& planned = requests_[request];
    servedTokens_.at(static_cast<std::size_t>(planned.rank))
      .at(static_cast<std::size_t>(planned.workspace)) += tokens;
  }
}

void RoutingTally::setCacheFigures(std::int64_t cachedTokens, std::int64_t promptTokens)
{
  cacheHitsPercent_ =
    percentOf(static_cast<double>(cachedTokens), static_cast<double>(promptTokens));
}

RoutingFigures RoutingTally::figures() const
{
  RoutingFigures figures;
  figures.capacityUsedPercent =
    std::min(percentOf(usefulSlotSeconds_, capacitySlotSeconds_), 100.0);
  figures.cacheHitsPercent = cacheHitsPercent_;
  figures.arrivalsAfterLeaveCount = arrivalsAfterLeaveCount_;
  computeRankFigures(figures);
  computeLatencyFigures(figures);
  computeShareFigures(figures);
  return figures;
}

void RoutingTally::computeRankFigures(RoutingFigures& figures) const
{
  std::array<double, kRankCount> measuredCounts{};
  std::array<double, kRankCount> onTimeCounts{};
  double totalMeasured = 0;
  double totalRetries = 0;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    if (!isMeasured(requests_[i])) {
      continue;
    }
    const auto rank = static_cast<std::size_t>(requests_[i].rank);
    const bool isServedOnTime = isOnTime(requests_[i], records_[i]);
    ++totalMeasured;
    ++measuredCounts.at(rank);
    onTimeCounts.at(rank) += isServedOnTime ? 1 : 0;
    figures.smallWorkspacesOnTimeCount +=
      isServedOnTime && requests_[i].workspace >= kLargeWorkspaceCount ? 1 : 0;
    const bool isInterrupted =
      records_[i].status == RequestRecord::Status::failed && records_[i].firstTokenTime != Time{};
    figures.interruptedRequestCount += isInterrupted ? 1 : 0;
    totalRetries += records_[i].retryCount;
  }
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    figures.onTimePercent.at(rank) = percentOf(onTimeCounts.at(rank), measuredCounts.at(rank));
  }
  figures.retriesPerThousand = totalMeasured == 0 ? 0 : 1000 * totalRetries / totalMeasured;
}

void RoutingTally::computeLatencyFigures(RoutingFigures& figures) const
{
  std::vector<double> firstTokenMs;
  for (std::size_t i = 0; i < requests_.size(); ++i) {
    const bool isMeasuredUrgent = requests_[i].rank == Rank::urgent && isMeasured(requests_[i]);
    if (isMeasuredUrgent && records_[i].firstTokenTime != Time{}) {
      const auto firstTokenMicros = (records_[i].firstTokenTime - requests_[i].arrival).count();
      firstTokenMs.push_back(static_cast<double>(firstTokenMicros) / 1000);
    }
  }
  std::sort(firstTokenMs.begin(), firstTokenMs.end());
  figures.firstTokenMedianMs = quantile(firstTokenMs, 0.5);
  figures.firstTokenP95Ms = quantile(firstTokenMs, 0.95);
  figures.firstTokenP99Ms = quantile(firstTokenMs, 0.99);
}

/** Returns how one global queue with equal weights would distribute the tokens that a rank received
    among the workspaces: each receives the smaller of its demand and an equal share, and what is
    left over is distributed in the same way until no tokens remain. */
RoutingTally::TokensByWorkspace RoutingTally::fairShares(std::size_t rank) const
{
  TokensByWorkspace demandTokens{};
  for (const auto& request : requests_) {
    if (static_cast<std::size_t>(request.rank) == rank && request.arrival < kArrivalsEnd) {
      demandTokens.at(static_cast<std::size_t>(request.workspace)) += request.outputTokens;
    }
  }
  double remainingTokens = 0;
  for (std::size_t i = 0; i < kWorkspaceCount; ++i) {
    remainingTokens += servedTokens_.at(rank).at(i);
    demandTokens.at(i) = std::max(
      demandTokens.at(i) * static_cast<double>((kArrivalsEnd - kMeasurementStart).count()) /
        static_cast<double>(kArrivalsEnd.micros),
      0.0);
  }
  std::array<std::size_t, kWorkspaceCount> order{};
  for (std::size_t i = 0; i < kWorkspaceCount; ++i) {
    order.at(i) = i;
  }
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return demandTokens.at(a) < demandTokens.at(b);
  });
  TokensByWorkspace shares{};
  for (std::size_t i = 0; i < kWorkspaceCount; ++i) {
    const double equalShare = remainingTokens / static_cast<double>(kWorkspaceCount - i);
    const auto workspace = order.at(i);
    shares.at(workspace) = std::min(demandTokens.at(workspace), equalShare);
    remainingTokens -= shares.at(workspace);
  }
  return shares;
}

void RoutingTally::computeShareFigures(RoutingFigures& figures) const
{
  TokensByWorkspace servedTokens{};
  TokensByWorkspace fairTokens{};
  double misallocatedTokens = 0;
  double totalTokens = 0;
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    const auto rankFairShares = fairShares(rank);
    for (std::size_t i = 0; i < kWorkspaceCount; ++i) {
      servedTokens.at(i) += servedTokens_.at(rank).at(i);
      fairTokens.at(i) += rankFairShares.at(i);
      misallocatedTokens += std::abs(servedTokens_.at(rank).at(i) - rankFairShares.at(i)) / 2;
      totalTokens += rankFairShares.at(i);
    }
  }
  double ratioSum = 0;
  double squareSum = 0;
  int workspaceCount = 0;
  for (std::size_t i = 0; i < kWorkspaceCount; ++i) {
    if (fairTokens.at(i) > 0) {
      const double ratio = servedTokens.at(i) / fairTokens.at(i);
      ratioSum += ratio;
      squareSum += ratio * ratio;
      ++workspaceCount;
    }
  }
  figures.jainIndex = squareSum == 0 ? 1 : ratioSum * ratioSum / (workspaceCount * squareSum);
  figures.shareErrorPercent = totalTokens == 0 ? 0 : 100 * misallocatedTokens / totalTokens;
}

} // namespace figchute::measure
