#pragma once

#include "QueueLeader.h"

#include <array>
#include <doctest/doctest.h>
#include <map>

namespace figchute::ledger::test {

/** What the processes of a fleet did, and how its requests were decided, in some time. */
struct Tally : LeaderCounts
{
  int requests = 0;
  int admitted = 0;
  int noQuorum = 0;
  int notCovered = 0;
  int transferRequests = 0;
  int transfers = 0;
  Duration longestWait{ 0 };

  [[nodiscard]] std::string text() const
  {
    return fmt::format(
      "requests {} admitted {} 503 {} 402 {} | commands {} grants {}/{} settles {}/{} "
      "registrations {} repeats {} recalls {} | transfer requests {} transfers {} | longest wait "
      "{} ms, queue {} ms, busy {} ms, turn {} ms | reads {}, failed {}, longest {} ms",
      requests,
      admitted,
      noQuorum,
      notCovered,
      commands,
      grants,
      grantItems,
      settles,
      settleItems,
      registrations,
      repeats,
      recalls,
      transferRequests,
      transfers,
      toMillis(longestWait),
      toMillis(longestQueueTime),
      toMillis(busy),
      toMillis(longestTurn),
      reads,
      failedReads,
      toMillis(longestRead));
  }
};

/** Entry processes of a large fleet with requests of all workspaces, and a leader of the log that
    takes time for what it handles. The requests and budgets grow with the number of entry
    processes. Time is virtual; entry processes and the network take none.
    @tparam Leader  QueueLeader or NodeLeader */
template<typename Leader>
class LoadedFleet
{
public:
  static constexpr int kWorkspaces = 40;
  static constexpr double kSkew = 1.2;
  /** The budgets cover this multiple of the usage of so many seconds. */
  static constexpr double kPrepaidFactor = 1.3;
  static constexpr double kPlannedSeconds = 34;
  /** The number of entry processes of the deployment whose rates of requests kKinds has. */
  static constexpr int kEntries = 295;

  explicit LoadedFleet(std::uint64_t seed, int entries = kEntries)
    : random_(seed)
    , entries_(entries)
  {
    double tokensPerSecond = 0;
    for (const auto& kind : kKinds) {
      tokensPerSecond +=
        perSecond(kind) * static_cast<double>(kind.promptTokens + kind.outputTokens);
    }
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      const auto tokens =
        tokensPerSecond * workspaces_.share(workspace) * kPlannedSeconds * kPrepaidFactor;
      budgets_.push_back({ budgetId(workspace), Tokens{ static_cast<std::int64_t>(tokens) } });
    }
    now = leader_.start(now, budgets_);
    startEntries();
  }

  /** Lets time pass and returns what happened meanwhile. */
  Tally run(Duration duration, bool withRequests = true)
  {
    tally_ = {};
    for (const auto end = now + duration; now < end;) {
      now = now + kMs;
      deliver();
      leader_.run(now);
      sendFromLeader();
      if (withRequests) {
        arrive();
      }
      finish();
      if (now.micros % kTimerInterval.count() == 0) {
        for (int entry = 0; entry < entries_; ++entry) {
          update(entry, true);
        }
      }
    }
    static_cast<LeaderCounts&>(tally_) = leader_.takeCounts();
    return tally_;
  }

  /** While control is cut off, what is sent to it and by it is lost, and the holders know it. */
  void setControlCut(bool cut)
  {
    isCut_ = cut;
    leader_.clear(now);
    std::erase_if(packets_, [](const auto& packet) {
      return packet.second.from == kControlIndex || packet.second.to == kControlIndex;
    });
    for (auto& holder : holders_) {
      holder->setControlLost(cut);
    }
  }

  /** Ends all entry processes with their requests and starts them again. */
  void restartEntries()
  {
    ++incarnation_.number;
    requests_.clear();
    ends_.clear();
    packets_.clear();
    startEntries();
  }

  /** Returns the pairs of holders with transfers in the ledger, summed over all budgets. */
  [[nodiscard]] std::size_t transferPairs() const { return leader_.state().transferPairCount(); }

