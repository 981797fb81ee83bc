#pragma once

#include "core/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace figchute::dispatch {

/** Limits repeats to a share of the requests of a sliding window plus a fixed slack.

    routing::RetryPolicy saves unused budget without regard to time; here the bound holds for every
    window, because the users count repeats that way.
    Thread safety: use one instance from one thread only. */
class RepeatBudget
{
public:
  /** @param window  length of the window, above 0 */
  explicit RepeatBudget(Duration window)
    : window_(window)
  {
  }

  /** Counts a request. */
  void countRequest(Time now);

  /** Counts a repeat. */
  void countRepeat(Time now);

  /** Returns whether one more repeat is within the budget.
      @param ratio  repeats allowed per request
      @param slack  repeats allowed without any request */
  [[nodiscard]] bool allows(Time now, double ratio, double slack) const;

private:
  static constexpr std::size_t kSlices = 50;

  /** Counts of one slice of the window. */
  struct Slice
  {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  [[nodiscard]] std::int64_t sliceOf(Time now) const;
  Slice& current(Time now);

  Duration window_;
  /** One slice more than the window: the oldest one is partly inside. */
  std::array<Slice, kSlices + 1> slices_{};
};

} // namespace figchute::dispatch
