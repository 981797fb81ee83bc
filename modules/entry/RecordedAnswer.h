#pragma once

#include "entry/PlainExchange.h"

#include <string>
#include <string_view>

namespace figchute::entry {

/** The answer of a non-idempotent call as the log keeps it for retries. */
struct RecordedAnswer
{
  std::string contentType;
  std::string body;

  /** Encodes an answer; a body that does not fit ledger::kMaxOutcomeBody is cut and its content
      type says so with the parameter `truncated=true`.
      Thread safety: safe from any thread. */
  static std::string encode(const PlainExchange& exchange);

  /** Decodes what encode() returned. Text without a content type line gets
      `application/octet-stream`.
      Thread safety: safe from any thread. */
  static RecordedAnswer decode(std::string_view recorded);
};

} // namespace figchute::entry
