#pragma once

#include "HolderFleet.h"

#include <deque>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace figchute::ledger::test {

/** What a leader of the log did in some time. */
struct LeaderCounts
{
  int commands = 0;
  int grants = 0;
  int grantItems = 0;
  int settles = 0;
  int settleItems = 0;
  int registrations = 0;
  int repeats = 0;
  int recalls = 0;
  /** The longest time that a proposal waited at the leader. */
  Duration longestQueueTime{ 0 };
  /** The time that the leader was busy, in total and in its longest turn of the event loop. */
  Duration busy{ 0 };
  Duration longestTurn{ 0 };
  /** The reads of an operator, and the longest time until one was answered. */
  int reads = 0;
  int failedReads = 0;
  Duration longestRead{ 0 };
};

/** The time that a leader takes for what it handles, at 0.3 of a core. */
constexpr Duration kTimePerCommand{ 150 };
constexpr Duration kTimePerItem{ 6 };
constexpr Duration kTimePerMessage{ 15 };

/** A message of the leader, and its delay beside that of the network. */
struct DelayedMessage
{
  OutgoingMessage message;
  Duration delay{ 0 };
};

/** A leader of the log that handles one proposal after the other and takes time for each. Nothing
    limits its queue. Time is virtual. */
class QueueLeader
{
public:
  /** @param commitDelay  the time of a sync and of the delay to a majority */
  explicit QueueLeader(Duration commitDelay = Duration{ 8000 })
    : commitDelay_(commitDelay)
  {
  }

  /** Starts with the budgets of a configuration. Returns the time at which the leader is ready. */
  Time start(Time now, const std::vector<PrepaidBudget>& budgets)
  {
    configure(now, 1, budgets);
    return now;
  }

  /** Puts the budgets of a configuration in force. */
  void configure(Time now, std::uint64_t version, const std::vector<PrepaidBudget>& budgets)
  {
    control_.apply(++index_, now, PutConfiguration{ version, "configuration", budgets });
  }

  void receive(Time now, const HolderId& from, const Message& message)
  {
    if (const auto* request = std::get_if<ClockRequest>(&message)) {
      outgoing_.push_back(
        { { from.process, ClockReply{ request->holder, ClockReading{ 1, now } } } });
    }
    const auto* propose = std::get_if<Propose>(&message);
    if (propose == nullptr) {
      return;
    }
    if (!queued_.insert({ from.process, propose->proposalId }).second) {
      ++counts_.repeats;
      use(now, kTimePerMessage);
      return;
    }
    queue_.push_back({ from.process, now, *propose });
  }

  /** Handles what the leader has time for. Call it each millisecond. */
  void run(Time now)
  {
    while (!queue_.empty() && freeAt_ <= now) {
      const auto proposal = std::move(queue_.front());
      queue_.pop_front();
      queued_.erase({ proposal.from, proposal.propose.proposalId });
      counts_.longestQueueTime = std::max(counts_.longestQueueTime, now - proposal.arrivedAt);
      count(now, *wire::decode<Command>(proposal.propose.command));
      auto result = control_.applyEncoded(++index_, now, proposal.propose.command);
      outgoing_.push_back({ { proposal.from,
                              ProposeReply{ proposal.propose.proposalId,
                                            true,
                                            kControl,
                                            std::move(*result),
                                            ClockReading{ 1, now } } },
                            commitDelay_ });
      for (const auto& outgoing : control_.takeOutgoing()) {
        ++counts_.recalls;
        use(now, kTimePerMessage);
        outgoing_.push_back({ outgoing, commitDelay_ });
      }
    }
  }

  /** Loses all that waits, as a new leader that starts with an empty queue. */
  void clear(Time now)
  {
    queue_.clear();
    queued_.clear();
    freeAt_ = now;
  }

  std::vector<DelayedMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }
  LeaderCounts takeCounts() { return std::exchange(counts_, {}); }
  [[nodiscard]] const ControlState& state() const { return control_; }

private:
  struct QueuedProposal
  {
    ProcessId from;
    Time arrivedAt;
    Propose propose;
  };

  static constexpr Duration kMillisecond{ 1000 };

  void use(Time now, Duration time)
  {
    freeAt_ = std::max(freeAt_, now - kMillisecond) + time;
    counts_.busy += time;
  }

  void count(Time now, const Command& command)
  {
    ++counts_.commands;
    std::size_t items = 0;
    if (const auto* grant = std::get_if<Grant>(&command)) {
      items = grant->items.size();
      ++counts_.grants;
      counts_.grantItems += static_cast<int>(items);
    } else if (const auto* settle = std::get_if<Settle>(&command)) {
      items = settle->totals.size();
      ++counts_.settles;
      counts_.settleItems += static_cast<int>(items);
    }
    use(now, kTimePerCommand + static_cast<std::int64_t>(items) * kTimePerItem);
  }

  Duration commitDelay_;
  ControlState control_;
  std::uint64_t index_ = 0;
  std::deque<QueuedProposal> queue_;
  std::set<std::pair<ProcessId, std::uint64_t>> queued_;
  Time freeAt_;
  std::vector<DelayedMessage> outgoing_;
  LeaderCounts counts_;
};

} // namespace figchute::ledger::test
