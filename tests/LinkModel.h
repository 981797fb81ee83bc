#pragma once

#include "core/Random.h"
#include "router/AcceptLimit.h"
#include "router/EntryLink.h"
#include "router/LinkAdmission.h"
#include "router/LinkBudget.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <fmt/format.h>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace figchute::router {

/** How the entry VMs of a LinkModel limit their traffic. */
enum class Policy
{
  /** Only the limit on accepting connections, as before LinkAdmission and kConnectionLimit: up to
      80% of the link, with a queue that holds all that wait. */
  acceptLimit,
  /** kConnectionLimit. */
  shortQueue,
  admission,
};

/** The requests per second of one workspace whose connections are assigned to one VM. */
struct HomeLoad
{
  std::size_t vm;
  double requestsPerSecond;
};

/** A kind of requests of deployment K. */
struct Kind
{
  const char* name;
  int rank;
  int targetMs;
  double share;
  double body;
  double answer;
  /** Time at the endpoint to the first byte, and over which the response is sent. */
  int firstByteMs;
  int streamMs;
};

inline constexpr std::array<Kind, 5> kKinds{ {
  { "submission", 0, 150, 225, 600, 300, 30, 0 },
  { "lookup", 0, 150, 52, 0, 600, 30, 0 },
  { "explanation", 1, 600, 195, 850, 2500, 120, 800 },
  { "summary", 2, 500, 130, 12'000, 4000, 200, 1500 },
  { "report", 3, 2000, 277, 2400, 1500, 300, 1500 },
} };

/** Indexes of kKinds. */
inline constexpr std::size_t kSubmission = 0;
inline constexpr std::size_t kReport = 4;

/** What became of the requests of one kind. */
struct Outcome
{
  int sent = 0;
  int onTime = 0;
  int refusals = 0;
  int notConnected = 0;
  /** The longest time that a forwarded request waited for the link of its VM. */
  Duration longestWait{ 0 };
};

/** Entry VMs with links, callers that keep their connections and retry once at another VM, and
    endpoints that answer after a fixed time. Events happen in the order of their times. */
class LinkModel
{
public:
  LinkModel(Policy policy, const std::vector<double>& megabits, std::vector<HomeLoad> loads)
    : policy_(policy)
    , loads_(std::move(loads))
    , pools_(loads_.size() * kCallers)
  {
    for (const auto rate : megabits) {
      vms_.push_back(std::make_unique<Vm>(rate * 1e6 / 8, utilisationOf(policy)));
    }
  }

  void run(int seconds)
  {
    end_ = Time{ kStart.micros + seconds * 1'000'000LL };
    for (std::size_t i = 0; i < loads_.size(); ++i) {
      at(kStart, [this, i] { issue(i); });
    }
    for (std::size_t i = 0; i < vms_.size() && policy_ == Policy::admission; ++i) {
      at(kStart + std::chrono::seconds(1), [this, i] { probe(i); });
    }
    while (!events_.empty()) {
      auto event = events_.top();
      events_.pop();
      now_ = event.at;
      event.action();
    }
  }

  [[nodiscard]] const Outcome& outcome(std::size_t kind) const { return outcomes_[kind]; }

  /** Returns the share of the requests of a kind whose response began within its target. */
  [[nodiscard]] double onTimeShare(std::size_t kind) const
  {
    return static_cast<double>(outcomes_[kind].onTime) / outcomes_[kind].sent;
  }

  /** Returns the outcomes as text. */
  [[nodiscard]] std::string describe() const
  {
    std::string text;
    for (std::size_t i = 0; i < kKinds.size(); ++i) {
      const auto& outcome = outcomes_[i];
      text += fmt::format("{} {:.3f} on time of {}, refused {}, no connection {}, wait {} us; ",
                          kKinds[i].name,
                          onTimeShare(i),
                          outcome.sent,
                          outcome.refusals,
                          outcome.notConnected,
                          outcome.longestWait.count());
    }
    return text;
  }

  /** Returns the seconds in which VMs were not ready. */
  [[nodiscard]] int notReadySeconds() const { return notReadySeconds_; }

private:
  static double utilisationOf(Policy policy)
  {
    switch (policy) {
      case Policy::acceptLimit:
        return LinkBudget::kMaxUtilisation;
      case Policy::shortQueue:
        return kConnectionLimit.utilisation;
      default:
        return EntryLink::kAcceptLimit.utilisation;
    }
  }

  static constexpr Time kStart{ 1'000'000'000 };
  static constexpr double kHeadBytes = 1000;
  static constexpr double kRefusalBytes = 250;
  static constexpr Duration kDelay = std::chrono::milliseconds(3);
  static constexpr Duration kConnectTimeout = std::chrono::seconds(1);
  static constexpr int kMaxBacklog = 4096;
  static constexpr std::size_t kCallers = 80;
  static constexpr int kParts = 10;

  /** One direction of a link: bytes pass in order, at its rate. */
  struct Direction
  {
    double rate;
    Time busyUntil{};

    Time pass(Time now, double size)
    {
      busyUntil = std::max(busyUntil, now) + Duration(static_cast<std::int64_t>(size / rate * 1e6));
      return busyUntil;
    }
  };

  struct Request;

  struct Vm
  {
    Vm(double bytesPerSecond, double utilisation)
      : rate(bytesPerSecond)
      , in{ bytesPerSecond }
      , out{ bytesPerSecond }
      , acceptBudget(bytesPerSecond, utilisation)
      , admission(bytesPerSecond)
    {
    }

    double rate;
    Direction in;
    Direction out;
    http::Traffic traffic;
    http::Traffic refused;
    LinkBudget acceptBudget;
    LinkAdmission admission;
    LinkReadiness readiness;
    std::deque<std::shared_ptr<Request>> backlog;
    bool acceptScheduled = false;
    /** Accepted connections whose first head has not arrived. */
    std::uint64_t unused = 0;
    std::uint64_t admitted = 0;
    std::uint64_t refusals = 0;
    int missedChecks = 0;
  };

  struct Request
  {
    std::size_t kind;
    std::size_t load;
    std::size_t caller = 0;
    Time issuedAt;
    Time connectingAt{};
    std::size_t vm = 0;
    bool isRetry = false;
    bool isFirst = false;
    bool served = false;
    bool closes = false;
    std::unique_ptr<LinkAdmission::Charge> charge;
  };

  struct Event
  {
    Time at;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const
    {
      return std::pair(other.at, other.order) < std::pair(at, order);
    }
  };

  void at(Time time, std::function<void()> action)
  {
    events_.push({ time, ++order_, std::move(action) });
  }

  /** The readiness check of the load balancer. */
  void probe(std::size_t index)
  {
    if (now_ >= end_) {
      return;
    }
    auto& vm = *vms_[index];
    vm.readiness.update(now_, std::exchange(vm.admitted, 0), std::exchange(vm.refusals, 0));
    vm.missedChecks = vm.readiness.isReady() ? 0 : vm.missedChecks + 1;
    notReadySeconds_ += vm.readiness.isReady() ? 0 : 1;
    at(now_ + std::chrono::seconds(1), [this, index] { probe(index); });
  }

  /** Returns the VM to which the load balancer assigns a connection. */
  [[nodiscard]] std::size_t assign(std::size_t home) const
  {
    for (std::size_t i = 0; i < vms_.size(); ++i) {
      const auto index = (home + i) % vms_.size();
      if (vms_[index]->missedChecks < 2) {
        return index;
      }
    }
    return home;
  }

  void issue(std::size_t load)
  {
    if (now_ >= end_) {
      return;
    }
    const auto wait = -std::log(1 - random_.unit()) / loads_[load].requestsPerSecond;
    at(now_ + Duration(static_cast<std::int64_t>(wait * 1e6)), [this, load] { issue(load); });
    double total = 0;
    for (const auto& kind : kKinds) {
      total += kind.share;
    }
    auto drawn = random_.unit() * total;
    std::size_t kind = 0;
    while (kind + 1 < kKinds.size() && drawn >= kKinds[kind].share) {
      drawn -= kKinds[kind].share;
      ++kind;
    }
    auto request = std::make_shared<Request>();
    request->kind = kind;
    request->load = load;
    request->issuedAt = now_;
    ++outcomes_[kind].sent;
    request->caller = load * kCallers + random_.below(kCallers);
    auto& pool = pools_[request->caller];
    if (!pool.empty()) {
      request->vm = pool.back();
      request->served = true;
      pool.pop_back();
      at(now_ + kDelay, [this, request] { arrive(request); });
    } else {
      connect(request, assign(loads_[load].vm));
    }
  }

  void connect(const std::shared_ptr<Request>& request, std::size_t vm)
  {
    request->vm = vm;
    request->connectingAt = now_;
    request->served = false;
    // The handshake passes the link to and from the VM.
    at(now_ + kDelay, [this, request] {
      auto& target = *vms_[request->vm];
      at(target.in.pass(now_, 60), [this, request] { enqueue(request); });
    });
  }

  /** The connection waits to be accepted. If the queue is full, the VM ignores it and the caller
      gives up after a while. */
  void enqueue(const std::shared_ptr<Request>& request)
  {
    auto& vm = *vms_[request->vm];
    const auto backlog =
      policy_ == Policy::shortQueue ? kConnectionLimit.backlog(vm.rate, kMaxBacklog) : kMaxBacklog;
    if (vm.backlog.size() > static_cast<std::size_t>(backlog)) {
      at(request->connectingAt + kConnectTimeout, [this, request] { failToConnect(request); });
      return;
    }
    vm.backlog.push_back(request);
    accept(request->vm);
  }

  void failToConnect(const std::shared_ptr<Request>& request)
  {
    ++outcomes_[request->kind].notConnected;
    retry(request, Duration(0));
  }

  void accept(std::size_t index)
  {
    auto& vm = *vms_[index];
    while (!vm.backlog.empty()) {
      const auto request = vm.backlog.front();
      if (now_ - request->connectingAt > kConnectTimeout) {
        vm.backlog.pop_front();
        failToConnect(request);
        continue;
      }
      sync(vm);
      const auto delay = vm.acceptBudget.timeUntilAvailable();
      if (delay > Duration::zero()) {
        if (!std::exchange(vm.acceptScheduled, true)) {
          at(now_ + delay, [this, index] {
            vms_[index]->acceptScheduled = false;
            accept(index);
          });
        }
        return;
      }
      vm.backlog.pop_front();
      ++vm.unused;
      request->isFirst = true;
      at(now_ + 2 * kDelay, [this, request] { arrive(request); });
    }
  }

  /** The request reaches the link of its VM. */
  void arrive(const std::shared_ptr<Request>& request)
  {
    auto& vm = *vms_[request->vm];
    const auto headAt = vm.in.pass(now_, kHeadBytes);
    const auto bodyAt = vm.in.pass(now_, kKinds[request->kind].body);
    at(headAt, [this, request, bodyAt] { decide(request, bodyAt); });
  }

  void sync(Vm& vm)
  {
    auto expected = vm.traffic;
    expected.receivedBytes += vm.unused * EntryLink::kFirstRequestBytes;
    vm.acceptBudget.update(now_, policy_ == Policy::admission ? expected : vm.traffic);
    vm.admission.update(now_, vm.traffic, vm.refused);
  }

  void decide(const std::shared_ptr<Request>& request, Time bodyAt)
  {
    auto& vm = *vms_[request->vm];
    const auto& kind = kKinds[request->kind];
    vm.traffic.receivedBytes += kHeadBytes;
    if (std::exchange(request->isFirst, false)) {
      --vm.unused;
    }
    sync(vm);
    if (policy_ != Policy::admission) {
      request->closes = vm.acceptBudget.timeUntilAvailable() > Duration::zero();
    } else {
      LinkRequest offer;
      offer.route = kind.name;
      offer.rank = kind.rank;
      offer.target = std::chrono::milliseconds(kind.targetMs);
      offer.headBytes = kHeadBytes;
      offer.bodyBytes = kind.body;
      offer.receivedBytes = kHeadBytes;
      offer.servedBefore = request->served;
      auto decision = vm.admission.decide(now_, offer);
      if (!decision.charge) {
        refuse(request, bodyAt);
        return;
      }
      request->charge = std::move(decision.charge);
      request->charge->received(kHeadBytes);
      ++vm.admitted;
    }
    at(bodyAt, [this, request] { forward(request); });
  }

  void refuse(const std::shared_ptr<Request>& request, Time bodyAt)
  {
    auto& vm = *vms_[request->vm];
    vm.refused.receivedBytes += kHeadBytes;
    at(bodyAt, [this, request] {
      auto& vm = *vms_[request->vm];
      vm.traffic.receivedBytes += kKinds[request->kind].body;
      vm.refused.receivedBytes += kKinds[request->kind].body;
    });
    vm.traffic.sentBytes += kRefusalBytes;
    vm.refused.sentBytes += kRefusalBytes;
    ++outcomes_[request->kind].refusals;
    ++vm.refusals;
    at(vm.out.pass(now_, kRefusalBytes) + kDelay,
       [this, request] { retry(request, EntryLink::kRetryAfter); });
  }

  void retry(const std::shared_ptr<Request>& request, Duration wait)
  {
    if (std::exchange(request->isRetry, true)) {
      return;
    }
    const auto other = (request->vm + 1 + random_.below(vms_.size() - 1)) % vms_.size();
    at(now_ + wait, [this, request, other] { connect(request, other); });
  }

  void forward(const std::shared_ptr<Request>& request)
  {
    auto& vm = *vms_[request->vm];
    const auto& kind = kKinds[request->kind];
    const auto size = kHeadBytes + kind.body;
    vm.traffic.receivedBytes += kind.body;
    vm.traffic.sentBytes += size;
    if (request->charge) {
      request->charge->received(kind.body);
      request->charge->forwarded(kind.body);
    }
    const auto doneAt = vm.out.pass(now_, size);
    auto& outcome = outcomes_[request->kind];
    const auto wait = doneAt - now_ - Duration(static_cast<std::int64_t>(size / vm.rate * 1e6));
    outcome.longestWait = std::max(outcome.longestWait, wait);
    const int parts = kind.streamMs > 0 ? kParts : 1;
    for (int part = 0; part < parts; ++part) {
      const auto ms = kind.firstByteMs + kind.streamMs * part / parts;
      at(doneAt + std::chrono::milliseconds(ms),
         [this, request, part, parts] { answer(request, part, parts); });
    }
  }

  void answer(const std::shared_ptr<Request>& request, int part, int parts)
  {
    auto& vm = *vms_[request->vm];
    const auto size = kKinds[request->kind].answer / parts;
    at(vm.in.pass(now_, size), [this, request, part, parts, size] {
      auto& vm = *vms_[request->vm];
      vm.traffic.receivedBytes += static_cast<std::uint64_t>(size);
      vm.traffic.sentBytes += static_cast<std::uint64_t>(size);
      if (request->charge) {
        request->charge->answered(static_cast<std::size_t>(size));
        if (part + 1 == parts) {
          request->charge.reset();
        }
      }
      at(vm.out.pass(now_, size) + kDelay, [this, request, part, parts] {
        if (part == 0 &&
            now_ - request->issuedAt <= std::chrono::milliseconds(kKinds[request->kind].targetMs)) {
          ++outcomes_[request->kind].onTime;
        }
        auto& pool = pools_[request->caller];
        if (part + 1 == parts && !request->closes) {
          pool.push_back(request->vm);
        }
      });
    });
  }

  Policy policy_;
  std::vector<HomeLoad> loads_;
  std::vector<std::unique_ptr<Vm>> vms_;
  /** The VMs of the idle connections of each caller, the most recently used last. */
  std::vector<std::vector<std::size_t>> pools_;
  std::array<Outcome, kKinds.size()> outcomes_{};
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  Random random_{ 7 };
  int notReadySeconds_ = 0;
  Time now_ = kStart;
  Time end_;
};

} // namespace figchute::router
