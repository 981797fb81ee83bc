#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "kernel/kernel.h"
#include "transport/transport.h"

#include <doctest/doctest.h>

#include <arpa/inet.h>
#include <future>
#include <sys/socket.h>
#include <unistd.h>

using namespace figchute;
using namespace figchute::transport;
using namespace std::chrono_literals;

namespace {

struct EchoHandler
{
  using Message = int;
  static Duration tickInterval() { return 5ms; }
  int sum = 0;
  int settled = 0;
  void receive(Time /*now*/, int value) { sum += value; }
  void finishBatch(Time /*now*/) { ++settled; }
};

struct NamedService : kernel::Service
{
  std::string label;
  std::vector<std::string>& events;
  NamedService(std::string text, std::vector<std::string>& log)
    : label(std::move(text))
    , events(log)
  {
  }
  std::string_view name() const override { return label; }
  void start() override { events.push_back("start " + label); }
  void stop() override { events.push_back("stop " + label); }
};

PeerAddress peerAt(const char* id, int port)
{
  return { ProcessId(id), "127.0.0.1:" + std::to_string(port), ZoneId("z"), true, false };
}

/** Returns a loopback port that nothing listens on. */
int freePort()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  REQUIRE(::bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0);
  REQUIRE(::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0);
  ::close(descriptor);
  return ntohs(address.sin_port);
}

struct TransportPair
{
  Metrics metrics;
  std::promise<ReceivedMessage> arrived;
  Transport a;
  Transport b;

  explicit TransportPair(const char* keyOfB = "key")
    : TransportPair(freePort(), freePort(), keyOfB)
  {
  }

  TransportPair(int portOfA, int portOfB, const char* keyOfB)
    : a({ peerAt("a", portOfA), Incarnation{ 1 }, "key", { peerAt("b", portOfB) } },
        metrics,
        [](const ReceivedMessage&) {})
    , b({ peerAt("b", portOfB), Incarnation{ 1 }, keyOfB, {} },
        metrics,
        [this](ReceivedMessage message) { arrived.set_value(std::move(message)); })
  {
    REQUIRE(a.start());
    REQUIRE(b.start());
  }
};

} // namespace

// Guards against messages lost at the stop of a task and against missing ticks.
TEST_CASE("Task_messagesBeforeStop_areAllHandled")
{
  EchoHandler handler;
  kernel::Task<EchoHandler> task(handler);
  task.start();
  for (int i = 1; i <= 100; ++i) {
    task.post(i);
  }
  std::this_thread::sleep_for(50ms);
  task.stop();
  CHECK(handler.sum == 5050);
  CHECK(handler.settled > 1);
}

// Guards against services stopped before those that use them.
TEST_CASE("Kernel_services_startInOrderAndStopInReverse")
{
  std::vector<std::string> events;
  kernel::Kernel kernel;
  kernel.add(std::make_unique<NamedService>("one", events));
  kernel.add(std::make_unique<NamedService>("two", events));
  kernel.startAll();
  CHECK(kernel.find<NamedService>("two") != nullptr);
  CHECK(kernel.find<NamedService>("three") == nullptr);
  kernel.stopAll();
  CHECK(events == std::vector<std::string>{ "start one", "start two", "stop two", "stop one" });
}

// Guards against replayed, reordered and outdated envelopes being handled twice.
TEST_CASE("DuplicateFilter_repeatedOrOutdated_isRefused")
{
  DuplicateFilter filter;
  CHECK(filter.accept(Incarnation{ 5 }, 1));
  CHECK_FALSE(filter.accept(Incarnation{ 5 }, 1));
  CHECK(filter.accept(Incarnation{ 5 }, 10));
  CHECK(filter.accept(Incarnation{ 5 }, 9));
  CHECK_FALSE(filter.accept(Incarnation{ 5 }, 9));
  CHECK(filter.accept(Incarnation{ 5 }, 100000));
  CHECK_FALSE(filter.accept(Incarnation{ 5 }, 10));
  CHECK(filter.accept(Incarnation{ 6 }, 1));
  CHECK_FALSE(filter.accept(Incarnation{ 5 }, 100001));
}

// Guards against a process that cannot answer a peer its settings do not name.
TEST_CASE("Transport_unknownPeer_isLearnedFromItsHeartbeat")
{
  TransportPair pair;
  for (int i = 0; i < 50 && pair.b.peers().empty(); ++i) {
    std::this_thread::sleep_for(50ms);
  }
  REQUIRE(pair.b.peers().size() == 1);
  pair.a.send(ProcessId("b"), wire::Channel::ledger, "hello");
  auto future = pair.arrived.get_future();
  REQUIRE(future.wait_for(3s) == std::future_status::ready);
  const auto message = future.get();
  CHECK(message.from == ProcessId("a"));
  CHECK(message.body == "hello");
}

// Guards against messages from a process that does not have the peer key.
TEST_CASE("Transport_wrongKey_isRefusedAndCounted")
{
  TransportPair pair("another key");
  pair.a.send(ProcessId("b"), wire::Channel::ledger, "hello");
  std::this_thread::sleep_for(600ms);
  CHECK(pair.b.peers().empty());
  CHECK(pair.metrics.counters().at("peer_messages_refused") > 0);
}

// Guards against idle connections that cost more than 1 KB/s of heartbeats, and against live idle
// peers that count as dead.
TEST_CASE("Transport_idleConnection_staysAliveAtFewHeartbeats")
{
  TransportPair pair;
  std::this_thread::sleep_for(1s);
  const auto before = pair.metrics.counters().at("peer_bytes_sent");
  std::this_thread::sleep_for(4s);
  const auto sent = pair.metrics.counters().at("peer_bytes_sent") - before;
  CHECK(sent / 4 < 1000);
  REQUIRE(pair.a.status().size() == 1);
  CHECK(pair.a.status().front().alive);
  pair.b.stop();
  pair.a.send(ProcessId("b"), wire::Channel::ledger, "after an idle time");
  std::this_thread::sleep_for(2500ms);
  pair.a.send(ProcessId("b"), wire::Channel::ledger, "still in use");
  CHECK_FALSE(pair.a.status().front().alive);
}
