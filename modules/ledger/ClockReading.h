#pragma once

#include "core/core.h"
#include "wire/wire.h"

#include <cstdint>
#include <optional>
#include <span>

namespace figchute::ledger {

/** A reading of the boot clock of a control VM. Such a clock counts while the VM is suspended and
    is not affected by changes of the wall clock. */
struct ClockReading
{
  /** Identifies the clock: one VM from one boot to the next. 0 stands for no reading. */
  std::uint64_t clock = 0;
  /** The time since an arbitrary origin, which is the same for all readings of one clock. */
  Time time;

  [[nodiscard]] bool isValid() const { return clock != 0; }
  bool operator==(const ClockReading&) const = default;

  MSGPACK_DEFINE(clock, time)
};

namespace detail {

/** Returns the time from one reading to a later one of the same clock.
    @param earlier  the first reading
    @param later    readings of any clocks
    @returns nothing when @p later contains no reading of the same clock or an earlier one, which
    shows that the clock was reset */
std::optional<Duration> elapsedSince(const ClockReading& earlier,
                                     std::span<const ClockReading> later);

} // namespace detail

} // namespace figchute::ledger
