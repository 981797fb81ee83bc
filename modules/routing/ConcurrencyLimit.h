#pragma once

#include "core/Types.h"

#include <array>
#include <cstdint>

namespace figchute::routing {

/** Concurrency limit of one endpoint that adapts to the time from dispatch to first token.

    The limit starts at the slots that the endpoint announces. When several first tokens in a row
    take much longer than the shortest of late, requests wait inside the endpoint, and the limit
    shrinks by a tenth at most once a second. Good samples grow it back to the slots. Batch work
   does not count: an engine that honours priorities may let it wait at any load. Thread safety: use
   one instance from one thread at a time. */
class ConcurrencyLimit
{
public:
  /** Creates the limit of an endpoint.
      @param slots  the announced number of slots, at least 1 */
  explicit ConcurrencyLimit(std::uint32_t slots);

  /** Takes over a new number of slots. */
  void setSlots(std::uint32_t slots);

  /** Records one time to first token.
      @param now      the current time
      @param rank     the rank of the request; ranks are compared with themselves only
      @param latency  time from dispatch to first token */
  void record(Time now, Rank rank, Duration latency);

  /** Returns the largest number of requests of all VMs that the endpoint should have. */
  [[nodiscard]] double value() const { return limit_; }

private:
  double slots_;
  double limit_;
  std::array<double, kRankCount> shortest_{};
  std::uint32_t slowInRow_ = 0;
  Time nextDecrease_;
};

} // namespace figchute::routing
