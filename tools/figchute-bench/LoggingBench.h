#pragma once

#include "core/core.h"

#include <ostream>

namespace figchute::bench {

/** Measures the processor time and the size of a request log line of the router daemon, with one
    write to a pipe per line.
    @param out  receives one tab-separated row per result
    @returns internal if no pipe can be created */
Expected<void> runLoggingBench(std::ostream& out);

} // namespace figchute::bench
