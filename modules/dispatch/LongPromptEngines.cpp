#include "dispatch/LongPromptEngines.h"

#include "dispatch/Placement.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** A pause of half a second is six events' steps with a whole chunk each, about 22,000 tokens. With
    300 ms, about 16,000 tokens, there is room for the prompts that are read before and after. With
    250 ms the engines of long prompts were too busy: 6% of the guides paused in place of 4%; with
    350 ms twice as many chats paused. */
constexpr Duration kLongReading = std::chrono::milliseconds(300);

/** One of this many engines takes long prompts. One of nine was not enough for the measured
   traffic: 9% of the guides paused in place of 4%. */
constexpr std::size_t kEnginesPerLong = 6;

/** An entry process with 3% of the traffic sees a long prompt about once a minute. */
constexpr Duration kMemory = std::chrono::seconds(120);

/** Wait that an engine of long prompts counts for in the choice for other requests. */
constexpr Duration kPenalty = std::chrono::milliseconds(300);

/** Place of the long prompts in the rendezvous order, equal on all processes. */
constexpr Fingerprint kLongKey = 0x6c6f6e67;

} // namespace

bool LongPromptEngines::isLong(const Work& work, std::span<const Fingerprint> keys)
{
  const auto subject = subjectOf(work, keys);
  const auto own = work.promptTokens - (subject ? subject->tokens : 0);
  return prefillTime(own, work.promptTokens) > kLongReading;
}

void LongPromptEngines::mark(Time now, bool isLong, std::span<Candidate> candidates)
{
  if (isLong) {
    seenAt_ = now;
  }
  if (!seenAt_ || now - *seenAt_ > kMemory) {
    return;
  }
  std::vector<Endpoint*> endpoints;
  endpoints.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    endpoints.push_back(candidate.endpoint);
  }
  const auto order = rendezvousOrder(kLongKey, endpoints);
  for (std::size_t i = 0; i < candidates.size() / kEnginesPerLong; ++i) {
    auto& candidate = candidates[order[i]];
    candidate.forLong = true;
    candidate.penalty += isLong ? Duration(0) : kPenalty;
  }
}

} // namespace figchute::dispatch
