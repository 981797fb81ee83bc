#pragma once

#include "core/Types.h"
#include "routing/Messages.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace figchute::routing {

/** Ejects endpoints that fail or are much slower than their peers.

    An endpoint is ejected after consecutive failures, or if its smoothed time to first token is far
    above the median of the endpoints of the same model. The ejection time doubles with each
    ejection up to a limit. An endpoint is not ejected if a third of the endpoints of the same model
    are ejected already.
    Thread safety: use one instance from one thread at a time. */
class OutlierDetector
{
public:
  /** Records a first token of an endpoint. Must not be called for batch requests, because an engine
      with priorities may delay them at any load.
      @param latency  time from dispatch to first token */
  void recordSuccess(const EndpointId& endpoint, Duration latency);

  /** Records a failed attempt. */
  void recordFailure(const EndpointId& endpoint);

  /** Ejects endpoints that have become outliers.
      @param now    the current time
      @param peers  the live endpoints of one model or service; to be called for each group in
      turn */
  void ejectOutliers(Time now, std::span<const EndpointId> peers);

  /** Returns whether an endpoint is ejected. */
  [[nodiscard]] bool isEjected(Time now, const EndpointId& endpoint) const;

  /** Deletes the statistics of a removed endpoint. */
  void remove(const EndpointId& endpoint);

private:
  struct EndpointStats
  {
    std::uint32_t consecutiveFailures = 0;
    std::uint32_t samples = 0;
    double latencyMicros = 0;
    std::uint32_t ejections = 0;
    Time ejectedUntil;
  };

  [[nodiscard]] bool isOutlier(const EndpointStats& stats, double medianMicros) const;
  [[nodiscard]] double medianLatency(std::span<const EndpointId> peers) const;

  std::map<EndpointId, EndpointStats> stats_;
  /** End of the latest ejection. After this time isEjected() needs no lookup. */
  Time lastEjectionEnd_;
};

} // namespace figchute::routing
