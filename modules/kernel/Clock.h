#pragma once

#include "core/Types.h"

namespace figchute::kernel {

/** Returns the current time of this process: the wall clock at its start plus monotonic time, so
    that a step of the wall clock never moves it backwards.
    Thread safety: safe from any thread. */
Time currentTime();

} // namespace figchute::kernel
