#pragma once

#include "RowWriter.h"

namespace figchute::measure {

/** Runs the dispatch experiments in virtual time, three seeds each: the policies `figchute`,
    `random`, `two_choices` and `least_loaded` in all scenarios of DispatchScenario. The deployment
    in the rows is `site`.
    The output is deterministic: it depends on the code only. */
void runDispatchExperiments(RowWriter& rowWriter);

} // namespace figchute::measure
