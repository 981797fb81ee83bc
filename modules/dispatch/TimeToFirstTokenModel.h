#pragma once

#include "core/Types.h"
#include "fleet/Configuration.h"

#include <array>
#include <cstdint>

namespace figchute::dispatch {

/** Number of priorities of a request. */
constexpr std::size_t kPriorities = 10;

/** Returns the place of a priority in a table; values outside the range count as the nearest. Safe
    from any thread. */
constexpr std::size_t priorityIndex(int priority)
{
  return priority < 0                                ? 0
         : priority >= static_cast<int>(kPriorities) ? kPriorities - 1
                                                     : static_cast<std::size_t>(priority);
}

/** Returns the time that an idle engine takes to read a prompt.
    @param newTokens     tokens that are not cached
    @param promptTokens  all tokens of the prompt
    Safe from any thread. */
Duration prefillTime(std::int64_t newTokens, std::int64_t promptTokens);

/** Returns the time of one decode step. Safe from any thread.
    @param running  requests in the batch
    @param context  tokens that they hold */
Duration stepTime(double running, double context);

/** Predicts the time to the first token at one engine.

    It adds the time to read the prompt, the reading that this process has sent there and that has
    not ended, the wait for a slot, and a smoothed excess: how much longer first tokens of late took
    than the rest of the prediction. The excess covers what other processes sent; its weight falls
    with its age.
    Thread safety: use one instance from one thread only. */
class TimeToFirstTokenModel
{
public:
  /** What is known of the engine and the request. */
  struct Input
  {
    std::int64_t newTokens = 0;
    std::int64_t promptTokens = 0;
    int priority = 5;
    /** Estimated running and waiting requests of all processes. */
    double load = 0;
    double slots = 1;
    /** Mean time that a request keeps its slot. */
    Duration serviceTime{};
  };

  /** Returns the prediction without the excess. */
  [[nodiscard]] Duration base(const Input& input) const;

  /** Returns the whole prediction. */
  [[nodiscard]] Duration predict(Time now, const Input& input) const;

  /** Counts the reading of a request that was sent. */
  void sent(int priority, Duration reading) { pending_.at(priorityIndex(priority)) += reading; }

  /** The reading of a sent request ended or was given up. */
  void ended(int priority, Duration reading) { pending_.at(priorityIndex(priority)) -= reading; }

  /** Records a first token.
      @param expected  base() when the request was sent
      @param actual    the time it took */
  void observe(Time now, Duration expected, Duration actual);

  /** Returns the current excess. */
  [[nodiscard]] Duration excess(Time now) const;

private:
  std::array<Duration, kPriorities> pending_{};
  Duration excess_{};
  Time observedAt_;
};

} // namespace figchute::dispatch
