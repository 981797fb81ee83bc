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
  /** How often the request was cancelled before. */
  std::uint32_t preemptions = 0;
};

/** Chooses the batch work to cancel for urgent work that finds no free place.

    The gain is the worth of one urgent request that would be late otherwise. The cost is the part
    of a batch request that has to be computed again when it is resumed, times the worth of batch
    work. The cost grows with each cancellation of the same work. Work that is nearly done is left
    alone.
    Thread safety: safe from any thread. */
class PreemptionPolicy
{
public:
  /** Returns the index of the candidate to cancel.
      @param policy      the worth of the ranks
      @param candidates  running batch work
      @returns nullopt when no cancellation gains more than it costs */
  static std::optional<std::size_t> choose(const Policy& policy,
                                           std::span<const PreemptionCandidate> candidates);
};

} // namespace figchute::routing
