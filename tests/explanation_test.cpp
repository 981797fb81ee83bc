#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "dispatch/dispatch.h"

#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::dispatch;
using namespace std::chrono_literals;

namespace {

const ServiceName kModel("model");

/** A dispatcher with even load and 60 engines. */
struct ExplanationFixture
{
  ExplanationFixture() { configure(dispatcher); }

  static DispatcherSettings settings()
  {
    DispatcherSettings settings;
    settings.zone = ZoneId("a");
    settings.evenLoad = true;
    return settings;
  }

  static void configure(Dispatcher& target)
  {
    fleet::ServiceSettings service;
    service.name = kModel;
    service.maxConnections = 500;
    service.engine = fleet::EngineTraits{ 48, 430'000, 100, 6 };
    target.setServices(kNow, { &service, 1 });
    std::vector<fleet::EndpointRecord> records;
    for (int i = 0; i < 60; ++i) {
      fleet::EndpointRecord record;
      record.id = EndpointId("m" + std::to_string(i));
      record.service = kModel;
      record.address = "10.0.0.1:" + std::to_string(1000 + i);
      record.zone = ZoneId(i % 2 == 0 ? "a" : "b");
      record.slots = 48;
      record.startedAtMs = 1;
      records.push_back(record);
    }
    target.setEndpoints(kNow, records);
  }

  RequestInfo makeRequest()
  {
    RequestInfo request;
    request.id = ++lastId;
    request.service = kModel;
    request.workspace = "w";
    request.arrival = kNow;
    request.deadline = kNow + 10s;
    request.target = 500ms;
    request.parts = { { 1, 500 }, { lastId % 7, 4'900 }, { 1'000'000 + lastId, 6'600 } };
    request.promptTokens = 12'000;
    return request;
  }

  static constexpr Time kNow{ 1'000'000'000 };
  Dispatcher dispatcher{ settings() };
  std::uint64_t lastId = 0;
};

} // namespace

// Guards against an explanation that names another engine than the request then gets.
TEST_CASE_FIXTURE(ExplanationFixture, "Dispatcher_explain_namesTheEngineThatIsChosen")
{
  for (int i = 0; i < 100; ++i) {
    const auto request = makeRequest();
    const auto explanation = dispatcher.explain(kNow, request);
    const auto choice = dispatcher.choose(kNow, request, {});
    REQUIRE(choice);
    CHECK(explanation.chosen == choice->endpoint);
    CHECK(explanation.endpoints.size() == 60);
  }
}

// Guards against explanations that change where later requests go.
TEST_CASE_FIXTURE(ExplanationFixture, "Dispatcher_explain_changesNoLaterChoice")
{
  Dispatcher other{ settings() };
  configure(other);
  for (int i = 0; i < 100; ++i) {
    const auto request = makeRequest();
    for (int j = 0; j < 3; ++j) {
      static_cast<void>(dispatcher.explain(kNow, makeRequest()));
    }
    CHECK(dispatcher.choose(kNow, request, {})->endpoint ==
          other.choose(kNow, request, {})->endpoint);
  }
  CHECK(dispatcher.requestsPerSecond(kNow) == doctest::Approx(other.requestsPerSecond(kNow)));
}

TEST_CASE_FIXTURE(ExplanationFixture, "Dispatcher_explainInEvacuatedZones_namesObstaclesAndRefusal")
{
  const std::vector<ZoneId> zones{ ZoneId("a"), ZoneId("b") };
  dispatcher.setEvacuatedZones(kNow, zones);
  const auto explanation = dispatcher.explain(kNow, makeRequest());
  CHECK_FALSE(explanation.chosen);
  REQUIRE(explanation.refusal);
  CHECK(explanation.refusal->isEvacuated);
  for (const auto& endpoint : explanation.endpoints) {
    const bool isNotAccepting = endpoint.obstacle == Obstacle::notAccepting;
    CHECK(isNotAccepting);
  }
}
