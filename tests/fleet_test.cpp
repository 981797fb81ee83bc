#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fleet/fleet.h"

#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <map>
#include <memory>

using namespace figchute;
using namespace figchute::fleet;

namespace {

Route routeOf(const std::string& name, const std::string& host, const std::string& prefix)
{
  Route route;
  route.name = name;
  route.host = host;
  route.pathPrefix = prefix;
  route.split = { { ServiceName("chat"), 1 } };
  return route;
}

/** A valid configuration with one service. */
struct Configured
{
  Configured()
  {
    configuration.version = 1;
    configuration.services = { ServiceSettings{ ServiceName("chat"), "/health", 100, {} } };
    configuration.routes = { routeOf("all", "Api.Example", "/"),
                             routeOf("v1", "api.example", "/v1/"),
                             routeOf("v1-a", "api.example", "/v1/a/"),
                             routeOf("v1-ab", "api.example", "/v1/ab/") };
    configuration.workspaces = { { "north", { "k1", "k2" }, {}, Tokens{ 5 } },
                                 { "south", { "k3" }, {}, {} } };
  }

  Configuration configuration;
};

} // namespace

// Guards against a fault that hides the ones after it, and against a valid configuration that is
// refused.
TEST_CASE_FIXTURE(Configured, "Validate_severalFaults_listsEachOne")
{
  CHECK(validate(configuration).empty());
  configuration.routes[0].split = { { ServiceName("absent"), 1 } };
  configuration.routes[1].split = { { ServiceName("chat"), 0 } };
  configuration.routes[2].timeout = Duration(0);
  configuration.routes[3] = routeOf("v1", "API.example:80", "/v1/");
  configuration.workspaces[1].keys = { "k1" };
  configuration.services.push_back(configuration.services[0]);
  // One more than the changes above: the last route has both a used name and a used place.
  CHECK(validate(configuration).size() == 7);
}

// Guards against a route of another host, a shorter prefix or a query that decides.
TEST_CASE_FIXTURE(Configured, "RouteTable_match_longestPrefixOfTheHostWins")
{
  const RouteTable table(configuration);
  const auto nameOf = [&](std::string_view host, std::string_view path) {
    const auto* route = table.match(host, path);
    return route == nullptr ? std::string() : route->name;
  };
  CHECK(nameOf("API.example:8080", "/v1/a/b") == "v1-a");
  CHECK(nameOf("api.example", "/v1/a") == "v1");
  CHECK(nameOf("api.example", "/v1/ab/?x=/v1/a/") == "v1-ab");
  CHECK(nameOf("api.example", "/v1?/v1/a/") == "all");
  CHECK(nameOf("api.example", "/v1/zz") == "v1");
  CHECK(nameOf("other.example", "/v1/") == "");
  CHECK(nameOf("api.example", "v1") == "");
  CHECK(normalizedHost("[::1]:80") == "[::1]");
  CHECK(table.workspaceOf("k2")->name == "north");
  CHECK(table.workspaceOf("k4") == nullptr);
  CHECK(table.service(ServiceName("chat"))->maxConnections == 100);
}

// Guards against a split that ignores weights or gives one request two services.
TEST_CASE_FIXTURE(Configured, "PickService_weights_shareRequestsById")
{
  auto route = routeOf("split", "h", "/");
  route.split = { { ServiceName("a"), 9 }, { ServiceName("none"), 0 }, { ServiceName("b"), 1 } };
  std::map<std::string, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    const auto id = "request-" + std::to_string(i);
    const auto& picked = RouteTable::pickService(route, id);
    CHECK(picked == RouteTable::pickService(route, id));
    ++counts[picked.value];
  }
  CHECK(counts["none"] == 0);
  CHECK(counts["b"] > 850);
  CHECK(counts["b"] < 1150);
}

