#include "control/ProposalQueue.h"

namespace figchute::control {

void ProposalQueue::push(QueuedProposal proposal)
{
  ids_.emplace(proposal.from, proposal.proposalId);
  proposals_.push_back(std::move(proposal));
}

QueuedProposal ProposalQueue::pop()
{
  auto proposal = std::move(proposals_.front());
  proposals_.pop_front();
  ids_.erase({ proposal.from, proposal.proposalId });
  return proposal;
}

std::deque<QueuedProposal> ProposalQueue::takeAll()
{
  ids_.clear();
  return std::exchange(proposals_, {});
}

Duration ProposalQueue::age(Time now) const
{
  return proposals_.empty() ? Duration{ 0 } : now - proposals_.front().receivedAt;
}

bool ProposalQueue::contains(const ProcessId& from, std::uint64_t proposalId) const
{
  return ids_.contains({ from, proposalId });
}

} // namespace figchute::control
