#include "ledger/ClockReading.h"

#include <algorithm>

namespace figchute::ledger::detail {

std::optional<Duration> elapsedSince(const ClockReading& earlier,
                                     std::span<const ClockReading> later)
{
  const auto reading = std::find_if(later.begin(), later.end(), [&](const ClockReading& other) {
    return other.clock == earlier.clock;
  });
  if (!earlier.isValid() || reading == later.end() || reading->time < earlier.time) {
    return std::nullopt;
  }
  return reading->time - earlier.time;
}

} // namespace figchute::ledger::detail
