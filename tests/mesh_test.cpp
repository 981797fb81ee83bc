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
ProcessId freeAddress()
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
  std::vector<bool> links;

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
    mesh->onLink([this](const ProcessId&, bool up) { links.push_back(up); });
  }
};

struct MeshFixture
{
  boost::asio::io_context io;
  ProcessId idA = freeAddress();
  ProcessId idB = freeAddress();

  bool runUntil(const std::function<bool()>& done, std::chrono::milliseconds limit = 5000ms)
  {
    const auto end = std::chrono::steady_clock::now() + limit;
    while (!done() && std::chrono::steady_clock::now() < end) {
      io.run_for(5ms);
      io.restart();
    }
    return done();
  }

  void runFor(std::chrono::milliseconds span)
  {
    runUntil([] { return false; }, span);
  }
};

/** A listener that accepts connections and never answers, like a connection that a middlebox has
    forgotten. */
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
    accept();
  }

  void accept()
  {
    acceptor.async_accept([this](const auto& error, tcp::socket socket) {
      if (!error) {
        accepted.push_back(std::move(socket));
        accept();
      }
    });
  }
};

} // namespace

// Guards against lost or reordered messages and against a second connection for the replies.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_messagesBothWays_arriveInOrder")
{
  Node a(io, idA, 7);
  Node b(io, idB, 8);
  REQUIRE(a.mesh->listen());
  REQUIRE(b.mesh->listen());
  std::vector<std::string> sent;
  for (int i = 0; i < 300; ++i) {
    sent.push_back(std::to_string(i) + std::string(static_cast<std::size_t>(i) * 40, 'x'));
    a.mesh->send(idB, Channel::ledger, sent.back());
  }
  CHECK(runUntil([&] { return b.received.size() == sent.size(); }));
  CHECK(b.received == sent);
  CHECK(b.incarnations.front() == 7);
  for (const auto& body : sent) {
    b.mesh->send(idA, Channel::fleet, body);
  }
  CHECK(runUntil([&] { return a.received.size() == sent.size(); }));
  CHECK(a.received == sent);
  CHECK(a.links == std::vector<bool>{ true });
  CHECK(b.links == std::vector<bool>{ true });
  CHECK(a.mesh->isUp(idB));
}

// Guards against a connection being torn down when both ends dial at the same moment.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_bothDialAtOnce_loseNothing")
{
  Node a(io, idA);
  Node b(io, idB);
  REQUIRE(a.mesh->listen());
  REQUIRE(b.mesh->listen());
  for (int i = 0; i < 20; ++i) {
    a.mesh->send(idB, Channel::ledger, std::to_string(i));
    b.mesh->send(idA, Channel::ledger, std::to_string(i));
    runFor(10ms);
  }
  CHECK(runUntil([&] { return a.received.size() == 20 && b.received.size() == 20; }));
  CHECK(a.links == std::vector<bool>{ true });
}

// Guards against a message to the process itself that is sent over the network or lost.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_messageToSelf_comesBack")
{
  Node a(io, idA, 3);
  a.mesh->send(idA, Channel::ledger, "self");
  CHECK(a.received.empty());
  CHECK(runUntil([&] { return a.received.size() == 1; }));
  CHECK(a.mesh->sentBytes() == 0);
}

// Guards against a peer that stays unreachable after it was down and has restarted.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_peerRestarts_isReachedAgain")
{
  Node a(io, idA);
  a.mesh->maintainLink(idB);
  a.mesh->send(idB, Channel::ledger, "lost");
  runFor(400ms);
  CHECK(a.links.empty());
  auto b = std::make_unique<Node>(io, idB, 1);
  REQUIRE(b->mesh->listen());
  CHECK(runUntil([&] { return a.mesh->isUp(idB); }, 1500ms));
  a.mesh->send(idB, Channel::ledger, "first");
  CHECK(runUntil([&] { return b->received == std::vector<std::string>{ "first" }; }));
  b.reset();
  CHECK(runUntil([&] { return !a.mesh->isUp(idB); }));
  runFor(300ms);
  b = std::make_unique<Node>(io, idB, 2);
  REQUIRE(b->mesh->listen());
  CHECK(runUntil([&] { return a.mesh->isUp(idB); }, 1500ms));
  b->mesh->send(idA, Channel::ledger, "second");
  CHECK(runUntil([&] { return !a.received.empty(); }));
  CHECK(a.incarnations == std::vector<std::uint64_t>{ 2 });
}

// Guards against a connection that is used forever although it carries no data any more.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_silentLink_isReplaced")
{
  Node a(io, idA);
  auto silent = std::make_unique<SilentListener>(io, idB);
  a.mesh->send(idB, Channel::ledger, "lost");
  CHECK(runUntil([&] { return silent->accepted.size() == 1; }));
  runFor(2800ms);
  CHECK_FALSE(a.mesh->isUp(idB));
  silent.reset();
  Node b(io, idB);
  REQUIRE(b.mesh->listen());
  runFor(1100ms);
  a.mesh->send(idB, Channel::ledger, "arrives");
  CHECK(runUntil([&] { return b.received == std::vector<std::string>{ "arrives" }; }));
}

// Guards against memory that grows without a bound while a peer does not read, and against a
// message that is too large blocking those after it.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_tooMuchQueued_isDropped")
{
  const ProcessId unreachable = freeAddress();
  Node a(io, idA);
  Node b(io, idB);
  const std::string large(1024UL * 1024, 'x');
  REQUIRE(b.mesh->listen());
  for (int i = 0; i < 40; ++i) {
    a.mesh->send(idB, Channel::ledger, large);
    a.mesh->send(unreachable, Channel::ledger, large);
  }
  a.mesh->send(idB, Channel::ledger, std::string(17UL * 1024 * 1024, 'x'));
  REQUIRE(runUntil([&] { return b.received.size() >= 4; }));
  runFor(300ms);
  CHECK(b.received.size() == 4);
  a.mesh->send(idB, Channel::ledger, "after");
  CHECK(runUntil([&] { return b.received.back() == "after"; }));
}

// Guards against messages of a process without the key, and against a link to such a process.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_otherKey_isRefused")
{
  Node a(io, idA, 1, "other");
  Node b(io, idB);
  REQUIRE(b.mesh->listen());
  a.mesh->send(idB, Channel::ledger, "forged");
  runFor(300ms);
  CHECK(b.received.empty());
  CHECK(b.links.empty());
  CHECK_FALSE(a.mesh->isUp(idB));
}

// Guards against idle work and bytes that are charged: a kept link exchanges about one heartbeat a
// second and needs no new connection.
TEST_CASE_FIXTURE(MeshFixture, "Mesh_keptIdleLink_staysUpAtLowCost")
{
  Node a(io, idA);
  Node b(io, idB);
  REQUIRE(b.mesh->listen());
  a.mesh->maintainLink(idB);
  CHECK(runUntil([&] { return a.mesh->isUp(idB); }));
  const auto before = a.mesh->sentBytes();
  runFor(3500ms);
  CHECK(a.links == std::vector<bool>{ true });
  CHECK(b.links == std::vector<bool>{ true });
  CHECK(a.mesh->sentBytes() - before >= 100);
  CHECK(a.mesh->sentBytes() - before < 300);
}
