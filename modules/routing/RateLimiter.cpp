#include "routing/RateLimiter.h"

#include "core/Fingerprint.h"

#include <algorithm>
#include <cmath>

namespace figchute::routing {
namespace {

/** Demand is compared over a time that is long against the exchange interval of 1 s. */
constexpr Duration kDemandMemory = std::chrono::seconds(10);

/** Part of a limit that is divided equally. */
constexpr double kEqualPart = 0.2;

/** A bucket holds this many seconds of its rate, and at least one request. */
constexpr double kBurstSeconds = 2;

constexpr std::size_t kEntriesPerMessage = 32;

/** Names of workspaces and callers may be equal, so limits are named with the prefixes of budgets.
 */
std::string nameOf(const WorkspaceId& workspace)
{
  return "w:" + workspace.value;
}

std::string nameOf(const CallerId& caller)
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
  std::map<std::string, Bucket> next;
  const auto add = [&](const std::string& name, const ShareLimits& limits) {
    const auto old = buckets_.find(name);
    if (old != buckets_.end()) {
      next.insert(buckets_.extract(old));
      next.at(name).limits = limits;
      return;
    }
    const Bucket bucket{ limits,
                         static_cast<std::uint32_t>(
                           fingerprintOf(name, static_cast<Fingerprint>(kind_))),
                         -1,
                         Time{},
                         0,
                         DecayedSum(kDemandMemory),
                         DecayedSum(kDemandMemory) };
    next.emplace(name, bucket);
  };
  for (const auto& [id, limits] : policy.workspaces) {
    add(nameOf(id), limits);
  }
  for (const auto& [id, limits] : policy.callers) {
    add(nameOf(id), limits);
  }
  buckets_ = std::move(next);
  byFingerprint_.clear();
  for (const auto& [name, bucket] : buckets_) {
    byFingerprint_[bucket.fingerprint] = name;
  }
}

void RateLimiter::setPeers(const Peers& peers)
{
  owed_.setLinks(peers.neighbours, peers.relays);
  liveVms_ = std::max(peers.liveVms, 1U);
}

RateLimiter::Bucket* RateLimiter::find(const std::string& name)
{
  const auto found = buckets_.find(name);
  return found == buckets_.end() ? nullptr : &found->second;
}

double RateLimiter::part(Time now, const Bucket& bucket) const
{
  const double own = bucket.own.at(now);
  const double all = own + bucket.others.at(now);
  const double equal = 1.0 / liveVms_;
  if (liveVms_ == 1 || all < 1) {
    return equal;
  }
  return kEqualPart * equal + (1 - kEqualPart) * own / all;
}

double RateLimiter::part(Time now, const std::string& name) const
{
  const auto found = buckets_.find(name);
  return found == buckets_.end() ? 1 : part(now, found->second);
}

void RateLimiter::observe(Time now, Bucket& bucket)
{
  bucket.own.add(now, 1);
  owed_.add(bucket.fingerprint, 1, ProcessId());
  const double rate = bucket.limits.requestsPerSecond * part(now, bucket);
  const double burst = std::max(rate * kBurstSeconds, 1.0);
  if (bucket.level < 0) {
    bucket.level = burst;
  } else {
    const auto elapsed = static_cast<double>((now - bucket.filled).count()) * 1e-6;
    bucket.level = std::min(bucket.level + rate * elapsed, burst);
  }
  bucket.filled = now;
}

tl::expected<void, Refusal> RateLimiter::check(Time now,
                                               const std::string& name,
                                               Bucket* bucket) const
{
  if (bucket == nullptr) {
    return {};
  }
  const auto& limits = bucket->limits;
  const double share = part(now, *bucket);
  if (limits.requestsPerSecond > 0 && bucket->level < 1) {
    const double seconds = (1 - bucket->level) / std::max(limits.requestsPerSecond * share, 1e-3);
    const auto delay = Duration(static_cast<std::int64_t>(std::min(seconds, 60.0) * 1e6));
    return tl::unexpected<Refusal>(makeRefusal(ErrorKind::rateLimited, name, delay));
  }
  const double places = std::max(std::ceil(limits.maxConcurrency * share), 1.0);
  if (limits.maxConcurrency > 0 && bucket->running >= places) {
    const auto delay = errorTraits(ErrorKind::concurrencyLimited).retryAfter;
    return tl::unexpected<Refusal>(makeRefusal(ErrorKind::concurrencyLimited, name, delay));
  }
  return {};
}

tl::expected<void, Refusal> RateLimiter::admit(Time now,
                                               const WorkspaceId& workspace,
                                               const CallerId& caller)
{
  const std::string workspaceName = nameOf(workspace);
  const std::string callerName = nameOf(caller);
  auto* const ofWorkspace = find(workspaceName);
  auto* const ofCaller = find(callerName);
  for (auto* bucket : { ofWorkspace, ofCaller }) {
    if (bucket != nullptr) {
      observe(now, *bucket);
    }
  }
  if (auto checked = check(now, workspaceName, ofWorkspace); !checked) {
    return checked;
  }
  if (auto checked = check(now, callerName, ofCaller); !checked) {
    return checked;
  }
  for (auto* bucket : { ofWorkspace, ofCaller }) {
    if (bucket != nullptr) {
      bucket->level -= 1;
      ++bucket->running;
    }
  }
  return {};
}

void RateLimiter::release(const WorkspaceId& workspace, const CallerId& caller)
{
  for (auto* bucket : { find(nameOf(workspace)), find(nameOf(caller)) }) {
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
    const auto name = byFingerprint_.find(demand.limit);
    if (name != byFingerprint_.end()) {
      owed_.add(demand.limit, demand.requests, from);
      buckets_.at(name->second).others.add(now, demand.requests);
    }
  }
}

std::vector<ObservedDemand> RateLimiter::take(const ProcessId& link)
{
  std::vector<ObservedDemand> result;
  for (const auto& [limit, requests] : owed_.take(link, kEntriesPerMessage)) {
    result.push_back({ limit, static_cast<std::uint32_t>(std::max<std::int64_t>(requests, 0)) });
  }
  return result;
}

} // namespace figchute::routing
