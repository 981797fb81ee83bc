#pragma once

#include "ledger/Message.h"

#include <map>
#include <optional>
#include <vector>

namespace figchute::ledger {

/** Sends commands to the control VMs and resends them under the same proposal id until one of them
    answers. Thread safety: use one instance from one thread only. */
class Proposer
{
public:
  /** A command that was committed and applied. */
  struct Reply
  {
    std::uint64_t proposalId = 0;
    Result result;
  };

  /** The time after which an unanswered proposal is sent to the next control VM. A commit normally
      takes less than 10 ms, an election about 1 s. */
  static constexpr Duration kResendAfter{ 150'000 };

  /** @param idBase  proposal ids start above this number; the proposers of one process must use
                     distinct ranges */
  explicit Proposer(std::uint64_t idBase = 0);

  /** Replaces the list of control VMs. While it is empty, proposals are kept and not sent. */
  void setControls(std::vector<ProcessId> controls);

  /** Sets the leader that proposals are sent to first, for a process that knows it from the log. */
  void setLeader(const ProcessId& leader) { leader_ = leader; }

  /** Sends a command and keeps it until it is answered.
      @returns the proposal id of the later Reply */
  std::uint64_t propose(Time now, const Command& command);

  /** Stops resending a proposal. Its command may still be committed. */
  void abandon(std::uint64_t proposalId);

  /** Handles an answer.
      @returns the result when the proposal was committed; nothing for a redirect, an unknown
      proposal id, a duplicate answer or a result that cannot be decoded */
  std::optional<Reply> receive(Time now, const ProcessId& from, const ProposeReply& reply);

  /** Resends unanswered proposals that are due. */
  void tick(Time now);

  /** Returns whether a proposal was answered within the last @p window or no unanswered proposal is
      older than that. */
  [[nodiscard]] bool isControlReachable(Time now, Duration window) const;

  /** Returns the number of unanswered proposals. */
  [[nodiscard]] std::size_t pendingCount() const { return pendingProposals_.size(); }

  /** Returns and clears the messages to send. */
  std::vector<OutgoingMessage> takeOutgoing();

private:
  struct PendingProposal
  {
    std::string command;
    Time proposedAt;
    Time sentAt;
    int redirects = 0;
  };

  void send(Time now, std::uint64_t id, PendingProposal& proposal);
  void chooseNextControl();

  std::vector<ProcessId> controls_;
  ProcessId leader_;
  std::uint64_t lastId_;
  Time lastReply_;
  std::map<std::uint64_t, PendingProposal> pendingProposals_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::ledger
