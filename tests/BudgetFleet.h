#pragma once

#include "QueueLeader.h"

#include <array>
#include <doctest/doctest.h>
#include <map>
#include <optional>

namespace figchute::ledger::test {

/** The load of deployment D of docs/design/overview.md: 68 entry processes in three availability
    zones, 24 workspaces, one process that gets half of the requests of the largest one. Time is
    virtual; the leader of the log takes time for each proposal. Requests that their budget covers
    are recognized by accounts of the test itself. */
class BudgetFleet
{
public:
  static constexpr int kEntries = 68;
  static constexpr int kZones = 3;
  static constexpr int kWorkspaces = 24;
  static constexpr double kSkew = 1.2;
  static constexpr int kHotEntry = 7;
  static constexpr double kPlannedSeconds = 40;
  static constexpr Duration kMillisecond{ 1000 };
  static constexpr Duration kOneSecond{ 1'000'000 };

  /** How many requests were refused, of those that their budget covers unless stated otherwise. */
  struct Tally
  {
    int requests = 0;
    int admitted = 0;
    int refused = 0;
    int refusedAtHotEntry = 0;
    /** Refused although not covered. */
    int refusedUncovered = 0;
    int waits = 0;
    Duration longestWait{ 0 };
    std::map<std::string, int> reasons;
    int messages = 0;
    int proposals = 0;
    Duration longestQueueTime{ 0 };

    [[nodiscard]] double perThousand() const { return requests > 0 ? 1e3 * refused / requests : 0; }
    [[nodiscard]] std::string text() const
    {
      std::string list;
      for (const auto& [reason, count] : reasons) {
        list += fmt::format(" {} {}", reason, count);
      }
      return fmt::format(
        "requests {} refused {} ({:.2f} in 1,000, {} at the hot process;{}) "
        "uncovered {} waits {} longest {} ms, messages {} proposals {} queue {} ms",
        requests,
        refused,
        perThousand(),
        refusedAtHotEntry,
        list,
        refusedUncovered,
        waits,
        longestWait.count() / 1000,
        messages,
        proposals,
        longestQueueTime.count() / 1000);
    }
  };

  /** @param prepaidFactor  the budgets cover this multiple of the usage of the planned seconds */
  explicit BudgetFleet(std::uint64_t seed, double prepaidFactor = 1.3)
    : random_(seed)
    , prepaidFactor_(prepaidFactor)
  {
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      // The load balancer assigns a caller to one process by a hash, so the requests of a workspace
      // reach a few processes, and half of those of the largest reach one.
      auto& receivers = receivers_.emplace_back();
      for (int i = 0; i < kReceivers; ++i) {
        receivers.push_back(static_cast<int>(random_.below(kEntries)));
      }
    }
    spent_.resize(kWorkspaces);
    running_.resize(kWorkspaces);
    holders_ = makeHolders(now, kEntries, kZones);
    setPrepaidShare(1);
  }

