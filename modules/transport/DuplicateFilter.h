#pragma once

#include "core/Types.h"

#include <bitset>
#include <cstddef>
#include <cstdint>

namespace figchute::transport {

/** Recognizes envelopes of one sender that were seen before or come from an earlier incarnation.
    Thread safety: use one instance from one thread only. */
class DuplicateFilter
{
public:
  /** Number of sequence numbers remembered; an older one counts as seen. */
  static constexpr std::size_t kWindow = 4096;

  /** Notes an envelope.
      @returns true when it is new and must be handled */
  bool accept(Incarnation incarnation, std::uint64_t sequence);

private:
  void forgetUpTo(std::uint64_t sequence);

  Incarnation incarnation_;
  std::uint64_t highest_ = 0;
  std::bitset<kWindow> seen_;
};

} // namespace figchute::transport
