#include "routing/EndpointChooser.h"

#include "routing/Rendezvous.h"

#include <algorithm>
#include <vector>

namespace figchute::routing {
namespace {

constexpr Duration kHistory = std::chrono::seconds(8);
constexpr std::size_t kHistoryToPrune = 64;

/** The second prefix of a chain is the first turn of a conversation: the first one is the prompt of
    the service, which every endpoint has cached soon, and later ones differ between turns. */
constexpr std::size_t kAffinityDepth = 1;

/** An endpoint may have this factor of the mean load, plus one request, before the next one in the
    hash order takes over. */
constexpr double kLoadBound = 1.25;

double loadRatio(const EndpointCandidate& candidate)
{
  return candidate.load / candidate.limit;
}

std::vector<std::size_t> openIn(std::span<const EndpointCandidate> candidates, bool ownZone)
{
  std::vector<std::size_t> open;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (candidates[i].ownZone == ownZone && candidates[i].open) {
      open.push_back(i);
    }
  }
  return open;
}

} // namespace

void LoadEstimate::adjustOwnRequests(Time now, int amount)
{
  own_ += amount;
  history_.push_back({ now, own_ });
  if (history_.size() < kHistoryToPrune) {
    return;
  }
  const auto recent =
    std::find_if(history_.begin(), history_.end() - 1, [now](const Change& entry) {
      return entry.at + kHistory >= now;
    });
  if (recent != history_.begin()) {
    history_.erase(history_.begin(), recent - 1);
  }
}

void LoadEstimate::report(Time reportedAt, std::uint32_t load)
{
  if (reportedAt <= reportedAt_) {
    return;
  }
  reportedAt_ = reportedAt;
  reported_ = load;
  ownAtReport_ = 0;
  for (const auto& change : history_) {
    if (change.at + lag_ > reportedAt) {
      break;
    }
    ownAtReport_ = change.ownAfter;
  }
}

double LoadEstimate::current() const
{
  const int others = std::max(static_cast<int>(reported_) - ownAtReport_, 0);
  return static_cast<double>(others) + own_;
}

std::optional<std::size_t> EndpointChooser::choose(ChoiceStrategy strategy,
                                                   std::span<const Fingerprint> prefixes,
                                                   std::span<const EndpointCandidate> candidates)
{
  auto open = openIn(candidates, true);
  if (open.empty()) {
    open = openIn(candidates, false);
  }
  if (open.empty()) {
    return std::nullopt;
  }
  switch (strategy) {
    case ChoiceStrategy::random:
      return open[random_.below(open.size())];
    case ChoiceStrategy::leastLoaded:
      return *std::min_element(open.begin(), open.end(), [&](std::size_t a, std::size_t b) {
        return loadRatio(candidates[a]) < loadRatio(candidates[b]);
      });
    case ChoiceStrategy::twoChoices:
      return byTwoChoices(candidates, open);
    case ChoiceStrategy::affinity:
      break;
  }
  if (prefixes.empty()) {
    return byTwoChoices(candidates, open);
  }
  return byAffinity(prefixes[std::min(kAffinityDepth, prefixes.size() - 1)], candidates, open);
}

std::size_t EndpointChooser::byAffinity(Fingerprint prefix,
                                        std::span<const EndpointCandidate> candidates,
                                        std::span<const std::size_t> open)
{
  double ratios = 0;
  for (const auto i : open) {
    ratios += loadRatio(candidates[i]);
  }
  const double mean = ratios / static_cast<double>(open.size());
  std::optional<std::size_t> best;
  std::uint64_t bestHash = 0;
  for (const auto i : open) {
    const double bound = mean * kLoadBound + 1 / candidates[i].limit;
    const std::uint64_t hash = rendezvousWeight(candidates[i].hash, prefix);
    if (loadRatio(candidates[i]) <= bound && (!best || hash > bestHash)) {
      best = i;
      bestHash = hash;
    }
  }
  return best ? *best : byTwoChoices(candidates, open);
}

std::size_t EndpointChooser::byTwoChoices(std::span<const EndpointCandidate> candidates,
                                          std::span<const std::size_t> open)
{
  const auto first = open[random_.below(open.size())];
  const auto second = open[random_.below(open.size())];
  return loadRatio(candidates[second]) < loadRatio(candidates[first]) ? second : first;
}

} // namespace figchute::routing
