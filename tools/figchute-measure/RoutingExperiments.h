#pragma once

#include "RowWriter.h"

namespace figchute::measure {

/** Runs the routing experiments of section 14 in virtual time, three seeds each, for both
    deployments: the policies `figchute` and `fifo_random` in all scenarios, the endpoint choices
    `random`, `least_loaded` and `two_choices` in the scenario `calm`, and the fair share of several
    VMs against one global queue in the scenarios `skewed_share` and `skewed_zones`.
    The output is deterministic: it depends on the code only. */
void runRoutingExperiments(RowWriter& rowWriter);

} // namespace figchute::measure
