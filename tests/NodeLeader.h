#pragma once

#include "control/control.h"
#include "QueueLeader.h"

#include <doctest/doctest.h>
#include <map>

namespace figchute::ledger::test {

/** A ControlNode that leads the log alone and takes time for each turn of its event loop. An
    operator reads from it all the time. Time is virtual. */
class NodeLeader
{
public:
  static constexpr Duration kReadInterval{ 100'000 };
  static constexpr Duration kReadTimeout{ 900'000 };

  /** Starts with the budgets of a configuration. Returns the time at which the leader is ready. */
  Time start(Time now, const std::vector<PrepaidBudget>& budgets)
  {
    node_ = std::make_unique<control::ControlNode>(settings(), now);
    const auto electedBy = now + 5 * std::chrono::seconds(1);
    while (!node_->isLeader(now) && now < electedBy) {
      now = now + kMillisecond;
      node_->tick(now);
    }
    REQUIRE(node_->isLeader(now));
    bool isStored = false;
    node_->proposeLocal(now,
                        PutConfiguration{ 1, "configuration", budgets },
                        kReadTimeout,
                        [&isStored](const auto& result) { isStored = result.has_value(); });
    node_->tick(now);
    REQUIRE(isStored);
    static_cast<void>(node_->takeLogWork());
    return now;
  }

  void receive(Time now, const HolderId& from, const Message& message)
  {
    if (const auto* propose = std::get_if<Propose>(&message)) {
      const bool isNew = arrivals_.try_emplace({ from.process, propose->proposalId }, now).second;
      counts_.repeats += isNew ? 0 : 1;
    }
    inbox_.push_back({ from, message });
  }

  /** Runs a turn of the event loop unless the last one still takes time. Call it each millisecond.
   */
  void run(Time now)
  {
    if (now >= nextReadAt_) {
      nextReadAt_ = now + kReadInterval;
      unstartedReads_.push_back(now);
    }
    if (now >= freeAt_) {
      runTurn(now);
    }
  }

  /** Loses the messages that it has not read yet. */
  void clear(Time /*now*/)
  {
    inbox_.clear();
    arrivals_.clear();
  }

  std::vector<DelayedMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }
  LeaderCounts takeCounts() { return std::exchange(counts_, {}); }
  [[nodiscard]] const ControlState& state() const { return node_->state(); }

private:
  /** A data folder that keeps nothing: the leader is never restarted. */
  class NoDataFolder final : public control::DataFolder
  {
  public:
    Expected<replication::RecoveredState> recover(std::string_view newDiskId) override
    {
      replication::RecoveredState state;
      state.diskId = newDiskId;
      return state;
    }
    Expected<void> save(const replication::Ready& /*ready*/) override { return {}; }
    Expected<control::Origin> readOrigin() override { return fail(ErrorKind::notFound, "new"); }
    Expected<void> writeOrigin(const control::Origin& /*origin*/) override { return {}; }
  };

  struct ReceivedMessage
  {
    HolderId from;
    Message message;
  };

  static constexpr Duration kMillisecond{ 1000 };
  /** A sync on a slow disk and the delay to a majority. */
  static constexpr Duration kCommitDelay{ 8000 };

  static control::ControlNodeSettings settings()
  {
    control::ControlNodeSettings settings;
    settings.self = kControl;
    settings.seeds = { kControl };
    settings.bootstrap = true;
    settings.openDataFolder = []() -> Expected<std::unique_ptr<control::DataFolder>> {
      return std::make_unique<NoDataFolder>();
    };
    return settings;
  }

  /** One turn of the event loop: it handles all that has arrived. */
  void runTurn(Time now)
  {
    if (inbox_.empty() && unstartedReads_.empty() && now < node_->nextTick()) {
      return;
    }
    Duration time{ 0 };
    for (const auto& [from, message] : std::exchange(inbox_, {})) {
      time += kTimePerMessage;
      node_->receive(
        now, from.process, from.incarnation, wire::Channel::ledger, wire::encode(message));
    }
    for (const auto readAt : std::exchange(unstartedReads_, {})) {
      node_->proposeLocal(now, ReadBarrier{}, kReadTimeout, [this, readAt](const auto& result) {
        counts_.failedReads += result.has_value() ? 0 : 1;
        answeredReads_.push_back(readAt);
      });
    }
    node_->tick(now);
    time += timeFor(node_->takeLogWork());
    node_->addLedgerTime(now, time);
    freeAt_ = now + time;
    counts_.busy += time;
    counts_.longestTurn = std::max(counts_.longestTurn, time);
    sendReplies(now, time);
    for (const auto readAt : std::exchange(answeredReads_, {})) {
      ++counts_.reads;
      counts_.longestRead = std::max(counts_.longestRead, freeAt_ + kCommitDelay - readAt);
    }
  }

  Duration timeFor(const control::LogWork& work)
  {
    Duration time{ 0 };
    for (const auto& applied : work.applied) {
      counts_.commands += static_cast<int>(applied.commands);
      time += kTimePerCommand * static_cast<std::int64_t>(applied.commands) +
              kTimePerItem * static_cast<std::int64_t>(applied.items);
    }
    const auto of = [&work](control::CommandKind kind) {
      return work.applied.at(static_cast<std::size_t>(kind));
    };
    counts_.grants += static_cast<int>(of(control::CommandKind::grant).commands);
    counts_.grantItems += static_cast<int>(of(control::CommandKind::grant).items);
    counts_.settles += static_cast<int>(of(control::CommandKind::settle).commands);
    counts_.settleItems += static_cast<int>(of(control::CommandKind::settle).items);
    counts_.registrations += static_cast<int>(of(control::CommandKind::registration).commands);
    return time;
  }

  void sendReplies(Time now, Duration turnTime)
  {
    for (const auto& outgoing : node_->takeOutgoing()) {
      if (outgoing.to == kControl) {
        continue; // The result of a read that was given up.
      }
      const auto message = wire::decode<Message>(outgoing.body);
      REQUIRE(message.has_value());
      if (const auto* reply = std::get_if<ProposeReply>(&*message)) {
        const auto arrival = arrivals_.find({ outgoing.to, reply->proposalId });
        if (arrival != arrivals_.end()) {
          counts_.longestQueueTime = std::max(counts_.longestQueueTime, now - arrival->second);
          arrivals_.erase(arrival);
        }
      }
      counts_.recalls += std::holds_alternative<Recall>(*message) ? 1 : 0;
      outgoing_.push_back({ { outgoing.to, *message }, turnTime + kCommitDelay });
    }
  }

  std::unique_ptr<control::ControlNode> node_;
  /** Messages that the leader has not read yet. */
  std::vector<ReceivedMessage> inbox_;
  /** When each unanswered proposal arrived first, by its sender and its id. */
  std::map<std::pair<ProcessId, std::uint64_t>, Time> arrivals_;
  std::vector<Time> unstartedReads_;
  std::vector<Time> answeredReads_;
  Time nextReadAt_;
  Time freeAt_;
  std::vector<DelayedMessage> outgoing_;
  LeaderCounts counts_;
};

} // namespace figchute::ledger::test
