#pragma once

#include "core/core.h"

#include <cstdint>
#include <string_view>

namespace figchute::router {

/** Returns a monotonic time that starts at the wall clock time of the first call and advances with
 * CLOCK_BOOTTIME, which also counts while the VM is suspended. Thread safety: safe from any thread.
 */
Time bootTime();

/** Returns what bootTime() returns when CLOCK_BOOTTIME reads 0. */
Time bootTimeOrigin();

/** Returns a number that identifies the current boot of a VM, or 0 when the system does not tell.
    @param address  an address of the VM, which distinguishes VMs that share a kernel */
std::uint64_t bootId(std::string_view address);

} // namespace figchute::router
