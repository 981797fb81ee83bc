#include "routing/FairShareTotals.h"

#include "core/Fingerprint.h"

#include <cmath>

namespace figchute::routing {
namespace {

/** All totals are scaled down at this exponent, because exp(100) times a token count still fits in
    a double. */
constexpr double kMaxExponent = 100;

/** Limits a message to about 250 bytes with 510 workspaces. The smaller entries accumulate until a
    later message. */
constexpr std::size_t kMaxEntriesPerMessage = 24;

std::uint32_t workspaceHash(const WorkspaceId& workspace)
{
  return static_cast<std::uint32_t>(fingerprintOf(workspace.value));
}

} // namespace

std::uint32_t FairShareTotals::indexOf(const WorkspaceId& workspace)
{
  return indexOf(workspaceHash(workspace));
}

std::uint32_t FairShareTotals::indexOf(std::uint32_t workspace)
{
  const auto nextIndex = static_cast<std::uint32_t>(entries_.size());
  const auto [entry, inserted] = indexes_.try_emplace(workspace, nextIndex);
  if (inserted) {
    entries_.push_back({ workspace, {} });
  }
  return entry->second;
}

double FairShareTotals::exponent(Time now) const
{
  return static_cast<double>((now - epoch_).count()) /
         static_cast<double>(kFairShareTimeConstant.count());
}

double FairShareTotals::scale(Time now)
{
  if (!hasEpoch_) {
    hasEpoch_ = true;
    epoch_ = now;
  }
  if (exponent(now) > kMaxExponent) {
    const double factor = std::exp(-exponent(now));
    for (auto& entry : entries_) {
      for (auto& value : entry.scaledTokens) {
        value *= factor;
      }
    }
    epoch_ = now;
  }
  return std::exp(exponent(now));
}

void FairShareTotals::add(Time now, std::uint32_t index, Rank rank, double tokens)
{
  entries_[index].scaledTokens[static_cast<std::size_t>(rank)] += tokens * scale(now);
  unsent_.add({ index, rank }, tokens, ProcessId());
}

void FairShareTotals::receive(Time now,
                              const ProcessId& from,
                              const std::vector<ServedTokens>& served)
{
  for (const auto& increment : served) {
    const auto index = indexOf(increment.workspace);
    const auto tokens = static_cast<double>(increment.tokens);
    entries_[index].scaledTokens[static_cast<std::size_t>(increment.rank)] += tokens * scale(now);
    unsent_.add({ index, increment.rank }, tokens, from);
  }
}

std::vector<ServedTokens> FairShareTotals::takeIncrements(const ProcessId& neighbour)
{
  std::vector<ServedTokens> result;
  for (const auto& [key, tokens] : unsent_.takeLargest(neighbour, kMaxEntriesPerMessage)) {
    result.push_back({ entries_[key.first].workspace, key.second, tokens });
  }
  return result;
}

double FairShareTotals::orderKeySum(Rank rank) const
{
  double sum = 0;
  for (const auto& entry : entries_) {
    sum += entry.scaledTokens[static_cast<std::size_t>(rank)];
  }
  return sum;
}

double FairShareTotals::total(Time now, const WorkspaceId& workspace) const
{
  const auto entry = indexes_.find(workspaceHash(workspace));
  if (entry == indexes_.end()) {
    return 0;
  }
  double sum = 0;
  for (const double value : entries_[entry->second].scaledTokens) {
    sum += value;
  }
  return sum * std::exp(-exponent(now));
}

} // namespace figchute::routing
