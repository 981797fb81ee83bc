#pragma once

#include "core/Types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace figchute::routing {

/** The strategy for choosing an endpoint. All except affinity are baselines for measurements. */
enum class SelectionStrategy : std::uint8_t
{
  affinity,
  random,
  leastLoaded,
  twoChoices,
};

/** Service targets of one rank. */
struct RankPolicy
{
  /** Longest time from arrival to the first token. */
  Duration target{ 0 };
  /** Relative value of a request of the rank whose first token arrives on time. */
  double worth = 1;
  /** Minimum share of the capacity for the rank while it has queued requests, in [0, 1]. */
  double minShare = 0;
};

/** Weight and limits of a workspace or caller. */
struct ShareLimits
{
  /** Weight in weighted fair queueing, above 0. */
  double weight = 1;
  /** Maximum requests per second across the fleet; 0 for no limit. */
  double requestsPerSecond = 0;
  /** Maximum requests in progress across the fleet; 0 for no limit. */
  std::uint32_t maxConcurrency = 0;
};

/** The router settings that come from the teams' documents, and defaults for the others. */
struct Policy
{
  /** Indexed by Rank. The default targets are those of section 1: 380 ms for live answers. */
  std::array<RankPolicy, kRankCount> ranks{ RankPolicy{ std::chrono::milliseconds(380), 10, 0 },
                                            RankPolicy{ std::chrono::seconds(2), 3, 0.1 },
                                            RankPolicy{ std::chrono::seconds(60), 1, 0.1 } };
  /** Workspaces and callers that are not listed have the default ShareLimits. */
  std::map<WorkspaceId, ShareLimits> workspaces;
  std::map<CallerId, ShareLimits> callers;
  /** Maximum ratio of retries to first attempts. */
  double retryRatio = 0.1;
  /** Whether running batch requests may be cancelled, and resumed later, in favour of urgent
      ones. */
  bool preempt = true;
  SelectionStrategy choice = SelectionStrategy::affinity;
};

} // namespace figchute::routing
