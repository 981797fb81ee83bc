#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "core/Random.h"
#include "dispatch/RateLimitShares.h"
#include "dispatch/RequestSizes.h"
#include "FleetSimulation.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <doctest/doctest.h>
#include <limits>
#include <optional>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::dispatch;
using namespace std::chrono_literals;

namespace {

/** Returns the largest number of arrivals in any 4 s since a point in time. */
std::size_t mostArrivalsIn4s(const std::deque<Time>& arrivals, Time since)
{
  std::size_t most = 0;
  for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), since);
       first != arrivals.end();
       ++first) {
    const auto last = std::upper_bound(first, arrivals.end(), *first + 4s);
    most = std::max(most, static_cast<std::size_t>(last - first));
  }
  return most;
}

std::size_t countSince(const std::deque<Time>& arrivals, Time since)
{
  return static_cast<std::size_t>(arrivals.end() -
                                  std::lower_bound(arrivals.begin(), arrivals.end(), since));
}

/** What an endpoint that names a limit may get within 4 s. */
double allowedIn4s(double limit)
{
  return 1.5 * 4 * limit + 5;
}

/** Processes that share the limit of one endpoint and get requests all the time. */
struct Fleet
{
  explicit Fleet(std::size_t count)
    : processes(count)
  {
    for (std::size_t i = 0; i < count; ++i) {
      processes[i].id = ProcessId("e" + std::to_string(i));
      processes[i].weight = 1;
      entries.push_back({ { processes[i].id, Incarnation{ 1 } }, ZoneId("a") });
    }
    tellProcesses();
  }

  struct Process
  {
    ProcessId id;
    RateLimitShares shares;
    /** How many requests it gets in relation to the others. */
    double weight = 0;
    bool isRunning = true;
  };

  void tellProcesses()
  {
    for (auto& process : processes) {
      process.shares.setProcesses(process.id, entries);
    }
  }

  /** Tells all processes a limit of the endpoint, or its end. */
  void tellLimit(std::optional<double> requestsPerSecond)
  {
    const fleet::RateLimit limit{
      endpoint.incarnation, requestsPerSecond.has_value(), requestsPerSecond.value_or(0), 0
    };
    for (auto& process : processes) {
      process.shares.addLimits(now, { &limit, 1 });
    }
  }

  void tellRequestRates()
  {
    std::vector<fleet::RequestRate> rates;
    for (const auto& process : processes) {
      rates.push_back({ fingerprintOf(process.id.value), static_cast<float>(process.weight) });
    }
    for (auto& process : processes) {
      process.shares.setRequestRates(rates);
    }
  }

  /** Lets the endpoint get requests whenever a process may send one.
      @param requestsPerSecond  how many requests all processes get together */
  void run(Duration time, double requestsPerSecond)
  {
    double totalWeight = 0;
    for (const auto& process : processes) {
      totalWeight += process.weight;
    }
    for (const auto end = now + time; now < end; now = now + 10ms) {
      for (auto& process : processes) {
        const double requests = requestsPerSecond * 0.01 * process.weight / totalWeight;
        if (process.isRunning && random.chance(requests) && process.shares.maySend(now, endpoint)) {
          process.shares.recordSend(now, endpoint);
          arrivals.push_back(now);
        }
      }
    }
  }

  std::vector<Process> processes;
  std::vector<fleet::EntryProcess> entries;
  RateLimitShares::EndpointKey endpoint{ 4711, ZoneId("a") };
  Time now{ 1'000'000'000 };
  Random random{ 1 };
  std::deque<Time> arrivals;
};

struct NineProcesses : Fleet
{
  NineProcesses()
    : Fleet(9)
  {
  }
};

} // namespace

// Guards against shares that exceed a limit in their sum, or are so small that nothing is sent.
TEST_CASE("Limit_dividedAmongProcesses_isKeptAndUsed")
{
  for (const std::size_t count : { 1, 9, 85, 420 }) {
    for (const double limit : { 0.3, 1.0, 3.1, 5.3, 40.0 }) {
      CAPTURE(count);
      CAPTURE(limit);
      Fleet fleet(count);
      fleet.tellLimit(limit);
      const auto begin = fleet.now;
      fleet.run(30s, 2000);
      CHECK(static_cast<double>(mostArrivalsIn4s(fleet.arrivals, begin)) <= allowedIn4s(limit));
      CHECK(static_cast<double>(countSince(fleet.arrivals, begin)) >= 0.7 * 30 * limit);
    }
  }
}

// Guards against equal shares that stay unused because one process gets most of the requests.
TEST_CASE_FIXTURE(NineProcesses, "Limit_mostRequestsAtOneProcess_isKeptAndUsed")
{
  processes[3].weight = 30;
  tellRequestRates();
  tellLimit(4);
  const auto begin = now;
  run(30s, 30);
  CHECK(static_cast<double>(mostArrivalsIn4s(arrivals, begin)) <= allowedIn4s(4));
  CHECK(countSince(arrivals, begin) >= 60);
}

