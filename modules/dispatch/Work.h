#pragma once

#include "core/core.h"
#include "fleet/Configuration.h"
#include "fleet/Endpoint.h"

#include <cstdint>
#include <string>
#include <vector>

namespace figchute::dispatch {

/** One part of a prompt; requests share parts, the last one belongs to the session. */
struct PromptPart
{
  std::uint64_t hash = 0;
  std::int64_t tokens = 0;
};

/** One request to be placed. */
struct Work
{
  /** Unique in this process. */
  std::uint64_t id = 0;
  ServiceName service;
  fleet::RouteKind kind = fleet::RouteKind::once;
  bool resumable = false;
  /** 0 is the most urgent. */
  int priority = 5;
  std::string workspace;
  ModelName model;
  std::vector<PromptPart> parts;
  std::int64_t promptTokens = 0;
  std::int64_t maxOutputTokens = 0;
  /** An estimate of the output; 0 when there is none. */
  std::int64_t outputHint = 0;
  Time arrival;
  /** When the answer is worthless: the smaller of the caller's and the route's limit. */
  Time deadline;
  Duration target = std::chrono::seconds(1);
  int maxAttempts = 1;
  /** Equal for requests with the same path, caller and body. */
  std::uint64_t fingerprint = 0;
};

/** Where a request goes. */
struct Choice
{
  EndpointId endpoint;
  /** IP:port. */
  std::string address;
  /** Connections that this process may have to the endpoint. */
  std::size_t maxConnections = 100;
};

/** A refusal before anything was sent. */
struct Refusal
{
  ErrorKind kind = ErrorKind::noEndpoint;
  /** When a place is likely. */
  Duration retryAfter = std::chrono::milliseconds(200);
  std::string detail;
};

/** How one send of a request to an endpoint ended. */
enum class Outcome : std::uint8_t
{
  /** A complete answer of the endpoint; also one with a failure status below 500. */
  answered,
  /** A complete answer with status 500 or above that the endpoint ran. */
  serverError,
  /** The endpoint said that it did not run it (full, leaving, deadline passed). */
  notExecuted,
  /** Another endpoint answers at the address. */
  wrongEndpoint,
  /** No connection: refused or not answered in time. */
  notConnected,
  /** Reset or closed before the answer was complete. */
  broken,
  /** No answer, or no progress, until the time ran out. */
  timedOut,
  /** Bytes that are no proper answer. */
  malformed,
  /** The caller left or this process ended the call; says nothing of the endpoint. */
  cancelled,
};

/** Returns the name used in logs. Safe from any thread. */
std::string_view toString(Outcome outcome);

/** A load that an endpoint reported with an answer. */
struct LoadReport
{
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

} // namespace figchute::dispatch
