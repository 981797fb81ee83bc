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

struct SummingHandler
{
  using Message = int;
  static Duration tickInterval() { return 5ms; }
  int valueSum = 0;
  int finishedBatches = 0;
  void receive(Time /*now*/, int value) { valueSum += value; }
  void finishBatch(Time /*now*/) { ++finishedBatches; }
};

struct NamedService : kernel::Service
{
  std::string label;
  std::vector<std::string>& recordedEvents;
  NamedService(std::string text, std::vector<std::string>& log)
    : label(std::move(text))
    , recordedEvents(log)
  {
  }
  std::string_view name() const override { return label; }
  void start() override { recordedEvents.push_back("start " + label); }
  void stop() override { recordedEvents.push_back("stop " + label); }
};

PeerAddress makePeerAddress(const char* id, int port)
{
  return { ProcessId(id), "127.0.0.1:" + std::to_string(port), ZoneId("z"), true, false };
}

/** Returns a loopback port that nothing listens on. */
int findFreePort()
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
  std::promise<ReceivedMessage> receivedMessage;
  Transport a;
  Transport b;

  explicit TransportPair(const char* keyOfB = "key")
    : TransportPair(findFreePort(), findFreePort(), keyOfB)
  {
  }

  TransportPair(int portOfA, int portOfB, const char* keyOfB)
    : a({ makePeerAddress("a", portOfA),
          Incarnation{ 1 },
          "key",
          { makePeerAddress("b", portOfB) } },
        metrics,
        [](const ReceivedMessage&) {})
    , b({ makePeerAddress("b", portOfB), Incarnation{ 1 }, keyOfB, {} },
        metrics,
        [this](ReceivedMessage message) { receivedMessage.set_value(std::move(message)); })
  {
    REQUIRE(a.start());
    REQUIRE(b.start());
  }
};

} // namespace

// Guards against messages that are lost when a task is stopped, and against missing ticks.
TEST_CASE("Task_messagesBeforeStop_areAllHandled")
{
  SummingHandler handler;
  kernel::Task<SummingHandler> task(handler);
  task.start();
  for (int i = 1; i <= 100; ++i) {
    task.post(i);
  }
  std::this_thread::sleep_for(50ms);
  task.stop();
  CHECK(handler.valueSum == 5050);
  CHECK(handler.finishedBatches > 1);
}

// Guards against services that are stopped before the services that use them.
TEST_CASE("Kernel_services_startInOrderAndStopInReverse")
{
  std::vector<std::string> recordedEvents;
  kernel::Kernel kernel;
  kernel.add(std::make_unique<NamedService>("one", recordedEvents));
  kernel.add(std::make_unique<NamedService>("two", recordedEvents));
  kernel.startAll();
  CHECK(kernel.find<NamedService>("two") != nullptr);
  CHECK(kernel.find<NamedService>("three") == nullptr);
  kernel.stopAll();
  CHECK(recordedEvents ==
        std::vector<std::string>{ "start one", "start two", "stop two", "stop one" });
}

// Guards against envelopes that are handled twice after replay or reordering, and against envelopes
// of an earlier incarnation.
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

// Guards against a process that cannot reply to a peer that is not in its settings.
TEST_CASE("Transport_unknownPeer_isAddedByItsHeartbeat")
{
  TransportPair pair;
  for (int i = 0; i < 50 && pair.b.peers().empty(); ++i) {
    std::this_thread::sleep_for(50ms);
  }
  REQUIRE(pair.b.peers().size() == 1);
  pair.a.send(ProcessId("b"), wire::Channel::ledger, "hello");
  auto future = pair.receivedMessage.get_future();
  REQUIRE(future.wait_for(3s) == std::future_status::ready);
  const auto message = future.get();
  CHECK(message.from == ProcessId("a"));
  CHECK(message.body == "hello");
}

// Guards against accepting messages from a process that does not have the peer key.
TEST_CASE("Transport_wrongKey_isRefusedAndCounted")
{
  TransportPair pair("another key");
  pair.a.send(ProcessId("b"), wire::Channel::ledger, "hello");
  std::this_thread::sleep_for(600ms);
  CHECK(pair.b.peers().empty());
  CHECK(pair.metrics.counters().at("peer_messages_refused") > 0);
}

// Guards against idle connections that send more than 1 KB/s of heartbeats, and against live idle
// peers that are reported as not alive.
TEST_CASE("Transport_idleConnection_staysAliveWithFewHeartbeats")
{
  TransportPair pair;
  std::this_thread::sleep_for(1s);
  const auto sentBytesBefore = pair.metrics.counters().at("peer_bytes_sent");
  std::this_thread::sleep_for(4s);
  const auto sentBytes = pair.metrics.counters().at("peer_bytes_sent") - sentBytesBefore;
  CHECK(sentBytes / 4 < 1000);
  REQUIRE(pair.a.status().size() == 1);
  CHECK(pair.a.status().front().alive);
  pair.b.stop();
  pair.a.send(ProcessId("b"), wire::Channel::ledger, "after an idle time");
  std::this_thread::sleep_for(2500ms);
  pair.a.send(ProcessId("b"), wire::Channel::ledger, "still in use");
  CHECK_FALSE(pair.a.status().front().alive);
}
