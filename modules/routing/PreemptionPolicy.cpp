#include "routing/PreemptionPolicy.h"

#include <algorithm>

namespace figchute::routing {
namespace {

/** Requests with at most this number of tokens left are not cancelled, since they complete within
    about half a second. */
constexpr std::int64_t kNearlyDoneTokens = 16;

constexpr double kBytesPerToken = 4;

/** Time to read one prompt token relative to generating one. Prompt tokens are read in parallel. */
constexpr double kPrefillCostPerToken = 0.01;

/** Cost of the delay that a cancellation causes, as a fraction of the worth of a batch request. The
    cost grows with each cancellation of the same request to distribute the delays. With a fixed
    limit of three cancellations, no batch request was left to cancel under sustained overload. */
constexpr double kCancellationCost = 0.05;

double costOf(const PreemptionCandidate& candidate)
{
  const double promptTokens = static_cast<double>(candidate.promptBytes) / kBytesPerToken;
  const double prefillTokens = promptTokens + static_cast<double>(candidate.generated.count);
  const double maxTokens = std::max(static_cast<double>(candidate.maxTokens.count), 1.0);
  return kCancellationCost * (1.0 + candidate.preemptions) +
         prefillTokens * kPrefillCostPerToken / maxTokens;
}

bool isPreemptible(const PreemptionCandidate& candidate)
{
  const auto remaining = candidate.maxTokens - candidate.generated;
  return remaining.count > kNearlyDoneTokens;
}

} // namespace

std::optional<std::size_t> PreemptionPolicy::choose(const Policy& policy,
                                                    std::span<const PreemptionCandidate> candidates)
{
  const double gain = policy.ranks[static_cast<std::size_t>(Rank::urgent)].worth;
  const double batchWorth = policy.ranks[static_cast<std::size_t>(Rank::batch)].worth;
  std::optional<std::size_t> best;
  double bestCost = gain;
  for (std::size_t i = 0; i < candidates.size(); ++i) {
    if (!isPreemptible(candidates[i])) {
      continue;
    }
    const double cost = costOf(candidates[i]) * batchWorth;
    if (cost < bestCost) {
      best = i;
      bestCost = cost;
    }
  }
  return best;
}

} // namespace figchute::routing
