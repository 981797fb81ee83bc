#include "dispatch/RepeatBudget.h"

#include <algorithm>

namespace figchute::dispatch {

std::int64_t RepeatBudget::sliceNumber(Time now) const
{
  const auto sliceMicros =
    std::max<std::int64_t>(window_.count() / static_cast<std::int64_t>(kSliceCount), 1);
  return now.micros / sliceMicros;
}

RepeatBudget::Slice& RepeatBudget::currentSlice(Time now)
{
  const auto number = sliceNumber(now);
  auto& slice = slices_.at(static_cast<std::size_t>(number) % slices_.size());
  if (slice.number != number) {
    slice = Slice{ number, 0, 0 };
  }
  return slice;
}

void RepeatBudget::countRequest(Time now)
{
  ++currentSlice(now).requests;
}

void RepeatBudget::countRepeat(Time now)
{
  ++currentSlice(now).repeats;
}

bool RepeatBudget::allows(Time now, double ratio, double slack) const
{
  // Requests count only in slices that lie entirely within the window, repeats in every slice that
  // overlaps it, so that the limit also holds for the exact window.
  const auto currentNumber = sliceNumber(now);
  const auto oldestNumber = currentNumber - static_cast<std::int64_t>(kSliceCount);
  double requests = 0;
  double repeats = 1;
  for (const auto& slice : slices_) {
    if (slice.number < oldestNumber || slice.number > currentNumber) {
      continue;
    }
    repeats += slice.repeats;
    requests += slice.number > oldestNumber ? slice.requests : 0;
  }
  return repeats <= ratio * requests + slack;
}

} // namespace figchute::dispatch
