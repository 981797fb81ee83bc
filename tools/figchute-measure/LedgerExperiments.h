#pragma once

#include "RowWriter.h"

namespace figchute::measure {

/** Runs the ledger experiments in virtual time: the policies `figchute` and `equal_split` in the
    scenarios `calm`, `low_budget` and `partition_topup`, three seeds each, for both deployments,
    and the budgets of the router daemon (deployment `router`) under kills, partitions and top-ups.
    The output is deterministic: it depends on the code only. */
void runLedgerExperiments(RowWriter& rowWriter);

} // namespace figchute::measure
