#include "DispatchTally.h"

#include <algorithm>

namespace figchute::measure {
namespace {

/** A part that is read again within this time of its last use is charged. */
constexpr Duration kCharged = std::chrono::seconds(9);
constexpr Duration kGapTarget = std::chrono::milliseconds(500);

double percent(double part, double all)
{
  return all > 0 ? 100 * part / all : 0;
}

double quantile(std::vector<double> values, double at)
{
  if (values.empty()) {
    return 0;
  }
  std::sort(values.begin(), values.end());
  return values[static_cast<std::size_t>(at * static_cast<double>(values.size() - 1))];
}

} // namespace

void DispatchTally::ended(const DispatchResult& result)
{
  auto& kind = kinds_.at(static_cast<std::size_t>(result.kind));
  const auto& traits = traitsOf(result.kind);
  ++kind.offered;
  if (result.firstEvent >= Duration(0)) {
    const double millis = static_cast<double>(result.firstEvent.count()) * 1e-3;
    firstEvents_.push_back(millis);
    if (result.kind == WorkKind::guide) {
      guideFirstEvents_.push_back(millis);
    }
  }
  refused_ += result.refused ? 1 : 0;
  if (!result.complete) {
    failed_ += result.refused ? 0 : 1;
    return;
  }
  const bool gapMissed = result.longestGap > kGapTarget;
  kind.gapsMissed += gapMissed ? 1 : 0;
  const bool onTime = result.firstEvent <= traits.target && !gapMissed;
  ++(onTime ? kind.onTime : kind.late);
}

void DispatchTally::sent(bool crossZone, bool repeat, double kilobytes)
{
  ++sends_;
  repeats_ += repeat ? 1 : 0;
  if (crossZone) {
    ++crossSends_;
    crossKilobytes_ += kilobytes;
  }
}

void DispatchTally::partRead(Time now, std::uint64_t key, std::int64_t tokens)
{
  readTokens_ += tokens;
  const auto last = lastUse_.find(key);
  if (last != lastUse_.end() && now - last->second <= kCharged) {
    rereadTokens_ += tokens;
  }
}

DispatchFigures DispatchTally::figures() const
{
  DispatchFigures figures;
  double offered = 0;
  double possible = 0;
  double earned = 0;
  double gaps = 0;
  for (std::size_t i = 0; i < kWorkKinds; ++i) {
    const auto& kind = kinds_.at(i);
    const auto& traits = traitsOf(static_cast<WorkKind>(i));
    const auto all = static_cast<double>(kind.offered);
    figures.onTime.at(i) = percent(static_cast<double>(kind.onTime), all);
    figures.paused.at(i) =
      percent(static_cast<double>(kind.gapsMissed), static_cast<double>(kind.onTime + kind.late));
    offered += all;
    gaps += static_cast<double>(kind.gapsMissed);
    possible += all * traits.creditOnTime;
    earned += static_cast<double>(kind.onTime) * traits.creditOnTime +
              static_cast<double>(kind.late) * traits.creditLate;
  }
  figures.credit = percent(earned, possible);
  figures.reread = percent(static_cast<double>(rereadTokens_), static_cast<double>(sharedTokens_));
  const double seconds = std::chrono::duration<double>(kDispatchRun).count();
  figures.readRate = static_cast<double>(readTokens_) * 1e-3 / seconds;
  figures.rereadRate = static_cast<double>(rereadTokens_) * 1e-3 / seconds;
  figures.refused = 10 * percent(static_cast<double>(refused_), offered);
  figures.failed = 10 * percent(static_cast<double>(failed_), offered);
  figures.repeats = 10 * percent(static_cast<double>(repeats_), offered);
  figures.crossZone = percent(static_cast<double>(crossSends_), static_cast<double>(sends_));
  figures.crossZoneKilobytes = crossKilobytes_ / seconds;
  figures.firstEventMedian = quantile(firstEvents_, 0.5);
  figures.firstEventP95 = quantile(firstEvents_, 0.95);
  figures.guideP95 = quantile(guideFirstEvents_, 0.95);
  figures.gapsMissed = 10 * percent(gaps, offered);
  figures.crashes = static_cast<double>(crashes_);
  return figures;
}

} // namespace figchute::measure
