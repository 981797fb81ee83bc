#pragma once

#include "http/Message.h"

#include <optional>
#include <string>
#include <string_view>

namespace figchute::http::detail {

/** Finds out from the relayed bytes of a connection whether a request waits for the end of its
    response. If the bytes are not understood, it is taken to wait.
    Thread safety: use one instance from one thread only. */
class ExchangeTracker
{
public:
  /** Records bytes of a request. */
  void addRequest(std::string_view bytes)
  {
    if (isBusy_)
      return;
    isBusy_ = true;
    isHead_ = bytes.starts_with("HEAD ");
  }

  /** Records bytes of a response. */
  void addResponse(std::string_view bytes)
  {
    if (!isBusy_ || isMalformed_)
      return;
    input_.append(bytes);
    std::size_t used = 0;
    while (isBusy_ && parseNext(used)) {
    }
    input_.erase(0, used);
    isMalformed_ = isMalformed_ || input_.size() > kMaxInputBytes;
    if (!isBusy_ || isMalformed_)
      release(input_);
  }

  /** Returns whether the response to the last request has not ended yet. */
  [[nodiscard]] bool isBusy() const { return isBusy_; }

private:
  /** Maximum bytes of a head, a chunk header or a trailer. */
  static constexpr std::size_t kMaxInputBytes = 64U * 1024;

  /** Parses the bytes of input_ after the first used ones.
      @returns whether there was progress */
  bool parseNext(std::size_t& used)
  {
    if (!parser_) {
      parser_.emplace();
      parser_->skip(isHead_);
    }
    const auto rest = std::string_view(input_).substr(used);
    std::size_t parsed = 0;
    if (rest.empty() || !parser_->parse(rest, parsed)) {
      isMalformed_ = !rest.empty();
      return false;
    }
    used += parsed;
    if (parser_->is_done()) {
      // Informational responses precede the response proper.
      isBusy_ = parser_->head.status / 100 == 1;
      parser_.reset();
    }
    return parsed > 0;
  }

  std::optional<MessageParser<false>> parser_;
  std::string input_;
  bool isBusy_ = false;
  bool isHead_ = false;
  bool isMalformed_ = false;
};

} // namespace figchute::http::detail
