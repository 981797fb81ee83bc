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

/** What the documents say about one caller. */
struct CallerEntry
{
  TeamId team;
  WorkspaceId workspace;
  CallerId caller;
  Rank rank = Rank::prompt;
  /** The budgets that every billed request draws on. */
  std::vector<BudgetId> budgets;
};

/** All documents in the form that a request needs.
    Thread safety: const methods are safe from several threads. */
class Directory
{
public:
  /** Builds the directory.
      @param documents  the latest document of each team; one that does not parse is skipped, since
                        control accepts only valid ones
      @param metrics    counts skipped documents */
  static Directory build(std::span<const ledger::TeamDocument> documents, Metrics& metrics);

  /** Returns the caller with that key, or nullptr. The pointer is valid as long as the directory.
   */
  [[nodiscard]] const CallerEntry* findCaller(std::string_view key) const;

  /** Returns the model of a team, or nullptr. */
  [[nodiscard]] const document::Model* findModel(const TeamId& team, const ModelName& model) const;

  /** Returns the plain service of a team, or nullptr. */
  [[nodiscard]] const document::Service* findService(const TeamId& team,
                                                     const ServiceName& service) const;

  /** Returns the longest time to the first token of a rank. */
  [[nodiscard]] Duration target(const TeamId& team, Rank rank) const;

  /** Returns ranks, weights and limits for the router. */
  [[nodiscard]] const routing::Policy& policy() const { return policy_; }

private:
  void addDocument(const TeamId& team, document::Document document);

  std::map<TeamId, document::Document> teams_;
  std::map<std::string, CallerEntry, std::less<>> callers_;
  routing::Policy policy_;
};

} // namespace figchute::entry
