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

/** The processing phase of a request. */
enum class RequestPhase
{
  /** Waiting for the reservation of tokens. */
  reserving,
  /** Waiting until the claim of its idempotency key is committed to the log. */
  claiming,
  /** Queued in the router. */
  queued,
  /** Running at an endpoint. */
  running,
  /** The endpoint has finished; waiting until the charge or the outcome of the key is recorded. */
  recording,
};

/** The state of a request for a chat completion. */
struct ChatState
{
  gateway::ChatRequest request;
  ChatExchange exchange;
  Tokens maxPromptTokens;
  Tokens maxTokens;

  ChatState(gateway::ChatRequest parsedRequest,
            const RequestId& id,
            Tokens prompt,
            Tokens completion)
    : request(std::move(parsedRequest))
    , exchange(request, id, completion)
    , maxPromptTokens(prompt)
    , maxTokens(completion)
  {
  }
};

/** The state of a plain call. */
struct PlainCallState
{
  ServiceName service;
  /** Path and query below /services/NAME. */
  std::string target;
  bool repeatable = true;
  PlainExchange exchange;
  /** Fencing token, which increases with each claim and is sent to the endpoint; 0 for a
      repeatable call. */
  std::uint64_t fencingToken = 0;
};

/** A request in progress. */
struct Request
{
  gateway::CallerRequest input;
  std::shared_ptr<gateway::ResponseSink> sink;
  CallerEntry caller;
  RequestPhase phase = RequestPhase::queued;
  Time arrival;
  Duration target{ 0 };
  /** Upper bound of the charge; 0 if the request is free. */
  Tokens maxCharge;
  Fingerprint contentFingerprint = 0;
  std::unique_ptr<ChatState> chat;
  std::unique_ptr<PlainCallState> plain;
  /** Number of the current attempt. Events of earlier attempts are ignored. */
  std::uint32_t attempt = 0;
  EndpointId endpoint;
  std::string address;
  bool firstTextReceived = false;
  bool responseStarted = false;
  bool callerDisconnected = false;
  /** Whether a byte of the request may have reached an endpoint that did not refuse it. */
  bool mayHaveRun = false;
  bool chargePending = false;
  bool outcomePending = false;
  bool claimed = false;
  /** The error to send instead of an answer, if any. */
  std::optional<Error> failure;
  /** Id of the proposal whose result the request waits for; 0 if there is none. */
  std::uint64_t proposalId = 0;
  /** Time at which the phases claiming and recording time out. */
  Time waitDeadline;

  [[nodiscard]] bool isBilled() const { return maxCharge > Tokens{} && !caller.budgets.empty(); }
  [[nodiscard]] bool needsClaim() const { return plain && !plain->repeatable; }
};

} // namespace figchute::entry
