#include "dispatch/EngineSelector.h"

#include <algorithm>

namespace figchute::dispatch {
namespace {

/** A request leaves the preferred engines of its prefix when the predicted wait exceeds this share
    of the target. */
constexpr double kMaxTargetShare = 0.6;
/** It also leaves them for a longer queue of prompts: half a second of continuous prefill pauses
    all streams of the engine for half a second. */
constexpr Duration kMaxPrefillQueue = std::chrono::milliseconds(100);
/** Cost advantage of the first engine in the placement order of a prefix. */
constexpr Duration kFirstEnginePreference = std::chrono::milliseconds(100);
/** When all preferred engines are over their limits, a prefix may use this many engines. More
    engines would prefill the shared parts again without need. */
constexpr std::size_t kFallbackEngines = 4;
/** Prefilling the shared parts on one more engine delays all requests there, and costs more later
    because it evicts other parts from the cache. */
constexpr int kPrefixPrefillCostFactor = 2;
/** An engine in another zone must be faster by this much. */
constexpr Duration kOtherZoneCost = std::chrono::milliseconds(60);
/** Share of time that engines may be busy with prefill and still count as lightly loaded. A process
    that gets more than its zone's share of the requests must not fill the engines of the zone: with
    60% of the requests at one process and 22% of the engines in its zone, 6% of the chats paused.
    This limit does not apply to requests that keep the engines of the zone busy for less than this
    share of the time. */
constexpr double kLowUtilization = 0.1;
/** Lower limit of the prefill rate; prevents a division by 0. */
constexpr double kMinPrefillRate = 1e-3;
/** Cost of a failure as waiting time: the request has to be repeated or is lost. */
constexpr double kFailureCostMicros = 3e6;

bool isWithinLimits(const RequestInfo& requestInfo, const Candidate& candidate)
{
  const auto maxWait = kMaxTargetShare * static_cast<double>(requestInfo.target.count());
  const auto predictedWait = candidate.predictedTtft + candidate.penalty;
  return static_cast<double>(predictedWait.count()) <= maxWait &&
         predictedWait - candidate.prefill <= kMaxPrefillQueue;
}

std::vector<Endpoint*> endpointsOf(std::span<const Candidate> candidates)
{
  std::vector<Endpoint*> endpoints;
  endpoints.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    endpoints.push_back(candidate.endpoint);
  }
  return endpoints;
}

} // namespace

Duration EngineSelector::costOf(const Candidate& candidate)
{
  return candidate.predictedTtft + candidate.penalty +
         (candidate.inOwnZone ? Duration(0) : kOtherZoneCost);
}

void EngineSelector::predict(const EngineContext& context,
                             const RequestInfo& requestInfo,
                             std::span<const Fingerprint> keys,
                             Candidate& candidate)
{
  const auto now = context.now;
  const auto& endpoint = *candidate.endpoint;
  const double heldTokens =
    static_cast<double>(endpoint.outstandingPromptTokens) / context.trafficShare;
  const double freeTokens = std::max(static_cast<double>(context.kvCapacity) - heldTokens, 0.0);
  const auto retention = endpoint.cache.retention(now, freeTokens, context.trafficShare);
  const auto cachedPromptTokens =
    endpoint.cache.cachedTokens(now, requestInfo.parts, keys, retention);
  candidate.uncachedTokens =
    std::max<std::int64_t>(requestInfo.promptTokens - cachedPromptTokens, 1);
  TimeToFirstTokenModel::Input input;
  input.uncachedTokens = candidate.uncachedTokens;
  input.promptTokens = requestInfo.promptTokens;
  input.priority = requestInfo.priority;
  input.load = candidate.load;
  input.slots = endpoint.slots;
  input.serviceTime = context.serviceTime;
  input.speed = candidate.speed;
  candidate.prefill = prefillTime(input.uncachedTokens, input.promptTokens);
  candidate.baseTtft = endpoint.ttftModel.baseEstimate(input);
  candidate.predictedTtft =
    candidate.baseTtft + endpoint.ttftModel.residual(now) + endpoint.prefillBacklog.backlog(now);
  const double failureCostMicros = endpoint.breaker.failureRatio(now) * kFailureCostMicros;
  candidate.penalty = Duration(static_cast<std::int64_t>(failureCostMicros));
  if (now < endpoint.warmupUntil) {
    candidate.penalty += requestInfo.target / 2;
  }
}

std::size_t EngineSelector::pick(const EngineContext& context,
                                 const RequestInfo& requestInfo,
                                 std::span<const Fingerprint> keys,
                                 std::span<Candidate> candidates)
{
  const bool isLong = LongPromptEngines::isLong(requestInfo, keys);
  longPrompts_.markReserved(context.now, isLong, candidates);
  prefillSeconds_.add(context.now, static_cast<double>(candidates.front().prefill.count()) * 1e-6);
  if (isLong) {
    if (const auto chosenIndex = pickForLongPrompt(requestInfo, candidates)) {
      return *chosenIndex;
    }
  }
  if (const auto prefix = sharedPrefixOf(requestInfo, keys)) {
    const auto chosenIndex = context.balancer != nullptr
                               ? pickForPrefixEvenly(context, requestInfo, *prefix, candidates)
                               : pickForPrefix(context, requestInfo, *prefix, candidates);
    if (chosenIndex) {
      return *chosenIndex;
    }
  }
  if (context.balancer != nullptr) {
    return context.balancer->pick(candidates);
  }
  const auto bestCandidate =
    std::min_element(candidates.begin(), candidates.end(), [](const auto& a, const auto& b) {
      return costOf(a) < costOf(b);
    });
  return static_cast<std::size_t>(bestCandidate - candidates.begin());
}

