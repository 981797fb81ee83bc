#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "dispatch/dispatch.h"
#include "FleetSimulation.h"
#include "ledger/ledger.h"
#include "router/EvacuationOrder.h"

#include <doctest/doctest.h>
#include <set>
#include <string>
#include <vector>

using namespace figchute;
using namespace figchute::fleet;
using namespace std::chrono_literals;

namespace {

using Zones = std::vector<ZoneId>;

const ZoneId kA("a");
const ZoneId kB("b");

/** The state machine of the log of one control process. */
struct LogFixture
{
  bool order(const ZoneId& zone, bool active, std::uint64_t id)
  {
    const auto result = state.apply(++index, now, ledger::SetEvacuation{ zone, active, id });
    return std::get<ledger::EvacuationResult>(result).changed;
  }

  const EvacuationStore& evacuations() { return state.fleet().evacuations; }

  ledger::ControlState state;
  std::uint64_t index = 0;
  Time now{ 1'000'000'000 };
};

struct TwoControls : FleetSimulation
{
  TwoControls()
    : FleetSimulation(2, 2)
  {
    run(ms(100));
  }

  void order(const ZoneId& zone, bool active)
  {
    const SetEvacuation command{ zone, active, ++lastOrder };
    log.emplace_back([command](FleetSimulation&, FleetState& state, std::uint64_t index) {
      state.evacuations.apply(index, command);
    });
  }

  std::uint64_t lastOrder = 0;
};

/** A dispatcher with the plain endpoints a1 and b1, each in the zone of its name. */
struct DispatchFixture
{
  DispatchFixture()
  {
    ServiceSettings service;
    service.name = ServiceName("plain");
    service.maxConnections = 20;
    dispatcher.setServices(now, std::vector{ service });
    dispatcher.setEndpoints(now, records);
  }

  static EndpointRecord makeRecord(const std::string& id)
  {
    EndpointRecord record;
    record.id = EndpointId(id);
    record.service = ServiceName("plain");
    record.address = id + ":80";
    record.zone = ZoneId(id.substr(0, 1));
    record.slots = 6;
    record.startedAtMs = 1;
    return record;
  }

  dispatch::RequestInfo makeRequest()
  {
    dispatch::RequestInfo request;
    request.id = ++lastRequestId;
    request.service = ServiceName("plain");
    request.kind = RouteKind::repeatable;
    request.deadline = now + 30s;
    request.maxAttempts = 3;
    return request;
  }

  /** Returns the endpoints that get any of 20 requests that run at the same time.
      @param failing  the sends to endpoints whose id begins with this text time out */
  std::set<std::string> usedEndpoints(const std::string& failing = "none")
  {
    std::set<std::string> used;
    std::vector<std::pair<std::uint64_t, dispatch::Outcome>> sent;
    for (int i = 0; i < 20; ++i) {
      const auto request = makeRequest();
      if (const auto choice = dispatcher.choose(now, request, {})) {
        used.insert(choice->endpoint.value);
        const bool fails = choice->endpoint.value.starts_with(failing);
        sent.emplace_back(request.id,
                          fails ? dispatch::Outcome::timedOut : dispatch::Outcome::answered);
      }
    }
    for (const auto& [id, outcome] : sent) {
      dispatcher.finished(now, id, outcome);
      dispatcher.forget(id);
    }
    return used;
  }

