#pragma once

#include "core/Types.h"
#include "routing/Policy.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>

namespace figchute::routing {

/** A running batch request that could be cancelled. */
struct PreemptionCandidate
{
  std::size_t promptBytes = 0;
  Tokens generated;
  Tokens maxTokens;
  /** Number of times that the request was cancelled before. */
  std::uint32_t preemptions = 0;
};

/** Chooses the batch request to cancel for an urgent request that finds no free slot.

    The gain is the worth of one urgent request that would otherwise be late. The cost is the
    fraction of a batch request that must be computed again when it is resumed, times the worth of
    the batch rank. The cost grows with each cancellation of the same request. Requests that are
    nearly complete are not cancelled.
    Thread safety: safe from any thread. */
class PreemptionPolicy
{
public:
  /** Returns the index of the candidate to cancel.
      @param policy      source of the worth of the ranks
      @param candidates  running batch requests
      @returns nullopt if no cancellation gains more than it costs */
  static std::optional<std::size_t> choose(const Policy& policy,
                                           std::span<const PreemptionCandidate> candidates);
};

} // namespace figchute::routing