// Guards against a limit that is exceeded while the processes learn at different times that one of
// them stopped, and against the lost share of a stopped process.
TEST_CASE("Limit_processesLeaveOneAfterAnother_isKeptAndUsed")
{
  constexpr double kLimit = 3;
  Fleet fleet(20);
  fleet.tellLimit(kLimit);
  const auto begin = fleet.now;
  for (std::size_t stopped = 0; stopped < 12; ++stopped) {
    fleet.run(2s, 1000);
    fleet.processes[stopped].isRunning = false;
    fleet.entries.erase(fleet.entries.begin());
    for (auto& process : fleet.processes) {
      process.shares.setProcesses(process.id, fleet.entries);
      fleet.run(50ms, 1000);
    }
  }
  fleet.run(10s, 1000);
  CHECK(static_cast<double>(mostArrivalsIn4s(fleet.arrivals, begin)) <= allowedIn4s(kLimit));
  CHECK(static_cast<double>(countSince(fleet.arrivals, fleet.now - 10s)) >= 0.7 * 10 * kLimit);
}

// Guards against a limit that is kept after its end, or ends with an answer that was written before
// it began.
TEST_CASE_FIXTURE(NineProcesses, "Limit_answerWithoutLimit_endsItUnlessSentBefore")
{
  auto& shares = processes[0].shares;
  const auto sentBefore = now;
  now = now + 100ms;
  CHECK(shares.recordAnswer(now, endpoint, sentBefore, 2.0));
  CHECK(shares.allowedRate(now, endpoint).has_value());
  CHECK_FALSE(shares.recordAnswer(now + 10ms, endpoint, sentBefore, std::nullopt));
  CHECK(shares.allowedRate(now + 10ms, endpoint).has_value());
  CHECK(shares.recordAnswer(now + 50ms, endpoint, now + 20ms, std::nullopt));
  CHECK_FALSE(shares.allowedRate(now + 50ms, endpoint).has_value());
  CHECK(shares.maySend(now + 50ms, endpoint));
}

// Guards against the limit of an earlier incarnation that is kept after a restart.
TEST_CASE_FIXTURE(NineProcesses, "Limit_endpointRestarted_isUnknown")
{
  tellLimit(0);
  CHECK_FALSE(processes[0].shares.maySend(now, endpoint));
  CHECK(processes[0].shares.maySend(now, { endpoint.incarnation + 1, endpoint.zone }));
}

// Guards against a limit of 0 that is kept for good because no answer can show its end, and against
// all processes asking at once whether it still holds.
TEST_CASE_FIXTURE(NineProcesses, "Limit_noAnswersForLong_fewProcessesAsk")
{
  tellLimit(0);
  const auto begin = now;
  run(RateLimitShares::kProbeInterval - 20ms, 1000);
  CHECK(arrivals.empty());
  run(60s, 1000);
  CHECK(static_cast<double>(mostArrivalsIn4s(arrivals, begin)) <= allowedIn4s(0));
  CHECK(arrivals.size() >= 7);
}

// Guards against limits that other processes report in a form that breaks the division.
TEST_CASE_FIXTURE(NineProcesses, "Limit_malformedReport_isIgnored")
{
  for (const double limit : { std::numeric_limits<double>::quiet_NaN(),
                              std::numeric_limits<double>::infinity(),
                              -1.0 }) {
    tellLimit(limit);
    CHECK(processes[0].shares.maySend(now, endpoint));
    CHECK_FALSE(processes[0].shares.allowedRate(now, endpoint).has_value());
  }
  tellLimit(1e300);
  CHECK(processes[0].shares.allowedRate(now, endpoint).value_or(0) > 1e6);
}

// Guards against a retry that is announced before the limit allows it.
TEST_CASE_FIXTURE(NineProcesses, "NextSend_tokensUsed_isWhenTheShareAllowsIt")
{
  entries.resize(1);
  tellProcesses();
  tellLimit(2);
  auto& shares = processes[0].shares;
  REQUIRE(shares.maySend(now, endpoint));
  shares.recordSend(now, endpoint);
  CHECK(shares.nextSendAt(now, endpoint) == now + 500ms);
  CHECK_FALSE(shares.maySend(now + 499ms, endpoint));
  CHECK(shares.maySend(now + 500ms, endpoint));
  CHECK_FALSE(processes[1].shares.nextSendAt(now, endpoint).has_value());
}

