#pragma once

#include "entry/PlainExchange.h"

#include <string>
#include <string_view>

namespace figchute::entry {

/** The answer of a non-repeatable call as it is stored in the log for retries. */
struct RecordedResponse
{
  std::string contentType;
  std::string body;
  /** Whether the body is only the first part of the answer. */
  bool truncated = false;

  /** Encodes an answer. A body that does not fit into ledger::kMaxOutcomeBody is truncated, which
      the content type indicates with the parameter `truncated=true`.
      Thread safety: safe from any thread. */
  static std::string encode(const PlainExchange& exchange);

  /** Decodes an answer encoded by encode(). The content type of text without a content type line is
      `application/octet-stream`.
      Thread safety: safe from any thread. */
  static RecordedResponse decode(std::string_view recorded);
};

} // namespace figchute::entry
