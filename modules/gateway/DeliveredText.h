#pragma once

#include "core/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace figchute::gateway {

/** Tracks the text of one completion that its caller has received when more than one endpoint
    generates it.

    When a stream stalls, the coordinator sends the request to another endpoint and calls
    restart(). The new endpoint generates the text again from the first byte; accept() drops the
    part that was already delivered and returns the rest, so that no byte is repeated or lost. When
    the regenerated text differs from the delivered text, the new endpoint's output cannot be used.
    The coordinator can then request a continuation (EngineOptions::continueAfter) and call
    continueFromEnd().
    Thread safety: not thread-safe; use an instance from one thread at a time. */
class DeliveredText
{
public:
  /** Processes the text of the next chunk from the current endpoint.
      @param text  the generated text; it may overlap the delivered text
      @returns the part that was not delivered yet, or `endpoint_failed` with the byte offset when
      regenerated text differs from the delivered text */
  Expected<std::string> accept(std::string_view text);

  /** Expects the next accept() to receive text from the first byte of the completion. */
  void restart() { nextOffset_ = 0; }

  /** Expects the next accept() to receive text that follows the delivered text. */
  void continueFromEnd() { nextOffset_ = text_.size(); }

  /** Returns true if the current endpoint has generated at least the delivered text. A completion
      that ends while this is false is shorter than what the caller has received. */
  [[nodiscard]] bool hasCaughtUp() const { return nextOffset_ == text_.size(); }

  [[nodiscard]] const std::string& text() const { return text_; }

private:
  std::string text_;
  std::size_t nextOffset_ = 0;
};

} // namespace figchute::gateway
