#pragma once

#include "core/Error.h"
#include "core/Fingerprint.h"
#include "core/Types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace figchute::routing {

/** What kind of endpoint a request needs. */
enum class WorkKind : std::uint8_t
{
  model,
  plain,
};

/** One request as the router sees it. */
struct Work
{
  RequestId id;
  WorkspaceId workspace;
  CallerId caller;
  Rank rank = Rank::prompt;
  WorkKind kind = WorkKind::model;
  /** The model, when kind is model. */
  ModelName model;
  /** The plain service, when kind is plain. */
  ServiceName service;
  /** Whether the request may run more than once with the same effect. */
  bool repeatable = true;
  std::size_t promptBytes = 0;
  /** Fingerprints of growing prefixes of the prompt, shortest first. */
  std::vector<Fingerprint> prefixChain;
  Tokens maxTokens;
  Time arrival;
  /** When the first token must have arrived; 0 takes arrival plus the target of the rank. */
  Time deadline;
};

/** Why a request was refused, with the delay after which a retry makes sense. The request did not
    run. */
struct Refusal : Error
{
  Duration retryAfter{ 0 };
};

/** How a request ended. */
enum class Outcome : std::uint8_t
{
  /** The whole answer was delivered. */
  completed,
  /** The caller went away; the endpoint is not at fault. */
  abandoned,
  /** The endpoint failed and the daemon does not retry. */
  failed,
};

/** Why an attempt at an endpoint ended without a whole answer. */
enum class AttemptFailure : std::uint8_t
{
  /** The endpoint refused the request or the connection; the request did not run. */
  notRun,
  /** The endpoint failed or crashed; the request may have run. */
  failed,
  /** The stream made no progress for too long; the request may have run. */
  stalled,
};

/** An order to send one attempt of a request to an endpoint. */
struct Dispatch
{
  RequestId id;
  EndpointId endpoint;
  std::string address;
  /** Passed to the engine as its priority. */
  Rank rank = Rank::prompt;
  /** 1 for the first attempt; later attempts include resumed work. */
  std::uint32_t attempt = 1;
  /** Tokens that the caller already has; the attempt continues after them. */
  Tokens resumeAfter;
  /** Whether the endpoint announced that it checks fencing numbers. */
  bool checksFencing = false;
};

/** Tells the daemon that queued work is refused; it never ran in this attempt. */
struct Refused
{
  RequestId id;
  Refusal refusal;
};

/** Asks the daemon to cancel the stream of a request at an endpoint. The daemon answers with
    Router::cancelled(), or with Router::finished() when the answer was complete before. */
struct CancelStream
{
  RequestId id;
  EndpointId endpoint;
};

} // namespace figchute::routing
