#pragma once

#include "control/control.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace figchute::ledger::test {

/** What the processes of a fleet did, and how its requests were decided, in some time. */
struct Tally
{
  int requests = 0;
  int admitted = 0;
  int noQuorum = 0;
  int notCovered = 0;
  int commands = 0;
  int grants = 0;
  int grantItems = 0;
  int settles = 0;
  int settleItems = 0;
  int registrations = 0;
  int repeats = 0;
  int recalls = 0;
  int transferRequests = 0;
  int transfers = 0;
  Duration longestWait{ 0 };
  /** The longest time that a proposal waited at the leader. */
  Duration longestQueueTime{ 0 };
  /** The time that the leader was busy, in total and in its longest turn of the event loop. */
  Duration busy{ 0 };
  Duration longestTurn{ 0 };
  /** The reads of an operator, and the longest time until one was answered. */
  int reads = 0;
  int failedReads = 0;
  Duration longestRead{ 0 };

  [[nodiscard]] std::string text() const
  {
    const auto ms = [](Duration duration) { return duration.count() / 1000; };
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
      ms(longestWait),
      ms(longestQueueTime),
      ms(busy),
      ms(longestTurn),
      reads,
      failedReads,
      ms(longestRead));
  }
};

/** Entry processes of a large fleet with requests of all workspaces, and a leader of the log that
    takes time for what it handles. The requests and budgets grow with the number of entry
    processes. Time is virtual; entry processes and the network take none. */
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
  static constexpr Duration kReadInterval{ 100'000 };
  static constexpr Duration kReadTimeout{ 900'000 };

  explicit LoadedFleet(std::uint64_t seed, int entries = kEntries)
    : random_(seed)
    , entries_(entries)
    , node_(nodeSettings(), now)
  {
    double weight = 0;
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      weight += std::pow(workspace + 1, -kSkew);
      cumulativeWeights_.push_back(weight);
    }
    double tokensPerSecond = 0;
    for (const auto& kind : kKinds) {
      tokensPerSecond +=
        perSecond(kind) * static_cast<double>(kind.promptTokens + kind.outputTokens);
    }
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      const auto share = std::pow(workspace + 1, -kSkew) / weight;
      const auto tokens = tokensPerSecond * share * kPlannedSeconds * kPrepaidFactor;
      budgets_.push_back({ budgetId(workspace), Tokens{ static_cast<std::int64_t>(tokens) } });
    }
    startLeader();
    startEntries();
  }

  /** Lets time pass and returns what happened meanwhile. */
  Tally run(Duration duration, bool withRequests = true)
  {
    tally_ = {};
    for (const auto end = now + duration; now < end;) {
      now = now + kMs;
      deliver();
      if (now >= nextReadAt_) {
        nextReadAt_ = now + kReadInterval;
        unstartedReads_.push_back(now);
      }
      if (now >= leaderFreeAt_) {
        runLeader();
      }
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
    return tally_;
  }

  /** While control is cut off, what is sent to it and by it is lost, and the holders know it. */
  void setControlCut(bool cut)
  {
    isCut_ = cut;
    inbox_.clear();
    arrivals_.clear();
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
    ++incarnation_;
    requests_.clear();
    ends_.clear();
    packets_.clear();
    holders_.clear();
    startEntries();
  }

  /** Returns the pairs of holders with transfers in the ledger, summed over all budgets. */
  [[nodiscard]] std::size_t transferPairs() const { return node_.state().transferPairCount(); }

  Time now{ 1'700'000'000'000'000 };

private:
  static constexpr Duration kMs{ 1000 };
  /** The time that the leader takes for what it handles, at 0.3 of a core. */
  static constexpr Duration kTimePerCommand{ 150 };
  static constexpr Duration kTimePerItem{ 6 };
  static constexpr Duration kTimePerMessage{ 15 };
  /** A sync on a slow disk and the delay to a majority. */
  static constexpr Duration kCommitDelay{ 8000 };
  static constexpr Duration kNetworkDelay{ 1000 };
  static constexpr Duration kTimerInterval{ 50'000 };
  static constexpr int kControlIndex = -1;
  static inline const ProcessId kControl{ "c" };

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

  static control::ControlNodeSettings nodeSettings()
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

  [[nodiscard]] HolderId holderId(int entry) const
  {
    return { ProcessId(fmt::format("{:04}", entry)), Incarnation{ incarnation_ } };
  }
  static ZoneId zoneOf(int entry) { return ZoneId(fmt::format("z{}", entry % 5)); }
  static BudgetId budgetId(int workspace) { return BudgetId(fmt::format("w:t/{}", workspace)); }
  [[nodiscard]] double perSecond(const RequestKind& kind) const
  {
    return kind.perSecond * entries_ / kEntries;
  }

  void startLeader()
  {
    const auto electedBy = now + 5 * std::chrono::seconds(1);
    while (!node_.isLeader(now) && now < electedBy) {
      now = now + kMs;
      node_.tick(now);
    }
    REQUIRE(node_.isLeader(now));
    bool isStored = false;
    node_.proposeLocal(now,
                       PutConfiguration{ 1, "configuration", budgets_ },
                       kReadTimeout,
                       [&isStored](const auto& result) { isStored = result.has_value(); });
    node_.tick(now);
    REQUIRE(isStored);
    static_cast<void>(node_.takeLogWork());
  }

  void startEntries()
  {
    std::vector<Peer> peers{ { { kControl, {} }, {}, false, true, true } };
    for (int entry = 0; entry < entries_; ++entry) {
      peers.push_back({ holderId(entry), zoneOf(entry), true, false, true });
    }
    for (int entry = 0; entry < entries_; ++entry) {
      holders_.push_back(
        std::make_unique<QuotaManager>(routerQuotaSettings(holderId(entry), zoneOf(entry))));
      holders_.back()->setPeers(now, peers);
      holders_.back()->setBudgets(now, budgets_);
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
      auto packet = std::move(packets_.extract(packets_.begin()).mapped());
      if (packet.to == kControlIndex) {
        noteArrival(packet);
        inbox_.push_back(std::move(packet));
        continue;
      }
      const auto from = packet.from == kControlIndex ? kControl : holderId(packet.from).process;
      holders_[static_cast<std::size_t>(packet.to)]->receive(now, from, packet.message);
      update(packet.to, true);
    }
  }

  void noteArrival(const Packet& packet)
  {
    if (const auto* propose = std::get_if<Propose>(&packet.message)) {
      const bool isNew = arrivals_.try_emplace({ packet.from, propose->proposalId }, now).second;
      tally_.repeats += isNew ? 0 : 1;
    }
  }

  /** One turn of the leader's event loop: it handles all that has arrived. */
  void runLeader()
  {
    if (inbox_.empty() && unstartedReads_.empty() && now < node_.nextTick()) {
      return;
    }
    Duration time{ 0 };
    for (const auto& packet : std::exchange(inbox_, {})) {
      time += kTimePerMessage;
      node_.receive(now,
                    holderId(packet.from).process,
                    Incarnation{ incarnation_ },
                    wire::Channel::ledger,
                    wire::encode(packet.message));
    }
    for (const auto readAt : std::exchange(unstartedReads_, {})) {
      node_.proposeLocal(now, ReadBarrier{}, kReadTimeout, [this, readAt](const auto& result) {
        tally_.failedReads += result.has_value() ? 0 : 1;
        answeredReads_.push_back(readAt);
      });
    }
    node_.tick(now);
    time += timeFor(node_.takeLogWork());
    node_.addLedgerTime(now, time);
    leaderFreeAt_ = now + time;
    tally_.busy += time;
    tally_.longestTurn = std::max(tally_.longestTurn, time);
    sendReplies(time);
    for (const auto readAt : std::exchange(answeredReads_, {})) {
      ++tally_.reads;
      tally_.longestRead = std::max(tally_.longestRead, leaderFreeAt_ + kCommitDelay - readAt);
    }
  }

  Duration timeFor(const control::LogWork& work)
  {
    Duration time{ 0 };
    for (const auto& applied : work.applied) {
      tally_.commands += static_cast<int>(applied.commands);
      time += kTimePerCommand * static_cast<std::int64_t>(applied.commands) +
              kTimePerItem * static_cast<std::int64_t>(applied.items);
    }
    const auto of = [&work](control::CommandKind kind) {
      return work.applied.at(static_cast<std::size_t>(kind));
    };
    tally_.grants += static_cast<int>(of(control::CommandKind::grant).commands);
    tally_.grantItems += static_cast<int>(of(control::CommandKind::grant).items);
    tally_.settles += static_cast<int>(of(control::CommandKind::settle).commands);
    tally_.settleItems += static_cast<int>(of(control::CommandKind::settle).items);
    tally_.registrations += static_cast<int>(of(control::CommandKind::registration).commands);
    return time;
  }

  void sendReplies(Duration turnTime)
  {
    for (const auto& outgoing : node_.takeOutgoing()) {
      if (outgoing.to == kControl) {
        continue; // The result of a read that was given up.
      }
      const auto message = wire::decode<Message>(outgoing.body);
      REQUIRE(message.has_value());
      if (const auto* reply = std::get_if<ProposeReply>(&*message)) {
        const auto arrival = arrivals_.find({ std::stoi(outgoing.to.value), reply->proposalId });
        if (arrival != arrivals_.end()) {
          tally_.longestQueueTime = std::max(tally_.longestQueueTime, now - arrival->second);
          arrivals_.erase(arrival);
        }
      }
      tally_.recalls += std::holds_alternative<Recall>(*message) ? 1 : 0;
      send(kControlIndex, { outgoing.to, *message }, turnTime + kCommitDelay);
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
    const auto point = random_.unit() * cumulativeWeights_.back();
    const auto workspace = static_cast<int>(
      std::lower_bound(cumulativeWeights_.begin(), cumulativeWeights_.end(), point) -
      cumulativeWeights_.begin());
    const RequestId id(std::to_string(++lastRequest_));
    const Tokens bound{ kind.promptTokens + kind.outputTokens };
    requests_[id] = { entry, bound, now, kind.duration };
    ++tally_.requests;
    const auto budget = budgetId(workspace);
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
  std::uint64_t incarnation_ = 1;
  std::vector<double> cumulativeWeights_;
  std::vector<PrepaidBudget> budgets_;
  control::ControlNode node_;
  std::vector<std::unique_ptr<QuotaManager>> holders_;
  std::multimap<Time, Packet> packets_;
  /** Messages to the leader that it has not read yet. */
  std::vector<Packet> inbox_;
  /** When each unanswered proposal arrived first, by its sender and its id. */
  std::map<std::pair<int, std::uint64_t>, Time> arrivals_;
  std::vector<Time> unstartedReads_;
  std::vector<Time> answeredReads_;
  Time nextReadAt_;
  std::map<RequestId, Request> requests_;
  std::multimap<Time, RequestId> ends_;
  std::uint64_t lastRequest_ = 0;
  Time leaderFreeAt_;
  bool isCut_ = false;
  Tally tally_;
};

} // namespace figchute::ledger::test
