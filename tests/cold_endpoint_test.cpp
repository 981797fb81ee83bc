#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "core/Random.h"
#include "dispatch/Dispatcher.h"
#include "fleet/AnnouncementTracker.h"
#include "fleet/FleetPublisher.h"
#include "fleet/FleetSubscriber.h"
#include "router/JsonDialect.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::dispatch;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 8.8;
constexpr Time kBegin{ 1'000'000'000 };
constexpr int kSlots = 12;
const ServiceName kModel("m");
const EndpointId kEndpoint("m0");
const ZoneId kZone("a");

/** Returns the largest number of arrivals in any second. */
double mostIn1s(std::vector<Time> arrivals)
{
  std::sort(arrivals.begin(), arrivals.end());
  std::ptrdiff_t most = 0;
  for (auto first = arrivals.begin(); first != arrivals.end(); ++first) {
    most = std::max(most, std::upper_bound(first, arrivals.end(), *first + 1s) - first);
  }
  return static_cast<double>(most);
}

fleet::EntryProcess makeEntry(std::size_t index)
{
  return { { ProcessId("e" + std::to_string(index)), Incarnation{ 1 } }, kZone };
}

RequestInfo makeRequest(Time now, std::uint64_t id)
{
  RequestInfo request;
  request.id = id;
  request.service = kModel;
  request.promptTokens = 500;
  request.deadline = now + 10s;
  return request;
}

/** Entry processes that know nothing of each other's sends, and a cold endpoint. */
struct ColdFleet
{
  struct Process
  {
    ProcessId id;
    ColdShares shares;
    bool isCutOff = false;
    /** When requests were sent, and when they arrive. */
    std::vector<std::pair<Time, Time>> flights;
  };

  explicit ColdFleet(std::size_t count, double sustainedRate = kRate)
    : rate(sustainedRate)
    , processes(count)
  {
    for (std::size_t i = 0; i < count; ++i) {
      processes[i].id = makeEntry(i).holder.process;
    }
    tellProcesses();
    run(6s);
  }

  /** Gives all processes that are not cut off the list of them. */
  void tellProcesses()
  {
    std::vector<fleet::EntryProcess> entries;
    for (std::size_t i = 0; i < processes.size(); ++i) {
      if (!processes[i].isCutOff) {
        entries.push_back(makeEntry(i));
      }
    }
    for (auto& process : processes) {
      if (!process.isCutOff) {
        process.shares.setProcesses(process.id, entries);
      }
    }
  }

  void tellCold(Duration remaining)
  {
    for (auto& process : processes) {
      process.shares.add(now, endpoint, kEndpoint, now + remaining, rate);
    }
  }

  /** Lets every process send whenever it may. A request arrives within @p delay, or when the link
      recovers, and is answered then. */
  void run(Duration time, Duration delay = 2ms)
  {
    for (const auto end = now + time; now < end; now = now + 5ms) {
      for (auto& process : processes) {
        auto& shares = process.shares;
        std::erase_if(process.flights, [&](const auto& flight) {
          if (flight.second <= now) {
            shares.recordArrival(now, endpoint, flight.first);
          }
          return flight.second <= now;
        });
        if (!process.isCutOff) {
          shares.setContact(now);
        }
        shares.expire(now);
        if (shares.isCold(now, endpoint) && shares.nextSendAt(now, endpoint) <= now) {
          shares.recordSend(now, endpoint);
          const auto latest = static_cast<std::uint64_t>(delay.count());
          const Duration transit(static_cast<std::int64_t>(random.below(latest + 1)));
          arrivals.push_back(std::max(now + transit, linkRecoversAt));
          process.flights.emplace_back(now, arrivals.back());
        }
      }
    }
  }

  [[nodiscard]] double bound() const { return rate * 1.5 + 5; }

  double rate;
  std::vector<Process> processes;
  ColdShares::Key endpoint{ 4711, kZone };
  Time now = kBegin;
  Time linkRecoversAt;
  Random random{ 1 };
  std::vector<Time> arrivals;
};

} // namespace

// Guards against shares whose sum exceeds the bound in some second, also when the times from send
// to arrival differ, or which leave a cold endpoint idle. Load: every process wants to send in
// every 5 ms.
TEST_CASE("Cold_68ProcessesWithoutKnowledgeOfEachOther_keepTheBoundInEverySecond")
{
  for (const Duration delay : { 2ms, 500ms }) {
    ColdFleet fleet(68);
    fleet.tellCold(30s);
    fleet.run(30s, delay);
    CHECK(mostIn1s(fleet.arrivals) <= fleet.bound());
    CHECK(fleet.arrivals.size() >= 150);
  }
}

