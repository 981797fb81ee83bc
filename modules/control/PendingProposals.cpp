#include "control/PendingProposals.h"

namespace figchute::control {

void PendingProposals::add(replication::LogIndex index, PendingProposal proposal)
{
  take(index);
  ids_.emplace(proposal.from, proposal.proposalId);
  byIndex_.emplace(index, std::move(proposal));
}

bool PendingProposals::contains(const ProcessId& from, std::uint64_t proposalId) const
{
  return ids_.contains({ from, proposalId });
}

std::optional<PendingProposal> PendingProposals::take(replication::LogIndex index)
{
  auto node = byIndex_.extract(index);
  if (node.empty()) {
    return std::nullopt;
  }
  ids_.erase(ids_.find({ node.mapped().from, node.mapped().proposalId }));
  return std::move(node.mapped());
}

void PendingProposals::removeUpTo(replication::LogIndex index)
{
  while (!byIndex_.empty() && byIndex_.begin()->first <= index) {
    take(byIndex_.begin()->first);
  }
}

} // namespace figchute::control
