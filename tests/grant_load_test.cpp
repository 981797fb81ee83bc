#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ledger/ledger.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <map>
#include <memory>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::ledger;

namespace {

constexpr Duration kMs{ 1000 };
constexpr Duration kSecond{ 1'000'000 };

/** The time that the leader takes for what it handles, at 0.3 of a core. */
constexpr Duration kTimePerProposal{ 150 };
constexpr Duration kTimePerItem{ 6 };
constexpr Duration kTimePerRepeat{ 15 };
constexpr Duration kTimePerRecall{ 15 };
/** A sync on a slow disk and the delay to a majority. */
constexpr Duration kCommitDelay{ 8000 };
constexpr Duration kNetworkDelay{ 1000 };
constexpr Duration kTimerInterval{ 50'000 };

/** What the processes of a fleet sent, and how its requests were decided, in some time. */
struct Tally
{
  int requests = 0;
  int admitted = 0;
  int noQuorum = 0;
  int notCovered = 0;
  int grants = 0;
  int grantItems = 0;
  int settles = 0;
  int repeats = 0;
  int recalls = 0;
  int transferRequests = 0;
  int transfers = 0;
  Duration longestWait{ 0 };
  /** The longest time that a proposal waited at the leader. */
  Duration longestQueueTime{ 0 };
  /** The time that the leader was busy. */
  Duration busy{ 0 };

  [[nodiscard]] std::string text() const
  {
    return fmt::format(
      "requests {} admitted {} 503 {} 402 {} | grants {} items {} settles {} repeats {} recalls {} "
      "| transfer requests {} transfers {} | longest wait {} "
      "ms, queue {} ms, busy {} ms",
      requests,
      admitted,
      noQuorum,
      notCovered,
      grants,
      grantItems,
      settles,
      repeats,
      recalls,
      transferRequests,
      transfers,
      longestWait.count() / 1000,
      longestQueueTime.count() / 1000,
      busy.count() / 1000);
  }
};

/** A kind of requests of the large deployment. */
struct RequestKind
{
  double perSecond;
  std::int64_t promptTokens;
  std::int64_t outputTokens;
  Duration duration;
};

constexpr std::array kKinds = {
  RequestKind{ 242, 11'992, 384, 2400 * kMs },
  RequestKind{ 296, 826, 288, 1500 * kMs },
  RequestKind{ 448, 2'368, 32, 300 * kMs },
};

/** Entry processes of a large fleet with requests of all workspaces, and one leader of the log that
    takes time for each proposal. Time is virtual; entry processes and the network take none. */
class LoadedFleet
{
public:
  static constexpr int kEntries = 295;
  static constexpr int kWorkspaces = 40;
  static constexpr double kSkew = 1.2;
  /** The budgets cover this multiple of the usage of so many seconds. */
  static constexpr double kPrepaidFactor = 1.3;
  static constexpr double kPlannedSeconds = 34;

  explicit LoadedFleet(std::uint64_t seed)
    : random_(seed)
  {
    double weight = 0;
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      weight += std::pow(workspace + 1, -kSkew);
      cumulativeWeights_.push_back(weight);
    }
    double tokensPerSecond = 0;
    for (const auto& kind : kKinds) {
      tokensPerSecond +=
        kind.perSecond * static_cast<double>(kind.promptTokens + kind.outputTokens);
    }
    std::vector<PrepaidBudget> budgets;
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      const auto share = std::pow(workspace + 1, -kSkew) / weight;
      const auto tokens = tokensPerSecond * share * kPlannedSeconds * kPrepaidFactor;
      budgets.push_back({ budgetId(workspace), Tokens{ static_cast<std::int64_t>(tokens) } });
    }
    control_.apply(++index_, now, PutConfiguration{ 1, "configuration", budgets });
    std::vector<Peer> peers{ { { kControl, {} }, {}, false, true, true } };
    for (int entry = 0; entry < kEntries; ++entry) {
      peers.push_back({ holderId(entry), zoneOf(entry), true, false, true });
    }
    for (int entry = 0; entry < kEntries; ++entry) {
      holders_.push_back(
        std::make_unique<QuotaManager>(routerQuotaSettings(holderId(entry), zoneOf(entry))));
      holders_.back()->setPeers(now, peers);
      holders_.back()->setBudgets(now, budgets);
    }
  }

  /** Lets time pass and returns what happened meanwhile. */
  Tally run(Duration duration, bool withRequests = true)
  {
    tally_ = {};
    for (const auto end = now + duration; now < end;) {
      now = now + kMs;
      deliver();
      serve();
      if (withRequests) {
        arrive();
      }
      finish();
      if (now.micros % kTimerInterval.count() == 0) {
        for (int entry = 0; entry < kEntries; ++entry) {
          update(entry);
        }
      }
    }
    return tally_;
  }

  /** While the leader is down, it loses what is sent to it. The next one starts with an empty
      queue. */
  void setLeaderDown(bool down)
  {
    leaderDown_ = down;
    queue_.clear();
    queued_.clear();
    leaderFreeAt_ = now;
    for (auto& holder : holders_) {
      holder->setControlLost(down);
    }
  }

  Time now{ 1'700'000'000'000'000 };

private:
  struct Packet
  {
    int from;
    int to;
    Message message;
  };

  struct QueuedProposal
  {
    int from;
    Time arrivedAt;
    Propose propose;
  };

  struct Request
  {
    int entry;
    Tokens bound;
    Time arrivedAt;
    Duration duration;
  };

  static constexpr int kControlIndex = kEntries;
  static inline const ProcessId kControl{ "c" };

  static HolderId holderId(int entry)
  {
    return { ProcessId(fmt::format("{:03}", entry)), Incarnation{ 1 } };
  }
  static ZoneId zoneOf(int entry) { return ZoneId(fmt::format("z{}", entry % 5)); }
  static BudgetId budgetId(int workspace) { return BudgetId(fmt::format("w:t/{}", workspace)); }
  static ProcessId processOf(int index)
  {
    return index == kControlIndex ? kControl : holderId(index).process;
  }

  void send(int from, const OutgoingMessage& outgoing, Duration extraDelay = Duration{ 0 })
  {
    const int to = outgoing.to == kControl ? kControlIndex : std::stoi(outgoing.to.value);
    packets_.emplace(now + kNetworkDelay + extraDelay, Packet{ from, to, outgoing.message });
    tally_.transferRequests += std::holds_alternative<TransferRequest>(outgoing.message) ? 1 : 0;
    tally_.transfers += std::holds_alternative<Transfer>(outgoing.message) ? 1 : 0;
  }

  void update(int entry)
  {
    auto& holder = *holders_[static_cast<std::size_t>(entry)];
    holder.tick(now);
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
      if (packet.to != kControlIndex) {
        holders_[static_cast<std::size_t>(packet.to)]->receive(
          now, processOf(packet.from), packet.message);
        update(packet.to);
      } else if (!leaderDown_) {
        receiveAtControl(packet);
      }
    }
  }

  void receiveAtControl(const Packet& packet)
  {
    if (const auto* request = std::get_if<ClockRequest>(&packet.message)) {
      send(kControlIndex,
           { processOf(packet.from), ClockReply{ request->holder, ClockReading{ 1, now } } });
    }
    const auto* propose = std::get_if<Propose>(&packet.message);
    if (propose == nullptr) {
      return;
    }
    if (!queued_.insert({ packet.from, propose->proposalId }).second) {
      ++tally_.repeats;
      use(kTimePerRepeat);
      return;
    }
    queue_.push_back({ packet.from, now, *propose });
  }

  void use(Duration time)
  {
    leaderFreeAt_ = std::max(leaderFreeAt_, now - kMs) + time;
    tally_.busy += time;
  }

  void serve()
  {
    while (!queue_.empty() && leaderFreeAt_ <= now) {
      const auto proposal = std::move(queue_.front());
      queue_.pop_front();
      queued_.erase({ proposal.from, proposal.propose.proposalId });
      tally_.longestQueueTime = std::max(tally_.longestQueueTime, now - proposal.arrivedAt);
      count(*wire::decode<Command>(proposal.propose.command));
      auto result = control_.applyEncoded(++index_, now, proposal.propose.command);
      send(kControlIndex,
           { processOf(proposal.from),
             ProposeReply{ proposal.propose.proposalId,
                           true,
                           kControl,
                           std::move(*result),
                           ClockReading{ 1, now } } },
           kCommitDelay);
      for (const auto& outgoing : control_.takeOutgoing()) {
        ++tally_.recalls;
        use(kTimePerRecall);
        send(kControlIndex, outgoing, kCommitDelay);
      }
    }
  }

  void count(const Command& command)
  {
    std::size_t items = 0;
    if (const auto* grant = std::get_if<Grant>(&command)) {
      items = grant->items.size();
      ++tally_.grants;
      tally_.grantItems += static_cast<int>(items);
    } else if (const auto* settle = std::get_if<Settle>(&command)) {
      items = settle->totals.size();
      ++tally_.settles;
    }
    use(kTimePerProposal + static_cast<std::int64_t>(items) * kTimePerItem);
  }

  void arrive()
  {
    for (const auto& kind : kKinds) {
      if (!random_.chance(kind.perSecond / 1000)) {
        continue;
      }
      const auto entry = static_cast<int>(random_.below(kEntries));
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
  std::vector<double> cumulativeWeights_;
  ControlState control_;
  std::vector<std::unique_ptr<QuotaManager>> holders_;
  std::multimap<Time, Packet> packets_;
  std::deque<QueuedProposal> queue_;
  std::set<std::pair<int, std::uint64_t>> queued_;
  std::map<RequestId, Request> requests_;
  std::multimap<Time, RequestId> ends_;
  std::uint64_t index_ = 0;
  std::uint64_t lastRequest_ = 0;
  Time leaderFreeAt_;
  bool leaderDown_ = false;
  Tally tally_;
};

} // namespace

// Guards against a leader that is overloaded for many seconds after a partition. Every holder had
// sent one grant request for each need since its start, most of them for requests that no longer
// waited.
TEST_CASE("QuotaManager_controlReturnsAfterPartition_leaderKeepsUp")
{
  for (const std::uint64_t seed : { 1, 2 }) {
    LoadedFleet fleet(seed);
    fleet.run(8 * kSecond, false);
    fleet.run(4 * kSecond);
    fleet.setLeaderDown(true);
    fleet.run(7 * kSecond);
    fleet.setLeaderDown(false);
    const auto firstSecond = fleet.run(kSecond);
    const auto nextSecond = fleet.run(kSecond);
    INFO("seed ", seed, ", first second: ", firstSecond.text(), "; next: ", nextSecond.text());
    CHECK(nextSecond.longestQueueTime < Proposer::kResendAfter);
    CHECK(nextSecond.noQuorum == 0);
  }
}
