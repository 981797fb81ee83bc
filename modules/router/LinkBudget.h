#pragma once

#include "core/core.h"
#include "http/Traffic.h"

namespace figchute::router {

/** Decides when a process may admit more work, so that its traffic stays below what the network
    link of its VM carries. On a full link, requests and responses wait for seconds, and requests
    that are refused after they were received take the place of those that could be served.
    Thread safety: use one instance from one thread only. */
class LinkBudget
{
public:
  /** The share of the link that admitted work may use, in each direction. */
  static constexpr double kMaxUtilisation = 0.8;
  /** Traffic of this time may exceed the share at once. */
  static constexpr Duration kBurst = std::chrono::milliseconds(200);
  /** The longest time that timeUntilAvailable() returns. */
  static constexpr Duration kMaxDelay = std::chrono::milliseconds(500);

  /** @param bytesPerSecond  the bandwidth of the link in each direction; must be positive
      @param utilisation     the share of it that may be used; above 0 and at most 1 */
  explicit LinkBudget(double bytesPerSecond, double utilisation = kMaxUtilisation);

  /** Adds the traffic since the last call.
      @param total  the bytes since the start of the process; it may contain expected bytes and
                    decrease when they are corrected */
  void update(Time now, const http::Traffic& total);

  /** Returns how long no further work may be admitted; zero if it may be now. */
  [[nodiscard]] Duration timeUntilAvailable() const;

private:
  /** The bytes that may be transferred now in one direction; negative after too many. */
  struct Direction
  {
    double available = 0;
    std::uint64_t total = 0;
  };

  void advance(Direction& direction, Duration elapsed, std::uint64_t total) const;

  double bytesPerMicrosecond_;
  Direction received_;
  Direction sent_;
  Time updatedAt_;
};

} // namespace figchute::router
