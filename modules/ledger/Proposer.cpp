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
  const bool known = std::find(controls_.begin(), controls_.end(), leader_) != controls_.end();
  if (!known) {
    leader_ = controls_.empty() ? ProcessId() : controls_.front();
  }
}

void Proposer::send(Time now, std::uint64_t id, Pending& pending)
{
  pending.sentAt = now;
  if (!leader_.empty()) {
    outgoing_.push_back({ leader_, Propose{ id, pending.command } });
  }
}

std::uint64_t Proposer::propose(Time now, const Command& command)
{
  const auto id = ++lastId_;
  auto& pending = pending_[id];
  pending.command = wire::encode(command);
  pending.proposedAt = now;
  send(now, id, pending);
  return id;
}

void Proposer::abandon(std::uint64_t proposalId)
{
  pending_.erase(proposalId);
}

std::optional<Proposer::Reply> Proposer::receive(Time now,
                                                 const ProcessId& from,
                                                 const ProposeReply& reply)
{
  const auto found = pending_.find(reply.proposalId);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  if (!reply.accepted) {
    const bool usableHint = !reply.leaderHint.empty() && reply.leaderHint != from;
    if (usableHint && found->second.redirects < kMaxRedirects) {
      ++found->second.redirects;
      leader_ = reply.leaderHint;
      send(now, reply.proposalId, found->second);
    }
    return std::nullopt;
  }
  leader_ = from;
  lastReply_ = now;
  auto result = wire::decode<Result>(reply.result);
  if (!result) {
    return std::nullopt;
  }
  pending_.erase(found);
  return Reply{ reply.proposalId, std::move(*result) };
}

void Proposer::chooseNextControl()
{
  const auto at = std::find(controls_.begin(), controls_.end(), leader_);
  if (controls_.empty()) {
    leader_ = ProcessId();
    return;
  }
  const bool last = at == controls_.end() || std::next(at) == controls_.end();
  leader_ = last ? controls_.front() : *std::next(at);
}

void Proposer::tick(Time now)
{
  const auto due = [now](const auto& item) { return item.second.sentAt + kResendAfter <= now; };
  if (std::none_of(pending_.begin(), pending_.end(), due)) {
    return;
  }
  const bool noRecentReply = lastReply_ + kResendAfter <= now;
  if (noRecentReply) {
    chooseNextControl();
  }
  for (auto& [id, pending] : pending_) {
    if (pending.sentAt + kResendAfter <= now) {
      pending.redirects = 0;
      send(now, id, pending);
    }
  }
}

bool Proposer::controlReachable(Time now, Duration window) const
{
  if (lastReply_ + window > now || pending_.empty()) {
    return true;
  }
  const auto oldest =
    std::min_element(pending_.begin(), pending_.end(), [](const auto& a, const auto& b) {
      return a.second.proposedAt < b.second.proposedAt;
    });
  return oldest->second.proposedAt + window > now;
}

std::vector<Outgoing> Proposer::takeOutgoing()
{
  return std::exchange(outgoing_, {});
}

} // namespace figchute::ledger
