#pragma once

#include "core/core.h"

namespace figchute::router {

/** Returns the time of CLOCK_BOOTTIME, which also counts while the VM is suspended, as an offset to
    the wall clock at the first call. It never goes back. Thread safety: safe from any thread. */
Time bootTime();

} // namespace figchute::router
