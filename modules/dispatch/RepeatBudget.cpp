#include "dispatch/RepeatBudget.h"

#include <algorithm>

namespace figchute::dispatch {

std::int64_t RepeatBudget::sliceOf(Time now) const
{
  const auto length =
    std::max<std::int64_t>(window_.count() / static_cast<std::int64_t>(kSlices), 1);
  return now.micros / length;
}

RepeatBudget::Slice& RepeatBudget::current(Time now)
{
  const auto number = sliceOf(now);
  auto& slice = slices_.at(static_cast<std::size_t>(number) % slices_.size());
  if (slice.number != number) {
    slice = Slice{ number, 0, 0 };
  }
  return slice;
}

void RepeatBudget::countRequest(Time now)
{
  ++current(now).requests;
}

void RepeatBudget::countRepeat(Time now)
{
  ++current(now).repeats;
}

bool RepeatBudget::allows(Time now, double ratio, double slack) const
{
  // Only whole slices inside the window count as requests, and every slice that reaches into it
  // counts as repeats, so that the bound holds for the exact window too.
  const auto last = sliceOf(now);
  const auto oldest = last - static_cast<std::int64_t>(kSlices);
  double requests = 0;
  double repeats = 1;
  for (const auto& slice : slices_) {
    if (slice.number < oldest || slice.number > last) {
      continue;
    }
    repeats += slice.repeats;
    requests += slice.number > oldest ? slice.requests : 0;
  }
  return repeats <= ratio * requests + slack;
}

} // namespace figchute::dispatch
