#pragma once

#include "core/Types.h"
#include "routing/LinkIncrements.h"
#include "routing/Messages.h"

#include <array>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace figchute::routing {

/** Time constant of the decayed totals: long against one request, short against a change of
    demand. */
constexpr Duration kFairShareMemory = std::chrono::seconds(20);

/** Decayed totals of tokens served per workspace and rank, over all VMs of the zone.

    Terms are stored with weights that grow with time, so the order of two totals does not change
    until one of them gets a new term, and old terms need no update.
    Thread safety: use one instance from one thread at a time. */
class FairShareTotals
{
public:
  /** Replaces the VMs of the zone to exchange totals with. */
  void setLinks(const std::vector<ProcessId>& neighbours) { owed_.setLinks(neighbours, {}); }

  /** Returns the index of a workspace, adding it when it is new. Indexes stay valid. */
  std::uint32_t indexOf(const WorkspaceId& workspace);

  /** Adds tokens served by this VM.
      @param tokens  may be negative to correct an earlier charge */
  void add(Time now, std::uint32_t index, Rank rank, double tokens);

  /** Adds tokens served by other VMs. */
  void receive(Time now, const ProcessId& from, const std::vector<ServedTokens>& served);

  /** Takes what a neighbour has not been told yet, at most 32 of the largest entries. */
  std::vector<ServedTokens> take(const ProcessId& neighbour);

  /** Returns a number that orders totals: a larger one has been served more. */
  [[nodiscard]] double orderKey(std::uint32_t index, Rank rank) const
  {
    return entries_[index].scaled[static_cast<std::size_t>(rank)];
  }

  /** Returns the sum of all order keys of a rank. */
  [[nodiscard]] double orderKeySum(Rank rank) const;

  /** Returns the decayed tokens of a workspace over all ranks. */
  [[nodiscard]] double total(Time now, const WorkspaceId& workspace) const;

private:
  struct Entry
  {
    WorkspaceId workspace;
    std::array<double, kRankCount> scaled{};
  };

  double scale(Time now);
  [[nodiscard]] double exponent(Time now) const;

  std::vector<Entry> entries_;
  std::map<WorkspaceId, std::uint32_t> indexes_;
  LinkIncrements<std::pair<std::uint32_t, Rank>> owed_;
  Time epoch_;
  bool started_ = false;
};

} // namespace figchute::routing
