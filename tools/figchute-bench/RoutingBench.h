#pragma once

#include <ostream>

namespace figchute::bench {

/** Measures the costs of routing: decisions per second with the 95th percentile of one decision,
    memory of the registry per endpoint, and control bytes per node and second at the design size of
    420 nodes and 610 endpoints. Writes one tab-separated row `name value unit` per figure.
    @param out  receives the rows */
void runRoutingBench(std::ostream& out);

} // namespace figchute::bench