// Guards against work that grows with the square of the routes, or with the routes at each request.
TEST_CASE_FIXTURE(Configured, "RouteTable_manyRoutes_areIndexedAndMatchedFast")
{
  configuration.routes.clear();
  for (int i = 0; i < 1500; ++i) {
    const auto name = "r" + std::to_string(i);
    configuration.routes.push_back(routeOf(name, "api.example", "/v1/" + name + "/"));
  }
  using Clock = std::chrono::steady_clock;
  const auto start = Clock::now();
  const RouteTable table(configuration);
  const auto built = Clock::now();
  int found = 0;
  for (int i = 0; i < 15'000; ++i) {
    const auto path = "/v1/r" + std::to_string(i) + "/rest";
    found += table.match("api.example", path) != nullptr ? 1 : 0;
  }
  const auto matched = Clock::now();
  CHECK(found == 1500);
  MESSAGE("built in us: ",
          std::chrono::duration_cast<Duration>(built - start).count(),
          ", 15000 matches in us: ",
          std::chrono::duration_cast<Duration>(matched - built).count());
  // Ten times what was measured, so that a busy machine does not fail the test.
  CHECK(built - start < std::chrono::milliseconds(50));
  CHECK(matched - built < std::chrono::milliseconds(150));
}

namespace {

Announcement announcementOf(const std::string& id, std::uint64_t sequence)
{
  Announcement announcement;
  announcement.id = EndpointId(id);
  announcement.service = ServiceName("chat");
  announcement.address = "10.0.0." + id + ":80";
  announcement.slots = 4;
  announcement.sequence = sequence;
  announcement.startedAtMs = 100;
  return announcement;
}

Duration ms(std::int64_t count)
{
  return std::chrono::milliseconds(count);
}

/** A desk with endpoint "1" in its registry. */
struct Desk
{
  Desk() { commit(PutEndpoint{ a }); }

  template<typename Command>
  void commit(const Command& command)
  {
    state.endpoints.apply(++index, now, command);
  }

  /** Looks every 500 ms, as the daemon does more often. */
  std::vector<ExpireEndpoint> wait(Duration duration)
  {
    std::vector<ExpireEndpoint> commands;
    for (const auto end = now + duration; now < end && commands.empty();) {
      now = now + ms(500);
      commands = desk.proposeExpirations(now);
    }
    return commands;
  }

  FleetState state;
  AnnouncementDesk desk{ state };
  Announcement a = announcementOf("1", 5);
  std::uint64_t index = 0;
  Time now{ 1'000'000'000 };
};

} // namespace

// Guards against an acknowledgement before the commit, and against a proposal for each
// announcement.
TEST_CASE_FIXTURE(Desk, "Desk_announcement_isProposedOnlyWhenItChangesTheRegistry")
{
  a.sequence = 9;
  CHECK_FALSE(desk.announce(now, a).has_value());
  auto late = a;
  late.sequence = 8;
  late.slots = 9;
  CHECK_FALSE(desk.announce(now, late).has_value());
  a.sequence = 10;
  a.state = EndpointState::draining;
  CHECK(desk.announce(now, a).has_value());
  late = a;
  late.sequence = 9;
  // The drain is not committed yet, so its first sending must not be acknowledged either.
  CHECK(desk.announce(now, late).has_value());
  commit(PutEndpoint{ a });
  CHECK_FALSE(desk.announce(now, a).has_value());
  const RemoveEndpoint removal{ a.id, a.startedAtMs, 11 };
  CHECK(desk.withdraw(removal).has_value());
  commit(removal);
  CHECK_FALSE(desk.withdraw(removal).has_value());
  CHECK_FALSE(desk.announce(now, a).has_value());
}

// Guards against an endpoint that a follower or a new leader expires, and against a dead one that
// stays.
TEST_CASE_FIXTURE(Desk, "Desk_silentEndpoint_expiresOnlyAfterSixSecondsOfLeadership")
{
  CHECK(wait(ms(10'000)).empty());
  desk.setLeader(now, true);
  CHECK(wait(ms(5500)).empty());
  const auto commands = wait(ms(500));
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].sequence == 5);
  CHECK(desk.proposeExpirations(now).empty());
  CHECK(wait(ms(1000)).size() == 1);
}

// Guards against an endpoint that is expired although another control process hears it, and against
// an expiry that a later announcement in the log does not stop.
TEST_CASE_FIXTURE(Desk, "Desk_heardElsewhere_countsFromThatAnnouncement")
{
  desk.setLeader(now, true);
  CHECK(wait(ms(4000)).empty());
  FleetState other;
  AnnouncementDesk there(other);
  a.sequence = 8;
  there.announce(now - ms(1000), a);
  const auto batch = there.recent(now);
  REQUIRE(batch.size() == 1);
  CHECK(there.recent(now + ms(3000)).empty());
  desk.heard(now, batch);
  CHECK(desk.recent(now).empty());
  CHECK(wait(ms(4500)).empty());
  const auto commands = wait(ms(500));
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].sequence == 8);
}

