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

void Proposer::setLeader(const ProcessId& leader)
{
  leader_ = leader;
  isLeaderUntried_ = true;
}

bool Proposer::isControlSilent(Time now) const
{
  return !pendingProposals_.empty() && lastReply_ + kResendAfter <= now &&
         pendingProposals_.begin()->second.proposedAt + kResendAfter <= now;
}

void Proposer::send(Time now, std::uint64_t id, PendingProposal& proposal)
{
  if (leader_.empty()) {
    return;
  }
  proposal.sentTo = leader_;
  proposal.sentAt = now;
  outgoing_.push_back({ leader_, Propose{ id, proposal.command } });
}

std::uint64_t Proposer::propose(Time now, const Command& command)
{
  const bool isSilent = isControlSilent(now);
  const auto id = ++lastId_;
  auto& proposal = pendingProposals_[id];
  proposal.command = wire::encode(command);
  proposal.proposedAt = now;
  if (!isSilent) {
    send(now, id, proposal);
  }
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
  probeInterval_ = kResendAfter;
  isLeaderUntried_ = false;
  for (auto& [id, pendingProposal] : pendingProposals_) {
    if (pendingProposal.sentTo != from) {
      send(now, id, pendingProposal);
    }
  }
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
  if (isControlSilent(now)) {
    sendProbe(now);
  } else {
    resendDue(now);
  }
}

void Proposer::sendProbe(Time now)
{
  if (!isLeaderUntried_ && now < nextProbeAt_) {
    return;
  }
  if (!std::exchange(isLeaderUntried_, false)) {
    chooseNextControl();
  }
  auto& [id, proposal] = *pendingProposals_.begin();
  proposal.redirects = 0;
  send(now, id, proposal);
  nextProbeAt_ = now + probeInterval_;
  probeInterval_ = std::min(2 * probeInterval_, kMaxProbeInterval);
}

void Proposer::resendDue(Time now)
{
  for (auto& [id, proposal] : pendingProposals_) {
    if (proposal.sentAt + proposal.resendInterval <= now) {
      proposal.redirects = 0;
      proposal.resendInterval = std::min(2 * proposal.resendInterval, kMaxResendInterval);
      send(now, id, proposal);
    }
  }
}

bool Proposer::isControlReachable(Time now, Duration window) const
{
  if (lastReply_ + window > now || pendingProposals_.empty()) {
    return true;
  }
  return pendingProposals_.begin()->second.proposedAt + window > now;
}

std::vector<OutgoingMessage> Proposer::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

} // namespace figchute::ledger
