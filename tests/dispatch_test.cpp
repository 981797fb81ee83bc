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
const ServiceName kPlain("plain");

fleet::ServiceSettings modelService()
{
  fleet::ServiceSettings service;
  service.name = kModel;
  service.maxConnections = 200;
  service.engine = fleet::EngineTraits{ 48, 430'000, 100, 6 };
  return service;
}

fleet::ServiceSettings plainService()
{
  fleet::ServiceSettings service;
  service.name = kPlain;
  service.maxConnections = 20;
  return service;
}

fleet::EndpointRecord record(const std::string& id,
                             const ServiceName& service,
                             const std::string& zone = "a",
                             int slots = 48)
{
  fleet::EndpointRecord result;
  result.id = EndpointId(id);
  result.service = service;
  result.address = id + ":80";
  result.zone = ZoneId(zone);
  result.slots = slots;
  result.born = 1;
  return result;
}

/** One dispatcher in zone a with four engines and four plain endpoints in zones a and b. */
struct Fixture
{
  Fixture()
  {
    DispatcherSettings settings;
    settings.zone = ZoneId("a");
    dispatcher = std::make_unique<Dispatcher>(settings);
    dispatcher->setServices(now, services);
    for (const auto* zone : { "a", "b" }) {
      for (const auto* number : { "1", "2" }) {
        endpoints.push_back(record(std::string("m") + zone + number, kModel, zone));
        endpoints.push_back(record(std::string("p") + zone + number, kPlain, zone, 6));
      }
    }
    dispatcher->setEndpoints(now, endpoints);
  }

  Work work(const ServiceName& service)
  {
    Work result;
    result.id = ++lastId;
    result.service = service;
    result.kind = fleet::RouteKind::repeatable;
    result.workspace = "w";
    result.model = ModelName("m");
    result.arrival = now;
    result.deadline = now + 10s;
    result.target = 500ms;
    result.maxAttempts = 3;
    return result;
  }

  Work guide(std::uint64_t subject)
  {
    auto result = work(kModel);
    result.parts = { { 1, 500 }, { subject, 4'900 }, { 1'000'000 + lastId, 6'600 } };
    result.promptTokens = 12'000;
    result.target = 1500ms;
    return result;
  }

  void advance(Duration time)
  {
    const auto end = now + time;
    while (now < end) {
      now = now + 100ms;
      dispatcher->tick(now);
    }
  }

  /** Sends a request and ends it at once. @returns its endpoint, or "" when it was refused */
  std::string run(const Work& request, Outcome outcome = Outcome::answered)
  {
    const auto choice = dispatcher->choose(now, request, {});
    if (!choice) {
      return "";
    }
    if (outcome == Outcome::answered) {
      dispatcher->firstByte(now, request.id);
    }
    dispatcher->finished(now, request.id, outcome);
    dispatcher->forget(request.id);
    return choice->endpoint.value;
  }

  Time now{ 1'000'000'000 };
  std::uint64_t lastId = 0;
  std::vector<fleet::ServiceSettings> services{ modelService(), plainService() };
  std::vector<fleet::EndpointRecord> endpoints;
  std::unique_ptr<Dispatcher> dispatcher;
};

} // namespace

TEST_CASE_FIXTURE(Fixture, "guide_sameSubject_staysAtOneEngine")
{
  // Guards against reading shared parts on every engine.
  const auto home = run(guide(7));
  for (int i = 0; i < 20; ++i) {
    CHECK(run(guide(7)) == home);
  }
}

TEST_CASE_FIXTURE(Fixture, "endpoint_connectionRefused_isOutUntilTrial")
{
  // Guards against sending requests to an endpoint that nobody listens at.
  const auto down = run(work(kPlain), Outcome::notConnected);
  for (int i = 0; i < 20; ++i) {
    CHECK(run(work(kPlain)) != down);
  }
  advance(600ms);
  CHECK(run(work(kPlain)) == down);
}

TEST_CASE_FIXTURE(Fixture, "service_unknown_refusesAsNoEndpoint")
{
  // Guards against a wait for a service that the configuration does not have.
  const auto choice = dispatcher->choose(now, work(ServiceName("other")), {});
  REQUIRE(!choice);
  CHECK(choice.error().kind == ErrorKind::noEndpoint);
}
