#pragma once

#include "core/core.h"

#include <array>
#include <cstdint>
#include <map>

namespace figchute::control {

/** Decides how often each holder may request grants, so that the commands of all holders together
    take a limited share of the leader's time, whatever their number and the cost of a command.
    Thread safety: use one instance from one thread only. */
class CommandPacer
{
public:
  /** The share of the leader's time that commands of holders may take. The rest is for the
      replicated log, operators, endpoints and updates of the fleet. */
  static constexpr double kMaxShare = 0.4;
  /** Below this share, holders are not limited. In between, the limit rises evenly. */
  static constexpr double kUnlimitedShare = 0.2;
  /** The limit is in full force when a proposal has waited for this time before it is appended to
      the log. */
  static constexpr Duration kMaxQueueTime = std::chrono::milliseconds(50);

  /** The share that the settlements of recalled holders may take while the limit is in full force.
   */
  static constexpr double kMaxRecallShare = 0.1;

  /** Adds the time that a turn of the event loop spent on commands. */
  void addTime(Time now, Duration time);

  /** Adds an applied command. */
  void addCommand(Time now);

  /** Adds a holder that sent a command. */
  void addHolder(Time now, const ProcessId& holder) { lastCommandAt_[holder] = now; }

  /** Returns the minimum time between two grant requests that a holder should keep; 0 if holders
      are not limited, and at most ledger::kMaxGrantInterval.
      @param queueTime  how long the oldest proposal has waited
      @see ledger::ProposeReply::grantIntervalMicros */
  [[nodiscard]] Duration grantInterval(Time now, Duration queueTime);

  /** Returns whether a holder may be recalled, which makes it send a settlement, and counts it.
      @param queueTime  as in grantInterval() */
  bool takeRecall(Time now, Duration queueTime);

private:
  static constexpr Duration kBucketTime = std::chrono::milliseconds(100);
  /** The complete buckets by which the share of the time is measured. */
  static constexpr std::size_t kMeasuredBuckets = 5;
  /** Holders that sent no command for this time do not count. */
  static constexpr Duration kActiveTime = std::chrono::seconds(1);

  /** What happened in one interval of time. */
  struct Bucket
  {
    Duration time{ 0 };
    std::uint64_t commands = 0;
  };

  /** Completes the buckets whose time has passed. */
  void completeBuckets(Time now);
  /** Computes the share and the interval from the complete buckets.
      Precondition: the current bucket is empty. */
  void measure(Time now);
  /** Returns how strict the limit is, from 0 to 1. */
  [[nodiscard]] double strength(Duration queueTime) const;

  /** The complete buckets, and the current one at the index `current_`. */
  std::array<Bucket, kMeasuredBuckets + 1> buckets_{};
  std::size_t current_ = 0;
  Time currentStartedAt_;
  std::map<ProcessId, Time> lastCommandAt_;
  /** The share of the time that commands took, the mean time of one, and the interval at which
     those of all holders take kMaxShare. */
  double share_ = 0;
  double secondsPerCommand_ = 0;
  Duration fullInterval_{ 0 };
  /** The time at which the recalls so far have used up what they may. */
  Time recallsUsedUntil_;
};

} // namespace figchute::control
