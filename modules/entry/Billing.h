#pragma once

#include "entry/Request.h"

namespace figchute::entry {

/** Returns the number of prompt tokens charged for a chat request: the count reported by the
    engine, limited to the reserved maximum. If the engine reports no count, the maximum is charged.
    Precondition: the request is a chat request. */
inline Tokens chatPromptTokens(const Request& request)
{
  const auto maxPromptTokens = request.chat->maxPromptTokens;
  return std::min(request.chat->exchange.promptTokens().value_or(maxPromptTokens), maxPromptTokens);
}

/** Returns the charge for the tokens delivered by a chat request, which never exceeds the
    reservation.
    Precondition: the request is a chat request. */
inline Tokens chatCharge(const Request& request)
{
  return chatPromptTokens(request) + request.chat->exchange.completionTokens();
}

} // namespace figchute::entry
