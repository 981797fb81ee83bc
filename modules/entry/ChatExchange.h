#pragma once

#include "core/core.h"
#include "gateway/gateway.h"

#include <optional>
#include <string>
#include <string_view>

namespace figchute::entry {

/** What one part of an engine's answer led to. */
struct ChatStep
{
  /** Events for the caller; empty for an answer that is not streamed. */
  std::string events;
  /** True when the first text of the answer arrived with this part. */
  bool firstText = false;
  /** True when the engine reported its prompt tokens with this part for the first time. */
  bool promptKnown = false;
  /** True when nothing more is needed from the engine: its stream has ended, or the answer has
      reached its bound. The last events are held back. */
  bool complete = false;
  /** True when the answer was cut at its bound and the engine still generates. */
  bool cut = false;
};

/** The answer to one chat request while it passes from the engine to the caller.

    The last events are held back until the charge is recorded, so that no caller has a whole answer
    that is not billed. Chunk ids are checked: all chunks of one attempt must carry the same id, and
    the caller sees the request's own id.
    Thread safety: use one instance from one thread only. */
class ChatExchange
{
public:
  /** Starts an exchange.
      @param request    the checked request; outlives the exchange
      @param id         the request id, shown to the caller in each chunk
      @param maxTokens  bound of completion tokens that the reservation covers */
  ChatExchange(const gateway::ChatRequest& request, RequestId id, Tokens maxTokens);

  /** Begins another attempt that generates the answer from its first byte. */
  void restart();

  /** Begins another attempt that continues after the text the caller has. */
  void continueFromEnd();

  /** Returns the text to continue after, for EngineOptions::continueAfter. */
  [[nodiscard]] const std::string& deliveredText() const { return delivered_.text(); }

  /** Takes the next bytes of the engine's answer.
      @returns what to do; answer_mismatch when a chunk carries another id; endpoint_failed when
      the stream is malformed; codec_error when a regenerated text differs from what the caller has
      already, so that the attempt must continue from the end instead */
  Expected<ChatStep> feed(std::string_view bytes);

  /** Tells whether the engine ended its answer properly. */
  [[nodiscard]] bool complete() const { return complete_; }

  /** Returns the completion tokens that the caller has or is about to get. */
  [[nodiscard]] Tokens completionTokens() const;

  /** Returns the prompt tokens as the engine counted them, if it has reported them. */
  [[nodiscard]] std::optional<Tokens> promptTokens() const { return promptTokens_; }

  /** Returns the events that were held back: finish reason, usage when asked for, end of stream.
      Precondition: complete() is true. */
  [[nodiscard]] std::string lastEvents(Tokens prompt) const;

  /** Returns the whole answer as JSON. Precondition: complete() is true. */
  [[nodiscard]] std::string wholeAnswer(Tokens prompt) const;

private:
  Expected<void> takeChunk(const gateway::ChatChunk& chunk, ChatStep& step);
  Expected<void> checkId(const gateway::ChatChunk& chunk);
  void takeUsage(const gateway::ChatChunk& chunk, ChatStep& step);
  void beginAttempt();
  void finish(std::string reason);
  [[nodiscard]] gateway::ChatChunk ownChunk() const;

  const gateway::ChatRequest& request_;
  RequestId id_;
  Tokens maxTokens_;
  gateway::EventStreamParser parser_;
  gateway::DeliveredText delivered_;
  std::string attemptId_;
  std::string model_;
  std::int64_t created_ = 0;
  std::optional<Tokens> promptTokens_;
  /** Tokens of earlier attempts that this attempt does not generate again. */
  Tokens earlierTokens_;
  Tokens countedTokens_;
  std::optional<Tokens> reportedTokens_;
  std::string finishReason_;
  bool sentFirst_ = false;
  bool complete_ = false;
};

} // namespace figchute::entry