  Time now{ 1'000'000'000 };
  std::uint64_t lastRequestId = 0;
  std::vector<EndpointRecord> records{ makeRecord("a1"), makeRecord("b1") };
  dispatch::Dispatcher dispatcher{ dispatch::DispatcherSettings{ kA } };
};

} // namespace

// Guards against a copy of an order that its proposer sent twice and that undoes a later order.
TEST_CASE_FIXTURE(LogFixture, "SetEvacuation_copyAfterLaterOrder_changesNothing")
{
  CHECK(order(kB, true, 1));
  CHECK_FALSE(order(kB, true, 1));
  CHECK_FALSE(order(kB, true, 2));
  CHECK(evacuations().revision() == 1);
  CHECK(order(kA, true, 3));
  CHECK((evacuations().zones() == Zones{ kA, kB }));
  CHECK(order(kB, false, 4));
  CHECK_FALSE(order(kB, true, 1));
  CHECK_FALSE(order(kB, true, 2));
  CHECK((evacuations().zones() == Zones{ kA }));
  CHECK(order(kB, true, 5));
  CHECK(evacuations().revision() == index);
}

// Guards against a set, or the ids of recent orders, that a restart from a snapshot loses, and
// against a snapshot of an earlier release that cannot be loaded.
TEST_CASE_FIXTURE(LogFixture, "Snapshot_withAndWithoutEvacuations_loads")
{
  state.apply(++index, now, ledger::PutConfiguration{ 7, "bytes", {} });
  CHECK(order(kB, true, 1));
  const auto snapshot = state.snapshot();
  REQUIRE(state.restore(snapshot));
  CHECK((evacuations().zones() == Zones{ kB }));
  CHECK(order(kB, false, 2));
  CHECK_FALSE(order(kB, true, 1));

  const auto unpacked = msgpack::unpack(snapshot.data(), snapshot.size());
  auto older = unpacked.get();
  auto& fleetState = older.via.array.ptr[older.via.array.size - 1];
  REQUIRE(fleetState.via.array.size == 3);
  fleetState.via.array.size = 2;
  REQUIRE(state.restore(wire::encode(older)));
  CHECK(state.fleet().configuration.version() == 7);
  CHECK(evacuations().revision() == 0);
  CHECK(evacuations().zones().empty());
}

// Guards against an earlier release that stops at a command that it does not know: this release
// does with the command of a later one what an earlier one does with SetEvacuation.
TEST_CASE_FIXTURE(LogFixture, "ControlState_unknownCommand_advancesTheIndexOnly")
{
  CHECK(order(kB, true, 1));
  const auto before = state.snapshot();
  msgpack::sbuffer command;
  msgpack::packer<msgpack::sbuffer> packer(command);
  packer.pack_array(2);
  packer.pack(std::variant_size_v<ledger::Command>);
  packer.pack(ledger::SetEvacuation{ kA, true, 2 });
  const auto result = state.applyEncoded(++index, now + 60s, { command.data(), command.size() });
  CHECK(result.error().kind == ErrorKind::codecError);
  CHECK(state.lastIndex() == index);
  CHECK((evacuations().zones() == Zones{ kB }));
  CHECK(state.snapshot().size() == before.size());
  CHECK(order(kA, true, 2));
}

// Guards against an order that waits for the next regular update, and against an end of an
// evacuation that is not published because the set is empty.
TEST_CASE_FIXTURE(TwoControls, "Publisher_evacuation_reachesSubscribersImmediately")
{
  CHECK(entry("e0").evacuationRevision() == 0);
  order(kA, true);
  order(kB, true);
  run(ms(60));
  CHECK((entry("e0").evacuatedZones() == Zones{ kA, kB }));
  CHECK((entry("e1").evacuatedZones() == Zones{ kA, kB }));
  order(kA, false);
  order(kB, false);
  run(ms(60));
  CHECK(entry("e0").evacuatedZones().empty());
  CHECK(entry("e0").evacuationRevision() == 4);
  order(kB, true);
  run(ms(60));
  CHECK((entry("e1").evacuatedZones() == Zones{ kB }));
}

// Guards against a set that is lost with an update.
TEST_CASE_FIXTURE(TwoControls, "Publisher_lostUpdateWithEvacuation_isSentAgain")
{
  lossRate = 1;
  order(kB, true);
  run(ms(60));
  lossRate = 0;
  CHECK(entry("e0").evacuatedZones().empty());
  run(FleetSubscriber::kInterval + ms(60));
  CHECK((entry("e0").evacuatedZones() == Zones{ kB }));
}

// Guards against a control process that lags, or that runs an earlier release, and undoes an order.
TEST_CASE_FIXTURE(TwoControls, "Subscriber_olderOrMissingRevision_keepsTheSet")
{
  auto& subscriber = entry("e0");
  FleetUpdate update;
  update.evacuationRevision = 9;
  update.evacuatedZones = { kB };
  subscriber.receive(now, ids[0], update);
  CHECK(subscriber.takeChanges().evacuations);
  update.evacuationRevision = 8;
  update.evacuatedZones = { kA };
  subscriber.receive(now, ids[1], update);

  // An earlier release sends the message without the fields of evacuations and those after them.
  update.evacuationRevision = 10;
  const auto bytes = wire::encode(Message(update));
  const auto unpacked = msgpack::unpack(bytes.data(), bytes.size());
  unpacked.get().via.array.ptr[1].via.array.size -= 3;
  const auto older = wire::decode<Message>(wire::encode(unpacked.get()));
  REQUIRE(older);
  CHECK(std::get<FleetUpdate>(*older).evacuationRevision == 0);
  subscriber.receive(now, ids[1], *older);
  CHECK_FALSE(subscriber.takeChanges().evacuations);
  CHECK((subscriber.evacuatedZones() == Zones{ kB }));
}

// Guards against requests to endpoints of an evacuated zone, also to those that are registered or
// restarted after the order, and against endpoints that get none after the zone's return.
TEST_CASE_FIXTURE(DispatchFixture, "Dispatcher_zoneEvacuated_itsEndpointsGetNoRequests")
{
  CHECK((usedEndpoints() == std::set<std::string>{ "a1", "b1" }));
  dispatcher.setEvacuatedZones(now, Zones{ kA });
  CHECK((usedEndpoints() == std::set<std::string>{ "b1" }));
  records[0].startedAtMs = 2;
  records.push_back(makeRecord("a2"));
  records.push_back(makeRecord("b2"));
  dispatcher.setEndpoints(now, records);
  CHECK((usedEndpoints() == std::set<std::string>{ "b1", "b2" }));
  dispatcher.setEvacuatedZones(now, Zones{ kB });
  CHECK((usedEndpoints() == std::set<std::string>{ "a1", "a2" }));
  dispatcher.setEvacuatedZones(now, Zones{});
  CHECK(usedEndpoints().size() == 4);
}

// Guards against a trial of an open circuit breaker, which is sent regardless of other endpoints.
TEST_CASE_FIXTURE(DispatchFixture, "Dispatcher_breakerOpenInEvacuatedZone_getsNoTrial")
{
  for (int i = 0; i < 20; ++i) {
    now = now + 10ms;
    usedEndpoints("a");
  }
  const auto events = dispatcher.takeEvents();
  REQUIRE(!events.empty());
  REQUIRE(events.back() == "endpoint a1 is out of rotation: timed_out");
  dispatcher.setEvacuatedZones(now, Zones{ kA });
  for (int i = 0; i < 100; ++i) {
    now = now + 100ms;
    dispatcher.tick(now);
    CHECK((usedEndpoints() == std::set<std::string>{ "b1" }));
  }
  dispatcher.setEvacuatedZones(now, Zones{});
  CHECK(usedEndpoints().contains("a1"));
}

// Guards against a fault of an evacuated zone that uses up the number of endpoints that may be out
// of rotation, so that broken endpoints of the other zones keep getting requests.
TEST_CASE_FIXTURE(DispatchFixture, "Dispatcher_breakersOpenInEvacuatedZone_othersMayStillOpen")
{
  records.push_back(makeRecord("a2"));
  records.push_back(makeRecord("b2"));
  dispatcher.setEndpoints(now, records);
  const auto countOpened = [&](const std::string& failing) {
    for (int i = 0; i < 20; ++i) {
      now = now + 10ms;
      usedEndpoints(failing);
    }
    return dispatcher.takeEvents().size();
  };
  CHECK(countOpened("a") == 2);
  dispatcher.setEvacuatedZones(now, Zones{ kA });
  CHECK(countOpened("b") == 1);
}

// Guards against a delayed send or a repeat that still goes to the zone, and against a running
// request that the order ends.
TEST_CASE_FIXTURE(DispatchFixture, "Dispatcher_zoneEvacuated_delayedSendsAreWithdrawn")
{
  auto request = makeRequest();
  const auto chosen = dispatcher.choose(now, request, {});
  REQUIRE(chosen);
  const ZoneId zone(chosen->endpoint.value.substr(0, 1));
  CHECK(dispatcher.maySend(now, request.id));
  dispatcher.setEvacuatedZones(now, Zones{ zone });
  CHECK_FALSE(dispatcher.maySend(now, request.id));
  dispatcher.finished(now, request.id, dispatch::Outcome::withdrawn);
  const auto repeated = dispatcher.choose(now, request, {});
  REQUIRE(repeated);
  CHECK(repeated->endpoint != chosen->endpoint);
  CHECK(dispatcher.maySend(now, request.id));
}

// Guards against a request that waits, or is told to come back at the end of a back-off, while no
// zone of its service is in use.
TEST_CASE_FIXTURE(DispatchFixture, "Dispatcher_allZonesEvacuated_refusesAtOnce")
{
  const auto sent = makeRequest();
  REQUIRE(dispatcher.choose(now, sent, {}));
  dispatcher.endpointBackoff(now, sent.id, 5s);
  dispatcher.setEvacuatedZones(now, Zones{ kA });
  CHECK_FALSE(dispatcher.refusalWhileEvacuated(now, makeRequest()));
  dispatcher.setEvacuatedZones(now, Zones{ kA, kB });
  const auto request = makeRequest();
  const auto refusal = dispatcher.refusalWhileEvacuated(now, request);
  REQUIRE(refusal);
  CHECK(refusal->kind == ErrorKind::noEndpoint);
  const auto choice = dispatcher.choose(now, request, {});
  REQUIRE_FALSE(choice);
  CHECK(choice.error().kind == ErrorKind::noEndpoint);
  CHECK(choice.error().isEvacuated);
  CHECK(choice.error().retryAfter == dispatcher.refusalWhileEvacuated(now, request)->retryAfter);
  CHECK(dispatcher.timeUntilBackoffEnds(now, request.service) == Duration(0));
}

// Guards against an order with a mistake that is carried out in part, and against a zone that the
// settings no longer name and that cannot be returned to service.
TEST_CASE("EvacuationOrder_malformed_isRefused")
{
  const Zones known{ kA, kB };
  EvacuationStore evacuations;
  evacuations.apply(1, { ZoneId("gone"), true, 1 });
  const auto parse =
    [&](const std::string& method, const std::string& rest, const char* body = "") {
      http::RequestHead head;
      head.method = method;
      head.target = "/v1/evacuations/" + rest;
      return router::parseEvacuationOrder(head, body, "/v1/evacuations/", known, evacuations);
    };
  CHECK(parse("POST", "a")->active);
  CHECK(parse("DELETE", "b")->zone == kB);
  CHECK(parse("DELETE", "gone"));
  CHECK(parse("PUT", "a").error().kind == ErrorKind::methodNotAllowed);
  CHECK(parse("GET", "a").error().kind == ErrorKind::methodNotAllowed);
  CHECK(parse("POST", "c").error().detail == "unknown zone c");
  CHECK(parse("POST", "a", "{}").error().kind == ErrorKind::badRequest);
  for (const auto* rest : { "", "a/", "a/b", "a?x=1", "a?", "%61", "a b", "gone" }) {
    CHECK_MESSAGE(parse("POST", rest).error().kind == ErrorKind::badRequest, rest);
  }
}