  /** Sets all budgets to a share of their full size at control and at the processes that reach it.
   */
  void setPrepaidShare(double share)
  {
    budgets_.clear();
    double tokensPerSecond = 0;
    for (const auto& kind : kKinds) {
      tokensPerSecond += kind.perSecond * static_cast<double>(kind.bound);
    }
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      const auto usage = tokensPerSecond * workspaces_.share(workspace);
      budgets_.push_back(
        { budgetId(workspace),
          Tokens{ static_cast<std::int64_t>(usage * kPlannedSeconds * prepaidFactor_ * share) } });
    }
    leader_.configure(now, ++version_, budgets_);
    for (int entry = 0; entry < kEntries; ++entry) {
      if (!isCut(entry, kControlIndex)) {
        holders_[static_cast<std::size_t>(entry)]->setBudgets(now, budgets_);
      }
    }
  }

  /** Lets time pass and returns what happened meanwhile. */
  Tally run(Duration duration, bool withRequests = true)
  {
    tally_ = {};
    for (const auto end = now + duration; now < end;) {
      now = now + kMillisecond;
      deliver();
      if (!leaderSilent_) {
        leader_.run(now);
        sendFromLeader();
      }
      arrive(withRequests);
      finish();
      for (int entry = 0; entry < kEntries; ++entry) {
        if ((now.micros / 1000 + entry) % kTickMs == 0) {
          update(entry, true);
        }
      }
    }
    const auto counts = leader_.takeCounts();
    tally_.proposals = counts.commands;
    tally_.longestQueueTime = counts.longestQueueTime;
    return tally_;
  }

  /** While the leader is silent, what is sent to it is lost. Processes notice it after 1.2 s. */
  void setLeaderSilent(bool silent)
  {
    leaderSilent_ = silent;
    leader_.clear(now);
    silentSince_ = now;
  }

  /** Separates a zone from the others and from control, or ends this. */
  void cutZone(std::optional<int> zone)
  {
    cutZone_ = zone;
    silentSince_ = now;
    if (!zone) {
      for (auto& holder : holders_) {
        holder->setBudgets(now, budgets_);
      }
    }
  }

  /** Returns by how much the most overspent budget is overspent, 0 if none is. */
  [[nodiscard]] std::int64_t overspent() const
  {
    std::int64_t worst = 0;
    for (int workspace = 0; workspace < kWorkspaces; ++workspace) {
      const auto index = static_cast<std::size_t>(workspace);
      const auto view = *leader_.state().budget(budgetId(workspace));
      worst = std::max({ worst,
                         (spent_[index] + running_[index] - budgets_[index].prepaid).count,
                         (view.settled + view.held - view.bought).count });
    }
    return worst;
  }

  /** Describes who holds the tokens of the largest budget. */
  [[nodiscard]] std::string largestBudgetText() const
  {
    const auto view = *leader_.state().budget(budgetId(0));
    Tokens available;
    Tokens reserve;
    Tokens reserved;
    for (const auto& holder : holders_) {
      if (const auto account = holder->account(budgetId(0))) {
        available += account->available;
        reserve += account->reserve;
        reserved += account->reserved;
      }
    }
    const auto hot = holders_[kHotEntry]->account(budgetId(0)).value_or(AccountView{});
    return fmt::format("bought {} settled {} free {} | available {} reserve {} running {} | hot: "
                       "available {} reserve {} running {}",
                       view.bought.count,
                       view.settled.count,
                       view.free.count,
                       available.count,
                       reserve.count,
                       reserved.count,
                       hot.available.count,
                       hot.reserve.count,
                       hot.reserved.count);
  }

  Time now{ 1'700'000'000'000'000 };
  /** How long messages from and to the busiest process wait for its link, which its requests use to
      capacity. */
  Duration hotLinkDelay{ 0 };

private:
  /** A kind of requests, over all workspaces. */
  struct RequestKind
  {
    double perSecond;
    std::int64_t bound;
    Duration duration;
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
    int workspace;
    Tokens bound;
    Time arrivedAt;
    Duration duration;
    bool isRetry;
  };

  /** The median is 4,464 tokens. The largest workspace has a third of the requests, so its busiest
      process gets 120 of them a second. */
  static constexpr std::array kKinds = {
    RequestKind{ 210, 12'000, Duration{ 2'000'000 } },
    RequestKind{ 225, 4'464, Duration{ 1'200'000 } },
    RequestKind{ 285, 1'100, Duration{ 600'000 } },
  };
  static constexpr int kReceivers = 12;
  static constexpr double kCoveredShare = 0.97;
  static constexpr int kTickMs = 50;
  static constexpr Duration kLostAfter{ 1'200'000 };
  static constexpr Duration kRetryAfter{ 170'000 };
  /** A sync and the delay to a majority. */
  static constexpr Duration kCommitDelay{ 3000 };
  static constexpr Duration kNetworkDelay{ 1000 };
  static constexpr int kControlIndex = kEntries;

  static ProcessId processOf(int index)
  {
    return index == kControlIndex ? kControl : holderId(index).process;
  }

  /** Control is in a zone that is never cut off. */
  [[nodiscard]] bool isCut(int from, int to) const
  {
    const auto isInside = [this](int index) {
      return index != kControlIndex && index % kZones == *cutZone_;
    };
    return cutZone_ && isInside(from) != isInside(to);
  }

  [[nodiscard]] bool isControlLost(int entry) const
  {
    return (leaderSilent_ || isCut(entry, kControlIndex)) && now >= silentSince_ + kLostAfter;
  }

  void send(int from, const OutgoingMessage& outgoing, Duration extraDelay = Duration{ 0 })
  {
    const int to = outgoing.to == kControl ? kControlIndex : std::stoi(outgoing.to.value);
    ++tally_.messages;
    if (!isCut(from, to)) {
      const auto linkDelay = from == kHotEntry || to == kHotEntry ? hotLinkDelay : Duration{ 0 };
      packets_.emplace(now + kNetworkDelay + linkDelay + extraDelay,
                       Packet{ from, to, outgoing.message });
    }
  }

  void update(int entry, bool isTick = false)
  {
    auto& holder = *holders_[static_cast<std::size_t>(entry)];
    if (isTick) {
      holder.setControlLost(isControlLost(entry));
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
      if (isCut(packet.from, packet.to)) {
        continue;
      }
      if (packet.to == kControlIndex) {
        if (!leaderSilent_) {
          leader_.receive(now, holderId(packet.from), packet.message);
          sendFromLeader();
        }
        continue;
      }
      const auto index = static_cast<std::size_t>(packet.to);
      holders_[index]->receive(now, processOf(packet.from), packet.message);
      update(packet.to);
      // Witnesses that answer at once; they are never asked for a report here.
      if (const auto* record = std::get_if<WitnessRecord>(&packet.message)) {
        send(packet.to,
             { processOf(packet.from),
               WitnessAck{ record->record.holder, holderId(packet.to), record->sequence } });
      }
    }
  }

  void sendFromLeader()
  {
    for (const auto& [message, delay] : leader_.takeOutgoing()) {
      send(kControlIndex, message, delay);
    }
  }

  void arrive(bool withRequests)
  {
    while (!retries_.empty() && retries_.begin()->first <= now) {
      auto request = retries_.begin()->second;
      retries_.erase(retries_.begin());
      request.arrivedAt = now;
      submit(request);
    }
    for (const auto& kind : kKinds) {
      if (!withRequests || !random_.chance(kind.perSecond / 1000)) {
        continue;
      }
      const auto workspace = workspaces_.pick(random_);
      const auto& receivers = receivers_[static_cast<std::size_t>(workspace)];
      const bool toHotEntry = workspace == 0 && random_.chance(0.5);
      const auto entry = toHotEntry ? kHotEntry : receivers[random_.below(receivers.size())];
      ++tally_.requests;
      submit({ entry, workspace, Tokens{ kind.bound }, now, kind.duration, false });
    }
  }

  void submit(const Request& request)
  {
    const RequestId id(std::to_string(++lastRequest_));
    requests_[id] = request;
    const auto budget = budgetId(request.workspace);
    decide(holders_[static_cast<std::size_t>(request.entry)]->reserve(
      now, id, std::nullopt, { &budget, 1 }, request.bound));
    update(request.entry);
  }

  /** Returns whether the prepaid amount covers a request beside all that were admitted. */
  [[nodiscard]] bool isCovered(const Request& request) const
  {
    const auto index = static_cast<std::size_t>(request.workspace);
    return static_cast<double>((spent_[index] + running_[index] + request.bound).count) <=
           kCoveredShare * static_cast<double>(budgets_[index].prepaid.count);
  }

  void decide(const Decision& decision)
  {
    const auto entry = requests_.find(decision.request);
    if (decision.status == ReserveStatus::waiting || entry == requests_.end()) {
      return;
    }
    const auto request = entry->second;
    tally_.longestWait = std::max(tally_.longestWait, now - request.arrivedAt);
    tally_.waits += now > request.arrivedAt ? 1 : 0;
    if (decision.status == ReserveStatus::admitted) {
      ++tally_.admitted;
      running_[static_cast<std::size_t>(request.workspace)] += request.bound;
      ends_.emplace(now + request.duration, decision.request);
      return;
    }
    if (!isCovered(request)) {
      ++tally_.refusedUncovered;
    } else {
      ++tally_.refused;
      tally_.refusedAtHotEntry += request.entry == kHotEntry ? 1 : 0;
      const auto reason = decision.cause ? nameOf(decision.cause->reason) : "other";
      ++tally_.reasons[std::string(reason)];
    }
    requests_.erase(entry);
    if (!request.isRetry) {
      auto retry = request;
      retry.isRetry = true;
      retry.entry = static_cast<int>(random_.below(kEntries));
      retries_.emplace(now + kRetryAfter, retry);
    }
  }

  void finish()
  {
    while (!ends_.empty() && ends_.begin()->first <= now) {
      const auto id = ends_.begin()->second;
      ends_.erase(ends_.begin());
      const auto request = requests_.at(id);
      requests_.erase(id);
      const auto index = static_cast<std::size_t>(request.workspace);
      running_[index] -= request.bound;
      spent_[index] += request.bound;
      CHECK(holders_[static_cast<std::size_t>(request.entry)]
              ->charge(now, id, request.bound)
              .has_value());
      update(request.entry);
    }
  }

  Random random_;
  double prepaidFactor_;
  SkewedWorkspaces workspaces_{ kWorkspaces, kSkew };
  std::vector<std::vector<int>> receivers_;
  std::vector<PrepaidBudget> budgets_;
  /** The tokens of ended requests and the upper bounds of admitted ones, by workspace. */
  std::vector<Tokens> spent_;
  std::vector<Tokens> running_;
  QueueLeader leader_{ kCommitDelay };
  std::vector<std::unique_ptr<QuotaManager>> holders_;
  std::multimap<Time, Packet> packets_;
  std::map<RequestId, Request> requests_;
  std::multimap<Time, Request> retries_;
  std::multimap<Time, RequestId> ends_;
  std::uint64_t version_ = 0;
  std::uint64_t lastRequest_ = 0;
  bool leaderSilent_ = false;
  std::optional<int> cutZone_;
  Time silentSince_;
  Tally tally_;
};

} // namespace figchute::ledger::test
