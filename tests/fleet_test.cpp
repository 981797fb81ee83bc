#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "FleetSimulation.h"

#include <chrono>
#include <doctest/doctest.h>
#include <map>

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
struct ConfigurationFixture
{
  ConfigurationFixture()
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

// Guards against an error that hides the ones after it, and against refusing a valid configuration.
TEST_CASE_FIXTURE(ConfigurationFixture, "Validate_severalFaults_listsEachOne")
{
  CHECK(validate(configuration).empty());
  configuration.routes[0].split = { { ServiceName("absent"), 1 } };
  configuration.routes[1].split = { { ServiceName("chat"), 0 } };
  configuration.routes[2].timeout = Duration(0);
  configuration.routes[3] = routeOf("v1", "API.example:80", "/v1/");
  configuration.workspaces[1].keys = { "k1" };
  configuration.services.push_back(configuration.services[0]);
  // One more than the changes above: both the name and the prefix of the last route are in use.
  CHECK(validate(configuration).size() == 7);
}

// Guards against matching a route of another host, a shorter prefix or the query of the path.
TEST_CASE_FIXTURE(ConfigurationFixture, "RouteTable_match_returnsLongestPrefixOfTheHost")
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

// Guards against a split that ignores the weights or assigns one request to two services.
TEST_CASE_FIXTURE(ConfigurationFixture, "PickService_weights_splitRequestsById")
{
  auto route = routeOf("split", "h", "/");
  route.split = { { ServiceName("a"), 9 }, { ServiceName("none"), 0 }, { ServiceName("b"), 1 } };
  std::map<std::string, int> counts;
  for (int i = 0; i < 10'000; ++i) {
    const auto id = "request-" + std::to_string(i);
    const auto& pickedService = RouteTable::pickService(route, id);
    CHECK(pickedService == RouteTable::pickService(route, id));
    ++counts[pickedService.value];
  }
  CHECK(counts["none"] == 0);
  CHECK(counts["b"] > 850);
  CHECK(counts["b"] < 1150);
}

// Guards against indexing in quadratic time and matching in linear time in the number of routes.
TEST_CASE_FIXTURE(ConfigurationFixture, "RouteTable_manyRoutes_areIndexedAndMatchedQuickly")
{
  configuration.routes.clear();
  for (int i = 0; i < 1500; ++i) {
    const auto name = "r" + std::to_string(i);
    configuration.routes.push_back(routeOf(name, "api.example", "/v1/" + name + "/"));
  }
  using Clock = std::chrono::steady_clock;
  const auto startedAt = Clock::now();
  const RouteTable table(configuration);
  const auto builtAt = Clock::now();
  int matchCount = 0;
  for (int i = 0; i < 15'000; ++i) {
    const auto path = "/v1/r" + std::to_string(i) + "/rest";
    matchCount += table.match("api.example", path) != nullptr ? 1 : 0;
  }
  const auto matchedAt = Clock::now();
  CHECK(matchCount == 1500);
  MESSAGE("built in us: ",
          std::chrono::duration_cast<Duration>(builtAt - startedAt).count(),
          ", 15000 matches in us: ",
          std::chrono::duration_cast<Duration>(matchedAt - builtAt).count());
  // Ten times the measured times, so that a busy machine does not fail the test.
  CHECK(builtAt - startedAt < std::chrono::milliseconds(50));
  CHECK(matchedAt - builtAt < std::chrono::milliseconds(150));
}

namespace {

/** An announcement tracker with endpoint "1" in its registry. */
struct AnnouncementTrackerFixture
{
  AnnouncementTrackerFixture() { commit(PutEndpoint{ announcement }); }

  template<typename Command>
  void commit(const Command& command)
  {
    state.endpoints.apply(++index, now, command);
  }