// Guards against a threshold that keeps limited engines unused, or gives them to short prompts.
TEST_CASE("RequestSizes_mixedSizes_returnsTheSizeForARate")
{
  RequestSizes sizes;
  Time now{ 1'000'000'000 };
  CHECK(sizes.sizeExceededAt(now, 1) == 0);
  for (int i = 0; i < 600; ++i) {
    now = now + 100ms;
    sizes.add(now, 800);
    sizes.add(now, 12'000);
  }
  CHECK(sizes.sizeExceededAt(now, 25) == 0);
  const auto forHalf = sizes.sizeExceededAt(now, 5);
  CHECK(forHalf > 5000);
  CHECK(forHalf <= 12'000);
  const auto forMost = sizes.sizeExceededAt(now, 15);
  CHECK(forMost > 400);
  CHECK(forMost <= 800);
}

namespace {

/** Entry processes that learn of limits and of each other through control processes, and an
   endpoint that names a limit. */
struct LimitedFleet : fleet::FleetSimulation
{
  explicit LimitedFleet(std::uint64_t seed)
    : FleetSimulation(3, 12, seed)
  {
    lossRate = 0.2;
    duplicateRate = 0.1;
    maxDelay = fleet::ms(300);
    onChanges = [this](const ProcessId& id, const fleet::FleetChanges& changes) {
      auto& process = shares[id];
      if (changes.entryProcesses) {
        process.setProcesses(id, entries.at(id).entries());
      }
      process.addLimits(now, changes.rateLimits);
      process.setRequestRates(changes.requestRates);
    };
  }

  /** Lets every entry process get requests and send those that it may send.
      @param limit  what the endpoint names, if anything */
  void sendRequests(std::optional<double> limit)
  {
    for (auto& [id, subscriber] : entries) {
      auto& process = shares[id];
      if (random.chance(0.5) && process.maySend(now, endpoint)) {
        process.recordSend(now, endpoint);
        arrivals.push_back(now);
        const bool isChange = process.recordAnswer(now, endpoint, now, limit);
        subscriber.setRateLimits(now, process.observedSince(now, now - 2s), isChange);
      }
    }
  }

  void runFor(Duration time, std::optional<double> limit, bool hasOutages)
  {
    for (const auto end = now + time; now < end;) {
      step();
      sendRequests(limit);
      if (hasOutages && random.chance(0.02)) {
        disrupt();
      }
    }
  }

  /** Stops or returns a control process, or restarts an entry process. */
  void disrupt()
  {
    auto& first = control(random.below(controls.size()));
    const bool isOtherDown = std::any_of(controls.begin(), controls.end(), [&](const auto& item) {
      return item.second.get() != &first && item.second->isDown;
    });
    if (random.chance(0.5)) {
      first.isDown = !first.isDown && !isOtherDown;
      return;
    }
    const ProcessId id("e" + std::to_string(random.below(entries.size())));
    const fleet::SubscriberSettings settings{
      Incarnation{ ++lastIncarnation }, ZoneId("z1"), { ids[0], ids[1] }, random.next()
    };
    entries.insert_or_assign(id, fleet::FleetSubscriber(settings));
    shares.erase(id);
  }

  std::map<ProcessId, RateLimitShares> shares;
  RateLimitShares::EndpointKey endpoint{ 4711, ZoneId("z1") };
  std::deque<Time> arrivals;
  std::uint64_t lastIncarnation = 1;
};

} // namespace

// Guards against a limit that is exceeded because messages are lost or control processes fail, and
// against one that stays in force at some process after its end.
TEST_CASE("Fleet_lossAndOutages_keepsLimitsAndLearnsTheirEnd")
{
  constexpr double kLimit = 3;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    LimitedFleet fleet(seed);
    fleet.runFor(3s, std::nullopt, false);
    const auto namedAt = fleet.now;
    fleet.runFor(30s, kLimit, false);
    CHECK(static_cast<double>(mostArrivalsIn4s(fleet.arrivals, namedAt + 3s)) <=
          allowedIn4s(kLimit));
    CHECK(static_cast<double>(countSince(fleet.arrivals, namedAt)) >= 0.7 * 30 * kLimit);
    const auto disruptedAt = fleet.now;
    fleet.runFor(30s, kLimit, true);
    // Each restart may add the first requests of a process that has not learned the limit yet.
    CHECK(static_cast<double>(mostArrivalsIn4s(fleet.arrivals, disruptedAt)) <=
          2 * allowedIn4s(kLimit));
    for (auto& [id, control] : fleet.controls) {
      control->isDown = false;
    }
    // Three repetitions of the whole set, of which a fifth is lost.
    fleet.runFor(3 * fleet::ResendCursor::kResendInterval + 1s, std::nullopt, false);
    const auto endedAt = fleet.now;
    fleet.runFor(1s, std::nullopt, false);
    CHECK(countSince(fleet.arrivals, endedAt) >= 250);
  }
}
