#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "CallRecorder.h"
#include "HttpSockets.h"

#include <memory>
#include <optional>
#include <thread>
#include <vector>

using namespace figchute;
using namespace figchute::http;
using namespace std::chrono_literals;

namespace {

constexpr const char* kUnframedHead = "HTTP/1.1 200 OK\r\n\r\nsome";
constexpr const char* kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\ns";
constexpr const char* kLengthHead = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nsome";

/** One call, and the endpoint's side of its connection. */
struct RunningCall
{
  Recorder recorder;
  std::shared_ptr<Call> call;
  std::optional<RawSocket> endpoint;
};

struct WitnessFixture
{
  boost::asio::io_context io{ 1 };
  RawListener listener;
  ClientPool pool{ io };
  CallOptions options;

  std::unique_ptr<RunningCall> start()
  {
    auto running = std::make_unique<RunningCall>();
    RequestHead head;
    head.method = "GET";
    head.target = "/x";
    running->call =
      pool.start(listener.address(), std::move(head), nullptr, options, running->recorder);
    running->endpoint.emplace(listener.accept(io));
    REQUIRE(runUntil(io, [&] {
      running->endpoint->read();
      return running->endpoint->has("\r\n\r\n");
    }));
    return running;
  }

  std::unique_ptr<RunningCall> startBody(std::string_view head = kUnframedHead)
  {
    auto running = start();
    running->endpoint->send(head);
    REQUIRE(runUntil(io, [&] { return !running->recorder.body.empty(); }));
    return running;
  }

  void check(RunningCall& running, int completed)
  {
    REQUIRE(runUntil(io, [&] { return running.recorder.ended(); }));
    CHECK(running.recorder.completed == completed);
    if (completed == 0)
      CHECK((running.recorder.failure.kind == CallFailureKind::unconfirmedEnd));
  }

  [[nodiscard]] std::size_t connections() const { return pool.connections(listener.address()); }
};

} // namespace

// Guards against a whole body that is broken off because nothing else leads to its endpoint.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_listenerCloses_lastBodyCompletes")
{
  const auto running = startBody();
  const auto witness = listener.accept(io);
  listener.close();
  running->endpoint->close();
  check(*running, 1);
  CHECK(connections() == 0);
}

// Guards against bodies that end together, or one after the other, and prove each other's end only.
TEST_CASE("EndWitness_listenerCloses_severalBodiesComplete")
{
  for (const auto pause : { 0ms, 20ms, 80ms }) {
    CAPTURE(pause.count());
    WitnessFixture fixture;
    const auto first = fixture.startBody();
    auto witness = fixture.listener.accept(fixture.io);
    const auto second = fixture.startBody();
    CHECK(fixture.connections() == 3);
    fixture.listener.close();
    first->endpoint->close();
    runFor(fixture.io, pause);
    second->endpoint->close();
    fixture.check(*first, 1);
    fixture.check(*second, 1);
  }
}

// Guards against a witness that outlives, in the pool's view, the process that it leads to.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_processEnds_bodyFails")
{
  const auto running = startBody();
  auto witness = listener.accept(io);
  listener.close();
  running->endpoint->close();
  runFor(io, 20ms);
  witness.close();
  check(*running, 0);
}

// Guards against connections that framed bodies do not need.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_framedBody_isNotOpened")
{
  for (const auto* head : { kChunkedHead, kLengthHead }) {
    const auto running = startBody(head);
    runFor(io, 100ms);
    CHECK(connections() == 1);
    running->call->cancel();
  }
}

// Guards against a connection for a body that ends at once.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_bodyEndsAtOnce_isNotOpened")
{
  const auto running = startBody();
  running->endpoint->close();
  check(*running, 1);
  runFor(io, 100ms);
  // The other one confirmed the end.
  CHECK(pool.openedConnections() == 2);
}

