#pragma once

#include "ledger/Message.h"

#include <map>
#include <optional>
#include <vector>

namespace figchute::ledger {

/** Sends commands to the control VMs and resends them under the same proposal id until one of them
    answers. While none answers, only the oldest proposal is resent; the others are sent once it is
    answered. Processes that lose control together would otherwise keep it overloaded with copies of
    their proposals.
    Thread safety: use one instance from one thread only. */
class Proposer
{
public:
  /** A command that was committed and applied. */
  struct Reply
  {
    std::uint64_t proposalId = 0;
    Result result;
  };

  /** The time after which an unanswered proposal is resent for the first time. A commit normally
      takes less than 10 ms, an election about 1 s. */
  static constexpr Duration kResendAfter{ 150'000 };
  /** The longest interval between two copies of a proposal to control VMs that answer. */
  static constexpr Duration kMaxResendInterval{ 600'000 };
  /** The longest interval between two copies while no control VM answers. */
  static constexpr Duration kMaxProbeInterval{ 300'000 };

  /** @param idBase  proposal ids start above this number; the proposers of one process must use
                     distinct ranges */
  explicit Proposer(std::uint64_t idBase = 0);

  /** Replaces the list of control VMs. While it is empty, proposals are kept and not sent. */
  void setControls(std::vector<ProcessId> controls);

  /** Sets the leader that proposals are sent to first, for a process that knows it from the log. */
  void setLeader(const ProcessId& leader);

  /** Keeps a command until it is answered. Sends it at once unless control is silent.
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
    /** The control VM to which the proposal was sent last; empty before the first time. */
    ProcessId sentTo;
    Time sentAt;
    Duration resendInterval = kResendAfter;
    int redirects = 0;
  };

  /** Returns whether there are proposals and none of them was answered for kResendAfter. */
  [[nodiscard]] bool isControlSilent(Time now) const;
  void send(Time now, std::uint64_t id, PendingProposal& proposal);
  void sendProbe(Time now);
  void resendDue(Time now);
  void chooseNextControl();

  std::vector<ProcessId> controls_;
  ProcessId leader_;
  std::uint64_t lastId_;
  Time lastReply_;
  /** Sorted by age, because ids increase. */
  std::map<std::uint64_t, PendingProposal> pendingProposals_;
  Time nextProbeAt_;
  Duration probeInterval_ = kResendAfter;
  /** True when setLeader() was called after the last probe. */
  bool isLeaderUntried_ = false;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::ledger
