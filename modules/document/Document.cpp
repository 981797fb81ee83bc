#include "document/Document.h"

#include <algorithm>

namespace figchute::document {
namespace {

template<typename Item, typename Key, typename Name>
const Item* findBy(const std::vector<Item>& items, Key Item::*key, const Name& name)
{
  const auto itemIt = std::ranges::find(items, name, key);
  return itemIt == items.end() ? nullptr : &*itemIt;
}

// Returns true if an endpoint may resolve the path to one outside the prefix.
bool isAmbiguous(std::string_view path)
{
  std::string lowerCasePath(path);
  std::ranges::transform(lowerCasePath, lowerCasePath.begin(), [](char c) {
    return c >= 'A' && c <= 'Z' ? char(c + 32) : c;
  });
  for (const auto* sequence : { "%2e", "%2f", "%5c", "\\", "//", "/./", "/../" }) {
    if (lowerCasePath.find(sequence) != std::string::npos) {
      return true;
    }
  }
  return lowerCasePath.ends_with("/..") || lowerCasePath.ends_with("/.");
}

bool isBelow(std::string_view path, std::string_view prefix)
{
  if (!path.starts_with(prefix)) {
    return false;
  }
  return prefix.ends_with('/') || path.size() == prefix.size() || path[prefix.size()] == '/';
}

} // namespace

bool Service::isRepeatable(std::string_view path) const
{
  const auto target = path.substr(0, path.find_first_of("?#"));
  if (isAmbiguous(target)) {
    return false;
  }
  return std::ranges::any_of(repeatable,
                             [&](const std::string& prefix) { return isBelow(target, prefix); });
}

WorkspaceId makeWorkspaceId(const TeamId& team, std::string_view name)
{
  return WorkspaceId(team.value + "/" + std::string(name));
}

CallerId makeCallerId(const TeamId& team, std::string_view name)
{
  return CallerId(team.value + "/" + std::string(name));
}

BudgetId budgetOf(const WorkspaceId& workspace)
{
  return BudgetId("w:" + workspace.value);
}

BudgetId budgetOf(const CallerId& caller)
{
  return BudgetId("c:" + caller.value);
}

const RankTarget& Document::target(Rank rank) const
{
  return ranks.at(static_cast<std::size_t>(rank));
}

const Model* Document::findModel(const ModelName& name) const
{
  return findBy(models, &Model::name, name);
}

const Service* Document::findService(const ServiceName& name) const
{
  return findBy(services, &Service::name, name);
}

const Workspace* Document::findWorkspace(const WorkspaceId& id) const
{
  return findBy(workspaces, &Workspace::id, id);
}

const Caller* Document::findCaller(const CallerId& id) const
{
  return findBy(callers, &Caller::id, id);
}

std::vector<Budget> Document::budgets() const
{
  std::vector<Budget> result;
  for (const auto& workspace : workspaces) {
    result.push_back(Budget{ budgetOf(workspace.id), workspace.bought });
  }
  for (const auto& caller : callers) {
    if (caller.bought) {
      result.push_back(Budget{ budgetOf(caller.id), *caller.bought });
    }
  }
  return result;
}

} // namespace figchute::document
