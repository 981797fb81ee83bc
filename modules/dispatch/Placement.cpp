#include "dispatch/Placement.h"

#include "routing/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace figchute::dispatch {
namespace {

/** Prefixes below this length are placed separately in each zone: prefilling them again costs less
    than the traffic of their requests between zones. */
constexpr std::int64_t kMaxZoneLocalTokens = 1500;

/** A prompt of two parts starts with a part common to many prompts. A common part below this length
    is not placed. */
constexpr std::int64_t kMinSharedTokens = 512;

/** Seed for the decision whether a short prefix is placed in the zone of the process. */
constexpr std::uint64_t kZoneSeed = 0x7a6f6e65;

/** Returns a hash between 0 and 1 that is equal on all processes. */
double unitHash(std::uint64_t seed, Fingerprint key)
{
  const auto bits = routing::rendezvousWeight(seed, key);
  return (static_cast<double>(bits >> 11U) + 0.5) * 0x1.0p-53;
}

/** Returns the rendezvous score of an endpoint, weighted by its slots. */
double rendezvousScore(const Endpoint& endpoint, Fingerprint key)
{
  return -std::max(endpoint.record.slots, 1) / std::log(unitHash(endpoint.hash, key));
}

} // namespace

std::optional<SharedPrefix> sharedPrefixOf(const RequestInfo& requestInfo,
                                           std::span<const Fingerprint> keys)
{
  const auto& parts = requestInfo.parts;
  if (parts.size() < 2 || (parts.size() == 2 && parts[0].tokens < kMinSharedTokens)) {
    return std::nullopt;
  }
  if (parts.size() == 2) {
    return SharedPrefix{ keys[0], parts[0].tokens };
  }
  return SharedPrefix{ keys[1], parts[0].tokens + parts[1].tokens };
}

std::vector<std::size_t> rendezvousOrder(Fingerprint key, std::span<Endpoint* const> endpoints)
{
  std::vector<double> scores;
  scores.reserve(endpoints.size());
  for (const auto* endpoint : endpoints) {
    scores.push_back(rendezvousScore(*endpoint, key));
  }
  std::vector<std::size_t> order(endpoints.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return scores[a] != scores[b] ? scores[a] > scores[b]
                                  : endpoints[a]->record.id < endpoints[b]->record.id;
  });
  return order;
}

std::vector<std::size_t> placementOrder(const SharedPrefix& prefix,
                                        std::span<Endpoint* const> endpoints,
                                        const ZoneId& ownZone,
                                        double ownZoneShare)
{
  auto order = rendezvousOrder(prefix.key, endpoints);
  const auto isInOwnZone = [&](std::size_t i) { return endpoints[i]->record.zone == ownZone; };
  if (prefix.tokens < kMaxZoneLocalTokens) {
    const bool staysInZone = unitHash(kZoneSeed, prefix.key) < ownZoneShare;
    std::stable_partition(
      order.begin(), order.end(), [&](std::size_t i) { return isInOwnZone(i) == staysInZone; });
    return order;
  }
  const auto otherZone = std::find_if(order.begin(), order.end(), [&](std::size_t i) {
    return endpoints[i]->record.zone != endpoints[order.front()]->record.zone;
  });
  if (otherZone != order.end()) {
    std::rotate(order.begin() + 1, otherZone, otherZone + 1);
  }
  return order;
}

} // namespace figchute::dispatch
