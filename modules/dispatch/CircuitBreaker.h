#pragma once

#include "core/Types.h"
#include "routing/DecayedSum.h"

#include <cstdint>

namespace figchute::dispatch {

/** How strongly a failure speaks against an endpoint. */
enum class Fault : std::uint8_t
{
  /** It answered, but badly; one of these may be the request's own fault. */
  weak,
  /** Nothing came in time, or nothing that makes sense. */
  strong,
  /** The connection was lost under the request; the next connection tells whether the endpoint is
      down. */
  broken,
  /** Nobody or somebody else listens at the address. */
  absent,
};

/** Decides from the outcomes at one endpoint whether it gets requests.

    Closed, it passes all requests. It opens on several strong failures in a row or a high share of
    failures of late. Open, it passes none until its back-off has passed, then one at a time; enough
    successes in a row close it, a failure opens it again with a longer back-off.
    routing::OutlierDetector readmits an endpoint with full load after a fixed time; an endpoint
   that fails half of its requests needs several trials to tell. Thread safety: use one instance
   from one thread only. */
class CircuitBreaker
{
public:
  /** Records a success. @returns whether it closed the breaker */
  bool recordSuccess(Time now);

  /** Records a failure. The caller opens the breaker when wantsOpen() says so. */
  void recordFailure(Time now, Fault fault);

  /** Returns whether the failures suffice to take the endpoint out. */
  [[nodiscard]] bool wantsOpen(Time now) const;

  /** Takes the endpoint out; an open one gets the next back-off. */
  void open(Time now);

  /** Closes without a trial. */
  void reset();

  [[nodiscard]] bool isOpen() const { return open_; }

  /** Returns whether a trial request may be sent now. */
  [[nodiscard]] bool isTrialDue(Time now) const
  {
    return open_ && !trialInFlight_ && now >= trialAt_;
  }

  /** Returns whether it is open because of one lost connection. A trial is harmless then: either
     the endpoint is down and refuses the connection, or it is well. */
  [[nodiscard]] bool isAfterLostConnection() const { return open_ && last_ == Fault::broken; }

  /** Returns when the next trial is due; meaningful when open. */
  [[nodiscard]] Time trialAt() const { return trialAt_; }

  /** A trial request is sent. */
  void beginTrial() { trialInFlight_ = true; }

  /** A trial request ended without telling anything. */
  void endTrial() { trialInFlight_ = false; }

  /** Returns the share of failures of late, 0 to 1, small while there are few samples. */
  [[nodiscard]] double failureShare(Time now) const;

private:
  bool open_ = false;
  bool trialInFlight_ = false;
  Time trialAt_;
  Time closedAt_;
  /** Openings since the last long quiet time. */
  std::uint32_t openings_ = 0;
  std::uint32_t failuresInRow_ = 0;
  std::uint32_t trialSuccesses_ = 0;
  Fault last_ = Fault::weak;
  routing::DecayedSum successes_{ std::chrono::seconds(6) };
  routing::DecayedSum failures_{ std::chrono::seconds(6) };
};

} // namespace figchute::dispatch
