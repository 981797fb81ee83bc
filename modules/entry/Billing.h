#pragma once

#include "entry/Request.h"

namespace figchute::entry {

/** Returns the prompt tokens that a chat request is billed for: the engine's count, never above the
    bound of the reservation. An engine that reports none is billed the bound.
    Precondition: the request has a chat part. */
inline Tokens chatPromptTokens(const Request& request)
{
  const auto bound = request.chat->promptBound;
  return std::min(request.chat->exchange.promptTokens().value_or(bound), bound);
}

/** Returns the bill of a chat request for what its caller has, never above the reservation.
    Precondition: the request has a chat part. */
inline Tokens chatBill(const Request& request)
{
  return chatPromptTokens(request) + request.chat->exchange.completionTokens();
}

} // namespace figchute::entry
