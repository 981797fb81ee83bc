#pragma once

#include "core/Types.h"

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace figchute::routing {

/** How an endpoint is chosen. All but affinity are baselines for measurements. */
enum class ChoiceStrategy : std::uint8_t
{
  affinity,
  random,
  leastLoaded,
  twoChoices,
};

/** Service aims of one rank. */
struct RankPolicy
{
  /** Longest time from arrival to the first token. */
  Duration target{ 0 };
  /** Relative value of one on-time request of the rank. */
  double worth = 1;
  /** Part of the capacity that the rank gets while it has work, in [0, 1]. */
  double floor = 0;
};

/** Weight and limits of one workspace or caller. */
struct ShareLimits
{
  /** Relative share in weighted fair queueing, above 0. */
  double weight = 1;
  /** Requests per second over the whole fleet; 0 for no limit. */
  double requestsPerSecond = 0;
  /** Requests in progress over the whole fleet; 0 for no limit. */
  std::uint32_t maxConcurrency = 0;
};

/** Everything that documents set for the router. */
struct Policy
{
  /** By Rank. The default targets are those of section 1: 380 ms for live answers. */
  std::array<RankPolicy, kRankCount> ranks{ RankPolicy{ std::chrono::milliseconds(380), 10, 0 },
                                            RankPolicy{ std::chrono::seconds(2), 3, 0.1 },
                                            RankPolicy{ std::chrono::seconds(60), 1, 0.1 } };
  /** Workspaces and callers that are not listed get the default ShareLimits. */
  std::map<WorkspaceId, ShareLimits> workspaces;
  std::map<CallerId, ShareLimits> callers;
  /** Retries per first attempt that the retry budget allows. */
  double retryRatio = 0.1;
  /** Whether long work is cancelled and resumed for urgent work. */
  bool preempt = true;
  ChoiceStrategy choice = ChoiceStrategy::affinity;
};

} // namespace figchute::routing
