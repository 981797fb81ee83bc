#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "mesh/mesh.h"

#include <arpa/inet.h>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace figchute;
using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using wire::Channel;

namespace {

/** Returns a loopback address that nothing listens on. */
ProcessId findFreeAddress()
{
  boost::asio::io_context io;
  const tcp::acceptor acceptor(io, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0));
  return ProcessId("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
}

struct Node
{
  std::unique_ptr<mesh::Mesh> mesh;
  std::vector<std::string> received;
  std::vector<std::uint64_t> incarnations;
  std::vector<bool> linkStates;

  Node(boost::asio::io_context& io,
       const ProcessId& self,
       std::uint64_t incarnation = 1,
       const char* key = "key")
    : mesh(
        std::make_unique<mesh::Mesh>(io,
                                     mesh::MeshSettings{ self, Incarnation{ incarnation }, key }))
  {
    mesh->onMessage([this](const ProcessId&, Incarnation from, Channel, std::string body) {
      received.push_back(std::move(body));
      incarnations.push_back(from.number);
    });
    mesh->onLinkChange([this](const ProcessId&, bool isUp) { linkStates.push_back(isUp); });
  }
};

struct MeshFixture
{
  boost::asio::io_context io;
  ProcessId idOfA = findFreeAddress();
  ProcessId idOfB = findFreeAddress();

  bool runUntil(const std::function<bool()>& condition, std::chrono::milliseconds timeout = 5000ms)
  {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (!condition() && std::chrono::steady_clock::now() < deadline) {
      io.run_for(5ms);
      io.restart();
    }
    return condition();
  }

  void runFor(std::chrono::milliseconds duration)
  {
    runUntil([] { return false; }, duration);
  }
};

/** A listener that accepts connections and never replies. Simulates connections whose state a
    middlebox has dropped. */
struct SilentListener
{
  tcp::acceptor acceptor;
  std::vector<tcp::socket> accepted;

  SilentListener(boost::asio::io_context& io, const ProcessId& address)
    : acceptor(io,
               tcp::endpoint(boost::asio::ip::address_v4::loopback(),
                             static_cast<unsigned short>(
                               std::stoi(address.value.substr(address.value.rfind(':') + 1)))))
  {
    acceptNext();
  }

  void acceptNext()
  {
    acceptor.async_accept([this](const auto& error, tcp::socket socket) {
      if (!error) {
        accepted.push_back(std::move(socket));
        acceptNext();
      }
    });
  }
};

} // namespace

// Guards against lost or reordered messages and against replies that open a second connection.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_messagesBothWays_arriveInOrder")
{
  Node nodeA(io, idOfA, 7);
  Node nodeB(io, idOfB, 8);
  REQUIRE(nodeA.mesh->listen());
  REQUIRE(nodeB.mesh->listen());
  std::vector<std::string> sentBodies;
  for (int i = 0; i < 300; ++i) {
    sentBodies.push_back(std::to_string(i) + std::string(static_cast<std::size_t>(i) * 40, 'x'));
    nodeA.mesh->send(idOfB, Channel::ledger, sentBodies.back());
  }
  CHECK(runUntil([&] { return nodeB.received.size() == sentBodies.size(); }));
  CHECK(nodeB.received == sentBodies);
  CHECK(nodeB.incarnations.front() == 7);
  for (const auto& body : sentBodies) {
    nodeB.mesh->send(idOfA, Channel::fleet, body);
  }
  CHECK(runUntil([&] { return nodeA.received.size() == sentBodies.size(); }));
  CHECK(nodeA.received == sentBodies);
  CHECK(nodeA.linkStates == std::vector<bool>{ true });
  CHECK(nodeB.linkStates == std::vector<bool>{ true });
  CHECK(nodeA.mesh->isUp(idOfB));
}

// Guards against a connection that is closed, with its messages lost, when both ends dial at the
// same time.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_simultaneousDial_losesNoMessages")
{
  Node nodeA(io, idOfA);
  Node nodeB(io, idOfB);
  REQUIRE(nodeA.mesh->listen());
  REQUIRE(nodeB.mesh->listen());
  for (int i = 0; i < 20; ++i) {
    nodeA.mesh->send(idOfB, Channel::ledger, std::to_string(i));
    nodeB.mesh->send(idOfA, Channel::ledger, std::to_string(i));
    runFor(10ms);
  }
  CHECK(runUntil([&] { return nodeA.received.size() == 20 && nodeB.received.size() == 20; }));
  CHECK(nodeA.linkStates == std::vector<bool>{ true });
}

// Guards against a message from a process to itself being lost or sent over the network.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_messageToSelf_isDeliveredLocally")
{
  Node nodeA(io, idOfA, 3);
  nodeA.mesh->send(idOfA, Channel::ledger, "self");
  CHECK(nodeA.received.empty());
  CHECK(runUntil([&] { return nodeA.received.size() == 1; }));
  CHECK(nodeA.mesh->sentBytes() == 0);
}

