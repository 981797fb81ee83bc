#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "FleetSimulation.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <iterator>

using namespace figchute;
using namespace figchute::fleet;

namespace {

/** The subscribers of a control process on the largest deployment that the users run, when no other
    control process has contact with the leader. */
constexpr std::size_t kSubscribers = 73;
constexpr int kRoutes = 1290;

/** Returns a text of the size that the configurations of the largest deployment have. */
std::string largeConfiguration(int changedRoute)
{
  std::string text = "{";
  for (int route = 0; route < kRoutes; ++route) {
    text += fmt::format(
      R"({{"name":"r-{:x}","host":"h{}.example","pathPrefix":"/p{:x}/","kind":"stream",)"
      R"("timeoutMs":12000,"targetMs":500,"priority":{},"service":"s{}"}},)",
      route * 7919,
      route % 40,
      route * 104729,
      route % 3,
      route == changedRoute ? 2 : 1);
  }
  return text;
}

struct LargeFleet : FleetSimulation
{
  LargeFleet()
    : FleetSimulation(1, kSubscribers)
  {
    putText(1, largeConfiguration(-1));
    run(ms(1500));
    updatesSent = 0;
    updateBytesSent = 0;
  }

  void putText(std::uint64_t version, const std::string& text)
  {
    log.emplace_back([version, text](FleetSimulation&, FleetState& state, std::uint64_t) {
      state.configuration.put(version, text);
    });
  }

  /** Returns whether all subscribers have a version with this text. */
  bool allHave(std::uint64_t version, const std::string& text) const
  {
    return std::all_of(entries.begin(), entries.end(), [&](const auto& item) {
      return item.second.configurationVersion() == version && *item.second.configuration() == text;
    });
  }
};

} // namespace

// Guards against control processes that are late by seconds while the configuration changes: each
// version was sent whole to each subscriber, 18 MB for a change of one route.
TEST_CASE_FIXTURE(LargeFleet, "Publisher_oneRouteOfLargeConfigurationChanges_sendsLessThanOneCopy")
{
  for (std::uint64_t version = 2; version < 12; ++version) {
    updateBytesSent = 0;
    const auto text = largeConfiguration(static_cast<int>(version) * 100);
    putText(version, text);
    run(ms(200));
    REQUIRE(allHave(version, text));
    CHECK(updateBytesSent < text.size());
  }
}

// Guards against an update to every subscriber for each of many changes of the endpoints: 3,394
// updates in one second on the largest deployment.
TEST_CASE_FIXTURE(LargeFleet, "Publisher_manyEndpointsChangeAtOnce_sendsFewUpdatesPerSubscriber")
{
  constexpr std::uint64_t kChanges = 50;
  auto& publisher = control(0).publisher;
  for (std::uint64_t i = 0; i < kChanges; ++i) {
    control(0).state.endpoints.apply(
      log.size() + i + 1, now, PutEndpoint{ announcementOf(std::to_string(i), 1) });
    publisher.publishChanges(now);
    now = now + ms(2);
  }
  run(FleetPublisher::kPublishInterval + ms(40));
  for (const auto& [id, entry] : entries) {
    REQUIRE(entry.endpoints().size() == kChanges);
  }
  // The first change at once, one update after each interval, and the regular one.
  const auto intervals = (kChanges * ms(2) + FleetPublisher::kPublishInterval - ms(1)) /
                         FleetPublisher::kPublishInterval;
  CHECK(updatesSent <= static_cast<int>(kSubscribers * (1 + intervals + 1)));
}

// Guards against an update to every subscriber for each crash: when many endpoints crash at once,
// most subscribers report crashes within the same moment.
TEST_CASE_FIXTURE(LargeFleet, "Publisher_manyCrashesAtOnce_sendsFewUpdatesPerSubscriber")
{
  std::uint64_t fingerprint = 0;
  for (auto& [id, subscriber] : entries) {
    subscriber.addCrash(now, CrashReport{ ++fingerprint, { fingerprint } });
    for (const auto& outgoing : subscriber.takeOutgoing()) {
      control(0).publisher.receive(now, id, outgoing.message);
    }
    now = now + ms(1);
  }
  run(FleetPublisher::kPublishInterval + ms(60));
  for (const auto& [id, subscriber] : entries) {
    for (std::uint64_t crash = 1; crash <= kSubscribers; ++crash) {
      REQUIRE(reportedCrashes(id, crash) == 1);
    }
  }
  // The first crash at once, one update after each interval, the answer to the subscriber's report
  // and the regular update.
  const auto intervals = (kSubscribers * ms(1) + FleetPublisher::kPublishInterval - ms(1)) /
                         FleetPublisher::kPublishInterval;
  CHECK(updatesSent <= static_cast<int>(kSubscribers * (1 + intervals + 2)));
}

// Guards against a wrong configuration after a lost update: the next delta has a base that the
// subscriber does not have.
TEST_CASE_FIXTURE(LargeFleet, "Subscriber_updateIsLost_requestsTheMissingChanges")
{
  lossRate = 1;
  putText(2, largeConfiguration(2));
  run(ms(100));
  lossRate = 0;
  CHECK(entry("e0").configurationVersion() == 1);
  putText(3, largeConfiguration(3));
  run(ms(100));
  CHECK(allHave(3, largeConfiguration(3)));
}

// Guards against a subscriber that never gets a version because its bytes differ from those of the
// control process.
TEST_CASE_FIXTURE(LargeFleet, "Subscriber_deltaDoesNotFitItsBytes_getsTheWholeConfiguration")
{
  auto& subscriber = entry("e0");
  FleetUpdate update;
  update.configurationVersion = 2;
  update.configuration = "other bytes";
  subscriber.receive(now, ids[0], update);
  putText(2, largeConfiguration(2));
  run(ms(100));
  putText(3, largeConfiguration(3));
  run(ms(1500));
  CHECK(allHave(3, largeConfiguration(3)));
}

// Guards against a delta that is sent to a subscriber of an earlier release.
TEST_CASE_FIXTURE(LargeFleet, "Publisher_subscriberDoesNotAcceptDeltas_getsTheWholeConfiguration")
{
  auto& publisher = control(0).publisher;
  Subscribe message;
  message.configurationVersion = 1;
  message.incarnation = Incarnation{ 1 };
  putText(2, largeConfiguration(2));
  run(ms(100));
  publisher.receive(now, ProcessId("old"), message);
  const auto messages = publisher.takeOutgoing();
  REQUIRE(messages.size() == 1);
  const auto& update = std::get<FleetUpdate>(messages[0].message);
  CHECK(update.baseVersion == 0);
  CHECK(update.configuration == largeConfiguration(2));
}
