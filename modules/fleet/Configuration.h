#pragma once

#include "core/core.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figchute::fleet {

/** What may happen to a request of a route more than once. */
enum class RouteKind : std::uint8_t
{
  /** May run more than once. */
  repeatable,
  /** Runs at most once for each request of a caller. */
  once,
  /** The answer is a stream of events; runs at most once unless it may be resumed. */
  stream,
};

/** A service with its share of a route's requests. */
struct WeightedService
{
  ServiceName service;
  std::uint32_t weight = 1;
};

/** One route: requests of a host whose path begins with a prefix. */
struct Route
{
  std::string name;
  std::string host;
  /** Begins and ends with a slash. */
  std::string pathPrefix;
  RouteKind kind = RouteKind::once;
  /** A stream of this route may be continued at another endpoint. */
  bool resumable = false;
  /** Longest time that a request is kept. */
  Duration timeout = std::chrono::seconds(10);
  /** Time to the (first byte of the) answer that counts as on time. */
  Duration target = std::chrono::seconds(1);
  /** Longest pause between two events of a stream that counts as on time. */
  Duration gapTarget = std::chrono::milliseconds(500);
  /** 0 is the most urgent. */
  int priority = 5;
  /** Most endpoints that one request may be sent to. */
  int maxAttempts = 1;
  /** Needs no key. */
  bool open = false;
  /** Requests of one session share prompt parts. */
  bool sticky = false;
  std::vector<WeightedService> split;
};

/** What is known of the engines of a model service. */
struct EngineTraits
{
  int slots = 0;
  /** Tokens that running requests and cached prompt parts share. */
  std::int64_t kvCapacity = 0;
  std::int64_t kvTokenBytes = 0;
  /** Tokens in one event of a stream. */
  int stride = 1;
};

/** One service. */
struct ServiceSettings
{
  ServiceName name;
  std::string healthPath;
  /** Connections that one endpoint takes from all callers together. */
  int maxConnections = 100;
  /** Set for model services. */
  std::optional<EngineTraits> engine;
};

/** One workspace. */
struct WorkspaceSettings
{
  std::string name;
  std::vector<std::string> keys;
  /** Goes before the priority of the route. */
  std::optional<int> priority;
  /** Tokens that may be used; unlimited when not set. */
  std::optional<Tokens> prepaid;
};

/** Bounds on what callers may send. */
struct RequestLimits
{
  std::uint64_t headBytes = 16U * 1024;
  std::uint64_t bodyBytes = 4U * 1024 * 1024;
  Duration headTimeout = std::chrono::seconds(3);
  Duration idleTimeout = std::chrono::seconds(15);
};

/** A whole configuration; the accepted one with the highest version is in force. */
struct Configuration
{
  std::uint64_t version = 0;
  std::vector<Route> routes;
  std::vector<ServiceSettings> services;
  /** Without workspaces no request needs a key. */
  bool hasWorkspaces = false;
  std::vector<WorkspaceSettings> workspaces;
  RequestLimits limits;
};

/** Lists what is wrong with a configuration; empty when it is valid. Safe from any thread. */
std::vector<std::string> validate(const Configuration& configuration);

} // namespace figchute::fleet
