#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figchute::fleet {

/** How often a request of a route may run. */
enum class RouteKind : std::uint8_t
{
  /** May run more than once. */
  repeatable,
  /** Runs at most once per request of a caller. */
  once,
  /** The answer is a stream of events. Runs at most once unless the route is resumable. */
  stream,
};

/** A service and its weight in the split of a route's requests. */
struct WeightedService
{
  ServiceName service;
  std::uint32_t weight = 1;
};

/** A route: requests to a host whose path begins with a prefix. */
struct Route
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  RouteKind kind = RouteKind::once;
  /** A stream of this route may be resumed at another endpoint. */
  bool resumable = false;
  /** Maximum duration of a request. */
  Duration timeout = std::chrono::seconds(10);
  /** Maximum time to the answer, or to the first byte of a stream, that counts as on time. */
  Duration target = std::chrono::seconds(1);
  /** Maximum gap between two events of a stream that counts as on time. */
  Duration gapTarget = std::chrono::milliseconds(500);
  /** 0 is the most urgent. */
  int priority = 5;
  /** Maximum number of endpoints that one request may be sent to. */
  int maxAttempts = 1;
  /** Requests need no key. */
  bool open = false;
  /** Requests of one session share prompt parts. */
  bool sticky = false;
  std::vector<WeightedService> split;
};

/** Properties of the engines of a model service. */
struct EngineTraits
{
  int slots = 0;
  /** Capacity of the KV cache in tokens, shared by running requests and cached prompt parts. */
  std::int64_t kvCapacity = 0;
  std::int64_t kvTokenBytes = 0;
  /** Number of tokens in one event of a stream. */
  int tokensPerEvent = 1;
};

struct ServiceSettings
{
  ServiceName name;
  std::string healthPath;
  /** Maximum number of connections to one endpoint from all callers together. */
  int maxConnections = 100;
  /** Set for model services only. */
  std::optional<EngineTraits> engine;
  /** Requests per second that a cold endpoint sustains from all processes together; 0 if it is not
     limited. */
  double warmupPerS = 0;
};

struct WorkspaceSettings
{
  std::string name;
  std::vector<std::string> keys;
  /** Overrides the priority of the route. */
  std::optional<int> priority;
  /** Token budget; unlimited if not set. */
  std::optional<Tokens> prepaid;
};

/** Limits for requests of callers. */
struct RequestLimits
{
  std::uint64_t headBytes = 16U * 1024;
  std::uint64_t bodyBytes = 4U * 1024 * 1024;
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

/** A complete configuration. The accepted configuration with the highest version is in force. */
struct Configuration
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSettings> services;
  /** If false, no request needs a key. */
  bool hasWorkspaces = false;
  std::vector<WorkspaceSettings> workspaces;
  RequestLimits limits;
};

/** Returns the errors of a configuration, one per entry; empty if it is valid. Safe from any
    thread. */
std::vector<std::string> validate(const Configuration& configuration);

} // namespace figchute::fleet
