#include "control/CommandPacer.h"

#include "ledger/Message.h"

#include <algorithm>

namespace figchute::control {
namespace {

/** The commands that a holder sends in the time of one grant interval. */
constexpr double kCommandsPerInterval = 1 + 1.0 / ledger::kSettlePauseFactor;

Duration toDuration(double seconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

Duration scaled(Duration duration, double factor)
{
  return toDuration(toSeconds(duration) * factor);
}

} // namespace

void CommandPacer::addTime(Time now, Duration time)
{
  completeBuckets(now);
  buckets_.at(current_).time += time;
}

void CommandPacer::addCommand(Time now)
{
  completeBuckets(now);
  ++buckets_.at(current_).commands;
}

double CommandPacer::strength(Duration queueTime) const
{
  const auto byShare = (share_ - kUnlimitedShare) / (kMaxShare - kUnlimitedShare);
  const auto byQueue = toSeconds(queueTime) / toSeconds(kMaxQueueTime);
  return std::clamp(std::max(byShare, byQueue), 0.0, 1.0);
}

Duration CommandPacer::grantInterval(Time now, Duration queueTime)
{
  completeBuckets(now);
  const auto interval = scaled(fullInterval_, strength(queueTime));
  return std::min<Duration>(interval, ledger::kMaxGrantInterval);
}

bool CommandPacer::takeRecall(Time now, Duration queueTime)
{
  completeBuckets(now);
  if (now < recallsUsedUntil_) {
    return false;
  }
  const auto interval = toDuration(secondsPerCommand_ / kMaxRecallShare);
  recallsUsedUntil_ =
    std::max(recallsUsedUntil_, now - kBucketTime) + scaled(interval, strength(queueTime));
  return true;
}

void CommandPacer::completeBuckets(Time now)
{
  if (now < currentStartedAt_ + kBucketTime) {
    return;
  }
  if (now >= currentStartedAt_ + buckets_.size() * kBucketTime) {
    buckets_.fill({});
    currentStartedAt_ = now;
  }
  while (now >= currentStartedAt_ + kBucketTime) {
    currentStartedAt_ = currentStartedAt_ + kBucketTime;
    current_ = (current_ + 1) % buckets_.size();
    buckets_.at(current_) = {};
  }
  measure(now);
}

void CommandPacer::measure(Time now)
{
  std::erase_if(lastCommandAt_,
                [now](const auto& item) { return now >= item.second + kActiveTime; });
  Bucket total;
  for (const auto& bucket : buckets_) {
    total.time += bucket.time;
    total.commands += bucket.commands;
  }
  share_ = toSeconds(total.time) / toSeconds(kMeasuredBuckets * kBucketTime);
  if (total.commands == 0) {
    return;
  }
  secondsPerCommand_ = toSeconds(total.time) / static_cast<double>(total.commands);
  const auto holders = static_cast<double>(lastCommandAt_.size());
  fullInterval_ = toDuration(holders * kCommandsPerInterval * secondsPerCommand_ / kMaxShare);
}

} // namespace figchute::control
