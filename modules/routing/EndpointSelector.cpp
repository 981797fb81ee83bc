#include "routing/EndpointSelector.h"

#include "routing/Rendezvous.h"

#include <algorithm>
#include <vector>

namespace figchute::routing {
namespace {

constexpr Duration kHistoryLength = std::chrono::seconds(8);
constexpr std::size_t kHistoryPruneSize = 64;

/** Affinity uses the second prefix, which ends with the first turn of a conversation. The first
    prefix is the service's system prompt, which every endpoint soon has in its cache, and later
    prefixes change with every turn. */
constexpr std::size_t kAffinityPrefixIndex = 1;

/** Maximum load of the preferred endpoint, as a multiple of the mean load plus one request. Above
    it, the next endpoint in hash order is used. */
constexpr double kMaxLoadFactor = 1.25;

double loadRatio(const EndpointCandidate& candidate)
{
  return candidate.load / candidate.limit;
}

std::vector<std::size_t> availableIndexesIn(std::span<const EndpointCandidate> candidates,
                                            bool ownZone)
{
  std::vector<std::size_t> availableIndexes;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].ownZone == ownZone && candidates[i].available) {
      availableIndexes.push_back(i);
    }
  }
  return availableIndexes;
}

} // namespace

void LoadEstimate::adjustOwnRequests(Time now, int amount)
{
  ownRequests_ += amount;
  history_.push_back({ now, ownRequests_ });
  if (history_.size() < kHistoryPruneSize) {
    return;
  }
  const auto firstRecent =
    std::find_if(history_.begin(), history_.end() - 1, [now](const Change& entry) {
      return entry.changedAt + kHistoryLength >= now;
    });
  if (firstRecent != history_.begin()) {
    history_.erase(history_.begin(), firstRecent - 1);
  }
}

void LoadEstimate::report(Time reportedAt, std::uint32_t load)
{
  if (reportedAt <= reportedAt_) {
    return;
  }
  reportedAt_ = reportedAt;
  reportedLoad_ = load;
  ownRequestsAtReport_ = 0;
  for (const auto& change : history_) {
    if (change.changedAt + lag_ > reportedAt) {
      break;
    }
    ownRequestsAtReport_ = change.ownRequests;
  }
}

double LoadEstimate::current() const
{
  const int others = std::max(static_cast<int>(reportedLoad_) - ownRequestsAtReport_, 0);
  return static_cast<double>(others) + ownRequests_;
}

std::optional<std::size_t> EndpointSelector::choose(SelectionStrategy strategy,
                                                    std::span<const Fingerprint> prefixes,
                                                    std::span<const EndpointCandidate> candidates)
{
  auto availableIndexes = availableIndexesIn(candidates, true);
  if (availableIndexes.empty()) {
    availableIndexes = availableIndexesIn(candidates, false);
  }
  if (availableIndexes.empty()) {
    return std::nullopt;
  }
  switch (strategy) {
    case SelectionStrategy::random:
      return availableIndexes[random_.below(availableIndexes.size())];
    case SelectionStrategy::leastLoaded:
      return *std::min_element(
        availableIndexes.begin(), availableIndexes.end(), [&](std::size_t a, std::size_t b) {
          return loadRatio(candidates[a]) < loadRatio(candidates[b]);
        });
    case SelectionStrategy::twoChoices:
      return chooseOfTwo(candidates, availableIndexes);
    case SelectionStrategy::affinity:
      break;
  }
  if (prefixes.empty()) {
    return chooseOfTwo(candidates, availableIndexes);
  }
  return chooseByAffinity(
    prefixes[std::min(kAffinityPrefixIndex, prefixes.size() - 1)], candidates, availableIndexes);
}

std::size_t EndpointSelector::chooseByAffinity(Fingerprint prefix,
                                               std::span<const EndpointCandidate> candidates,
                                               std::span<const std::size_t> availableIndexes)
{
  double ratioSum = 0;
  for (const auto i : availableIndexes) {
    ratioSum += loadRatio(candidates[i]);
  }
  const double meanRatio = ratioSum / static_cast<double>(availableIndexes.size());
  std::optional<std::size_t> best;
  std::uint64_t bestHash = 0;
  for (const auto i : availableIndexes) {
    const double maxRatio = meanRatio * kMaxLoadFactor + 1 / candidates[i].limit;
    const std::uint64_t hash = rendezvousWeight(candidates[i].hash, prefix);
    if (loadRatio(candidates[i]) <= maxRatio && (!best || hash > bestHash)) {
      best = i;
      bestHash = hash;
    }
  }
  return best ? *best : chooseOfTwo(candidates, availableIndexes);
}

std::size_t EndpointSelector::chooseOfTwo(std::span<const EndpointCandidate> candidates,
                                          std::span<const std::size_t> availableIndexes)
{
  const auto firstIndex = availableIndexes[random_.below(availableIndexes.size())];
  const auto secondIndex = availableIndexes[random_.below(availableIndexes.size())];
  return loadRatio(candidates[secondIndex]) < loadRatio(candidates[firstIndex]) ? secondIndex
                                                                                : firstIndex;
}

} // namespace figchute::routing
