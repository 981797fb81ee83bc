#pragma once

#include "core/core.h"
#include "fleet/Configuration.h"
#include "ledger/ledger.h"

#include <string_view>
#include <vector>

namespace figchute::router {

/** Returns the budget id of a workspace. Thread safety: safe from any thread. */
BudgetId budgetOf(std::string_view workspace);

/** Returns the prepaid budgets of a configuration. Thread safety: safe from any thread. */
std::vector<ledger::PrepaidBudget> budgetsOf(const fleet::Configuration& configuration);

} // namespace figchute::router