// Guards against a witness that stays open after its bodies.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_allBodiesEnded_isClosed")
{
  const auto first = startBody();
  auto witness = listener.accept(io);
  const auto second = startBody();
  first->call->cancel();
  runFor(io, 20ms);
  CHECK(connections() == 2);
  second->call->cancel();
  CHECK(connections() == 0);
  REQUIRE(runUntil(io, [&] {
    witness.read();
    return witness.closed();
  }));
}

// Guards against a witness that is lost to the endpoint's idle timeout.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_closedAfterIdleTimeout_isOpenedAgain")
{
  const auto running = startBody();
  auto witness = listener.accept(io);
  runFor(io, 1050ms);
  witness.close();
  const auto next = listener.accept(io);
  runFor(io, 20ms);
  listener.close();
  running->endpoint->close();
  check(*running, 1);
}

// Guards against a loop of attempts at an endpoint that closes each new connection.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_closedAtOnce_isNotOpenedAgain")
{
  const auto running = startBody();
  listener.accept(io).close();
  runFor(io, 200ms);
  CHECK(pool.openedConnections() == 2);
  running->endpoint->close();
  check(*running, 1);
}

// Guards against a process at the same address that confirms the end of one that has ended.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_listenerWasClosed_successorConfirmsNothing")
{
  const auto running = startBody();
  auto witness = listener.accept(io);
  runFor(io, 1050ms);
  listener.close();
  witness.close();
  runFor(io, 100ms);
  CHECK(connections() == 1);
  running->endpoint->close();
  std::this_thread::sleep_for(150ms);
  const RawListener successor(listener.address().port());
  check(*running, 0);
}

// Guards against a call that is refused, or a limit that is exceeded, because of a witness.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_limitIsReached_givesWayToCall")
{
  options.maxConnections = 2;
  const auto first = startBody();
  const auto witness = listener.accept(io);
  CHECK(connections() == 2);
  const auto second = startBody(kChunkedHead);
  CHECK(connections() == 2);
  runFor(io, 100ms);
  CHECK(connections() == 2);
  CHECK_FALSE(first->recorder.ended());
}

// Guards against a witness beyond the limit.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_limitOfOneConnection_isNotOpened")
{
  options.maxConnections = 1;
  const auto running = startBody();
  runFor(io, 100ms);
  CHECK(connections() == 1);
  running->endpoint->close();
  check(*running, 1);
}

// Guards against an answer on the witness that reaches a listener or makes it reusable.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_isAnswered_isClosed")
{
  const auto running = startBody();
  auto witness = listener.accept(io);
  witness.send("HTTP/1.1 408 Late\r\nContent-Length: 0\r\n\r\n");
  runFor(io, 50ms);
  CHECK(connections() == 1);
  running->endpoint->close();
  check(*running, 1);
}

// Guards against an end that is passed on later because the witness closes during its confirmation.
TEST_CASE_FIXTURE(WitnessFixture, "EndWitness_closesDuringConfirmation_bodyEndsNoLater")
{
  const auto running = startBody();
  auto witness = listener.accept(io);
  const auto endedAt = std::chrono::steady_clock::now();
  running->endpoint->close();
  runFor(io, 30ms);
  witness.close();
  check(*running, 1);
  CHECK(std::chrono::steady_clock::now() - endedAt < 90ms);
}

// Guards against a connection that looks open, because its end was lost on the way, and is taken
// for a sign of life of an endpoint that has crashed.
TEST_CASE_FIXTURE(WitnessFixture, "EndConfirmation_portOfReadyEndpointIsClosed_bodyFails")
{
  const auto other = startBody(kChunkedHead);
  const auto running = startBody();
  running->recorder.mayRefuse = false;
  listener.close();
  running->endpoint->close();
  runFor(io, 250ms);
  CHECK_FALSE(running->recorder.ended());
  other->endpoint->close();
  check(*running, 0);
}

