#pragma once

#include "ledger/Message.h"

#include <map>
#include <optional>
#include <vector>

namespace figchute::ledger {

/** Sends commands to the control VMs and sends them again, under the same proposal id, until one
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

  /** Time after which an unanswered proposal is sent to the next control VM. An ordinary commit
     takes below 10 ms and an election about 1 s. */
  static constexpr Duration kResendAfter{ 150'000 };

  /** @param idBase  the proposal ids start above it; proposers of one process use distinct ranges
   */
  explicit Proposer(std::uint64_t idBase = 0);

  /** Replaces the list of control VMs. Proposals wait while it is empty. */
  void setControls(std::vector<ProcessId> controls);

  /** Names the leader that proposals go to first, when the process knows it from the log. */
  void setLeader(const ProcessId& leader) { leader_ = leader; }

  /** Sends a command and keeps it until it is answered.
      @returns the proposal id that the Reply will carry */
  std::uint64_t propose(Time now, const Command& command);

  /** Stops resending a proposal. The command may still be committed. */
  void abandon(std::uint64_t proposalId);

  /** Handles an answer.
      @returns the result when the proposal was committed; nothing for a redirect, an unknown id, a
      duplicate or a result that cannot be decoded */
  std::optional<Reply> receive(Time now, const ProcessId& from, const ProposeReply& reply);

  /** Sends unanswered proposals again. */
  void tick(Time now);

  /** Tells whether a proposal was answered within the last @p window, or none is older than it. */
  [[nodiscard]] bool controlReachable(Time now, Duration window) const;

  /** Returns the number of unanswered proposals. */
  [[nodiscard]] std::size_t pending() const { return pending_.size(); }

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing();

private:
  struct Pending
  {
    std::string command;
    Time proposedAt;
    Time sentAt;
    int redirects = 0;
  };

  void send(Time now, std::uint64_t id, Pending& pending);
  void chooseNextControl();

  std::vector<ProcessId> controls_;
  ProcessId leader_;
  std::uint64_t lastId_;
  Time lastReply_;
  std::map<std::uint64_t, Pending> pending_;
  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::ledger
