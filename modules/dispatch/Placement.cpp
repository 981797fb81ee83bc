#include "dispatch/Placement.h"

#include "routing/Rendezvous.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace figchute::dispatch {
namespace {

/** Reading up to this many tokens again costs less than the bytes of the requests between zones, so
    such a subject has a place in each zone. */
constexpr std::int64_t kSmallSubject = 1500;

/** A prompt of two parts begins with a common part; below this size it is read anywhere. */
constexpr std::int64_t kSmallestCommon = 512;

/** Mixed with the key of a subject; decides whether the subject stays in the zone of the process.
 */
constexpr std::uint64_t kZoneSeed = 0x7a6f6e65;

/** Returns a number between 0 and 1 that is equal on all processes. */
double unitOf(std::uint64_t seed, Fingerprint key)
{
  const auto bits = routing::rendezvousWeight(seed, key);
  return (static_cast<double>(bits >> 11U) + 0.5) * 0x1.0p-53;
}

/** Rendezvous score of an endpoint, weighted by its slots. */
double score(const Endpoint& endpoint, Fingerprint key)
{
  return -std::max(endpoint.record.slots, 1) / std::log(unitOf(endpoint.hash, key));
}

} // namespace

std::optional<Subject> subjectOf(const Work& work, std::span<const Fingerprint> keys)
{
  const auto& parts = work.parts;
  if (parts.size() < 2 || (parts.size() == 2 && parts[0].tokens < kSmallestCommon)) {
    return std::nullopt;
  }
  if (parts.size() == 2) {
    return Subject{ keys[0], parts[0].tokens };
  }
  return Subject{ keys[1], parts[0].tokens + parts[1].tokens };
}

std::vector<std::size_t> rendezvousOrder(Fingerprint key, std::span<Endpoint* const> endpoints)
{
  std::vector<double> scores;
  scores.reserve(endpoints.size());
  for (const auto* endpoint : endpoints) {
    scores.push_back(score(*endpoint, key));
  }
  std::vector<std::size_t> order(endpoints.size());
  std::iota(order.begin(), order.end(), 0);
  std::sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) {
    return scores[a] != scores[b] ? scores[a] > scores[b]
                                  : endpoints[a]->record.id < endpoints[b]->record.id;
  });
  return order;
}

std::vector<std::size_t> placementOrder(const Subject& subject,
                                        std::span<Endpoint* const> endpoints,
                                        const ZoneId& ownZone,
                                        double ownZonePart)
{
  auto order = rendezvousOrder(subject.key, endpoints);
  const auto isOwn = [&](std::size_t i) { return endpoints[i]->record.zone == ownZone; };
  if (subject.tokens < kSmallSubject) {
    const bool stays = unitOf(kZoneSeed, subject.key) < ownZonePart;
    std::stable_partition(
      order.begin(), order.end(), [&](std::size_t i) { return isOwn(i) == stays; });
    return order;
  }
  const auto second = std::find_if(order.begin(), order.end(), [&](std::size_t i) {
    return endpoints[i]->record.zone != endpoints[order.front()]->record.zone;
  });
  if (second != order.end()) {
    std::rotate(order.begin() + 1, second, second + 1);
  }
  return order;
}

} // namespace figchute::dispatch
