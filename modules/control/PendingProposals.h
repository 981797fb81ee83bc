#pragma once

#include "core/core.h"
#include "replication/Membership.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

namespace figchute::control {

/** The proposer that waits for the result of a log entry. */
struct PendingProposal
{
  ProcessId from;
  std::uint64_t proposalId = 0;
  replication::Term term = 0;
  /** When the leader received it. */
  Time receivedAt{};
};

/** The proposals that a leader appended and that are not applied yet. All operations take
    logarithmic time: an overloaded leader has thousands of them, and each received proposal is
    looked up.
    Thread safety: use one instance from one thread only. */
class PendingProposals
{
public:
  /** Adds a proposal; one that a former leader left at the same index is replaced. */
  void add(replication::LogIndex index, PendingProposal proposal);

  /** Returns whether a proposal of this process waits for its result. */
  [[nodiscard]] bool contains(const ProcessId& from, std::uint64_t proposalId) const;

  /** Removes and returns the proposal of an entry. */
  std::optional<PendingProposal> take(replication::LogIndex index);

  /** Removes the proposals of all entries up to @p index. */
  void removeUpTo(replication::LogIndex index);

  [[nodiscard]] std::size_t size() const { return byIndex_.size(); }

private:
  std::map<replication::LogIndex, PendingProposal> byIndex_;
  /** The proposals in byIndex_; after a change of the leader, one may be there twice. */
  std::multiset<std::pair<ProcessId, std::uint64_t>> ids_;
};

} // namespace figchute::control
