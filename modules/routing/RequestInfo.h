#pragma once

#include "core/Error.h"
#include "core/Fingerprint.h"
#include "core/Types.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace figchute::routing {

/** The kind of endpoint that serves a request. */
enum class EndpointKind : std::uint8_t
{
  model,
  plain,
};

/** The properties of a request that routing decisions depend on. */
struct RequestInfo
{
  RequestId id;
  WorkspaceId workspace;
  CallerId caller;
  Rank rank = Rank::prompt;
  EndpointKind kind = EndpointKind::model;
  /** The requested model; used when kind is EndpointKind::model. */
  ModelName model;
  /** The requested service; used when kind is EndpointKind::plain. */
  ServiceName service;
  /** Whether the request is idempotent, so that it may be executed more than once. */
  bool repeatable = true;
  std::size_t promptBytes = 0;
  /** Fingerprints of prefixes of the prompt of increasing length, shortest first. */
  std::vector<Fingerprint> prefixChain;
  Tokens maxTokens;
  Time arrival;
  /** Time by which the first token is due; 0 means arrival plus the target of the rank. */
  Time deadline;
};

/** The reason for refusing a request and the delay after which the caller should retry. A refused
    request was not executed. */
struct Refusal : Error
{
  Duration retryAfter{ 0 };
};

/** How a request ended. */
enum class Outcome : std::uint8_t
{
  /** The complete answer was delivered. */
  completed,
  /** The caller disconnected; this does not count as a failure of the endpoint. */
  abandoned,
  /** The endpoint failed and the request is not retried. */
  failed,
};

/** The reason why an attempt at an endpoint ended without a complete answer. */
enum class AttemptFailure : std::uint8_t
{
  /** The endpoint refused the request or the connection; the request was not executed. */
  notRun,
  /** The endpoint failed or crashed; the request may have been executed. */
  failed,
  /** The stream made no progress before its timeout; the request may have been executed. */
  stalled,
};

/** Instructs the daemon to send one attempt of a request to an endpoint. */
struct Dispatch
{
  RequestId id;
  EndpointId endpoint;
  std::string address;
  /** Passed to the engine as the priority of the request. */
  Rank rank = Rank::prompt;
  /** Number of this attempt, starting at 1. Resuming a cancelled stream is an attempt too. */
  std::uint32_t attempt = 1;
  /** Tokens already delivered to the caller; the attempt continues after them. */
  Tokens resumeAfter;
  /** Whether the endpoint announced that it verifies fencing tokens. */
  bool checksFencing = false;
};

/** Informs the daemon that a queued request was refused before it was dispatched. */
struct Refused
{
  RequestId id;
  Refusal refusal;
};

/** Instructs the daemon to cancel the stream of a request at an endpoint. The daemon responds with
    Router::cancelled(), or with Router::finished() if the answer completed first. */
struct CancelStream
{
  RequestId id;
  EndpointId endpoint;
};

} // namespace figchute::routing
