#pragma once

#include "core/Types.h"
#include "routing/DecayedSum.h"
#include "routing/LinkIncrements.h"
#include "routing/Messages.h"
#include "routing/Policy.h"
#include "routing/RequestInfo.h"

#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace figchute::routing {

/** Enforces the limits of request rate and concurrency per workspace and caller.

    The limits in documents apply to the whole fleet. A fifth of each limit is divided equally among
    the VMs and the rest in proportion to the recent demand at each VM. The shares add up to the
    limit, and a VM without recent demand can still admit its first requests.
    Thread safety: use one instance from one thread at a time. */
class RateLimiter
{
public:
  /** Creates a limiter without limits.
      @param kind  the kind of request to limit; each kind has limits of its own */
  explicit RateLimiter(EndpointKind kind)
    : kind_(kind)
  {
  }

  /** Sets the limits. Buckets that are still configured keep their levels. */
  void setPolicy(const Policy& policy);

  /** Sets the links for exchanging demand and the number of VMs. */
  void setPeers(const Peers& peers);

  /** Admits a request if the limits of its workspace and caller allow it.
      @returns rate_limited or concurrency_limited if a limit is reached; the buckets are then not
      charged */
  tl::expected<void, Refusal> admit(Time now, const WorkspaceId& workspace, const CallerId& caller);

  /** Ends a request that was admitted by admit(). */
  void release(const WorkspaceId& workspace, const CallerId& caller);

  /** Adds the demand observed by other VMs. Demand for limits that are not set here is ignored. */
  void receive(Time now, const ProcessId& from, const std::vector<ObservedDemand>& demands);

  /** Returns the demand that was not yet sent on a link, and marks it as sent. */
  std::vector<ObservedDemand> takeIncrements(const ProcessId& link);

  /** Returns this VM's share of the limit with this name, in (0, 1]; 1 if there is no such
      limit. */
  [[nodiscard]] double vmShare(Time now, const std::string& name) const;

private:
  struct Bucket
  {
    ShareLimits limits;
    std::uint32_t fingerprint = 0;
    /** Number of requests that the bucket can admit; negative until the first request arrives. */
    double level = 0;
    Time lastRefill;
    std::uint32_t running = 0;
    DecayedSum ownDemand;
    DecayedSum otherDemand;
  };

  Bucket* findBucket(const std::string& name);
  void recordArrival(Time now, Bucket& bucket);
  [[nodiscard]] double vmShare(Time now, const Bucket& bucket) const;
  tl::expected<void, Refusal> checkLimits(Time now, const std::string& name, Bucket* bucket) const;

  EndpointKind kind_;
  std::map<std::string, Bucket> buckets_;
  std::map<std::uint32_t, std::string> namesByFingerprint_;
  LinkIncrements<std::uint32_t> unsent_;
  std::uint32_t liveVms_ = 1;
};

} // namespace figchute::routing
