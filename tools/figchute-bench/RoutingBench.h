#pragma once

#include <ostream>

namespace figchute::bench {

/** Measures the costs of routing: decisions per second, the 95th percentile of the time of one
    decision, the memory of the registry per endpoint, and the control bytes per node and second at
    the design size of 420 nodes and 610 endpoints. Writes one tab-separated row `name value unit`
    per result.
    @param out  receives the rows */
void runRoutingBench(std::ostream& out);

} // namespace figchute::bench
