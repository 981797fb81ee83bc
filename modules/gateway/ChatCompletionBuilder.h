#pragma once

#include "core/Error.h"
#include "gateway/ChatChunk.h"

#include <cstddef>
#include <optional>
#include <string>

namespace figchute::gateway {

/** Assembles the chunks of a streamed chat completion into one `chat.completion` object.
    Thread safety: not thread-safe; use an instance from one thread at a time. */
class ChatCompletionBuilder
{
public:
  /** Maximum size of the text of a completion, unless the constructor gets another one. */
  static constexpr std::size_t kMaxTextBytes = 8UL * 1024 * 1024;

  /** Creates an empty completion.
      @param maxBytes  maximum size of the text in bytes */
  explicit ChatCompletionBuilder(std::size_t maxBytes = kMaxTextBytes);

  /** Adds the next chunk.
      @returns nothing, or `endpoint_failed` when the text would exceed the maximum size */
  Expected<void> add(const ChatChunk& chunk);

  /** Returns true if a chunk with a finish reason was added. */
  [[nodiscard]] bool isComplete() const { return finishReason_.has_value(); }

  [[nodiscard]] const std::string& text() const { return text_; }
  [[nodiscard]] const std::optional<ChatUsage>& usage() const { return usage_; }

  /** Serializes the `chat.completion` object.
      @returns JSON text */
  [[nodiscard]] std::string toJson() const;

private:
  std::size_t maxBytes_;
  std::string id_;
  std::string model_;
  std::int64_t created_ = 0;
  std::string text_;
  std::optional<std::string> finishReason_;
  std::optional<ChatUsage> usage_;
};

} // namespace figchute::gateway
