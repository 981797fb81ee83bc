#pragma once

#include "DispatchWorkload.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace figchute::measure {

/** Figures of one run. */
struct DispatchFigures
{
  /** Percent of the requests of a kind, by kind. */
  std::array<double, kWorkKinds> onTime{};
  double credit = 0;
  double reread = 0;
  double refused = 0;
  double failed = 0;
  double repeats = 0;
  double crossZone = 0;
  double crossZoneKilobytes = 0;
  double firstEventMedian = 0;
  double firstEventP95 = 0;
  double guideP95 = 0;
  double gapsMissed = 0;
  /** Percent of the complete streams of a kind, by kind. */
  std::array<double, kWorkKinds> paused{};
  /** Thousands of tokens per second that engines read, and of those the charged ones. */
  double readRate = 0;
  double rereadRate = 0;
  double crashes = 0;
};

/** How a request ended for its caller. */
struct DispatchResult
{
  WorkKind kind = WorkKind::plain;
  /** Time to the first event; negative when there was none. */
  Duration firstEvent{ -1 };
  Duration longestGap{};
  bool complete = false;
  bool refused = false;
};

/** Collects what happens in a run.
    Thread safety: use one instance from one thread only. */
class DispatchTally
{
public:
  void ended(const DispatchResult& result);
  void sent(bool crossZone, bool repeat, double kilobytes);
  void answeredAcross(double kilobytes) { crossKilobytes_ += kilobytes; }
  void sharedOffered(std::int64_t tokens) { sharedTokens_ += tokens; }
  /** An engine read a part that was not cached there. */
  void partRead(Time now, std::uint64_t key, std::int64_t tokens);
  /** An engine used a part. */
  void partUsed(Time now, std::uint64_t key) { lastUse_[key] = now; }
  void crashed() { ++crashes_; }

  [[nodiscard]] DispatchFigures figures() const;

private:
  struct Kind
  {
    std::uint64_t offered = 0;
    std::uint64_t onTime = 0;
    std::uint64_t late = 0;
    std::uint64_t gapsMissed = 0;
  };

  std::array<Kind, kWorkKinds> kinds_{};
  std::vector<double> firstEvents_;
  std::vector<double> guideFirstEvents_;
  std::uint64_t refused_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t sends_ = 0;
  std::uint64_t repeats_ = 0;
  std::uint64_t crossSends_ = 0;
  std::uint64_t crashes_ = 0;
  double crossKilobytes_ = 0;
  std::int64_t sharedTokens_ = 0;
  std::int64_t rereadTokens_ = 0;
  std::int64_t readTokens_ = 0;
  std::unordered_map<std::uint64_t, Time> lastUse_;
};

} // namespace figchute::measure
