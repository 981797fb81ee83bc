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

/** An endpoint that could take a request. */
struct EndpointCandidate
{
  /** Its place in the registry. */
  std::uint32_t endpointIndex = 0;
  bool ownZone = false;
  /** Estimated requests of all VMs at the endpoint. */
  double load = 0;
  /** The load at which it is full. */
  double limit = 1;
  /** Whether it may take the request now. */
  bool open = true;
  /** Seed for rendezvous hashing. */
  std::uint64_t hash = 0;
};

/** Estimates the load of one endpoint from lagging reports and this VM's own requests.

    A report counts requests that this VM has ended since and misses those it has sent since. The
    estimate takes the report, subtracts this VM's requests at that time and adds those of now.
    Thread safety: use one instance from one thread at a time. */
class LoadEstimate
{
public:
  /** Creates an estimate for figures that engines announce; they are up to 300 ms old then. */
  LoadEstimate() = default;

  /** Creates an estimate without a report.
      @param lag  how old figures are when they are reported */
  explicit LoadEstimate(Duration lag)
    : lag_(lag)
  {
  }

  /** Counts a request of this VM that starts (+1) or ends (-1). */
  void adjustOwnRequests(Time now, int amount);

  /** Takes a report.
      @param reportedAt  when the report reached the first VM
      @param load        running and waiting requests */
  void report(Time reportedAt, std::uint32_t load);

  /** Returns the estimated requests of all VMs. */
  [[nodiscard]] double current() const;

  /** Returns how many more requests this VM has than at the time of the report. */
  [[nodiscard]] double addedSinceReport() const { return own_ - ownAtReport_; }

  /** Returns this VM's requests in flight. */
  [[nodiscard]] std::uint32_t ownRequests() const { return static_cast<std::uint32_t>(own_); }

private:
  struct Change
  {
    Time at;
    int ownAfter = 0;
  };

  Duration lag_ = std::chrono::milliseconds(300);
  int own_ = 0;
  int ownAtReport_ = 0;
  std::uint32_t reported_ = 0;
  Time reportedAt_;
  /** Own requests over the last seconds, oldest first. */
  std::vector<Change> history_;
};

/** Chooses the endpoint for one request.

    Endpoints of the own zone go first, others only when none of those has room. Requests with the
    same prompt prefix go to the same endpoint on every VM by rendezvous hashing, unless its load is
    more than a fixed factor above the mean; then to the next in the hash order. Requests without a
    prefix go to the less loaded of two random endpoints.
    Thread safety: use one instance from one thread at a time. */
class EndpointChooser
{
public:
  /** Creates a chooser whose random choices follow the seed. */
  explicit EndpointChooser(std::uint64_t seed)
    : random_(seed)
  {
  }

  /** Chooses among open endpoints.
      @param strategy    affinity, or a baseline
      @param prefixes    prefix fingerprints of the request, shortest first; may be empty
      @param candidates  endpoints that serve the request
      @returns the index of the chosen candidate; nullopt when none is open */
  std::optional<std::size_t> choose(ChoiceStrategy strategy,
                                    std::span<const Fingerprint> prefixes,
                                    std::span<const EndpointCandidate> candidates);

private:
  std::size_t byAffinity(Fingerprint prefix,
                         std::span<const EndpointCandidate> candidates,
                         std::span<const std::size_t> open);
  std::size_t byTwoChoices(std::span<const EndpointCandidate> candidates,
                           std::span<const std::size_t> open);

  Random random_;
};

} // namespace figchute::routing
