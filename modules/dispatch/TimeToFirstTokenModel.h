#pragma once

#include "core/Types.h"
#include "fleet/Configuration.h"

#include <array>
#include <cstdint>

namespace figchute::dispatch {

constexpr std::size_t kPriorityCount = 10;

/** Returns the index of a priority in a table; values out of range are clamped. Safe from any
    thread. */
constexpr std::size_t priorityIndex(int priority)
{
  return priority < 0                                   ? 0
         : priority >= static_cast<int>(kPriorityCount) ? kPriorityCount - 1
                                                        : static_cast<std::size_t>(priority);
}

/** Returns the time that an idle engine takes to prefill a prompt. Safe from any thread.
    @param uncachedTokens  tokens that are not cached
    @param promptTokens    all tokens of the prompt */
Duration prefillTime(std::int64_t uncachedTokens, std::int64_t promptTokens);

/** Returns the time of one decode step. Safe from any thread.
    @param running  requests in the batch
    @param context  tokens that they hold in the KV cache */
Duration stepTime(double running, double context);

/** Predicts the time to the first token at one engine.

    The base estimate is the sum of the prefill time of the prompt, the pending prefill of requests
    that this process sent to the engine, and the wait for a slot. The residual, a smoothed
    difference between measured times and their base estimates, accounts for the requests of other
    processes; it decays with its age.
    Thread safety: use one instance from one thread only. */
class TimeToFirstTokenModel
{
public:
  /** State of the engine and the request that a prediction depends on. */
  struct Input
  {
    std::int64_t uncachedTokens = 0;
    std::int64_t promptTokens = 0;
    int priority = 5;
    /** Estimated running and waiting requests of all processes. */
    double load = 0;
    double slots = 1;
    /** Mean time that a request occupies a slot. */
    Duration serviceTime{};
    /** Speed of the engine relative to the mean of its service. */
    double speed = 1;
  };

  /** Returns the prediction without the residual. */
  [[nodiscard]] Duration baseEstimate(const Input& input) const;

  /** Returns the prediction including the residual. */
  [[nodiscard]] Duration predict(Time now, const Input& input) const;

  /** Adds the prefill time of a request that was sent. */
  void addPendingPrefill(int priority, Duration prefill)
  {
    pendingPrefill_.at(priorityIndex(priority)) += prefill;
  }

  /** Removes the prefill time of a request whose prefill was completed or cancelled. */
  void removePendingPrefill(int priority, Duration prefill)
  {
    pendingPrefill_.at(priorityIndex(priority)) -= prefill;
  }

  /** Records a first token.
      @param baseTtft  result of baseEstimate() when the request was sent
      @param actual    measured time to the first token */
  void recordFirstToken(Time now, Duration baseTtft, Duration actual);

  [[nodiscard]] Duration residual(Time now) const;

private:
  std::array<Duration, kPriorityCount> pendingPrefill_{};
  Duration residual_{};
  Time residualUpdatedAt_;
};

} // namespace figchute::dispatch
