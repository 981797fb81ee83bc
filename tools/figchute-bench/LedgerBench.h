#pragma once

#include <ostream>

namespace figchute::bench {

/** Measures admission decisions per second with their 95th percentile, the bytes between processes
   per settled request, and the memory per budget and per grant, and prints one line for each. Takes
   a few seconds. */
void runLedgerBench(std::ostream& out);

} // namespace figchute::bench
