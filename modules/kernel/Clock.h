#pragma once

#include "core/Types.h"

namespace figchute::kernel {

/** Returns the current time of this process: the wall-clock time at the first call plus the
    monotonic time elapsed since then, so that a step of the wall clock never moves it backwards.
    Thread safety: safe from any thread. */
Time currentTime();

} // namespace figchute::kernel