// Guards against whole bodies of an endpoint that leaves and has not said so yet.
TEST_CASE_FIXTURE(WitnessFixture, "EndConfirmation_portIsClosedAndOthersStayOpen_bodyCompletes")
{
  const auto other = startBody(kChunkedHead);
  const auto running = startBody();
  running->recorder.mayRefuse = false;
  listener.close();
  running->endpoint->close();
  runFor(io, 1s);
  check(*running, 1);
  CHECK_FALSE(other->recorder.ended());
}

// Guards against ends of many bodies at a time that fill the endpoint's queue of new connections.
TEST_CASE("EndConfirmation_bodiesEndTogether_shareOneAttempt")
{
  for (const bool isPortClosed : { false, true }) {
    WitnessFixture fixture;
    const auto other = fixture.startBody(kChunkedHead);
    std::vector<std::unique_ptr<RunningCall>> bodies;
    bodies.push_back(fixture.startBody());
    auto witness = fixture.listener.accept(fixture.io);
    while (bodies.size() < 8)
      bodies.push_back(fixture.startBody());
    for (const auto& body : bodies)
      body->recorder.mayRefuse = false;
    const auto opened = fixture.pool.openedConnections();
    if (isPortClosed)
      fixture.listener.close();
    for (const auto& body : bodies)
      body->endpoint->close();
    if (isPortClosed) {
      runFor(fixture.io, 250ms);
      other->endpoint->close();
      witness.close();
    }
    for (const auto& body : bodies)
      fixture.check(*body, isPortClosed ? 0 : 1);
    // Those that are read more than 5 ms after the first, on a slow machine, take another one.
    CHECK(fixture.pool.openedConnections() - opened <= 4);
  }
}

// Guards against whole bodies that are broken off, or end later, because no answer to the attempt
// to connect arrives in time.
TEST_CASE_FIXTURE(WitnessFixture, "EndConfirmation_acceptQueueOfReadyEndpointIsFull_bodyCompletes")
{
  const auto other = startBody(kChunkedHead);
  const auto running = startBody();
  running->recorder.mayRefuse = false;
  std::vector<std::unique_ptr<boost::asio::ip::tcp::socket>> waiting;
  for (int i = 0; i < 40; ++i) {
    waiting.push_back(std::make_unique<boost::asio::ip::tcp::socket>(io));
    waiting.back()->async_connect(listener.address(), [](const auto& /*error*/) {});
  }
  runFor(io, 10ms);
  const auto endedAt = std::chrono::steady_clock::now();
  running->endpoint->close();
  check(*running, 1);
  CHECK(std::chrono::steady_clock::now() - endedAt < 90ms);
}

// Guards against a whole body of a sound endpoint that is broken off.
TEST_CASE_FIXTURE(WitnessFixture, "EndConfirmation_readyEndpointAccepts_bodyCompletes")
{
  for (const bool hasOther : { false, true }) {
    const auto other = hasOther ? startBody(kChunkedHead) : nullptr;
    const auto running = startBody();
    running->recorder.mayRefuse = false;
    running->endpoint->close();
    check(*running, 1);
    while (listener.closeWaitingConnection()) {
    }
  }
}

// Guards against a use of the pool after its end.
TEST_CASE("EndWitness_poolIsDestroyed_closesAll")
{
  for (const auto delay : { 0ms, 15ms, 26ms, 60ms }) {
    boost::asio::io_context io{ 1 };
    RawListener listener;
    Recorder recorder;
    std::shared_ptr<Call> call;
    {
      ClientPool pool{ io };
      RequestHead head;
      head.method = "GET";
      head.target = "/x";
      call = pool.start(listener.address(), std::move(head), nullptr, CallOptions{}, recorder);
      auto endpoint = listener.accept(io);
      runFor(io, 5ms);
      endpoint.send(kUnframedHead);
      REQUIRE(runUntil(io, [&] { return !recorder.body.empty(); }));
      runFor(io, delay);
    }
    runFor(io, 60ms);
    CHECK_FALSE(recorder.ended());
  }
}
