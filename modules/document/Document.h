#pragma once

#include "core/core.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::document {

/** The latency target of the requests of one rank, and the value of a request that meets it. */
struct RankTarget
{
  /** Time from arrival to the first token, or to the complete response of a plain call. */
  Duration target{ 0 };
  /** Value of one on-time request relative to those of the other ranks; above 0. */
  double worth = 1;
};

/** Limits of a workspace or caller; std::nullopt means no limit. */
struct Limits
{
  /** Requests per second over the whole fleet. */
  std::optional<double> requestsPerSecond;
  /** Concurrent requests over the whole fleet. */
  std::optional<std::uint32_t> maxConcurrency;
};

/** A model that the team's callers may use. */
struct Model
{
  ModelName name;
  /** Minimum average number of prompt bytes per token; it gives an upper bound for the tokens of a
      prompt. */
  double minBytesPerToken = 1;
  /** Maximum size of a response, also used for a request that sets no maximum of its own. */
  Tokens maxOutputTokens{ 4096 };
};

/** The kinds of services. */
enum class ServiceKind : std::uint8_t
{
  plain = 0,
};

/** A plain service, whose endpoints do not count tokens. */
struct Service
{
  ServiceName name;
  ServiceKind kind = ServiceKind::plain;
  /** Path prefixes of idempotent calls; each starts with "/". */
  std::vector<std::string> repeatable;
  /** Price of one call in tokens; a call that costs 0 does not need a budget. */
  Tokens cost;

  /** Returns true if a call may be executed more than once with the same effect. A prefix matches
      at path segment boundaries. A path with an encoded dot, slash or backslash, a "." or ".."
      segment or an empty segment is never repeatable, because an endpoint may resolve it to another
      path.
      @param path  the path below the service, starting with "/"; a query is ignored
      Thread safety: safe from any thread. */
  [[nodiscard]] bool isRepeatable(std::string_view path) const;
};

/** A customer of the team with a prepaid budget. */
struct Workspace
{
  WorkspaceId id;
  /** The name in the document, without the team. */
  std::string name;
  /** Cumulative number of tokens bought since the budget was created. */
  Tokens bought;
  /** Share of capacity relative to the other workspaces; above 0. */
  double weight = 1;
  Limits limits;
};

/** A program that sends requests for a workspace. */
struct Caller
{
  CallerId id;
  /** The name in the document, without the team. */
  std::string name;
  WorkspaceId workspace;
  /** The bearer key that the caller sends. */
  std::string key;
  /** Cumulative number of tokens bought for this caller alone; std::nullopt if it is limited only
      by the budget of the workspace. */
  std::optional<Tokens> bought;
  /** Rank of requests that do not specify one. */
  Rank rank = Rank::prompt;
  /** Share of the workspace's capacity relative to its other callers; above 0. */
  double weight = 1;
  Limits limits;
};

/** One prepaid budget and the cumulative amount bought for it. */
struct Budget
{
  BudgetId id;
  Tokens bought;
};

/** Returns the id of a workspace: "TEAM/NAME". */
WorkspaceId makeWorkspaceId(const TeamId& team, std::string_view name);
/** Returns the id of a caller: "TEAM/NAME". */
CallerId makeCallerId(const TeamId& team, std::string_view name);
/** Returns the id of a workspace's budget: "w:TEAM/NAME". */
BudgetId budgetOf(const WorkspaceId& workspace);
/** Returns the id of a caller's budget: "c:TEAM/NAME". */
BudgetId budgetOf(const CallerId& caller);

/** A validated document of one team. The lists keep the order of the text.
    Thread safety: const methods are safe from any thread; returned pointers are valid while the
    document is unchanged. */
struct Document
{
  TeamId team;
  /** Free text that describes the deployment. */
  std::string deployment;
  /** Targets by rank, indexed by the value of Rank. */
  std::array<RankTarget, kRankCount> ranks;
  std::vector<Model> models;
  std::vector<Service> services;
  std::vector<Workspace> workspaces;
  std::vector<Caller> callers;

  /** Returns the target of a rank. */
  [[nodiscard]] const RankTarget& target(Rank rank) const;
  /** Returns the model, or nullptr if the document has none of that name. */
  [[nodiscard]] const Model* findModel(const ModelName& name) const;
  /** Returns the service, or nullptr. */
  [[nodiscard]] const Service* findService(const ServiceName& name) const;
  /** Returns the workspace, or nullptr. */
  [[nodiscard]] const Workspace* findWorkspace(const WorkspaceId& id) const;
  /** Returns the caller, or nullptr. */
  [[nodiscard]] const Caller* findCaller(const CallerId& id) const;
  /** Returns the budgets of all workspaces and of the callers that have one, in document order. */
  [[nodiscard]] std::vector<Budget> budgets() const;
};

} // namespace figchute::document