// Guards against a leader that was stopped for a while and expires everything when it continues.
TEST_CASE_FIXTURE(Desk, "Desk_stoppedLeader_startsItsTimersAnew")
{
  desk.setLeader(now, true);
  desk.announce(now, a);
  CHECK(wait(ms(3000)).empty());
  now = now + ms(20'000);
  CHECK(desk.proposeExpirations(now).empty());
  CHECK(wait(ms(5500)).empty());
  CHECK(wait(ms(500)).size() == 1);
}

namespace {

/** Control processes and entry processes over a channel that may lose, repeat and delay. */
struct Fleet
{
  struct Control
  {
    explicit Control(const ProcessId& id)
      : publisher(id, state, desk)
    {
    }

    FleetState state;
    AnnouncementDesk desk{ state };
    FleetPublisher publisher;
    std::uint64_t applied = 0;
    bool down = false;
  };

  using Entry = std::function<void(Fleet&, FleetState&, std::uint64_t)>;

  explicit Fleet(std::size_t controlCount, std::size_t entryCount, std::uint64_t seed = 1)
    : random(seed)
  {
    for (std::size_t i = 0; i < controlCount; ++i) {
      ids.emplace_back("c" + std::to_string(i));
      controls.emplace(ids.back(), std::make_unique<Control>(ids.back()));
    }
    for (auto& [id, control] : controls) {
      control->publisher.setControls(now, ids, ids[0]);
      control->publisher.setLeaderContact(now, true);
    }
    for (std::size_t i = 0; i < entryCount; ++i) {
      SubscriberSettings settings{ Incarnation{ 1 }, ZoneId("z1"), { ids[0] }, seed + i };
      entries.emplace(ProcessId("e" + std::to_string(i)), FleetSubscriber(settings));
    }
  }

  void putConfiguration(std::uint64_t version)
  {
    log.emplace_back([version](Fleet&, FleetState& state, std::uint64_t) {
      state.configuration.put(version, "bytes of " + std::to_string(version));
    });
  }

  template<typename Command>
  void commit(const Command& command)
  {
    const auto time = now;
    log.emplace_back([command, time](Fleet&, FleetState& state, std::uint64_t index) {
      state.endpoints.forget(time);
      state.endpoints.apply(index, time, command);
    });
  }

  void post(const ProcessId& from, const Outgoing& outgoing)
  {
    if (const auto* update = std::get_if<FleetUpdate>(&outgoing.message)) {
      configurationsSent += update->configuration.empty() ? 0 : 1;
    }
    if (random.chance(loss)) {
      return;
    }
    const int copies = random.chance(repeats) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto delay = Duration(random.between(500, slowest.count()));
      transit.emplace(now + delay, std::pair(from, outgoing));
    }
  }

  void deliver(const ProcessId& from, const Outgoing& outgoing)
  {
    // Encoded and decoded, so that a field that is not sent shows.
    const auto message = wire::decode<Message>(wire::encode(outgoing.message)).value();
    if (const auto control = controls.find(outgoing.to); control != controls.end()) {
      if (!control->second->down) {
        control->second->publisher.receive(now, from, message);
      }
    } else if (const auto entry = entries.find(outgoing.to); entry != entries.end()) {
      entry->second.receive(now, from, message);
      for (const auto& crash : entry->second.takeChanges().crashes) {
        reported[{ outgoing.to, crash.fingerprint }] += crash.crashes;
      }
    }
  }

  void applyLog(Control& control)
  {
    const auto behind = log.size() - control.applied;
    const auto count = lag ? random.below(behind + 1) : behind;
    for (std::uint64_t i = 0; i < count; ++i) {
      const auto& entry = log[control.applied];
      entry(*this, control.state, ++control.applied);
    }
    control.publisher.publishChanges(now);
  }

  void step()
  {
    now = now + ms(20);
    while (!transit.empty() && transit.begin()->first <= now) {
      const auto [from, outgoing] = transit.extract(transit.begin()).mapped();
      deliver(from, outgoing);
    }
    for (auto& [id, control] : controls) {
      if (control->down) {
        continue;
      }
      applyLog(*control);
      control->publisher.tick(now);
      for (const auto& outgoing : control->publisher.takeOutgoing()) {
        post(id, outgoing);
      }
    }
    for (auto& [id, entry] : entries) {
      entry.tick(now);
      for (const auto& outgoing : entry.takeOutgoing()) {
        post(id, outgoing);
      }
    }
  }

  void run(Duration duration)
  {
    for (const auto end = now + duration; now < end;) {
      step();
    }
  }

  Control& control(std::size_t i) { return *controls.at(ids[i]); }
  FleetSubscriber& entry(const std::string& id) { return entries.at(ProcessId(id)); }

  Random random;
  Time now{ 1'000'000'000 };
  std::vector<ProcessId> ids;
  std::map<ProcessId, std::unique_ptr<Control>> controls;
  std::map<ProcessId, FleetSubscriber> entries;
  std::vector<Entry> log;
  std::multimap<Time, std::pair<ProcessId, Outgoing>> transit;
  double loss = 0;
  double repeats = 0;
  Duration slowest{ 1000 };
  bool lag = false;
  int configurationsSent = 0;
  /** Sums of the crashes in FleetChanges by entry process and fingerprint. */
  std::map<std::pair<ProcessId, std::uint64_t>, std::uint64_t> reported;
};

struct TwoControls : Fleet
{
  TwoControls()
    : Fleet(2, 2)
  {
  }
};

} // namespace

// Guards against a change that waits for the next second, and against a configuration that is sent
// more than once to a subscriber.
TEST_CASE_FIXTURE(TwoControls, "Publisher_change_reachesSubscribersAtOnce")
{
  run(ms(100));
  putConfiguration(3);
  commit(PutEndpoint{ announcementOf("1", 1) });
  run(ms(60));
  CHECK(entry("e0").configurationVersion() == 3);
  CHECK(*entry("e1").configuration() == "bytes of 3");
  CHECK(entry("e0").endpoints().size() == 1);
  CHECK(entry("e0").endpointRevision() == 2);
  commit(RemoveEndpoint{ EndpointId("1"), 100, 2 });
  run(ms(60));
  CHECK(entry("e0").endpoints().empty());
  run(ms(3000));
  CHECK(configurationsSent == 2);
  CHECK(entry("e0").entryProcesses() == 2);
}

// Guards against a lost update that the subscriber never gets.
TEST_CASE_FIXTURE(TwoControls, "Publisher_lostUpdate_isRepairedByTheNextSubscribe")
{
  run(ms(100));
  loss = 1;
  putConfiguration(3);
  commit(PutEndpoint{ announcementOf("1", 1) });
  run(ms(60));
  loss = 0;
  CHECK(entry("e0").configurationVersion() == 0);
  run(FleetSubscriber::kInterval);
  CHECK(entry("e0").configurationVersion() == 3);
  CHECK(entry("e0").endpoints().size() == 1);
}

// Guards against a subscriber that misses a gap and keeps a wrong registry.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_updateAfterAGap_isIgnoredAndAskedFor")
{
  auto& subscriber = entry("e0");
  FleetUpdate update;
  update.endpointRevision = 9;
  update.sinceRevision = 7;
  update.endpoints.emplace_back().id = EndpointId("1");
  subscriber.receive(now, ids[1], update);
  CHECK(subscriber.endpoints().empty());
  const auto asked = subscriber.takeOutgoing();
  REQUIRE(asked.size() == 1);
  CHECK(asked[0].to == ids[1]);
  CHECK(std::get<Subscribe>(asked[0].message).endpointRevision == 0);
  update.sinceRevision = 0;
  subscriber.receive(now, ids[1], update);
  CHECK(subscriber.endpoints().size() == 1);
  update.endpointRevision = 8;
  update.endpoints.clear();
  subscriber.receive(now, ids[1], update);
  CHECK(subscriber.endpoints().size() == 1);
}

// Guards against an entry process that stays with a dead control process, or returns to it without
// need.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_silentControl_turnsToALearnedOneAndStays")
{
  run(ms(100));
  CHECK(entry("e0").control() == ids[0]);
  control(0).down = true;
  run(FleetSubscriber::kSilence + FleetSubscriber::kTryNextAfter + ms(100));
  CHECK(entry("e0").control() == ids[1]);
  control(0).down = false;
  putConfiguration(4);
  run(ms(3000));
  CHECK(entry("e0").control() == ids[1]);
  CHECK(control(0).publisher.subscribers().empty());
  CHECK(control(1).publisher.subscribers().size() == 2);
  CHECK(entry("e0").configurationVersion() == 4);
}

// Guards against an entry process that follows a control process cut from the leader.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_controlWithoutLeader_turnsToAnotherAtOnce")
{
  run(ms(100));
  control(0).publisher.setLeaderContact(now, false);
  run(ms(100));
  CHECK(entry("e0").control() == ids[1]);
  control(1).publisher.setLeaderContact(now, false);
  run(ms(5000));
  CHECK_FALSE(entry("e0").control().has_value());
  control(0).publisher.setLeaderContact(now, true);
  run(ms(100));
  CHECK(entry("e0").control() == ids[0]);
}

// Guards against processes that count as alive after they stopped or died.
TEST_CASE_FIXTURE(TwoControls, "Publisher_goneSubscribers_areNotCounted")
{
  run(ms(100));
  CHECK(control(0).publisher.entryProcesses().size() == 2);
  entry("e0").stop();
  run(ms(100));
  CHECK(control(0).publisher.entryProcesses().size() == 1);
  entries.clear();
  run(FleetPublisher::kForgetAfter + ms(1100));
  CHECK(control(0).publisher.entryProcesses().size() == 0);
}

// Guards against a crash that counts twice, is told to the process that saw it, or is lost with its
// control process.
TEST_CASE_FIXTURE(TwoControls, "Crashes_ofOneProcess_areToldOnceToTheOthers")
{
  run(ms(100));
  entry("e0").addCrash(now, 77);
  entry("e0").addCrash(now, 77);
  run(ms(100));
  CHECK(entry("e1").crashesOfOthers(77) == 2);
  CHECK(entry("e0").crashesOfOthers(77) == 0);
  control(0).down = true;
  run(ms(3000));
  entry("e0").addCrash(now, 77);
  run(ms(100));
  CHECK(reported[{ ProcessId("e1"), 77 }] == 3);
  CHECK(entry("e1").crashesOfOthers(77) == 3);
}

// Guards against a crash that the subscribers of another control process learn a second later.
TEST_CASE_FIXTURE(TwoControls, "Crashes_ofOneProcess_reachSubscribersOfOtherControlsAtOnce")
{
  const SubscriberSettings other{ Incarnation{ 1 }, ZoneId("z1"), { ids[1] }, 7 };
  entries.insert_or_assign(ProcessId("e1"), FleetSubscriber(other));
  run(ms(1100));
  REQUIRE(entry("e0").control() == ids[0]);
  REQUIRE(entry("e1").control() == ids[1]);
  for (std::uint64_t crashes = 1; crashes <= 3; ++crashes) {
    entry("e0").addCrash(now, 77);
    run(ms(100));
    CHECK(entry("e1").crashesOfOthers(77) == crashes);
  }
}

// Guards against a crash that waits for the next second because no control process was in use yet.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_crashDuringItsSearch_isToldWithTheFirstContact")
{
  run(ms(100));
  const SubscriberSettings late{ Incarnation{ 2 }, ZoneId("z1"), { ids[0] }, 7 };
  entries.insert_or_assign(ProcessId("e0"), FleetSubscriber(late));
  entry("e0").tick(now);
  REQUIRE_FALSE(entry("e0").control().has_value());
  entry("e0").addCrash(now, 77);
  run(ms(100));
  CHECK(entry("e1").crashesOfOthers(77) == 1);
}

namespace {

/** Random changes, outages and crashes. */
struct Storm : Fleet
{
  explicit Storm(std::uint64_t seed)
    : Fleet(3, 4, seed)
  {
    loss = 0.2;
    repeats = 0.2;
    slowest = ms(400);
    lag = true;
  }

  void act()
  {
    const auto dice = random.below(100);
    auto& any = control(random.below(controls.size()));
    if (dice < 10) {
      putConfiguration(++version);
    } else if (dice < 50) {
      commit(PutEndpoint{ announcementOf(std::to_string(random.below(9)), ++sequence) });
    } else if (dice < 60) {
      const EndpointId id(std::to_string(random.below(9)));
      commit(ExpireEndpoint{ id, 100, ++sequence });
    } else if (dice < 65) {
      any.publisher.setLeaderContact(now, random.chance(0.5));
    } else if (dice < 70) {
      any.down = !any.down;
    } else if (dice < 75) {
      const ProcessId id("e" + std::to_string(random.below(entries.size())));
      const auto fingerprint = random.below(3);
      entries.at(id).addCrash(now, fingerprint);
      ++crashes[fingerprint];
      ++ownCrashes[{ id, fingerprint }];
    } else if (dice < 77) {
      // Removals older than this are forgotten, so that subscribers need whole answers.
      now = now + ms(500);
      forgetAll();
    }
  }

  void forgetAll()
  {
    const auto time = now + EndpointBook::kTombstoneTime;
    log.emplace_back(
      [time](Fleet&, FleetState& state, std::uint64_t) { state.endpoints.forget(time); });
  }

  void calm()
  {
    loss = 0;
    repeats = 0;
    slowest = ms(5);
    lag = false;
    for (auto& [id, control] : controls) {
      control->down = false;
      control->publisher.setLeaderContact(now, true);
    }
  }

  std::uint64_t version = 0;
  std::uint64_t sequence = 0;
  std::map<std::uint64_t, std::uint64_t> crashes;
  std::map<std::pair<ProcessId, std::uint64_t>, std::uint64_t> ownCrashes;
};

} // namespace

// Guards against any loss, repetition or order of messages that leaves a subscriber with another
// state than the log, or that moves it backwards.
TEST_CASE("Fleet_randomLossAndOutages_endsWithEqualState")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    Storm storm(seed);
    std::map<ProcessId, std::pair<std::uint64_t, std::uint64_t>> last;
    for (int i = 0; i < 300; ++i) {
      storm.act();
      storm.run(ms(static_cast<std::int64_t>(storm.random.below(200))));
      for (const auto& [id, entry] : storm.entries) {
        REQUIRE(entry.configurationVersion() >= last[id].first);
        REQUIRE(entry.endpointRevision() >= last[id].second);
        last[id] = { entry.configurationVersion(), entry.endpointRevision() };
      }
    }
    storm.calm();
    storm.run(ms(4000));
    const auto& state = storm.control(0).state;
    for (const auto& [id, entry] : storm.entries) {
      CHECK(entry.control().has_value());
      CHECK(entry.configurationVersion() == storm.version);
      CHECK(*entry.configuration() == *state.configuration.bytes());
      CHECK(entry.endpointRevision() == state.endpoints.revision());
      std::vector<EndpointRecord> records;
      for (const auto& [name, record] : entry.endpoints()) {
        records.push_back(record);
      }
      CHECK(records == state.endpoints.records());
      CHECK(entry.entryProcesses() == storm.entries.size());
      for (const auto& [fingerprint, count] : storm.crashes) {
        const auto others = count - storm.ownCrashes[{ id, fingerprint }];
        CHECK(entry.crashesOfOthers(fingerprint) == others);
        CHECK(storm.reported[{ id, fingerprint }] == others);
      }
    }
  }
}
