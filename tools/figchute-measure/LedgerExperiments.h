#pragma once

#include "RowWriter.h"

namespace figchute::measure {

/** Runs the ledger experiments in virtual time: the policies `figchute` and `equal_split` in the
    scenarios `calm`, `low_budget` and `partition_topup`, three seeds each, for both deployments,
    and the budgets of the router daemon (deployment `router`) under kills, cuts and top-ups.
    The output depends on the code only. */
void runLedgerExperiments(RowWriter& rows);

} // namespace figchute::measure
