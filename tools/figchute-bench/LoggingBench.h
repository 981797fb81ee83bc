#pragma once

#include "core/core.h"

#include <ostream>

namespace figchute::bench {

/** Measures the processor time and the size of a request line of the router daemon, with one write
    to a pipe for each line.
    @param out  gets one tab-separated row per figure
    @returns internal when no pipe can be made */
Expected<void> runLoggingBench(std::ostream& out);

} // namespace figchute::bench
