#pragma once

#include "core/core.h"
#include "document/document.h"
#include "ledger/ledger.h"
#include "routing/routing.h"

#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::entry {

/** The properties of a caller from its team's document. */
struct CallerEntry
{
  TeamId team;
  WorkspaceId workspace;
  CallerId caller;
  Rank rank = Rank::prompt;
  /** The budgets that are charged for every billed request. */
  std::vector<BudgetId> budgets;
};

/** Lookup tables over the documents of all teams.
    Thread safety: const methods are safe from several threads. */
class Directory
{
public:
  /** Builds the directory.
      @param documents  the latest document of each team. Documents that cannot be parsed are
      skipped; control VMs accept only valid ones.
      @param metrics    receives the count of skipped documents */
  static Directory build(std::span<const ledger::TeamDocument> documents, Metrics& metrics);

  /** Returns the caller with this bearer key, or nullptr. The pointer is valid for the lifetime of
      the directory. */
  [[nodiscard]] const CallerEntry* findCaller(std::string_view key) const;

  /** Returns a model of a team, or nullptr if it is not in the document. */
  [[nodiscard]] const document::Model* findModel(const TeamId& team, const ModelName& model) const;

  /** Returns a plain service of a team, or nullptr if it is not in the document. */
  [[nodiscard]] const document::Service* findService(const TeamId& team,
                                                     const ServiceName& service) const;

  /** Returns the target time to the first token of a rank. */
  [[nodiscard]] Duration target(const TeamId& team, Rank rank) const;

  /** Returns the ranks, weights and limits for the router. */
  [[nodiscard]] const routing::Policy& policy() const { return policy_; }

private:
  void addDocument(const TeamId& team, document::Document document);

  std::map<TeamId, document::Document> teams_;
  std::map<std::string, CallerEntry, std::less<>> callers_;
  routing::Policy policy_;
};

} // namespace figchute::entry
