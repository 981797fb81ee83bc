#pragma once

#include "core/Error.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace figchute::gateway {

/** The text of one answer that its caller has received, across the endpoints that generate it.

    When a stream stalls, the coordinator sends the request to another endpoint and calls
    restart(). The new endpoint generates the text from its first byte; accept() drops what was
    delivered and passes on the rest, so that no byte is repeated or lost. When the regenerated text
    differs from what was delivered, the answer cannot go on from there. The coordinator can then
    ask for a continuation (EngineOptions::continueAfter) and call continueFromEnd().
    Thread safety: use one instance from one thread at a time. */
class DeliveredText
{
public:
  /** Takes the text of the next chunk of the current endpoint.
      @param text  the generated text, which may start inside what was delivered
      @returns the part that the caller does not have; `endpoint_failed` when regenerated text
      differs from what was delivered, naming the offset */
  Expected<std::string> accept(std::string_view text);

  /** The next accept() gets text from the first byte of the answer. */
  void restart() { position_ = 0; }

  /** The next accept() gets text that follows all that was delivered. */
  void continueFromEnd() { position_ = text_.size(); }

  /** Tells whether the current endpoint has reached the end of what was delivered. An answer that
      ends before that is shorter than what the caller has. */
  [[nodiscard]] bool caughtUp() const { return position_ == text_.size(); }

  [[nodiscard]] const std::string& text() const { return text_; }

private:
  std::string text_;
  std::size_t position_ = 0;
};

} // namespace figchute::gateway
