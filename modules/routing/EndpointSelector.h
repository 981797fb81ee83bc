#pragma once

#include "core/Fingerprint.h"
#include "core/Random.h"
#include "core/Types.h"
#include "routing/Policy.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace figchute::routing {

/** An endpoint that serves the request to be routed. */
struct EndpointCandidate
{
  /** Index of the endpoint in the registry. */
  std::uint32_t endpointIndex = 0;
  /** Whether the endpoint is in the zone of this VM. */
  bool ownZone = false;
  /** Estimated number of requests from all VMs at the endpoint. */
  double load = 0;
  /** The load at which the endpoint is full. */
  double limit = 1;
  /** Whether the endpoint can accept the request now. */
  bool available = true;
  /** Hash of the endpoint for rendezvous hashing. */
  std::uint64_t hash = 0;
};

/** Estimates the load of one endpoint from delayed reports and this VM's own requests.

    A report includes requests of this VM that have since ended and lacks those sent since. The
    estimate is the reported load, minus this VM's requests at the time of the report, plus its
    current ones.
    Thread safety: use one instance from one thread at a time. */
class LoadEstimate
{
public:
  /** Creates an estimate for loads announced by engines, which are up to 300 ms old when they are
      announced. */
  LoadEstimate() = default;

  /** Creates an estimate without a report.
      @param lag  age of a load at the time when it is reported */
  explicit LoadEstimate(Duration lag)
    : lag_(lag)
  {
  }

  /** Counts a request of this VM that starts (+1) or ends (-1). */
  void adjustOwnRequests(Time now, int amount);

  /** Processes a report. Reports that are not newer than the last one are ignored.
      @param reportedAt  time at which the first VM received the report
      @param load        number of running and waiting requests */
  void report(Time reportedAt, std::uint32_t load);

  /** Returns the estimated number of requests from all VMs. */
  [[nodiscard]] double current() const;

  /** Returns how many more requests of this VM are in flight than at the time of the report. */
  [[nodiscard]] double addedSinceReport() const { return ownRequests_ - ownRequestsAtReport_; }

  /** Returns the number of requests of this VM in flight. */
  [[nodiscard]] std::uint32_t ownRequests() const
  {
    return static_cast<std::uint32_t>(ownRequests_);
  }

private:
  struct Change
  {
    Time changedAt;
    int ownRequests = 0;
  };

  Duration lag_ = std::chrono::milliseconds(300);
  int ownRequests_ = 0;
  int ownRequestsAtReport_ = 0;
  std::uint32_t reportedLoad_ = 0;
  Time reportedAt_;
  /** Changes of the number of own requests over the last seconds, oldest first. */
  std::vector<Change> history_;
};

/** Chooses the endpoint for one request.

    Endpoints of other zones are considered only if no endpoint of the own zone is available.
    Rendezvous hashing sends requests with the same prompt prefix to the same endpoint from every
    VM. If the load of that endpoint exceeds the mean by more than a fixed factor, the next one in
    hash order is used. Requests without a prefix go to the less loaded of two random endpoints.
    Thread safety: use one instance from one thread at a time. */
class EndpointSelector
{
public:
  /** Creates a chooser.
      @param seed  seed of the random choices */
  explicit EndpointSelector(std::uint64_t seed)
    : random_(seed)
  {
  }

  /** Chooses one of the available endpoints.
      @param strategy    the strategy to use
      @param prefixes    prefix fingerprints of the request, shortest first; may be empty
      @param candidates  endpoints that serve the request
      @returns the index of the chosen candidate, or nullopt if none is available */
  std::optional<std::size_t> choose(SelectionStrategy strategy,
                                    std::span<const Fingerprint> prefixes,
                                    std::span<const EndpointCandidate> candidates);

private:
  std::size_t chooseByAffinity(Fingerprint prefix,
                               std::span<const EndpointCandidate> candidates,
                               std::span<const std::size_t> availableIndexes);
  std::size_t chooseOfTwo(std::span<const EndpointCandidate> candidates,
                          std::span<const std::size_t> availableIndexes);

  Random random_;
};

} // namespace figchute::routing
