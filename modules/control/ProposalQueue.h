#pragma once

#include "core/core.h"

#include <cstdint>
#include <deque>
#include <set>
#include <string>
#include <utility>

namespace figchute::control {

/** A proposal that waits until the leader appends it to the log. */
struct QueuedProposal
{
  ProcessId from;
  std::uint64_t proposalId = 0;
  /** An encoded ledger::Command. */
  std::string command;
  Time receivedAt;
};

/** The proposals of holders that a leader has not appended to the log yet, the oldest first.
    Thread safety: use one instance from one thread only. */
class ProposalQueue
{
public:
  /** Adds a proposal.
      Precondition: contains() is false for it. */
  void push(QueuedProposal proposal);

  /** Removes and returns the oldest proposal.
      Precondition: empty() is false. */
  QueuedProposal pop();

  /** Removes and returns all proposals. */
  std::deque<QueuedProposal> takeAll();

  [[nodiscard]] bool contains(const ProcessId& from, std::uint64_t proposalId) const;
  /** Returns how long the oldest proposal has waited; 0 if there is none. */
  [[nodiscard]] Duration age(Time now) const;
  [[nodiscard]] bool empty() const { return proposals_.empty(); }
  [[nodiscard]] std::size_t size() const { return proposals_.size(); }

private:
  std::deque<QueuedProposal> proposals_;
  std::set<std::pair<ProcessId, std::uint64_t>> ids_;
};

} // namespace figchute::control