// Guards against requests that pile up on a cut link and arrive together with those that follow.
TEST_CASE("Cold_linkRecovers_queuedRequestsCountInTheBound")
{
  for (double rate = kRate; rate < 60; rate += 1.7) {
    CAPTURE(rate);
    ColdFleet fleet(68, rate);
    fleet.tellCold(30s);
    fleet.run(1s);
    for (int round = 0; round < 3; ++round) {
      fleet.now = fleet.now + 2s;
      fleet.linkRecoversAt = fleet.now + 4s;
      fleet.run(6s);
    }
    CHECK(mostIn1s(fleet.arrivals) <= fleet.bound());
  }
}

// Guards against two holders of one place: the previous sender is cut off and does not know that
// another process has taken over. Also against a process that starts and is a sender before the
// others know it. Load: every process wants to send in every 5 ms.
TEST_CASE("Cold_sendersCutOffOneAfterAnother_keepsTheBoundAndIsUsed")
{
  ColdFleet fleet(68);
  fleet.tellCold(120s);
  fleet.run(2s);
  for (int round = 0; round < 6; ++round) {
    for (auto& process : fleet.processes) {
      if (process.shares.allowedRate(fleet.now, fleet.endpoint).value_or(0) > 0) {
        process.isCutOff = true;
      }
    }
    // Control removes a silent process after 4 s, or sooner if it was the last one to report it.
    fleet.run(1s);
    fleet.tellProcesses();
    fleet.run(6s);
  }
  CHECK(mostIn1s(fleet.arrivals) <= fleet.bound());
  const auto recent = std::count_if(fleet.arrivals.begin(), fleet.arrivals.end(), [&](Time time) {
    return time >= fleet.now - 1s;
  });
  CHECK(recent >= 4);
  ColdShares started;
  const auto entry = makeEntry(99);
  started.setProcesses(entry.holder.process, { &entry, 1 });
  started.add(fleet.now, fleet.endpoint, kEndpoint, fleet.now + 60s, kRate);
  started.setContact(fleet.now);
  CHECK(started.nextSendAt(fleet.now, fleet.endpoint) == fleet.now + ColdShares::kHandoverTime);
}

namespace {

/** One entry process with the engines of a service. */
struct ColdDispatcher
{
  explicit ColdDispatcher(std::size_t engines = 1)
  {
    setRate(kRate);
    for (std::size_t i = 0; i < engines; ++i) {
      records.push_back(
        { EndpointId("m" + std::to_string(i)), kModel, "10.0.0.1:80", kZone, kSlots });
      announce(i, 5, 0, 1);
    }
  }

