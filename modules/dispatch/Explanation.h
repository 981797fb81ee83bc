#pragma once

#include "dispatch/RequestInfo.h"

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

namespace figchute::dispatch {

/** Why an endpoint can not take a request. */
enum class Obstacle : std::uint8_t
{
  none,
  /** It is draining, its zone is evacuated, it asked for a back-off or has another version. */
  notAccepting,
  breakerOpen,
  connectionsInUse,
  /** The share of this process of its rate limit or of its cold time is used up. */
  rateLimited,
  /** It is brittle and full. */
  brittle,
};

/** Returns the name used in explanations. Thread safety: safe from any thread. */
std::string_view toString(Obstacle obstacle);

/** What is known of one endpoint when a request is placed. */
struct EndpointExplanation
{
  EndpointId endpoint;
  ZoneId zone;
  Obstacle obstacle = Obstacle::none;
  /** Estimated running and waiting requests, and those of this process among them. */
  double load = 0;
  double ownRequests = 0;
  /** Time since the last load report; nothing if there was none. */
  std::optional<Duration> reportAge;
  /** The rest is known for the engines of model services that can take the request. */
  std::optional<Duration> predictedTtft;
  Duration penalty{};
  std::int64_t uncachedTokens = 0;
  double speed = 1;
};

/** Where a request would go now. */
struct Explanation
{
  std::vector<EndpointExplanation> endpoints;
  std::optional<EndpointId> chosen;
  /** Set if the request would be refused. */
  std::optional<Refusal> refusal;
};

} // namespace figchute::dispatch
