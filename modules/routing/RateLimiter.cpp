#include "routing/RateLimiter.h"

#include "core/Fingerprint.h"

#include <algorithm>
#include <cmath>

namespace figchute::routing {
namespace {

/** Demand is compared over a time that is long compared with the exchange interval of 1 s. */
constexpr Duration kDemandTimeConstant = std::chrono::seconds(10);

/** Fraction of a limit that is divided equally among the VMs. */
constexpr double kEqualFraction = 0.2;

/** Capacity of a bucket in seconds of its rate; the minimum is one request. */
constexpr double kBurstSeconds = 2;

constexpr std::size_t kMaxEntriesPerMessage = 32;

/** A workspace and a caller may have the same name, so the names of limits have the same prefixes
    as budget ids. */
std::string limitName(const WorkspaceId& workspace)
{
  return "w:" + workspace.value;
}

std::string limitName(const CallerId& caller)
{
  return "c:" + caller.value;
}

Refusal makeRefusal(ErrorKind kind, const std::string& name, Duration retryAfter)
{
  Refusal refusal;
  refusal.kind = kind;
  refusal.detail = "limit of " + name + " reached";
  refusal.retryAfter = retryAfter;
  return refusal;
}

} // namespace

void RateLimiter::setPolicy(const Policy& policy)
{
  std::map<std::string, Bucket> newBuckets;
  const auto addBucket = [&](const std::string& name, const ShareLimits& limits) {
    const auto entry = buckets_.find(name);
    if (entry != buckets_.end()) {
      newBuckets.insert(buckets_.extract(entry));
      newBuckets.at(name).limits = limits;
      return;
    }
    const Bucket bucket{ limits,
                         static_cast<std::uint32_t>(
                           fingerprintOf(name, static_cast<Fingerprint>(kind_))),
                         -1,
                         Time{},
                         0,
                         DecayedSum(kDemandTimeConstant),
                         DecayedSum(kDemandTimeConstant) };
    newBuckets.emplace(name, bucket);
  };
  for (const auto& [id, limits] : policy.workspaces) {
    addBucket(limitName(id), limits);
  }
  for (const auto& [id, limits] : policy.callers) {
    addBucket(limitName(id), limits);
  }
  buckets_ = std::move(newBuckets);
  namesByFingerprint_.clear();
  for (const auto& [name, bucket] : buckets_) {
    namesByFingerprint_[bucket.fingerprint] = name;
  }
}

void RateLimiter::setPeers(const Peers& peers)
{
  unsent_.setLinks(peers.neighbours, peers.relays);
  liveVms_ = std::max(peers.liveVms, 1U);
}

RateLimiter::Bucket* RateLimiter::findBucket(const std::string& name)
{
  const auto entry = buckets_.find(name);
  return entry == buckets_.end() ? nullptr : &entry->second;
}

double RateLimiter::vmShare(Time now, const Bucket& bucket) const
{
  const double ownDemand = bucket.ownDemand.at(now);
  const double totalDemand = ownDemand + bucket.otherDemand.at(now);
  const double equalShare = 1.0 / liveVms_;
  if (liveVms_ == 1 || totalDemand < 1) {
    return equalShare;
  }
  return kEqualFraction * equalShare + (1 - kEqualFraction) * ownDemand / totalDemand;
}

double RateLimiter::vmShare(Time now, const std::string& name) const
{
  const auto entry = buckets_.find(name);
  return entry == buckets_.end() ? 1 : vmShare(now, entry->second);
}

void RateLimiter::recordArrival(Time now, Bucket& bucket)
{
  bucket.ownDemand.add(now, 1);
  unsent_.add(bucket.fingerprint, 1, ProcessId());
  const double rate = bucket.limits.requestsPerSecond * vmShare(now, bucket);
  const double burst = std::max(rate * kBurstSeconds, 1.0);
  if (bucket.level < 0) {
    bucket.level = burst;
  } else {
    const auto elapsed = static_cast<double>((now - bucket.lastRefill).count()) * 1e-6;
    bucket.level = std::min(bucket.level + rate * elapsed, burst);
  }
  bucket.lastRefill = now;
}

tl::expected<void, Refusal> RateLimiter::checkLimits(Time now,
                                                     const std::string& name,
                                                     Bucket* bucket) const
{
  if (bucket == nullptr) {
    return {};
  }
  const auto& limits = bucket->limits;
  const double share = vmShare(now, *bucket);
  if (limits.requestsPerSecond > 0 && bucket->level < 1) {
    const double seconds = (1 - bucket->level) / std::max(limits.requestsPerSecond * share, 1e-3);
    const auto retryAfter = Duration(static_cast<std::int64_t>(std::min(seconds, 60.0) * 1e6));
    return tl::unexpected<Refusal>(makeRefusal(ErrorKind::rateLimited, name, retryAfter));
  }
  const double maxRunning = std::max(std::ceil(limits.maxConcurrency * share), 1.0);
  if (limits.maxConcurrency > 0 && bucket->running >= maxRunning) {
    const auto retryAfter = errorTraits(ErrorKind::concurrencyLimited).retryAfter;
    return tl::unexpected<Refusal>(makeRefusal(ErrorKind::concurrencyLimited, name, retryAfter));
  }
  return {};
}

tl::expected<void, Refusal> RateLimiter::admit(Time now,
                                               const WorkspaceId& workspace,
                                               const CallerId& caller)
{
  const std::string workspaceName = limitName(workspace);
  const std::string callerName = limitName(caller);
  auto* const workspaceBucket = findBucket(workspaceName);
  auto* const callerBucket = findBucket(callerName);
  for (auto* bucket : { workspaceBucket, callerBucket }) {
    if (bucket != nullptr) {
      recordArrival(now, *bucket);
    }
  }
  if (auto result = checkLimits(now, workspaceName, workspaceBucket); !result) {
    return result;
  }
  if (auto result = checkLimits(now, callerName, callerBucket); !result) {
    return result;
  }
  for (auto* bucket : { workspaceBucket, callerBucket }) {
    if (bucket != nullptr) {
      bucket->level -= 1;
      ++bucket->running;
    }
  }
  return {};
}

void RateLimiter::release(const WorkspaceId& workspace, const CallerId& caller)
{
  for (auto* bucket : { findBucket(limitName(workspace)), findBucket(limitName(caller)) }) {
    if (bucket != nullptr && bucket->running > 0) {
      --bucket->running;
    }
  }
}

void RateLimiter::receive(Time now,
                          const ProcessId& from,
                          const std::vector<ObservedDemand>& demands)
{
  for (const auto& demand : demands) {
    const auto nameEntry = namesByFingerprint_.find(demand.limit);
    if (nameEntry != namesByFingerprint_.end()) {
      unsent_.add(demand.limit, demand.requests, from);
      buckets_.at(nameEntry->second).otherDemand.add(now, demand.requests);
    }
  }
}

std::vector<ObservedDemand> RateLimiter::takeIncrements(const ProcessId& link)
{
  std::vector<ObservedDemand> result;
  for (const auto& [limit, requests] : unsent_.takeLargest(link, kMaxEntriesPerMessage)) {
    result.push_back({ limit, static_cast<std::uint32_t>(std::max<std::int64_t>(requests, 0)) });
  }
  return result;
}

} // namespace figchute::routing
