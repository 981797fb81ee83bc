#pragma once

#include "core/Types.h"
#include "routing/DecayedSum.h"
#include "routing/LinkIncrements.h"
#include "routing/Messages.h"
#include "routing/Policy.h"
#include "routing/Work.h"

#include <cstdint>
#include <map>
#include <string>
#include <tl/expected.hpp>
#include <vector>

namespace figchute::routing {

/** Enforces requests per second and concurrency per workspace and caller.

    A document's rate holds for the fleet. Each VM takes a fifth of it in equal parts and the rest
    in proportion to the demand that it and the other VMs observed, so that the parts sum to the
    rate and a VM without demand so far can still start.
    Thread safety: use one instance from one thread at a time. */
class RateLimiter
{
public:
  /** Creates a limiter without limits.
      @param kind  the kind of work it limits; limits of different kinds are separate */
  explicit RateLimiter(WorkKind kind)
    : kind_(kind)
  {
  }

  /** Replaces the limits. Buckets that stay keep their level. */
  void setPolicy(const Policy& policy);

  /** Replaces the links to exchange demand with and the number of VMs. */
  void setPeers(const Peers& peers);

  /** Takes one request out of the buckets of its workspace and caller.
      @returns rate_limited or concurrency_limited when a limit is reached; then nothing is taken */
  tl::expected<void, Refusal> admit(Time now, const WorkspaceId& workspace, const CallerId& caller);

  /** Ends a request that admit() let in. */
  void release(const WorkspaceId& workspace, const CallerId& caller);

  /** Adds demand that other VMs observed. Limits of another kind or document have no effect. */
  void receive(Time now, const ProcessId& from, const std::vector<ObservedDemand>& demands);

  /** Takes the demand that a link has not been told yet. */
  std::vector<ObservedDemand> take(const ProcessId& link);

  /** Returns this VM's part of a limit, in (0, 1]; 1 when it has no limit. */
  [[nodiscard]] double part(Time now, const std::string& name) const;

private:
  struct Bucket
  {
    ShareLimits limits;
    std::uint32_t fingerprint = 0;
    double level = 0;
    Time filled;
    std::uint32_t running = 0;
    DecayedSum own;
    DecayedSum others;
  };

  Bucket* find(const std::string& name);
  void observe(Time now, Bucket& bucket);
  [[nodiscard]] double part(Time now, const Bucket& bucket) const;
  tl::expected<void, Refusal> check(Time now, const std::string& name, Bucket* bucket) const;

  WorkKind kind_;
  std::map<std::string, Bucket> buckets_;
  std::map<std::uint32_t, std::string> byFingerprint_;
  LinkIncrements<std::uint32_t> owed_;
  std::uint32_t liveVms_ = 1;
};

} // namespace figchute::routing
