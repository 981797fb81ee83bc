#pragma once

#include "core/core.h"
#include "gateway/gateway.h"

#include <string>

namespace figchute::entry {

/** The answer of a plain service, collected until it is complete.
    Thread safety: use one instance from one thread only. */
class PlainExchange
{
public:
  /** A larger answer is refused, so that one endpoint cannot fill the memory of the process. */
  static constexpr std::size_t kMaxBodyBytes = 8UL * 1024 * 1024;

  /** Forgets the parts of a failed attempt. */
  void restart();

  /** Takes the head of the answer. */
  void takeHead(const gateway::UpstreamHead& head);

  /** Takes the next bytes of the body.
      @returns endpoint_failed when the body outgrows kMaxBodyBytes */
  Expected<void> takeBody(std::string_view bytes);

  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] const std::string& body() const { return body_; }

  /** Returns the header fields that the caller gets. */
  [[nodiscard]] const gateway::Headers& headers() const { return headers_; }

private:
  int status_ = 0;
  gateway::Headers headers_;
  std::string body_;
};

} // namespace figchute::entry
