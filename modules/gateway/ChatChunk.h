#pragma once

#include "core/Error.h"
#include "core/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::gateway {

/** The token counts of an answer so far. */
struct ChatUsage
{
  Tokens prompt;
  Tokens completion;
};

/** The data that ends a stream of chunks. */
constexpr std::string_view kStreamEnd = "[DONE]";

/** One `chat.completion.chunk` of an engine. */
struct ChatChunk
{
  std::string id;
  std::string model;
  std::int64_t created = 0;
  /** The generated text that this chunk adds. */
  std::string text;
  /** Present in the chunk that ends the text: "stop", "length" or another reason. */
  std::optional<std::string> finishReason;
  std::optional<ChatUsage> usage;

  /** Parses the data of one event.
      @param data  JSON text, not kStreamEnd
      @returns the chunk, or `endpoint_failed` when it is not a chunk, carries an error object, has
      a choice other than the first, or negative counts
      Thread safety: safe from any thread. */
  static Expected<ChatChunk> parse(std::string_view data);

  /** Builds the server-sent event of this chunk, "data: " and the blank line included. A chunk
      that has usage but neither text nor finish reason has no choices.
      @param first  true adds the assistant role, as the first chunk of a stream has it */
  [[nodiscard]] std::string toEvent(bool first = false) const;
};

/** Returns the event that ends a stream. */
std::string streamEndEvent();

} // namespace figchute::gateway
