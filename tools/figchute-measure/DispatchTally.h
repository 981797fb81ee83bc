#pragma once

#include "DispatchWorkload.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace figchute::measure {

/** The measurements of one run. */
struct DispatchFigures
{
  /** Percentage of the requests of each kind that were answered on time, indexed by kind. */
  std::array<double, kWorkKindCount> onTimePercent{};
  double creditPercent = 0;
  double repeatedPrefillPercent = 0;
  double refusedPerThousand = 0;
  double failedPerThousand = 0;
  double repeatsPerThousand = 0;
  double crossZonePercent = 0;
  double crossZoneKilobytesPerSecond = 0;
  double firstEventMedianMs = 0;
  double firstEventP95Ms = 0;
  double guideFirstEventP95Ms = 0;
  double longGapsPerThousand = 0;
  /** Percentage of the complete streams of each kind that paused too long between two events,
      indexed by kind. */
  std::array<double, kWorkKindCount> pausedPercent{};
  /** Thousands of tokens per second that engines prefilled, and those of them that are charged as
      repeated. */
  double prefilledKilotokensPerSecond = 0;
  double repeatedPrefillKilotokensPerSecond = 0;
  double crashCount = 0;
};

/** The result of a request as its caller received it. */
struct DispatchResult
{
  WorkKind kind = WorkKind::plain;
  /** Time to the first event; negative if there was none. */
  Duration firstEvent{ -1 };
  Duration longestGap{};
  bool isComplete = false;
  bool isRefused = false;
};

/** Collects the measurements of a run.
    Thread safety: use one instance from one thread only. */
class DispatchTally
{
public:
  void recordResult(const DispatchResult& result);
  void recordSend(bool isCrossZone, bool isRepeat, double kilobytes);
  void addCrossZoneAnswer(double kilobytes) { crossZoneKilobytes_ += kilobytes; }
  void addSharedTokens(std::int64_t tokens) { sharedTokens_ += tokens; }
  /** Records that an engine prefilled a part that it had not cached. */
  void recordPrefill(Time now, std::uint64_t key, std::int64_t tokens);
  /** Records that an engine used a part. */
  void recordPartUse(Time now, std::uint64_t key) { lastUseTimes_[key] = now; }
  void recordCrash() { ++crashCount_; }

  [[nodiscard]] DispatchFigures figures() const;

private:
  struct Kind
  {
    std::uint64_t offeredCount = 0;
    std::uint64_t onTimeCount = 0;
    std::uint64_t lateCount = 0;
    std::uint64_t longGapCount = 0;
  };

  std::array<Kind, kWorkKindCount> kinds_{};
  std::vector<double> firstEventsMs_;
  std::vector<double> guideFirstEventsMs_;
  std::uint64_t refusedCount_ = 0;
  std::uint64_t failedCount_ = 0;
  std::uint64_t sendCount_ = 0;
  std::uint64_t repeatCount_ = 0;
  std::uint64_t crossZoneSendCount_ = 0;
  std::uint64_t crashCount_ = 0;
  double crossZoneKilobytes_ = 0;
  std::int64_t sharedTokens_ = 0;
  std::int64_t repeatedPrefillTokens_ = 0;
  std::int64_t prefilledTokens_ = 0;
  std::unordered_map<std::uint64_t, Time> lastUseTimes_;
};

} // namespace figchute::measure
