#pragma once

#include <cstdint>

namespace figchute::routing {

/** Returns the weight of a node for a key in rendezvous hashing. The key belongs to the node with
    the largest weight. All processes compute the same weight. Safe from any thread.
    @param node  hash of the node
    @param key   hash of the key */
inline std::uint64_t rendezvousWeight(std::uint64_t node, std::uint64_t key)
{
  std::uint64_t value = node ^ key;
  value ^= value >> 33U;
  value *= 0xff51afd7ed558ccdULL;
  value ^= value >> 33U;
  value *= 0xc4ceb9fe1a85ec53ULL;
  value ^= value >> 33U;
  return value;
}

} // namespace figchute::routing
