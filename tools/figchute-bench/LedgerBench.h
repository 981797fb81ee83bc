#pragma once

#include <ostream>

namespace figchute::bench {

/** Measures admission decisions per second, the 95th percentile of the decision time, the bytes
    sent between processes per settled request, and the memory per budget and per grant, and prints
    one line for each result. Takes a few seconds. */
void runLedgerBench(std::ostream& out);

} // namespace figchute::bench