// Guards against a peer that remains unreachable after it has been down and has restarted.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_peerRestarts_isReconnected")
{
  Node nodeA(io, idOfA);
  nodeA.mesh->maintainLink(idOfB);
  nodeA.mesh->send(idOfB, Channel::ledger, "lost");
  runFor(400ms);
  CHECK(nodeA.linkStates.empty());
  auto nodeB = std::make_unique<Node>(io, idOfB, 1);
  REQUIRE(nodeB->mesh->listen());
  CHECK(runUntil([&] { return nodeA.mesh->isUp(idOfB); }, 1500ms));
  nodeA.mesh->send(idOfB, Channel::ledger, "first");
  CHECK(runUntil([&] { return nodeB->received == std::vector<std::string>{ "first" }; }));
  nodeB.reset();
  CHECK(runUntil([&] { return !nodeA.mesh->isUp(idOfB); }));
  runFor(300ms);
  nodeB = std::make_unique<Node>(io, idOfB, 2);
  REQUIRE(nodeB->mesh->listen());
  CHECK(runUntil([&] { return nodeA.mesh->isUp(idOfB); }, 1500ms));
  nodeB->mesh->send(idOfA, Channel::ledger, "second");
  CHECK(runUntil([&] { return !nodeA.received.empty(); }));
  CHECK(nodeA.incarnations == std::vector<std::uint64_t>{ 2 });
}

// Guards against a connection that stays in use although it no longer carries data.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_unresponsiveLink_isReplaced")
{
  Node nodeA(io, idOfA);
  auto silentListener = std::make_unique<SilentListener>(io, idOfB);
  nodeA.mesh->send(idOfB, Channel::ledger, "lost");
  CHECK(runUntil([&] { return silentListener->accepted.size() == 1; }));
  runFor(2800ms);
  CHECK_FALSE(nodeA.mesh->isUp(idOfB));
  silentListener.reset();
  Node nodeB(io, idOfB);
  REQUIRE(nodeB.mesh->listen());
  runFor(1100ms);
  nodeA.mesh->send(idOfB, Channel::ledger, "arrives");
  CHECK(runUntil([&] { return nodeB.received == std::vector<std::string>{ "arrives" }; }));
}

// Guards against unbounded memory growth while a peer does not read, and against an oversized
// message that blocks the messages after it.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_queueFull_dropsMessages")
{
  const ProcessId unreachablePeer = findFreeAddress();
  Node nodeA(io, idOfA);
  Node nodeB(io, idOfB);
  const std::string largeBody(1024UL * 1024, 'x');
  REQUIRE(nodeB.mesh->listen());
  for (int i = 0; i < 40; ++i) {
    nodeA.mesh->send(idOfB, Channel::ledger, largeBody);
    nodeA.mesh->send(unreachablePeer, Channel::ledger, largeBody);
  }
  nodeA.mesh->send(idOfB, Channel::ledger, std::string(17UL * 1024 * 1024, 'x'));
  REQUIRE(runUntil([&] { return nodeB.received.size() >= 4; }));
  runFor(300ms);
  CHECK(nodeB.received.size() == 4);
  nodeA.mesh->send(idOfB, Channel::ledger, "after");
  CHECK(runUntil([&] { return nodeB.received.back() == "after"; }));
}

// Guards against accepting messages from, or a link to, a process that does not have the key.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_differentKey_isRefused")
{
  Node nodeA(io, idOfA, 1, "other");
  Node nodeB(io, idOfB);
  REQUIRE(nodeB.mesh->listen());
  nodeA.mesh->send(idOfB, Channel::ledger, "forged");
  runFor(300ms);
  CHECK(nodeB.received.empty());
  CHECK(nodeB.linkStates.empty());
  CHECK_FALSE(nodeA.mesh->isUp(idOfB));
}

// Guards against unnecessary work and billed traffic on idle links: a maintained link exchanges
// about one heartbeat per second and does not reconnect.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_maintainedIdleLink_staysUpAtLowCost")
{
  Node nodeA(io, idOfA);
  Node nodeB(io, idOfB);
  REQUIRE(nodeB.mesh->listen());
  nodeA.mesh->maintainLink(idOfB);
  CHECK(runUntil([&] { return nodeA.mesh->isUp(idOfB); }));
  const auto sentBytesBefore = nodeA.mesh->sentBytes();
  runFor(3500ms);
  CHECK(nodeA.linkStates == std::vector<bool>{ true });
  CHECK(nodeB.linkStates == std::vector<bool>{ true });
  CHECK(nodeA.mesh->sentBytes() - sentBytesBefore >= 100);
  CHECK(nodeA.mesh->sentBytes() - sentBytesBefore < 300);
}
