#pragma once

#include "core/core.h"
#include "entry/ChatExchange.h"
#include "entry/Directory.h"
#include "entry/PlainExchange.h"
#include "gateway/gateway.h"

#include <memory>
#include <optional>
#include <string>

namespace figchute::entry {

/** Where a request stands. */
enum class Phase
{
  /** Waits for a reservation of tokens. */
  reserving,
  /** Waits for the claim of its key in the log. */
  claiming,
  /** Waits in the router for an endpoint. */
  queued,
  /** Runs at an endpoint. */
  running,
  /** Has its answer and waits until the charge, or the outcome of its key, is recorded. */
  recording,
};

/** The part of a request that only chat completions have. */
struct ChatPart
{
  gateway::ChatRequest request;
  ChatExchange exchange;
  Tokens promptBound;
  Tokens maxTokens;

  ChatPart(gateway::ChatRequest parsed, const RequestId& id, Tokens prompt, Tokens completion)
    : request(std::move(parsed))
    , exchange(request, id, completion)
    , promptBound(prompt)
    , maxTokens(completion)
  {
  }
};

/** The part of a request that only plain calls have. */
struct PlainPart
{
  ServiceName service;
  /** Path and query below /services/NAME. */
  std::string target;
  bool repeatable = true;
  PlainExchange exchange;
  /** Larger for each later claim; sent to the endpoint. 0 for a repeatable call. */
  std::uint64_t fencingToken = 0;
};

/** One request in progress. */
struct Request
{
  gateway::CallerRequest input;
  std::shared_ptr<gateway::ResponseSink> sink;
  CallerEntry caller;
  Phase phase = Phase::queued;
  Time arrival;
  Duration target{ 0 };
  /** The upper bound of the bill; 0 when the request costs nothing. */
  Tokens bound;
  Fingerprint content = 0;
  std::unique_ptr<ChatPart> chat;
  std::unique_ptr<PlainPart> plain;
  /** Number of the current attempt; events of earlier ones are ignored. */
  std::uint32_t attempt = 0;
  EndpointId endpoint;
  std::string address;
  bool firstTextSeen = false;
  bool answerBegun = false;
  bool callerGone = false;
  /** True once a byte of the request may have reached an endpoint that did not refuse it. */
  bool mayHaveRun = false;
  bool chargePending = false;
  bool outcomePending = false;
  bool claimed = false;
  /** The error that ends the request; unset for an answer. */
  std::optional<Error> failure;
  /** The proposal whose result the request waits for; 0 when there is none. */
  std::uint64_t proposal = 0;
  /** When the wait in the phases claiming and recording ends. */
  Time waitDeadline;

  [[nodiscard]] bool isBilled() const { return bound > Tokens{} && !caller.budgets.empty(); }
  [[nodiscard]] bool needsClaim() const { return plain && !plain->repeatable; }
};

} // namespace figchute::entry
