#pragma once

#include "core/Error.h"
#include "core/Types.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::gateway {

/** Token counts of a completion, as reported by the engine. */
struct ChatUsage
{
  Tokens prompt;
  Tokens completion;
};

/** Data of the event that ends a stream of chunks. */
constexpr std::string_view kStreamEnd = "[DONE]";

/** One `chat.completion.chunk` object of a streamed chat completion. */
struct ChatChunk
{
  std::string id;
  std::string model;
  std::int64_t created = 0;
  /** The text that this chunk appends to the completion. */
  std::string text;
  /** Present in the chunk that ends the completion: "stop", "length" or another reason. */
  std::optional<std::string> finishReason;
  std::optional<ChatUsage> usage;

  /** Parses the data of one server-sent event.
      @param data  JSON text, not kStreamEnd
      @returns the chunk, or `endpoint_failed` when the data is not a chunk, contains an error
      object, a choice other than the first, or negative token counts
      Thread safety: may be called from any thread. */
  static Expected<ChatChunk> parse(std::string_view data);

  /** Serializes this chunk as a server-sent event, including "data: " and the terminating blank
      line. `choices` is empty when the chunk has neither text nor a finish reason and @p first is
      false.
      @param first  true adds the role "assistant", which the first chunk of a stream must have */
  [[nodiscard]] std::string toEvent(bool first = false) const;
};

/** Returns the server-sent event that ends a stream of chunks. */
std::string streamEndEvent();

} // namespace figchute::gateway
