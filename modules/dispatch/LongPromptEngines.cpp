#include "dispatch/LongPromptEngines.h"

#include "dispatch/Placement.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** Prefill time from which a prompt counts as long. Six steps with a full chunk each, about 22,000
    tokens, pause all streams for half a second. 300 ms, about 16,000 tokens, leaves time for the
    prompts prefilled before and after. With 250 ms the reserved engines were too busy: 6% of the
    guides paused instead of 4%. With 350 ms twice as many chats paused. */
constexpr Duration kLongPrefill = std::chrono::milliseconds(300);

/** One of this many engines is reserved. One of nine was not enough for the measured traffic: 5% of
    the guides paused instead of 3.5%. */
constexpr std::size_t kReservedDivisor = 6;

/** Engines stay reserved this long after the last long prompt. An entry process with 3% of the
    traffic receives a long prompt about once a minute. */
constexpr Duration kReservationTime = std::chrono::seconds(120);

/** Wait added to a reserved engine for other requests, small enough that they still use it under
    overload. With 300 ms, 2% of the credit was lost in an overload of guides without long prompts;
    with 80 ms, 50% more chats paused. */
constexpr Duration kReservedPenalty = std::chrono::milliseconds(150);

/** Rendezvous key of the long prompts, equal on all processes. */
constexpr Fingerprint kLongPromptKey = 0x6c6f6e67;

} // namespace

bool LongPromptEngines::isLong(const RequestInfo& requestInfo, std::span<const Fingerprint> keys)
{
  const auto prefix = sharedPrefixOf(requestInfo, keys);
  const auto ownTokens = requestInfo.promptTokens - (prefix ? prefix->tokens : 0);
  return prefillTime(ownTokens, requestInfo.promptTokens) > kLongPrefill;
}

void LongPromptEngines::markReserved(Time now, bool isLong, std::span<Candidate> candidates)
{
  if (isLong) {
    lastLongPromptAt_ = now;
  }
  if (!lastLongPromptAt_ || now - *lastLongPromptAt_ > kReservationTime) {
    return;
  }
  std::vector<Endpoint*> endpoints;
  endpoints.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    endpoints.push_back(candidate.endpoint);
  }
  const auto order = rendezvousOrder(kLongPromptKey, endpoints);
  for (std::size_t i = 0; i < candidates.size() / kReservedDivisor; ++i) {
    auto& candidate = candidates[order[i]];
    candidate.reservedForLongPrompts = true;
    candidate.penalty += isLong ? Duration(0) : kReservedPenalty;
  }
}

} // namespace figchute::dispatch
