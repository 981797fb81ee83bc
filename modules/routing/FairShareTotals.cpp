#include "routing/FairShareTotals.h"

#include <cmath>

namespace figchute::routing {
namespace {

/** exp(100) leaves room for token counts in a double; then all totals are scaled down. */
constexpr double kLargestExponent = 100;

/** Bounds a message to about 1 KB at 510 workspaces; the smaller entries wait and add up. */
constexpr std::size_t kEntriesPerMessage = 32;

} // namespace

std::uint32_t FairShareTotals::indexOf(const WorkspaceId& workspace)
{
  const auto next = static_cast<std::uint32_t>(entries_.size());
  const auto [entry, added] = indexes_.try_emplace(workspace, next);
  if (added) {
    entries_.push_back({ workspace, {} });
  }
  return entry->second;
}

double FairShareTotals::exponent(Time now) const
{
  return static_cast<double>((now - epoch_).count()) /
         static_cast<double>(kFairShareMemory.count());
}

double FairShareTotals::scale(Time now)
{
  if (!started_) {
    started_ = true;
    epoch_ = now;
  }
  if (exponent(now) > kLargestExponent) {
    const double factor = std::exp(-exponent(now));
    for (auto& entry : entries_) {
      for (auto& value : entry.scaled) {
        value *= factor;
      }
    }
    epoch_ = now;
  }
  return std::exp(exponent(now));
}

void FairShareTotals::add(Time now, std::uint32_t index, Rank rank, double tokens)
{
  entries_[index].scaled[static_cast<std::size_t>(rank)] += tokens * scale(now);
  owed_.add({ index, rank }, tokens, ProcessId());
}

void FairShareTotals::receive(Time now,
                              const ProcessId& from,
                              const std::vector<ServedTokens>& served)
{
  for (const auto& part : served) {
    const auto index = indexOf(part.workspace);
    const auto tokens = static_cast<double>(part.tokens);
    entries_[index].scaled[static_cast<std::size_t>(part.rank)] += tokens * scale(now);
    owed_.add({ index, part.rank }, tokens, from);
  }
}

std::vector<ServedTokens> FairShareTotals::take(const ProcessId& neighbour)
{
  std::vector<ServedTokens> result;
  for (const auto& [key, tokens] : owed_.take(neighbour, kEntriesPerMessage)) {
    result.push_back({ entries_[key.first].workspace, key.second, tokens });
  }
  return result;
}

double FairShareTotals::orderKeySum(Rank rank) const
{
  double sum = 0;
  for (const auto& entry : entries_) {
    sum += entry.scaled[static_cast<std::size_t>(rank)];
  }
  return sum;
}

double FairShareTotals::total(Time now, const WorkspaceId& workspace) const
{
  const auto found = indexes_.find(workspace);
  if (found == indexes_.end()) {
    return 0;
  }
  double sum = 0;
  for (const double value : entries_[found->second].scaled) {
    sum += value;
  }
  return sum * std::exp(-exponent(now));
}

} // namespace figchute::routing
