#pragma once

#include "core/core.h"

#include <cstdint>

namespace figchute::router {

/** Decides when an entry process whose link is full counts as not ready, so that the load balancer
    assigns the new connections of its callers to the next VM, and their requests need not be
   refused here first. Open connections stay.

    A period of not being ready lasts kMinPause to kMaxPause and is followed by kReadyFactor times
    its length in which the process is ready. Each process alone therefore keeps to the eighth of
   the time that the platform allows as the mean of all VMs, apart from the length of its last
   pause. Thread safety: use one instance from one thread only. */
class LinkReadiness
{
public:
  /** The load balancer needs two failed checks, one second apart, to stop assigning connections. */
  static constexpr Duration kMinPause = std::chrono::seconds(3);
  static constexpr Duration kMaxPause = std::chrono::seconds(5);
  static constexpr int kReadyFactor = 7;
  /** A pause begins when at least this share and this number of the requests are refused, and ends
      when less than kEndShare is. */
  static constexpr double kBeginShare = 0.05;
  static constexpr std::uint64_t kBeginRefusals = 5;
  static constexpr double kEndShare = 0.01;

  /** Adds the requests since the last call. Call it about once a second. */
  void update(Time now, std::uint64_t admitted, std::uint64_t refused);

  [[nodiscard]] bool isReady() const { return ready_; }

private:
  bool ready_ = true;
  Time pauseStartedAt_;
  /** No pause begins before this time. */
  Time readyUntil_;
};

} // namespace figchute::router
