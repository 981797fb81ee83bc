#pragma once

#include "core/Types.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace figchute::dispatch {

/** Limits repeats to a ratio of the requests in a sliding window plus a fixed slack. A repeat is
    any send of a request after its first.

    routing::RetryPolicy carries over unused budget without a time limit. This class enforces the
    limit for every window, because operators measure repeats per window.
    Thread safety: use one instance from one thread only. */
class RepeatBudget
{
public:
  /** @param window  length of the window, above 0 */
  explicit RepeatBudget(Duration window)
    : window_(window)
  {
  }

  void countRequest(Time now);

  void countRepeat(Time now);

  /** Returns whether one more repeat is within the budget.
      @param ratio  repeats allowed per request
      @param slack  repeats allowed in addition, independent of the requests */
  [[nodiscard]] bool allows(Time now, double ratio, double slack) const;

private:
  static constexpr std::size_t kSliceCount = 50;

  /** Counts of one slice of the window. */
  struct Slice
  {
    std::int64_t number = -1;
    std::uint32_t requests = 0;
    std::uint32_t repeats = 0;
  };

  [[nodiscard]] std::int64_t sliceNumber(Time now) const;
  Slice& currentSlice(Time now);

  Duration window_;
  /** One slice more than the window has, because the oldest slice lies partly within it. */
  std::array<Slice, kSliceCount + 1> slices_{};
};

} // namespace figchute::dispatch