  /** Checks for expired endpoints every 500 ms and returns the first commands. The daemon checks
      more often. */
  std::vector<ExpireEndpoint> waitForExpiry(Duration duration)
  {
    std::vector<ExpireEndpoint> commands;
    for (const auto end = now + duration; now < end && commands.empty();) {
      now = now + ms(500);
      commands = announcementTracker.proposeExpirations(now);
    }
    return commands;
  }

  FleetState state;
  AnnouncementTracker announcementTracker{ state };
  Announcement announcement = announcementOf("1", 5);
  std::uint64_t index = 0;
  Time now{ 1'000'000'000 };
};

} // namespace

// Guards against an acknowledgement before the commit, and against a proposal for every
// announcement.
TEST_CASE_FIXTURE(AnnouncementTrackerFixture,
                  "AnnouncementTracker_announcement_isProposedOnlyIfItChangesTheRegistry")
{
  announcement.sequence = 9;
  CHECK_FALSE(announcementTracker.announce(now, announcement).has_value());
  auto delayedAnnouncement = announcement;
  delayedAnnouncement.sequence = 8;
  delayedAnnouncement.slots = 9;
  CHECK_FALSE(announcementTracker.announce(now, delayedAnnouncement).has_value());
  announcement.sequence = 10;
  announcement.state = EndpointState::draining;
  CHECK(announcementTracker.announce(now, announcement).has_value());
  delayedAnnouncement = announcement;
  delayedAnnouncement.sequence = 9;
  // The change to draining is not committed yet, so its first announcement must not be
  // acknowledged.
  CHECK(announcementTracker.announce(now, delayedAnnouncement).has_value());
  commit(PutEndpoint{ announcement });
  CHECK_FALSE(announcementTracker.announce(now, announcement).has_value());
  const RemoveEndpoint removal{ announcement.id, announcement.startedAtMs, 11 };
  CHECK(announcementTracker.withdraw(announcement.id).has_value());
  commit(removal);
  CHECK_FALSE(announcementTracker.withdraw(announcement.id).has_value());
  CHECK_FALSE(announcementTracker.announce(now, announcement).has_value());
}

// Guards against an acknowledged removal that is not recorded because the endpoint had expired
// before, so that a late announcement registers it again.
TEST_CASE_FIXTURE(AnnouncementTrackerFixture,
                  "AnnouncementTracker_removalAfterExpiry_keepsLateAnnouncementsOut")
{
  commit(ExpireEndpoint{ announcement.id, announcement.startedAtMs, announcement.sequence });
  const auto removal = announcementTracker.withdraw(announcement.id);
  REQUIRE(removal.has_value());
  commit(std::get<RemoveEndpoint>(*removal));
  announcement.sequence = 15;
  CHECK_FALSE(announcementTracker.announce(now, announcement).has_value());
  CHECK_FALSE(announcementTracker.withdraw(announcement.id).has_value());
  announcement.startedAtMs += 1;
  CHECK(announcementTracker.announce(now, announcement).has_value());
}

// Guards against a follower or a new leader that expires an endpoint too early, and against a
// silent endpoint that never expires.
TEST_CASE_FIXTURE(AnnouncementTrackerFixture,
                  "AnnouncementTracker_silentEndpoint_expiresOnlyAfterSixSecondsOfLeadership")
{
  CHECK(waitForExpiry(ms(10'000)).empty());
  announcementTracker.setLeader(now, true);
  CHECK(waitForExpiry(ms(5500)).empty());
  const auto commands = waitForExpiry(ms(500));
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].sequence == 5);
  CHECK(announcementTracker.proposeExpirations(now).empty());
  CHECK(waitForExpiry(ms(1000)).size() == 1);
}

// Guards against expiring an endpoint that announces itself to another control process, and against
// an expiry that a later announcement in the log does not stop.
TEST_CASE_FIXTURE(AnnouncementTrackerFixture,
                  "AnnouncementTracker_announcementToOtherControl_delaysExpiry")
{
  announcementTracker.setLeader(now, true);
  CHECK(waitForExpiry(ms(4000)).empty());
  FleetState otherState;
  AnnouncementTracker otherTracker(otherState);
  announcement.sequence = 8;
  otherTracker.announce(now - ms(1000), announcement);
  const auto announcements = otherTracker.recentAnnouncements(now);
  REQUIRE(announcements.size() == 1);
  CHECK(otherTracker.recentAnnouncements(now + ms(3000)).empty());
  announcementTracker.mergeAnnouncements(now, announcements);
  CHECK(announcementTracker.recentAnnouncements(now).empty());
  CHECK(waitForExpiry(ms(4500)).empty());
  const auto commands = waitForExpiry(ms(500));
  REQUIRE(commands.size() == 1);
  CHECK(commands[0].sequence == 8);
}

// Guards against a leader that expires all endpoints after its process was suspended for a while.
TEST_CASE_FIXTURE(AnnouncementTrackerFixture,
                  "AnnouncementTracker_suspendedLeader_restartsItsTimers")
{
  announcementTracker.setLeader(now, true);
  announcementTracker.announce(now, announcement);
  CHECK(waitForExpiry(ms(3000)).empty());
  now = now + ms(20'000);
  CHECK(announcementTracker.proposeExpirations(now).empty());
  CHECK(waitForExpiry(ms(5500)).empty());
  CHECK(waitForExpiry(ms(500)).size() == 1);
}

namespace {

struct TwoControls : FleetSimulation
{
  TwoControls()
    : FleetSimulation(2, 2)
  {
  }
};

} // namespace

// Guards against a change that is only sent with the next update, and against sending a
// configuration to a subscriber more than once.
TEST_CASE_FIXTURE(TwoControls, "Publisher_change_reachesSubscribersImmediately")
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

// Guards against a lost update that the subscriber never receives.
TEST_CASE_FIXTURE(TwoControls, "Publisher_lostUpdate_isResentAfterTheNextSubscribe")
{
  run(ms(100));
  lossRate = 1;
  putConfiguration(3);
  commit(PutEndpoint{ announcementOf("1", 1) });
  run(ms(60));
  lossRate = 0;
  CHECK(entry("e0").configurationVersion() == 0);
  run(FleetSubscriber::kInterval);
  CHECK(entry("e0").configurationVersion() == 3);
  CHECK(entry("e0").endpoints().size() == 1);
}

// Guards against a subscriber that applies an update after a gap and ends up with a wrong registry.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_updateAfterGap_isIgnoredAndRequestedAgain")
{
  auto& subscriber = entry("e0");
  FleetUpdate update;
  update.endpointRevision = 9;
  update.sinceRevision = 7;
  update.endpoints.emplace_back().id = EndpointId("1");
  subscriber.receive(now, ids[1], update);
  CHECK(subscriber.endpoints().empty());
  const auto messages = subscriber.takeOutgoing();
  REQUIRE(messages.size() == 1);
  CHECK(messages[0].to == ids[1]);
  CHECK(std::get<Subscribe>(messages[0].message).endpointRevision == 0);
  update.sinceRevision = 0;
  subscriber.receive(now, ids[1], update);
  CHECK(subscriber.endpoints().size() == 1);
  update.endpointRevision = 8;
  update.endpoints.clear();
  subscriber.receive(now, ids[1], update);
  CHECK(subscriber.endpoints().size() == 1);
}

// Guards against an entry process that stays with a control process that is down, or that switches
// back without need.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_silentControl_switchesToAnotherOneAndStays")
{
  run(ms(100));
  CHECK(entry("e0").control() == ids[0]);
  control(0).isDown = true;
  run(FleetSubscriber::kSilenceTimeout + FleetSubscriber::kTryNextInterval + ms(100));
  CHECK(entry("e0").control() == ids[1]);
  control(0).isDown = false;
  putConfiguration(4);
  run(ms(3000));
  CHECK(entry("e0").control() == ids[1]);
  CHECK(control(0).publisher.subscribers().empty());
  CHECK(control(1).publisher.subscribers().size() == 2);
  CHECK(entry("e0").configurationVersion() == 4);
}

// Guards against an entry process that stays with a control process without contact with the
// leader.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_controlWithoutLeader_switchesImmediately")
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

// Guards against counting processes as live after they stopped or crashed.
TEST_CASE_FIXTURE(TwoControls, "Publisher_stoppedSubscribers_areNotCounted")
{
  run(ms(100));
  CHECK(control(0).publisher.entryProcesses().size() == 2);
  entry("e0").stop();
  run(ms(100));
  CHECK(control(0).publisher.entryProcesses().size() == 1);
  entries.clear();
  run(FleetPublisher::kSilenceTimeout + ms(1100));
  CHECK(control(0).publisher.entryProcesses().size() == 0);
}

// Guards against a crash that counts twice, at the process that observed it or at another one, or
// is lost together with its control process.
TEST_CASE_FIXTURE(TwoControls, "Crashes_ofOneProcess_countOnceEverywhere")
{
  const ProcessId e0("e0");
  const ProcessId e1("e1");
  run(ms(100));
  addCrash(e0, 77);
  addCrash(e0, 77);
  run(ms(100));
  CHECK(reportedCrashes(e1, 77) == 2);
  CHECK(reportedCrashes(e0, 77) == 2);
  control(0).isDown = true;
  run(ms(3000));
  addCrash(e0, 77);
  run(ms(100));
  CHECK(reportedCrashes(e1, 77) == 3);
  CHECK(reportedCrashes(e0, 77) == 3);
}

// Guards against one crash that counts once for each process that had a request on the endpoint.
TEST_CASE_FIXTURE(TwoControls, "Crash_observedByTwoProcesses_countsOnce")
{
  run(ms(100));
  const CrashReport report{ 5, { 77 } };
  entry("e0").addCrash(now, report);
  entry("e1").addCrash(now, report);
  entry("e1").addCrash(now, { 5, { 77, 78 } });
  run(ms(100));
  CHECK(reportedCrashes(ProcessId("e0"), 77) == 1);
  CHECK(reportedCrashes(ProcessId("e1"), 77) == 1);
}

// Guards against a process that goes on refusing what another one has seen answered.
TEST_CASE_FIXTURE(TwoControls, "Crash_refutedByOneProcess_isRefutedEverywhere")
{
  run(ms(100));
  const CrashReport report{ 5, { 77, 78 } };
  entry("e0").addCrash(now, report);
  run(ms(100));
  CrashReport refutation = report;
  refutation.refuted = 1;
  entry("e1").addRefutation(now, refutation);
  run(ms(2200));
  for (const auto* id : { "e0", "e1" }) {
    CHECK(reportedCrashes(ProcessId(id), 77) == 0);
    CHECK(reportedCrashes(ProcessId(id), 78) == 1);
  }
}

// Guards against a report that comes back as a new one after it has expired at some processes.
TEST_CASE("CrashReportStore_reportOfAnOlderProcess_keepsItsAge")
{
  Time now{ 1'000'000'000 };
  CrashReportStore first;
  first.merge(now, { 5, { 77 } });
  now = now + CrashReportStore::kRetention - ms(1000);
  CrashReportStore second;
  ResendCursor cursor;
  for (const auto& report : first.reportsFor(now, cursor)) {
    second.merge(now, report);
  }
  CHECK(second.endpointsOf(77).size() == 1);
  now = now + ms(1000);
  second.expire(now);
  CHECK(second.endpointsOf(77).empty());
  CrashReport expired{ 5, { 77 } };
  expired.ageMs = CrashReportStore::kRetention.count() / 1000;
  CHECK(second.merge(now, expired) == CrashReportStore::MergeResult::unchanged);
}

// Guards against a crash that reaches the subscribers of another control process only a second
// later.
TEST_CASE_FIXTURE(TwoControls, "Crashes_ofOneProcess_reachSubscribersOfOtherControlsImmediately")
{
  const SubscriberSettings otherSettings{ Incarnation{ 1 }, ZoneId("z1"), { ids[1] }, 7 };
  entries.insert_or_assign(ProcessId("e1"), FleetSubscriber(otherSettings));
  run(ms(1100));
  REQUIRE(entry("e0").control() == ids[0]);
  REQUIRE(entry("e1").control() == ids[1]);
  for (std::uint64_t crashes = 1; crashes <= 3; ++crashes) {
    addCrash(ProcessId("e0"), 77);
    run(ms(100));
    CHECK(reportedCrashes(ProcessId("e1"), 77) == crashes);
  }
}

// Guards against a crash that is reported a second late because no control process was in use yet.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_crashDuringSearch_isReportedOnFirstContact")
{
  run(ms(100));
  const SubscriberSettings restartedSettings{ Incarnation{ 2 }, ZoneId("z1"), { ids[0] }, 7 };
  entries.insert_or_assign(ProcessId("e0"), FleetSubscriber(restartedSettings));
  entry("e0").tick(now);
  REQUIRE_FALSE(entry("e0").control().has_value());
  addCrash(ProcessId("e0"), 77);
  run(ms(100));
  CHECK(reportedCrashes(ProcessId("e1"), 77) == 1);
}

// Guards against a limit, or its end, that the other entry processes learn only seconds later.
TEST_CASE_FIXTURE(TwoControls, "RateLimit_observedByOneProcess_reachesTheOthersImmediately")
{
  const SubscriberSettings otherSettings{ Incarnation{ 1 }, ZoneId("z1"), { ids[1] }, 7 };
  entries.insert_or_assign(ProcessId("e1"), FleetSubscriber(otherSettings));
  run(ms(1100));
  REQUIRE(entry("e0").control() == ids[0]);
  REQUIRE(entry("e1").control() == ids[1]);
  for (const bool isLimited : { true, false, true }) {
    entry("e0").setRateLimits(now, { { 5, isLimited, 2.5, 0 } }, true);
    run(ms(100));
    const auto* record = receivedLimits[ProcessId("e1")].find(5);
    REQUIRE(record != nullptr);
    CHECK(record->limit.isLimited == isLimited);
    CHECK(record->limit.requestsPerSecond == 2.5);
  }
  entry("e0").setRateLimits(now, {}, false);
  run(ms(100));
  CHECK(receivedLimits[ProcessId("e1")].find(5)->limit.isLimited);
}

// Guards against a message and an update to every process for each answer of an endpoint whose
// limit changes all the time.
TEST_CASE_FIXTURE(TwoControls, "RateLimit_changesWithEveryAnswer_causesFewMessages")
{
  run(ms(1100));
  const auto updatesBefore = updatesSent;
  for (int i = 0; i < 100; ++i) {
    entry("e0").setRateLimits(now, { { 5, true, 2 + i * 0.01, 0 } }, true);
    run(ms(20));
  }
  // 20 messages in 2 s, each with a reply and an update to the other process.
  CHECK(updatesSent - updatesBefore <= 50);
  run(ms(200));
  CHECK(receivedLimits[ProcessId("e1")].find(5)->limit.requestsPerSecond == doctest::Approx(2.99));
}

// Guards against a limit that is unknown to a process whose first message about it was lost, or
// that started later.
TEST_CASE_FIXTURE(TwoControls, "RateLimit_processStartsLater_learnsIt")
{
  run(ms(100));
  entry("e0").setRateLimits(now, { { 5, true, 2.5, 0 } }, true);
  run(ms(100));
  entry("e0").setRateLimits(now, {}, false);
  const SubscriberSettings settings{ Incarnation{ 2 }, ZoneId("z1"), { ids[1] }, 7 };
  entries.insert_or_assign(ProcessId("e1"), FleetSubscriber(settings));
  receivedLimits.clear();
  run(ms(200));
  CHECK(receivedLimits[ProcessId("e1")].find(5) != nullptr);
}

// Guards against an old answer that revives a limit after its end, whatever the order of messages.
TEST_CASE("RateLimitStore_olderObservation_isIgnored")
{
  Time now{ 1'000'000'000 };
  RateLimitStore store;
  CHECK(store.merge(now, { 5, true, 2, 0 }));
  CHECK(store.merge(now + ms(200), { 5, false, 0, 0 }));
  CHECK_FALSE(store.merge(now + ms(300), { 5, true, 2, 200 }));
  CHECK_FALSE(store.find(5)->limit.isLimited);
  CHECK_FALSE(store.merge(now + ms(300), { 6, false, 0, 0 }));
  CHECK(store.find(6) == nullptr);
}

// Guards against memory that grows with endpoints that are gone, and against a limit that ends
// while its endpoint goes on naming it.
TEST_CASE("RateLimitStore_noObservations_expires")
{
  Time now{ 1'000'000'000 };
  RateLimitStore store;
  for (int i = 0; i < 10; ++i) {
    store.merge(now, { 5, true, 2, 0 });
    now = now + RateLimitStore::kRetention - ms(1000);
    store.expire(now);
    REQUIRE(store.find(5) != nullptr);
  }
  now = now + ms(1000);
  store.expire(now);
  CHECK_FALSE(store.hasLimits());
}

// Guards against request rates that are sent all the time although only limits need them.
TEST_CASE_FIXTURE(TwoControls, "RequestRates_limitExists_areSentToAllProcesses")
{
  entry("e0").setRequestRate(7);
  run(ms(3000));
  CHECK(receivedRates.empty());
  entry("e1").setRateLimits(now, { { 5, true, 2.5, 0 } }, true);
  run(ms(3000));
  for (const auto* id : { "e0", "e1" }) {
    const auto& rates = receivedRates[ProcessId(id)];
    REQUIRE(rates.size() == 2);
    for (const auto& rate : rates) {
      CHECK(rate.requestsPerSecond == (rate.process == fingerprintOf("e0") ? 7 : 0));
    }
  }
}

namespace {

/** Random changes, outages, crashes and message faults. */
struct RandomFaults : FleetSimulation
{
  explicit RandomFaults(std::uint64_t seed)
    : FleetSimulation(3, 4, seed)
  {
    lossRate = 0.2;
    duplicateRate = 0.2;
    maxDelay = ms(400);
    laggingControls = true;
    configurationFiller = std::string(500, 'x');
  }

  void doRandomAction()
  {
    const auto roll = random.below(100);
    auto& randomControl = control(random.below(controls.size()));
    if (roll < 10) {
      putConfiguration(++version);
    } else if (roll < 50) {
      commit(PutEndpoint{ announcementOf(std::to_string(random.below(9)), ++sequence) });
    } else if (roll < 60) {
      const EndpointId id(std::to_string(random.below(9)));
      commit(ExpireEndpoint{ id, 100, ++sequence });
    } else if (roll < 65) {
      randomControl.publisher.setLeaderContact(now, random.chance(0.5));
    } else if (roll < 70) {
      randomControl.isDown = !randomControl.isDown;
    } else if (roll < 75) {
      const ProcessId id("e" + std::to_string(random.below(entries.size())));
      const auto fingerprint = random.below(3);
      addCrash(id, fingerprint);
      ++crashes[fingerprint];
    } else if (roll < 77) {
      // Removes all tombstones, so that subscribers with an older revision need a complete update.
      now = now + ms(500);
      forgetTombstones();
    }
  }

  void forgetTombstones()
  {
    const auto time = now + EndpointStore::kTombstoneRetention;
    log.emplace_back(
      [time](FleetSimulation&, FleetState& state, std::uint64_t) { state.endpoints.forget(time); });
  }

  void endFaults()
  {
    lossRate = 0;
    duplicateRate = 0;
    maxDelay = ms(5);
    laggingControls = false;
    for (auto& [id, control] : controls) {
      control->isDown = false;
      control->publisher.setLeaderContact(now, true);
    }
  }

  std::uint64_t version = 0;
  std::uint64_t sequence = 0;
  std::map<std::uint64_t, std::uint64_t> crashes;
};

} // namespace

// Guards against any loss, duplication or reordering of messages that leaves a subscriber with a
// state other than the log's, or that reverts its state to an older one.
TEST_CASE("Fleet_randomLossAndOutages_convergesToEqualState")
{
  int deltasSent = 0;
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    CAPTURE(seed);
    RandomFaults simulation(seed);
    std::map<ProcessId, std::pair<std::uint64_t, std::uint64_t>> previousRevisions;
    for (int i = 0; i < 300; ++i) {
      simulation.doRandomAction();
      simulation.run(ms(static_cast<std::int64_t>(simulation.random.below(200))));
      for (const auto& [id, entry] : simulation.entries) {
        REQUIRE(entry.configurationVersion() >= previousRevisions[id].first);
        REQUIRE(entry.endpointRevision() >= previousRevisions[id].second);
        previousRevisions[id] = { entry.configurationVersion(), entry.endpointRevision() };
      }
    }
    simulation.endFaults();
    simulation.run(ms(4000));
    const auto& state = simulation.control(0).state;
    for (const auto& [id, entry] : simulation.entries) {
      CHECK(entry.control().has_value());
      CHECK(entry.configurationVersion() == simulation.version);
      CHECK(*entry.configuration() == *state.configuration.bytes());
      CHECK(entry.endpointRevision() == state.endpoints.revision());
      std::vector<EndpointRecord> records;
      for (const auto& [name, record] : entry.endpoints()) {
        records.push_back(record);
      }
      CHECK(records == state.endpoints.records());
      CHECK(entry.entryProcesses() == simulation.entries.size());
      for (const auto& [fingerprint, count] : simulation.crashes) {
        CHECK(simulation.reportedCrashes(id, fingerprint) == count);
      }
    }
    deltasSent += simulation.deltasSent;
  }
  CHECK(deltasSent > 0);
}

// Guards against an order that waits for the next regular update, against an update of a process
// that lags or runs an earlier release and that undoes it, and against an end that is not
// published.
TEST_CASE_FIXTURE(TwoControls, "Evacuation_orderAndOlderUpdates_newestSetIsKept")
{
  std::uint64_t lastOrder = 0;
  const auto order = [&](bool active) {
    const SetEvacuation command{ ZoneId("b"), active, ++lastOrder };
    log.emplace_back([command](FleetSimulation&, FleetState& state, std::uint64_t index) {
      state.evacuations.apply(index, command);
    });
    run(ms(60));
  };
  run(ms(100));
  order(true);
  order(false);
  CHECK(entry("e0").evacuatedZones().empty());
  order(true);
  CHECK(entry("e1").evacuatedZones() == std::vector{ ZoneId("b") });
  FleetUpdate update;
  update.evacuationRevision = 2;
  entry("e0").receive(now, ids[1], update);
  // An earlier release sends the message without the fields of evacuations and those after them.
  update.evacuationRevision = 9;
  const auto bytes = wire::encode(Message(update));
  const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
  unpacked.get().via.array.ptr[1].via.array.size -= 3;
  entry("e0").receive(now, ids[1], wire::decode<Message>(wire::encode(unpacked.get())).value());
  CHECK(entry("e0").evacuatedZones() == std::vector{ ZoneId("b") });
}
