#pragma once

#include <cstdint>

namespace figchute::routing {

/** Returns the weight of a place for a key in rendezvous hashing; the place with the largest weight
    has the key. It is the same on every process. Safe from any thread.
    @param place  hash of the place
    @param key    hash of the key */
inline std::uint64_t rendezvousWeight(std::uint64_t place, std::uint64_t key)
{
  std::uint64_t value = place ^ key;
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33U;
  return value;
}

} // namespace figchute::routing
