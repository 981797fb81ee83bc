#pragma once

#include "core/core.h"

namespace figchute::router {

/** Returns a monotonic time that starts at the wall clock time of the first call and advances with
 * CLOCK_BOOTTIME, which also counts while the VM is suspended. Thread safety: safe from any thread.
 */
Time bootTime();

} // namespace figchute::router
