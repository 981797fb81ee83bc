#pragma once

#include "core/core.h"
#include "dispatch/CrashTable.h"
#include "fleet/Configuration.h"
#include "fleet/Endpoint.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace figchute::dispatch {

/** One part of a prompt. Requests can share parts; the last part belongs to the session. */
struct PromptPart
{
  std::uint64_t hash = 0;
  std::int64_t tokens = 0;
};

/** A request to be sent to an endpoint. */
struct RequestInfo
{
  /** Unique within this process. */
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
  /** Estimated number of output tokens; 0 if there is no estimate. */
  std::int64_t outputHint = 0;
  Time arrival;
  /** The answer is of no use after this time: the earlier of the caller's and the route's limit. */
  Time deadline;
  Duration target = std::chrono::seconds(1);
  int maxAttempts = 1;
  /** Set when the request goes on with a stream: only endpoints of this software version can write
      the events that follow. */
  std::optional<std::string> softwareVersion{};
  /** Equal for requests with the same path, caller and body. */
  std::uint64_t fingerprint = 0;
  /** The request was sent under another id before: each send under this one is a repeat, and no
      trial of an endpoint. */
  bool isRepeat = false;
};

/** Returns what may make a request crash endpoints. The last part of its prompt belongs to the
    request alone and is covered by its own fingerprint. Safe from any thread. */
CrashCandidates crashCandidatesOf(const RequestInfo& requestInfo);

/** The endpoint that a request is sent to. */
struct ChosenEndpoint
{
  EndpointId endpoint;
  /** IP:port. */
  std::string address;
  /** Maximum number of connections that this process may have to the endpoint. */
  std::size_t maxConnections = 100;
  std::string softwareVersion{};
};

/** A refusal of a request that was not sent. */
struct Refusal
{
  ErrorKind kind = ErrorKind::noEndpoint;
  /** Expected time until a request would be accepted. */
  Duration retryAfter = std::chrono::milliseconds(200);
  std::string detail;
  /** Whether all zones with endpoints of the service are evacuated. */
  bool isEvacuated = false;
};

/** How one send of a request to an endpoint ended. */
enum class Outcome : std::uint8_t
{
  /** A complete answer with a status below 500, including other error statuses. */
  answered,
  /** A complete answer with status 500 or above; the endpoint ran the request. */
  serverError,
  /** The endpoint reported that it did not run the request (full, draining, or deadline passed). */
  notExecuted,
  /** A different endpoint answers at the address. */
  wrongEndpoint,
  /** The connection was refused or not established in time. */
  notConnected,
  /** The connection was reset or closed before the answer was complete. */
  broken,
  /** The connection, whose end delimits the answer, ended, but the endpoint may have ended too. */
  unconfirmedEnd,
  /** No answer, or no progress of the answer, within the time limit. */
  timedOut,
  /** The received bytes are not a valid answer. */
  malformed,
  /** The caller disconnected or this process ended the call; says nothing about the endpoint. */
  cancelled,
  /** A delayed send was given up before it began; says nothing about the endpoint. */
  withdrawn,
};

/** Returns the name used in logs. Safe from any thread. */
std::string_view toString(Outcome outcome);

/** The load that an endpoint reported with an answer. */
struct LoadReport
{
  int running = 0;
  int waiting = 0;
  int slots = 0;
};

} // namespace figchute::dispatch
