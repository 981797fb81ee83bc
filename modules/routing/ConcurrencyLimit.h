#pragma once

#include "core/Types.h"

#include <array>
#include <cstdint>

namespace figchute::routing {

/** Adaptive concurrency limit of one endpoint, based on the time from dispatch to first token.

    The limit starts at the number of slots that the endpoint announces. Several consecutive first
    tokens that take much longer than the recent minimum show that requests queue inside the
    endpoint. The limit then shrinks by a tenth, at most once a second. Samples that are not slow
    raise it again, up to the number of slots. Batch requests are ignored because an engine with
    priorities may delay them at any load.
    Thread safety: use one instance from one thread at a time. */
class ConcurrencyLimit
{
public:
  /** Creates the limit of an endpoint.
      @param slots  the announced number of slots, at least 1 */
  explicit ConcurrencyLimit(std::uint32_t slots);

  /** Sets the number of slots; a changed number resets the limit. */
  void setSlots(std::uint32_t slots);

  /** Records one time to first token.
      @param now      the current time
      @param rank     the rank of the request; latencies are compared only within a rank
      @param latency  time from dispatch to first token */
  void record(Time now, Rank rank, Duration latency);

  /** Returns the maximum number of concurrent requests from all VMs. */
  [[nodiscard]] double value() const { return limit_; }

private:
  double slots_;
  double limit_;
  std::array<double, kRankCount> minLatencies_{};
  std::uint32_t consecutiveSlow_ = 0;
  Time nextDecrease_;
};

} // namespace figchute::routing
