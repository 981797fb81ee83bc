#pragma once

#include "core/Types.h"

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace figchute::transport {

/** Detects envelopes of one sender that were received before or that come from an earlier
    incarnation.
    Thread safety: use each instance from one thread only. */
class DuplicateFilter
{
public:
  /** The number of most recent sequence numbers that are stored; older ones count as received. */
  static constexpr std::size_t kWindowSize = 4096;

  /** Records an envelope.
      @returns true if the envelope is new and must be handled */
  bool accept(Incarnation incarnation, std::uint64_t sequence);

private:
  void advanceWindowTo(std::uint64_t sequence);

  Incarnation incarnation_;
  std::uint64_t highestSequence_ = 0;
  std::bitset<kWindowSize> receivedSequences_;
};

} // namespace figchute::transport
