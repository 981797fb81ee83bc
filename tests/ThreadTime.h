#pragma once

#include "core/core.h"

#include <ctime>

namespace figchute {

/** Returns the processor time of this thread, which other processes on the machine do not add to.
 */
inline Duration threadTime()
{
  timespec now{};
  ::clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return Duration{ static_cast<std::int64_t>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1000 };
}

} // namespace figchute
