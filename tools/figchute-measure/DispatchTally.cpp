#include "DispatchTally.h"

#include <algorithm>

namespace figchute::measure {
namespace {

/** A part that is prefilled again within this time of its last use counts as a repeated prefill,
    which is charged. */
constexpr Duration kRepeatedPrefillInterval = std::chrono::seconds(9);
constexpr Duration kMaxGap = std::chrono::milliseconds(500);

double percentOf(double part, double total)
{
  return total > 0 ? 100 * part / total : 0;
}

double quantile(std::vector<double> values, double fraction)
{
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(fraction * static_cast<double>(values.size() - 1))];
}

} // namespace

void DispatchTally::recordResult(const DispatchResult& result)
{
  auto& kind = kinds_.at(static_cast<std::size_t>(result.kind));
  const auto& traits = traitsOf(result.kind);
  ++kind.offeredCount;
  if (result.firstEvent >= Duration(0)) {
    const double firstEventMs = static_cast<double>(result.firstEvent.count()) * 1e-3;
    firstEventsMs_.push_back(firstEventMs);
    if (result.kind == WorkKind::guide) {
      guideFirstEventsMs_.push_back(firstEventMs);
    }
  }
  refusedCount_ += result.isRefused ? 1 : 0;
  if (!result.isComplete) {
    failedCount_ += result.isRefused ? 0 : 1;
    return;
  }
  const bool exceedsMaxGap = result.longestGap > kMaxGap;
  kind.longGapCount += exceedsMaxGap ? 1 : 0;
  const bool isOnTime = result.firstEvent <= traits.firstEventTarget && !exceedsMaxGap;
  ++(isOnTime ? kind.onTimeCount : kind.lateCount);
}

void DispatchTally::recordSend(bool isCrossZone, bool isRepeat, double kilobytes)
{
  ++sendCount_;
  repeatCount_ += isRepeat ? 1 : 0;
  if (isCrossZone) {
    ++crossZoneSendCount_;
    crossZoneKilobytes_ += kilobytes;
  }
}

void DispatchTally::recordPrefill(Time now, std::uint64_t key, std::int64_t tokens)
{
  prefilledTokens_ += tokens;
  const auto lastUseIt = lastUseTimes_.find(key);
  if (lastUseIt != lastUseTimes_.end() && now - lastUseIt->second <= kRepeatedPrefillInterval) {
    repeatedPrefillTokens_ += tokens;
  }
}

DispatchFigures DispatchTally::figures() const
{
  DispatchFigures figures;
  double offeredCount = 0;
  double possibleCredit = 0;
  double earnedCredit = 0;
  double longGaps = 0;
  for (std::size_t i = 0; i < kWorkKindCount; ++i) {
    const auto& kind = kinds_.at(i);
    const auto& traits = traitsOf(static_cast<WorkKind>(i));
    const auto kindOffered = static_cast<double>(kind.offeredCount);
    figures.onTimePercent.at(i) = percentOf(static_cast<double>(kind.onTimeCount), kindOffered);
    figures.pausedPercent.at(i) = percentOf(static_cast<double>(kind.longGapCount),
                                            static_cast<double>(kind.onTimeCount + kind.lateCount));
    offeredCount += kindOffered;
    longGaps += static_cast<double>(kind.longGapCount);
    possibleCredit += kindOffered * traits.creditOnTime;
    earnedCredit += static_cast<double>(kind.onTimeCount) * traits.creditOnTime +
                    static_cast<double>(kind.lateCount) * traits.creditLate;
  }
  figures.creditPercent = percentOf(earnedCredit, possibleCredit);
  figures.repeatedPrefillPercent =
    percentOf(static_cast<double>(repeatedPrefillTokens_), static_cast<double>(sharedTokens_));
  const double seconds = std::chrono::duration<double>(kDispatchRunDuration).count();
  figures.prefilledKilotokensPerSecond = static_cast<double>(prefilledTokens_) * 1e-3 / seconds;
  figures.repeatedPrefillKilotokensPerSecond =
    static_cast<double>(repeatedPrefillTokens_) * 1e-3 / seconds;
  figures.refusedPerThousand = 10 * percentOf(static_cast<double>(refusedCount_), offeredCount);
  figures.failedPerThousand = 10 * percentOf(static_cast<double>(failedCount_), offeredCount);
  figures.repeatsPerThousand = 10 * percentOf(static_cast<double>(repeatCount_), offeredCount);
  figures.crossZonePercent =
    percentOf(static_cast<double>(crossZoneSendCount_), static_cast<double>(sendCount_));
  figures.crossZoneKilobytesPerSecond = crossZoneKilobytes_ / seconds;
  figures.firstEventMedianMs = quantile(firstEventsMs_, 0.5);
  figures.firstEventP95Ms = quantile(firstEventsMs_, 0.95);
  figures.guideFirstEventP95Ms = quantile(guideFirstEventsMs_, 0.95);
  figures.longGapsPerThousand = 10 * percentOf(longGaps, offeredCount);
  figures.crashCount = static_cast<double>(crashCount_);
  return figures;
}

} // namespace figchute::measure
