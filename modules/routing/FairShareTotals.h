#pragma once

#include "core/Types.h"
#include "routing/LinkIncrements.h"
#include "routing/Messages.h"

#include <array>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace figchute::routing {

/** Time constant of the decayed totals: long compared with a request, short compared with changes
    of demand. */
constexpr Duration kFairShareTimeConstant = std::chrono::seconds(20);

/** Exponentially decayed totals of tokens served per workspace and rank, across the VMs of a zone.

    Instead of decaying old terms, new terms are scaled up by a factor that grows with time. Totals
    can therefore be compared without an update as time passes.
    Thread safety: use one instance from one thread at a time. */
class FairShareTotals
{
public:
  /** Sets the neighbours in the zone with which totals are exchanged. */
  void setLinks(const std::vector<ProcessId>& neighbours) { unsent_.setLinks(neighbours, {}); }

  /** Returns the index of a workspace, which is added if it is new. Indexes remain valid. */
  std::uint32_t indexOf(const WorkspaceId& workspace);

  /** Adds tokens served by this VM.
      @param tokens  number of tokens; negative to correct an earlier charge */
  void add(Time now, std::uint32_t index, Rank rank, double tokens);

  /** Adds tokens served by other VMs. */
  void receive(Time now, const ProcessId& from, const std::vector<ServedTokens>& served);

  /** Returns the largest increments not yet sent to a neighbour, at most 24, and marks them as
      sent. */
  std::vector<ServedTokens> takeIncrements(const ProcessId& neighbour);

  /** Returns a sort key: a larger key means more recently served tokens. */
  [[nodiscard]] double orderKey(std::uint32_t index, Rank rank) const
  {
    return entries_[index].scaledTokens[static_cast<std::size_t>(rank)];
  }

  /** Returns the sum of the sort keys of all workspaces for a rank. */
  [[nodiscard]] double orderKeySum(Rank rank) const;

  /** Returns the decayed number of tokens of a workspace over all ranks. */
  [[nodiscard]] double total(Time now, const WorkspaceId& workspace) const;

private:
  struct Entry
  {
    std::uint32_t workspace = 0;
    std::array<double, kRankCount> scaledTokens{};
  };

  std::uint32_t indexOf(std::uint32_t workspace);

  double scale(Time now);
  [[nodiscard]] double exponent(Time now) const;

  std::vector<Entry> entries_;
  std::unordered_map<std::uint32_t, std::uint32_t> indexes_;
  LinkIncrements<std::pair<std::uint32_t, Rank>> unsent_;
  Time epoch_;
  bool hasEpoch_ = false;
};

} // namespace figchute::routing
