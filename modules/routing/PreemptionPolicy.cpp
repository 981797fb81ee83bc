#include "routing/PreemptionPolicy.h"

#include <algorithm>

namespace figchute::routing {
namespace {

/** Work with fewer tokens left frees its place within about half a second anyway. */
constexpr std::int64_t kNearlyDoneTokens = 16;

constexpr double kBytesPerToken = 4;

/** Time to read one token of a prompt relative to generating one. Prompts are read in parallel. */
constexpr double kReadingCost = 0.01;

/** A cancellation always delays the batch work; this part of its worth covers that. It grows with
    each cancellation of the same work, so that the delay is spread. A fixed limit of three
    cancellations left no work to cancel in a long flood. */
constexpr double kFixedCost = 0.05;

double costOf(const PreemptionCandidate& candidate)
{
  const double prompt = static_cast<double>(candidate.promptBytes) / kBytesPerToken;
  const double read = prompt + static_cast<double>(candidate.generated.count);
  const double whole = std::max(static_cast<double>(candidate.maxTokens.count), 1.0);
  return kFixedCost * (1.0 + candidate.preemptions) + read * kReadingCost / whole;
}

bool mayBePreempted(const PreemptionCandidate& candidate)
{
  const auto left = candidate.maxTokens - candidate.generated;
  return left.count > kNearlyDoneTokens;
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
    if (!mayBePreempted(candidates[i])) {
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