  void setRate(double warmupPerS)
  {
    fleet::ServiceSettings service{ kModel, "", 10'000, {} };
    service.engine = fleet::EngineTraits{ kSlots, 300'000, 100, 1 };
    service.warmupPerS = warmupPerS;
    dispatcher.setServices(now, { &service, 1 });
  }

  void announce(std::size_t index, std::uint64_t sequence, std::int64_t warmupMs, int startedAt = 1)
  {
    records[index].sequence = sequence;
    records[index].warmupMs = warmupMs;
    records[index].startedAtMs = startedAt;
    dispatcher.setEndpoints(now, records);
  }

  /** Sends a request and returns the endpoint; empty if it is refused. */
  std::string sendAndFinish(std::optional<Duration> cold = std::nullopt)
  {
    const auto choice = dispatcher.choose(now, makeRequest(now, ++lastId), {});
    if (cold) {
      dispatcher.endpointCold(now, lastId, *cold);
    }
    dispatcher.finished(now, lastId, Outcome::answered);
    dispatcher.forget(lastId);
    return choice ? choice->endpoint.value : "";
  }

  Time now = kBegin;
  Dispatcher dispatcher{ DispatcherSettings{ kZone } };
  std::vector<fleet::EndpointRecord> records;
  std::uint64_t lastId = 0;
};

} // namespace

// Guards against late records that end, begin or prolong the cold state, and against an end before
// the time that the endpoint announced.
TEST_CASE("ColdDispatcher_lateOrRepeatedRecords_changeNothing")
{
  ColdDispatcher process(1);
  process.announce(0, 4, 3000);
  CHECK(process.sendAndFinish() == "m0");
  process.announce(0, 6, 3000);
  CHECK(process.sendAndFinish().empty());
  process.announce(0, 5, 0);
  CHECK(process.sendAndFinish().empty());
  process.now = process.now + 2s;
  process.announce(0, 6, 3000);
  process.now = process.now + 990ms;
  CHECK(process.sendAndFinish().empty());
  process.now = process.now + 10ms;
  CHECK(process.sendAndFinish() == "m0");
}

// Guards against a cold engine that is only recognized by announcements, and against a limit of
// another incarnation or where the service has none.
TEST_CASE("ColdDispatcher_answerSaysCold_limitsThatIncarnation")
{
  ColdDispatcher process(1);
  CHECK(process.sendAndFinish(500ms) == "m0");
  CHECK(process.sendAndFinish().empty());
  process.announce(0, 1, 0, 2);
  CHECK(process.sendAndFinish() == "m0");
  process.setRate(0);
  process.announce(0, 2, 60'000, 2);
  CHECK(process.sendAndFinish() == "m0");
}

// Guards against refusals while other endpoints can serve: 43 of 140 engines become cold at once.
// Load: 500 requests per second at one process for 2 s.
TEST_CASE("ColdDispatcher_43Of140Engines_refusesNothing")
{
  ColdDispatcher process(140);
  for (std::size_t i = 0; i < 43; ++i) {
    process.announce(i, 6, 3000);
  }
  CHECK(process.dispatcher.takeConditionChanges().cold.size() == 43);
  for (int i = 0; i < 1000; ++i) {
    process.now = process.now + 2ms;
    const auto endpoint = process.sendAndFinish();
    REQUIRE(!endpoint.empty());
    CHECK(std::stoi(endpoint.substr(1)) >= 43);
  }
}

namespace {

/** A control process that receives the announcements of one endpoint. */
struct Announcements
{
  Announcements() { announce(0); }

  /** Announces a remaining cold time after 1 s.
      @returns whether a log entry was needed */
  bool announce(std::int64_t warmupMs) { return announce(tracker, warmupMs); }

  bool announce(fleet::AnnouncementTracker& receiver, std::int64_t warmupMs)
  {
    now = now + 1s;
    tracker.proposeExpirations(now);
    other.proposeExpirations(now);
    ++announcement.sequence;
    announcement.warmupMs = warmupMs;
    const auto command = receiver.announce(now, announcement);
    if (command) {
      state.endpoints.apply(++index, now, std::get<fleet::PutEndpoint>(*command));
    }
    return command.has_value();
  }

  fleet::FleetState state;
  fleet::AnnouncementTracker tracker{ state };
  fleet::AnnouncementTracker other{ state };
  fleet::Announcement announcement{ kEndpoint, kModel, "10.0.0.1:80", kZone, "1", 8 };
  Time now = kBegin;
  std::uint64_t index = 0;
};

} // namespace

// Guards against a cold time that begins again without reaching the entry processes, also while the
// previous one lasts, and against a log entry for each second of a cold time.
TEST_CASE_FIXTURE(Announcements, "Announcement_warmupBeginsAgain_isAChangeButCountingDownIsNot")
{
  CHECK_FALSE(announce(0));
  CHECK(announce(3000));
  CHECK_FALSE(announce(2000));
  CHECK_FALSE(announce(1000));
  CHECK(announce(3000));
  CHECK(state.endpoints.find(announcement.id)->revision == index);
  CHECK(state.endpoints.find(announcement.id)->sequence == announcement.sequence);
  CHECK_FALSE(announce(2050));
  CHECK_FALSE(announce(other, 1000));
  CHECK(announce(other, 3000));
  CHECK_FALSE(announce(2000));
  CHECK(announce(0));
  CHECK(announce(3000));
  announcement.sequence -= 2;
  CHECK_FALSE(announce(0));
  CHECK(state.endpoints.find(announcement.id)->warmupMs == 3000);
}

// Guards against a lease that an answer prolongs which waited while the process was suspended, and
// against one from a control process without a leader.
TEST_CASE_FIXTURE(Announcements, "Contact_delayedAnswer_countsFromWhenTheMessageWasSent")
{
  const ProcessId control("c");
  const ProcessId self("e");
  fleet::FleetSubscriber subscriber({ Incarnation{ 1 }, kZone, { control }, 1 });
  fleet::FleetPublisher publisher(control, state, tracker);
  const auto sentAt = now;
  subscriber.tick(now);
  publisher.receive(now, self, subscriber.takeOutgoing().front().message);
  subscriber.receive(now, control, publisher.takeOutgoing().back().message);
  CHECK_FALSE(subscriber.contactAt().has_value());
  publisher.setLeaderContact(now, true);
  now = now + 60s;
  subscriber.receive(now, control, publisher.takeOutgoing().back().message);
  CHECK(subscriber.contactAt() == sentAt);
}

// Guards against a rate that is not read, or that is negative.
TEST_CASE("Configuration_warmupPerS_isReadAndNotNegative")
{
  const auto parse = [](const std::string& rate) {
    return router::defaultDialect()->parseConfiguration(
      R"({"version":1,"routes":[],"services":[{"name":"m")" + rate + "}]}");
  };
  CHECK(parse(R"(,"warmupPerS":8.8)").value().services.front().warmupPerS == 8.8);
  CHECK(parse("").value().services.front().warmupPerS == 0);
  CHECK_FALSE(parse(R"(,"warmupPerS":-0.1)").has_value());
  CHECK_FALSE(parse(R"(,"warmupPerS":"8")").has_value());
}

namespace {

constexpr std::size_t kProcesses = 68;
constexpr double kMaxRefusals = 24;
/** Requests per second, of 100 ms each. */
constexpr double kCapacity = kSlots / 0.1;

/** 68 dispatchers that know nothing of each other and one brittle endpoint, which refuses what
    exceeds its slots. */
struct BrittleFleet
{
  struct Response
  {
    Time arrival;
    std::size_t process = 0;
    std::uint64_t request = 0;
    Outcome outcome = Outcome::answered;
  };

  explicit BrittleFleet(std::uint64_t seed)
    : random(seed)
    , processes(kProcesses)
  {
    std::vector<fleet::EntryProcess> entries;
    for (std::size_t i = 0; i < kProcesses; ++i) {
      entries.push_back(makeEntry(i));
    }
    for (std::size_t i = 0; i < kProcesses; ++i) {
      processes[i].dispatcher.setProcesses(entries[i].holder.process, entries);
    }
  }

  void send(std::size_t process)
  {
    auto& dispatcher = processes[process].dispatcher;
    if (!dispatcher.choose(now, makeRequest(now, ++lastId), {})) {
      dispatcher.forget(lastId);
    } else if (running >= kSlots) {
      refusals.push_back(now);
      responses.push_back({ now + 2ms, process, lastId, Outcome::notExecuted });
    } else {
      ++running;
      responses.push_back({ now + 100ms, process, lastId });
    }
  }

  void receive(const Response& response)
  {
    auto& dispatcher = processes[response.process].dispatcher;
    if (response.outcome == Outcome::answered) {
      --running;
      ++served;
    }
    dispatcher.responseHead(now, response.request);
    dispatcher.endpointBrittle(response.request, kMaxRefusals);
    dispatcher.load(now, kEndpoint, { running, 0, kSlots });
    dispatcher.finished(now, response.request, response.outcome);
    dispatcher.forget(response.request);
  }

  /** @param requestsPerSecond  of all processes together, at most 1,000 */
  void run(Duration time, double requestsPerSecond)
  {
    for (const auto end = now + time; now < end; now = now + 1ms) {
      std::erase_if(responses, [this](const Response& response) {
        if (response.arrival <= now) {
          receive(response);
        }
        return response.arrival <= now;
      });
      if (random.chance(requestsPerSecond * 0.001)) {
        send(random.below(kProcesses));
      }
    }
  }

  Time now = kBegin;
  Random random;
  std::deque<ColdDispatcher> processes;
  std::vector<Response> responses;
  int running = 0;
  std::vector<Time> refusals;
  double served = 0;
  std::uint64_t lastId = 0;
};

} // namespace

// Guards against more refusals in a second than a brittle endpoint survives, and against limits
// that leave it idle. Load: half of what it can serve for 4 s, from then on as much or three times
// as much, at random processes.
TEST_CASE("Brittle_68DispatchersOverloadOneEndpoint_refusalsStayBelowItsLimit")
{
  for (const double load : { 1.0, 3.0 }) {
    for (std::uint64_t seed = 1; seed <= 6; ++seed) {
      CAPTURE(load);
      CAPTURE(seed);
      BrittleFleet fleet(seed);
      fleet.run(4s, 0.5 * kCapacity);
      fleet.served = 0;
      fleet.run(20s, load * kCapacity);
      CHECK(mostIn1s(fleet.refusals) <= kMaxRefusals);
      CHECK(fleet.served >= 0.4 * 20 * kCapacity);
    }
  }
}

// Guards against limits that remain after the endpoint ceased to be brittle, that an answer to an
// earlier request ends, or that another incarnation has.
TEST_CASE("Brittle_answersWithoutTheField_endItUnlessSentBefore")
{
  BrittleEndpoints brittle;
  Endpoint endpoint;
  endpoint.record.service = kModel;
  endpoint.slots = 4;
  endpoint.lastReportAt = kBegin;
  endpoint.load.report(kBegin, 4);
  brittle.recordAnswer(endpoint, kBegin, 24);
  CHECK_FALSE(brittle.maySend(kBegin, endpoint));
  brittle.recordAnswer(endpoint, kBegin - 1ms, std::nullopt);
  CHECK(brittle.isBrittle(endpoint));
  brittle.recordAnswer(endpoint, kBegin + 1ms, std::nullopt);
  CHECK(brittle.maySend(kBegin, endpoint));
  CHECK(brittle.takeChanges().size() == 2);
  brittle.recordAnswer(endpoint, kBegin + 2ms, 24);
  EndpointTable none;
  brittle.retain(none);
  CHECK_FALSE(brittle.isBrittle(endpoint));
}