  Time now{ 1'700'000'000'000'000 };

private:
  static constexpr Duration kMs{ 1000 };
  static constexpr Duration kNetworkDelay{ 1000 };
  static constexpr Duration kTimerInterval{ 50'000 };
  static constexpr int kZones = 5;
  static constexpr int kControlIndex = -1;

  /** A kind of requests of the large deployment. */
  struct RequestKind
  {
    double perSecond;
    std::int64_t promptTokens;
    std::int64_t outputTokens;
    Duration duration;
  };

  static constexpr std::array kKinds = {
    RequestKind{ 242, 11'992, 384, 2400 * kMs },
    RequestKind{ 296, 826, 288, 1500 * kMs },
    RequestKind{ 448, 2'368, 32, 300 * kMs },
  };

  struct Packet
  {
    int from;
    int to;
    Message message;
  };

  struct Request
  {
    int entry;
    Tokens bound;
    Time arrivedAt;
    Duration duration;
  };

  [[nodiscard]] double perSecond(const RequestKind& kind) const
  {
    return kind.perSecond * entries_ / kEntries;
  }

  void startEntries()
  {
    holders_ = makeHolders(now, entries_, kZones, incarnation_);
    for (auto& holder : holders_) {
      holder->setBudgets(now, budgets_);
    }
  }

  void send(int from, const OutgoingMessage& outgoing, Duration extraDelay = Duration{ 0 })
  {
    const int to = outgoing.to == kControl ? kControlIndex : std::stoi(outgoing.to.value);
    tally_.transferRequests += std::holds_alternative<TransferRequest>(outgoing.message) ? 1 : 0;
    tally_.transfers += std::holds_alternative<Transfer>(outgoing.message) ? 1 : 0;
    if (!isCut_ || (from != kControlIndex && to != kControlIndex)) {
      packets_.emplace(now + kNetworkDelay + extraDelay, Packet{ from, to, outgoing.message });
    }
  }

  void sendFromLeader()
  {
    for (const auto& [message, delay] : leader_.takeOutgoing()) {
      send(kControlIndex, message, delay);
    }
  }

  void update(int entry, bool isTick = false)
  {
    auto& holder = *holders_[static_cast<std::size_t>(entry)];
    if (isTick) {
      holder.tick(now);
    }
    for (const auto& decision : holder.takeDecisions()) {
      decide(decision);
    }
    for (const auto& outgoing : holder.takeOutgoing()) {
      send(entry, outgoing);
    }
  }

  void deliver()
  {
    while (!packets_.empty() && packets_.begin()->first <= now) {
      const auto packet = std::move(packets_.extract(packets_.begin()).mapped());
      if (packet.to == kControlIndex) {
        leader_.receive(now, holderId(packet.from, incarnation_), packet.message);
        sendFromLeader();
        continue;
      }
      const auto from = packet.from == kControlIndex ? kControl : holderId(packet.from).process;
      holders_[static_cast<std::size_t>(packet.to)]->receive(now, from, packet.message);
      update(packet.to, true);
    }
  }

  void arrive()
  {
    for (const auto& kind : kKinds) {
      for (auto rate = perSecond(kind) / 1000; rate > 0; rate -= 1) {
        if (random_.chance(std::min(rate, 1.0))) {
          submit(kind);
        }
      }
    }
  }

  void submit(const RequestKind& kind)
  {
    const auto entry = static_cast<int>(random_.below(static_cast<std::uint64_t>(entries_)));
    const auto budget = budgetId(workspaces_.pick(random_));
    const RequestId id(std::to_string(++lastRequest_));
    const Tokens bound{ kind.promptTokens + kind.outputTokens };
    requests_[id] = { entry, bound, now, kind.duration };
    ++tally_.requests;
    decide(holders_[static_cast<std::size_t>(entry)]->reserve(
      now, id, std::nullopt, { &budget, 1 }, bound));
    update(entry);
  }

  void decide(const Decision& decision)
  {
    const auto request = requests_.find(decision.request);
    if (decision.status == ReserveStatus::waiting || request == requests_.end()) {
      return;
    }
    tally_.longestWait = std::max(tally_.longestWait, now - request->second.arrivedAt);
    if (decision.status == ReserveStatus::admitted) {
      ++tally_.admitted;
      ends_.emplace(now + request->second.duration, decision.request);
      return;
    }
    const bool notCovered = decision.error->kind == ErrorKind::budgetExhausted;
    ++(notCovered ? tally_.notCovered : tally_.noQuorum);
    requests_.erase(request);
  }

  void finish()
  {
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const auto id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const auto request = requests_.at(id);
      requests_.erase(id);
      CHECK(holders_[static_cast<std::size_t>(request.entry)]
              ->charge(now, id, request.bound)
              .has_value());
      update(request.entry);
    }
  }

  Random random_;
  int entries_;
  Incarnation incarnation_{ 1 };
  SkewedWorkspaces workspaces_{ kWorkspaces, kSkew };
  std::vector<PrepaidBudget> budgets_;
  Leader leader_;
  std::vector<std::unique_ptr<QuotaManager>> holders_;
  std::multimap<Time, Packet> packets_;
  std::map<RequestId, Request> requests_;
  std::multimap<Time, RequestId> ends_;
  std::uint64_t lastRequest_ = 0;
  bool isCut_ = false;
  Tally tally_;
};

} // namespace figchute::ledger::test
