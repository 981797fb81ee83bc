#include "ledger/Proposer.h"

#include <algorithm>
#include <utility>

namespace figchute::ledger {
namespace {

/** The maximum number of immediate redirects of a proposal between two resends. Without a limit,
   two followers that each name the other as leader would redirect it endlessly. */
constexpr int kMaxRedirects = 2;

} // namespace

Proposer::Proposer(std::uint64_t idBase)
  : lastId_(idBase)
{
}

void Proposer::setControls(std::vector<ProcessId> controls)
{
  controls_ = std::move(controls);
  const bool leaderListed =
    std::find(controls_.begin(), controls_.end(), leader_) != controls_.end();
  if (!leaderListed) {
    leader_ = controls_.empty() ? ProcessId() : controls_.front();
  }
}

void Proposer::send(Time now, std::uint64_t id, PendingProposal& proposal)
{
  proposal.sentAt = now;
  if (!leader_.empty()) {
    outgoing_.push_back({ leader_, Propose{ id, proposal.command } });
  }
}

std::uint64_t Proposer::propose(Time now, const Command& command)
{
  const auto id = ++lastId_;
  auto& proposal = pendingProposals_[id];
  proposal.command = wire::encode(command);
  proposal.proposedAt = now;
  send(now, id, proposal);
  return id;
}

void Proposer::abandon(std::uint64_t proposalId)
{
  pendingProposals_.erase(proposalId);
}

std::optional<Proposer::Reply> Proposer::receive(Time now,
                                                 const ProcessId& from,
                                                 const ProposeReply& reply)
{
  const auto proposal = pendingProposals_.find(reply.proposalId);
  if (proposal == pendingProposals_.end()) {
    return std::nullopt;
  }
  if (!reply.accepted) {
    const bool usableHint = !reply.leaderHint.empty() && reply.leaderHint != from;
    if (usableHint && proposal->second.redirects < kMaxRedirects) {
      ++proposal->second.redirects;
      leader_ = reply.leaderHint;
      send(now, reply.proposalId, proposal->second);
    }
    return std::nullopt;
  }
  leader_ = from;
  lastReply_ = now;
  auto result = wire::decode<Result>(reply.result);
  if (!result) {
    return std::nullopt;
  }
  pendingProposals_.erase(proposal);
  return Reply{ reply.proposalId, std::move(*result) };
}

void Proposer::chooseNextControl()
{
  const auto leader = std::find(controls_.begin(), controls_.end(), leader_);
  if (controls_.empty()) {
    leader_ = ProcessId();
    return;
  }
  const bool isLast = leader == controls_.end() || std::next(leader) == controls_.end();
  leader_ = isLast ? controls_.front() : *std::next(leader);
}

void Proposer::tick(Time now)
{
  const auto isDue = [now](const auto& item) { return item.second.sentAt + kResendAfter <= now; };
  if (std::none_of(pendingProposals_.begin(), pendingProposals_.end(), isDue)) {
    return;
  }
  const bool noRecentReply = lastReply_ + kResendAfter <= now;
  if (noRecentReply) {
    chooseNextControl();
  }
  for (auto& [id, proposal] : pendingProposals_) {
    if (proposal.sentAt + kResendAfter <= now) {
      proposal.redirects = 0;
      send(now, id, proposal);
    }
  }
}

bool Proposer::isControlReachable(Time now, Duration window) const
{
  if (lastReply_ + window > now || pendingProposals_.empty()) {
    return true;
  }
  const auto oldest = std::min_element(
    pendingProposals_.begin(), pendingProposals_.end(), [](const auto& a, const auto& b) {
      return a.second.proposedAt < b.second.proposedAt;
    });
  return oldest->second.proposedAt + window > now;
}

std::vector<OutgoingMessage> Proposer::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

} // namespace figchute::ledger
