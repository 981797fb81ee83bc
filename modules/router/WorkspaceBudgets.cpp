#include "router/WorkspaceBudgets.h"

#include <string>

namespace figchute::router {

BudgetId budgetOf(std::string_view workspace)
{
  return BudgetId("w:" + std::string(workspace));
}

std::vector<ledger::PrepaidBudget> budgetsOf(const fleet::Configuration& configuration)
{
  std::vector<ledger::PrepaidBudget> budgets;
  for (const auto& workspace : configuration.workspaces) {
    if (workspace.prepaid) {
      budgets.push_back({ budgetOf(workspace.name), *workspace.prepaid });
    }
  }
  return budgets;
}

} // namespace figchute::router
