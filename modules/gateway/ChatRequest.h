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

/** Values that the router sets in a chat request before it sends the request to an engine. */
struct EngineOptions
{
  /** Maximum number of generated tokens; the budget reservation covers this many. */
  Tokens maxTokens;
  Rank rank = Rank::prompt;
  /** When not empty, the engine continues this text instead of starting a new completion: the text
      is sent as the last message, with the role "assistant" and `continue_final_message`. */
  std::string continueAfter;
};

/** A validated chat completions request with text messages.

    Values of `n` other than 1, tools and unknown fields are rejected, because with them an engine
    could generate, or read, more tokens than the budget reservation covers.
    Thread safety: const methods may be called from any thread. */
class ChatRequest
{
public:
  /** One message. Text parts are concatenated in order. */
  struct Message
  {
    std::string role;
    std::string name;
    std::string text;
  };

  /** Parses and validates a request body.
      @param body  JSON text
      @returns the request, or an error of kind `bad_request` that names the invalid field */
  static Expected<ChatRequest> parse(std::string_view body);

  [[nodiscard]] const ModelName& model() const { return model_; }
  [[nodiscard]] const std::vector<Message>& messages() const { return messages_; }

  /** Returns the total size in bytes of all message texts, roles and names. The upper bound of the
      prompt's tokens is computed from it. */
  [[nodiscard]] std::size_t promptBytes() const { return promptBytes_; }

  /** Returns the smaller of `max_tokens` and `max_completion_tokens`, or nothing when neither is
      given. */
  [[nodiscard]] std::optional<Tokens> maxTokens() const { return maxTokens_; }

  /** Returns true if the caller requested a stream of server-sent events. */
  [[nodiscard]] bool isStreamed() const { return isStreamed_; }

  /** Returns true if the caller requested a final chunk with the token usage. */
  [[nodiscard]] bool isUsageRequested() const { return isUsageRequested_; }

  /** Returns one fingerprint per message, computed over the model and all messages up to and
      including it. Two requests share a prompt prefix as far as their chains are equal. */
  [[nodiscard]] const std::vector<Fingerprint>& prefixChain() const { return prefixChain_; }

  /** Returns a fingerprint of the model, the messages, the forwarded parameters and the token
      limit. `stream` and `stream_options` are not included: they do not change what the engine
      generates. */
  [[nodiscard]] Fingerprint fingerprint() const { return fingerprint_; }

  /** Builds the request body for an engine. It always requests a stream with usage, sets
      `max_tokens`, and sets `priority` to the number of the rank (0 is the most urgent).
      @param options  token limit, rank and text to continue
      @returns JSON text */
  [[nodiscard]] std::string engineBody(const EngineOptions& options) const;

private:
  friend class ChatRequestParser;

  /** A field that is forwarded to the engine unchanged. */
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
  bool isStreamed_ = false;
  bool isUsageRequested_ = false;
  std::vector<Fingerprint> prefixChain_;
  Fingerprint fingerprint_ = 0;
};

} // namespace figchute::gateway
