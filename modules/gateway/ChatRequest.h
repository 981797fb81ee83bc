#pragma once

#include "core/Error.h"
#include "core/Fingerprint.h"
#include "core/Types.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::gateway {

/** What the router adds to a chat request before an engine gets it. */
struct EngineOptions
{
  /** The bound of generated tokens that the reservation covers. */
  Tokens maxTokens;
  Rank rank = Rank::prompt;
  /** When not empty, the engine is asked to continue this text instead of starting an answer: the
      text goes last, as an assistant message, with `continue_final_message`. */
  std::string continueAfter;
};

/** A checked chat completions request with text messages.

    The fields `n` other than 1, tools and unknown fields are refused: they would let an engine
    generate, or read, more tokens than the reservation covers.
    Thread safety: const methods are safe from any thread. */
class ChatRequest
{
public:
  /** One message; text parts are joined in order. */
  struct Message
  {
    std::string role;
    std::string name;
    std::string text;
  };

  /** Parses and checks a request body.
      @param body  JSON text
      @returns the request, or an error of kind `bad_request` that names the field */
  static Expected<ChatRequest> parse(std::string_view body);

  [[nodiscard]] const ModelName& model() const { return model_; }
  [[nodiscard]] const std::vector<Message>& messages() const { return messages_; }

  /** Returns the bytes of all texts, roles and names: what the prompt bound counts. */
  [[nodiscard]] std::size_t promptBytes() const { return promptBytes_; }

  /** Returns the smaller of `max_tokens` and `max_completion_tokens`, if any is given. */
  [[nodiscard]] std::optional<Tokens> maxTokens() const { return maxTokens_; }

  /** Tells whether the caller wants server-sent events. */
  [[nodiscard]] bool streamed() const { return streamed_; }

  /** Tells whether the caller wants a last chunk with the usage. */
  [[nodiscard]] bool usageWanted() const { return usageWanted_; }

  /** Returns one fingerprint for each message: that of the model and all messages up to and
      including it. Two requests share a prompt prefix where their chains are equal. */
  [[nodiscard]] const std::vector<Fingerprint>& prefixChain() const { return prefixChain_; }

  /** Returns a fingerprint of everything that decides how the request runs at an engine. */
  [[nodiscard]] Fingerprint fingerprint() const { return fingerprint_; }

  /** Builds the body for an engine: always streamed, with usage, bounded `max_tokens` and the
      rank's number as `priority` (0 is the most urgent).
      @param options  bound, rank and text to continue
      @returns JSON text */
  [[nodiscard]] std::string engineBody(const EngineOptions& options) const;

private:
  friend class ChatRequestParser;

  /** A field that goes to the engine unchanged. */
  struct Parameter
  {
    std::string name;
    std::string json;
  };

  ModelName model_;
  std::vector<Message> messages_;
  std::vector<Parameter> parameters_;
  std::size_t promptBytes_ = 0;
  std::optional<Tokens> maxTokens_;
  bool streamed_ = false;
  bool usageWanted_ = false;
  std::vector<Fingerprint> prefixChain_;
  Fingerprint fingerprint_ = 0;
};

} // namespace figchute::gateway
