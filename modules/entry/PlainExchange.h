#pragma once

#include "core/core.h"
#include "gateway/gateway.h"

#include <string>

namespace figchute::entry {

/** Buffers the answer of a plain service until it is complete.
    Thread safety: use one instance from one thread only. */
class PlainExchange
{
public:
  /** Maximum size of an answer, so that an endpoint cannot exhaust the memory of the process. */
  static constexpr std::size_t kMaxBodyBytes = 8UL * 1024 * 1024;

  /** Discards the data of a failed attempt. */
  void restart();

  /** Stores the status and the headers of the answer. */
  void setHead(const gateway::UpstreamHead& head);

  /** Appends the next bytes of the body.
      @returns endpoint_failed if the body exceeds kMaxBodyBytes */
  Expected<void> appendBody(std::string_view bytes);

  [[nodiscard]] int status() const { return status_; }
  [[nodiscard]] const std::string& body() const { return body_; }

  /** Returns the header fields to send to the caller. */
  [[nodiscard]] const gateway::Headers& headers() const { return headers_; }

private:
  int status_ = 0;
  gateway::Headers headers_;
  std::string body_;
};

} // namespace figchute::entry
