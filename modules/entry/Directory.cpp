#include "entry/Directory.h"

#include <algorithm>

namespace figchute::entry {
namespace {

routing::ShareLimits shareLimits(double weight, const document::Limits& limits)
{
  routing::ShareLimits result;
  result.weight = weight;
  result.requestsPerSecond = limits.requestsPerSecond.value_or(0);
  result.maxConcurrency = limits.maxConcurrency.value_or(0);
  return result;
}

CallerEntry makeEntry(const document::Document& document, const document::Caller& caller)
{
  CallerEntry entry;
  entry.team = document.team;
  entry.workspace = caller.workspace;
  entry.caller = caller.id;
  entry.rank = caller.rank;
  entry.budgets.push_back(document::budgetOf(caller.workspace));
  if (caller.bought) {
    entry.budgets.push_back(document::budgetOf(caller.id));
  }
  return entry;
}

} // namespace

Directory Directory::build(std::span<const ledger::TeamDocument> documents, Metrics& metrics)
{
  Directory directory;
  for (const auto& entry : documents) {
    auto document = document::parseForTeam(entry.team, entry.text);
    if (!document) {
      metrics.count("documents_skipped");
      continue;
    }
    directory.addDocument(entry.team, std::move(*document));
  }
  return directory;
}

void Directory::addDocument(const TeamId& team, document::Document document)
{
  for (const auto& workspace : document.workspaces) {
    policy_.workspaces[workspace.id] = shareLimits(workspace.weight, workspace.limits);
  }
  for (const auto& caller : document.callers) {
    policy_.callers[caller.id] = shareLimits(caller.weight, caller.limits);
    callers_.emplace(caller.key, makeEntry(document, caller));
  }
  for (std::size_t rank = 0; rank < kRankCount; ++rank) {
    policy_.ranks[rank].target = document.ranks[rank].target;
    policy_.ranks[rank].worth = document.ranks[rank].worth;
  }
  teams_.insert_or_assign(team, std::move(document));
}

const CallerEntry* Directory::findCaller(std::string_view key) const
{
  const auto entry = callers_.find(key);
  return entry == callers_.end() ? nullptr : &entry->second;
}

const document::Model* Directory::findModel(const TeamId& team, const ModelName& model) const
{
  const auto entry = teams_.find(team);
  return entry == teams_.end() ? nullptr : entry->second.findModel(model);
}

const document::Service* Directory::findService(const TeamId& team,
                                                const ServiceName& service) const
{
  const auto entry = teams_.find(team);
  return entry == teams_.end() ? nullptr : entry->second.findService(service);
}

Duration Directory::target(const TeamId& team, Rank rank) const
{
  const auto entry = teams_.find(team);
  return entry == teams_.end() ? Duration(0) : entry->second.target(rank).target;
}

} // namespace figchute::entry