std::optional<std::size_t> EngineSelector::pickForLongPrompt(const RequestInfo& requestInfo,
                                                             std::span<const Candidate> candidates)
{
  std::optional<std::size_t> bestIndex;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].reservedForLongPrompts &&
        (!bestIndex || costOf(candidates[i]) < costOf(candidates[*bestIndex]))) {
      bestIndex = i;
    }
  }
  if (bestIndex &&
      candidates[*bestIndex].predictedTtft + candidates[*bestIndex].penalty > requestInfo.target) {
    return std::nullopt;
  }
  return bestIndex;
}

double EngineSelector::ownZoneShare(const EngineContext& context,
                                    std::span<const Candidate> candidates) const
{
  double totalSlots = 0;
  double ownZoneSlots = 0;
  double ownZoneEngines = 0;
  for (const auto& candidate : candidates) {
    const double slots = candidate.endpoint->slots;
    totalSlots += slots;
    ownZoneSlots += candidate.inOwnZone ? slots : 0;
    ownZoneEngines += candidate.inOwnZone ? 1 : 0;
  }
  const double fairShare = ownZoneSlots / totalSlots / context.trafficShare;
  const double lowLoadShare = kLowUtilization * ownZoneEngines /
                              std::max(prefillSeconds_.perSecond(context.now), kMinPrefillRate);
  return std::max(fairShare, lowLoadShare);
}

std::optional<std::size_t> EngineSelector::pickForPrefix(const EngineContext& context,
                                                         const RequestInfo& requestInfo,
                                                         const SharedPrefix& prefix,
                                                         std::span<const Candidate> candidates)
{
  const auto ownTokens = std::max<std::int64_t>(requestInfo.promptTokens - prefix.tokens, 1);
  prefixRates_.add(context.now, prefix.key, prefillTime(ownTokens, requestInfo.promptTokens));
  const auto endpoints = endpointsOf(candidates);
  const auto order = placementOrder(prefix, endpoints, zone_, ownZoneShare(context, candidates));
  const auto preferredEngineCount = std::min(
    prefixRates_.preferredEngineCount(context.now, prefix.key, context.trafficShare), order.size());
  std::optional<std::size_t> bestIndex;
  Duration bestCost{};
  for (std::size_t i = 0; i < preferredEngineCount; ++i) {
    const auto& candidate = candidates[order[i]];
    const auto totalCost = costOf(candidate) + (i == 0 ? Duration(0) : kFirstEnginePreference);
    if (isWithinLimits(requestInfo, candidate) && (!bestIndex || totalCost < bestCost)) {
      bestIndex = order[i];
      bestCost = totalCost;
    }
  }
  return bestIndex ? bestIndex
                   : pickFallback(requestInfo, prefix, candidates, order, preferredEngineCount);
}

std::optional<std::size_t> EngineSelector::pickForPrefixEvenly(
  const EngineContext& context,
  const RequestInfo& requestInfo,
  const SharedPrefix& prefix,
  std::span<const Candidate> candidates)
{
  // The rate without this request: a process that receives a prefix once in the window would
  // otherwise take it for a frequent one, because it divides the rate by its share of the traffic.
  const auto prefillRate = prefixRates_.perSecond(context.now, prefix.key) / context.trafficShare;
  const auto ownTokens = std::max<std::int64_t>(requestInfo.promptTokens - prefix.tokens, 1);
  prefixRates_.add(context.now, prefix.key, prefillTime(ownTokens, requestInfo.promptTokens));
  const auto order = rendezvousOrder(prefix.key, endpointsOf(candidates));
  const auto preferredCount =
    LoadBalancer::preferredEngineCount(candidates.size(), prefillRate, prefix.tokens);
  return context.balancer->pickForPrefix(
    requestInfo, candidates, { order, preferredCount, prefillTime(prefix.tokens, prefix.tokens) });
}

std::optional<std::size_t> EngineSelector::pickFallback(const RequestInfo& requestInfo,
                                                        const SharedPrefix& prefix,
                                                        std::span<const Candidate> candidates,
                                                        std::span<const std::size_t> order,
                                                        std::size_t preferredEngineCount)
{
  const auto prefixPrefillCost =
    kPrefixPrefillCostFactor * prefillTime(prefix.tokens, prefix.tokens);
  std::optional<std::size_t> bestIndex;
  Duration bestCost{};
  for (std::size_t i = 0;
       i < std::min(order.size(), std::max(preferredEngineCount, kFallbackEngines));
       ++i) {
    const auto& candidate = candidates[order[i]];
    const auto totalCost =
      costOf(candidate) + (i < preferredEngineCount ? Duration(0) : prefixPrefillCost);
    if (!bestIndex || totalCost < bestCost) {
      bestIndex = order[i];
      bestCost = totalCost;
    }
  }
  if (bestIndex && candidates[*bestIndex].predictedTtft > requestInfo.target) {
    return std::nullopt;
  }
  return bestIndex;
}

} // namespace figchute::dispatch
