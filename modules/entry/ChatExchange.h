#pragma once

#include "core/core.h"
#include "gateway/gateway.h"

#include <optional>
#include <string>
#include <string_view>

namespace figchute::entry {

/** The result of processing a part of an engine's answer. */
struct ChatProgress
{
  /** Events to send to a caller that requested a stream. */
  std::string events;
  /** Whether this part contained the first text of the answer. */
  bool firstText = false;
  /** Whether the engine reported its prompt token count for the first time with this part. */
  bool promptTokensKnown = false;
  /** Whether nothing more is needed from the engine, because its stream has ended or the answer has
      reached the token limit. `events` does not include the final events. */
  bool complete = false;
  /** Whether the answer was truncated at the token limit while the engine is still generating. */
  bool truncated = false;
};

/** Converts the engine's answer to a chat request into the answer for the caller.

    The final events are available separately, so that they can be withheld until the charge is
    recorded and no caller receives a complete answer that is not charged. All chunks of an attempt
    must have the same id. In the answer it is replaced by an id that contains the request id.
    Thread safety: use one instance from one thread only. */
class ChatExchange
{
public:
  /** Starts an exchange.
      @param request    the validated request; must outlive the exchange
      @param id         the request id, included in the id of each chunk sent to the caller
      @param maxTokens  maximum number of completion tokens, which the reservation covers */
  ChatExchange(const gateway::ChatRequest& request, RequestId id, Tokens maxTokens);

  /** Begins another attempt that generates the answer from the beginning. */
  void restart();

  /** Begins another attempt that continues after the delivered text. */
  void continueFromEnd();

  /** Returns the text to continue after, for EngineOptions::continueAfter. */
  [[nodiscard]] const std::string& deliveredText() const { return deliveredText_.text(); }

  /** Processes the next bytes of the engine's answer.
      @returns the progress; answer_mismatch if a chunk has a different id; endpoint_failed if the
      stream is malformed or the text of a full response is larger than
      gateway::ChatCompletionBuilder::kMaxTextBytes; codec_error if a regenerated text differs from
      the delivered one, in which case another attempt must continue from its end */
  Expected<ChatProgress> feed(std::string_view bytes);

  /** Returns whether the answer is complete: the engine gave a finish reason, or the token limit
      was reached. */
  [[nodiscard]] bool isComplete() const { return complete_; }

  /** Returns the number of completion tokens that were delivered or are about to be. */
  [[nodiscard]] Tokens completionTokens() const;

  /** Returns the prompt token count reported by the engine, if any. */
  [[nodiscard]] std::optional<Tokens> promptTokens() const { return promptTokens_; }

  /** Returns the final events: finish reason, usage if it was requested, end of stream.
      Precondition: isComplete() is true. */
  [[nodiscard]] std::string finalEvents(Tokens prompt) const;

  /** Returns the complete answer as JSON. Precondition: isComplete() is true. */
  [[nodiscard]] std::string fullResponse(Tokens prompt) const;

private:
  Expected<void> processChunk(const gateway::ChatChunk& chunk, ChatProgress& progress);
  Expected<void> checkId(const gateway::ChatChunk& chunk);
  void processUsage(const gateway::ChatChunk& chunk, ChatProgress& progress);
  void beginAttempt();
  void finish(std::string reason);
  [[nodiscard]] gateway::ChatChunk makeChunk() const;

  const gateway::ChatRequest& request_;
  RequestId id_;
  Tokens maxTokens_;
  gateway::EventStreamParser parser_;
  gateway::DeliveredText deliveredText_;
  std::string attemptId_;
  std::string model_;
  std::int64_t created_ = 0;
  std::optional<Tokens> promptTokens_;
  /** Tokens of earlier attempts that the current attempt does not generate again. */
  Tokens previousTokens_;
  Tokens countedTokens_;
  /** Tokens of the delivered text over all attempts. */
  Tokens deliveredTokens_;
  std::optional<Tokens> reportedTokens_;
  std::string finishReason_;
  bool firstEventSent_ = false;
  bool complete_ = false;
};

} // namespace figchute::entry
