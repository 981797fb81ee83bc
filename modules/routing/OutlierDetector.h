#pragma once

#include "core/Types.h"
#include "routing/Messages.h"

#include <cstdint>
#include <map>
#include <span>
#include <vector>

namespace figchute::routing {

/** Takes endpoints out of service that fail or are far slower than their peers.

    Consecutive failures, or a smoothed time to first token far above the median of the endpoints of
    the same model, eject an endpoint for a time that doubles with each ejection. At most a third of
    the endpoints of any of its models are out at one time.
    Thread safety: use one instance from one thread at a time. */
class OutlierDetector
{
public:
  /** Records a first token of an endpoint. Leave batch work out: an engine that honours priorities
      may let it wait at any load.
      @param latency  time from dispatch to first token */
  void recordSuccess(const EndpointId& endpoint, Duration latency);

  /** Records a failed attempt. */
  void recordFailure(const EndpointId& endpoint);

  /** Ejects and readmits endpoints.
      @param now    the current time
      @param peers  the live endpoints of one model or service; call it for each of them in turn */
  void evaluate(Time now, std::span<const EndpointId> peers);

  /** Returns whether an endpoint is out of service. */
  [[nodiscard]] bool isEjected(Time now, const EndpointId& endpoint) const;

  /** Forgets an endpoint that is gone. */
  void forget(const EndpointId& endpoint);

private:
  struct Record
  {
    std::uint32_t failuresInRow = 0;
    std::uint32_t samples = 0;
    double latencyMicros = 0;
    std::uint32_t ejections = 0;
    Time ejectedUntil;
  };

  [[nodiscard]] bool isOutlier(const Record& record, double medianMicros) const;
  [[nodiscard]] double medianLatency(std::span<const EndpointId> peers) const;

  std::map<EndpointId, Record> records_;
  /** End of the last ejection; after it no lookup is needed. */
  Time lastEjectionEnd_;
};

} // namespace figchute::routing
