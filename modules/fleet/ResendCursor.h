#pragma once

#include "core/Types.h"

#include <cstdint>

namespace figchute::fleet {

/** What a receiver has been sent of a set that is told as changes. The whole set is sent again at
   an interval, in case a message was lost. */
struct ResendCursor
{
  static constexpr Duration kResendInterval = std::chrono::seconds(3);

  /** Revision of the set at the last message. */
  std::uint64_t revision = 0;
  Time resentAt;

  /** Returns the revision after which changes are to be sent now; 0 for the whole set. */
  [[nodiscard]] std::uint64_t advance(Time now, std::uint64_t currentRevision)
  {
    const bool isResendDue = now - resentAt >= kResendInterval;
    const auto since = isResendDue ? 0 : revision;
    resentAt = isResendDue ? now : resentAt;
    revision = currentRevision;
    return since;
  }
};

} // namespace figchute::fleet
