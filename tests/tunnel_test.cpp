#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "CallRecorder.h"
#include "http/Message.h"
#include "http/Sockets.h"
#include "http/TunnelServer.h"
#include "HttpSockets.h"
#include "router/TunnelAuthorization.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <fmt/format.h>
#include <memory>
#include <string>
#include <sys/wait.h>
#include <vector>

using namespace figchute;
using namespace figchute::http;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kPeerKey = "key of the peers";

/** A pool that reaches an endpoint through a tunnel server with a status of its own. */
struct TunnelFixture
{
  TunnelFixture()
  {
    REQUIRE(tunnels.listen({ boost::asio::ip::address_v4::loopback(), 0 }));
    options.proxy = Proxy{ { boost::asio::ip::address_v4::loopback(), tunnels.port() },
                           router::tunnelAuthorizationFor(endpoint.address(), kPeerKey) };
  }

  /** Opens a tunnel to the endpoint with a plain socket. */
  RawSocket openRawTunnel(std::uint16_t port, int receiveBuffer = 0)
  {
    auto peer = RawSocket::connectTo(port, receiveBuffer);
    peer.send(fmt::format("CONNECT {0} HTTP/1.1\r\nHost: {0}\r\nProxy-Authorization: {1}\r\n\r\n",
                          http::detail::addressText(endpoint.address()),
                          options.proxy->authorization));
    REQUIRE(waitFor(peer, "HTTP/1.1 200 OK\r\n\r\n"));
    peer.received.clear();
    return peer;
  }

  bool waitForEnd(RawSocket& socket, std::chrono::milliseconds timeout = 5s)
  {
    return runUntil(
      io,
      [&] {
        socket.read();
        return socket.closed();
      },
      timeout);
  }

  std::shared_ptr<Call> get(Recorder& target)
  {
    RequestHead head;
    head.method = "GET";
    head.target = "/x";
    head.fields.add("Host", "bees");
    return pool.start(endpoint.address(), std::move(head), nullptr, options, target);
  }

  bool waitFor(RawSocket& socket, std::string_view text)
  {
    return runUntil(io, [&] {
      socket.read();
      return socket.has(text);
    });
  }

  bool waitForEnd(const Recorder& target, std::chrono::milliseconds timeout = 5s)
  {
    return runUntil(
      io, [&] { return target.ended(); }, timeout);
  }

  boost::asio::io_context io{ 1 };
  RawListener endpoint;
  int status = 200;
  std::unique_ptr<TunnelServer> tunnelServer =
    std::make_unique<TunnelServer>(io, [this](const TunnelRequest& request) {
      return router::isAuthorized(request, kPeerKey) ? status : 407;
    });
  TunnelServer& tunnels = *tunnelServer;
  ClientPool pool{ io };
  CallOptions options;
  Recorder recorder;
};

/** A tunnel server in a process of its own. */
class TunnelProcess
{
public:
  /** @param port  the port to listen on; 0 selects a free one */
  explicit TunnelProcess(std::uint16_t port = 0)
  {
    int pipe[2];
    REQUIRE(::pipe(pipe) == 0);
    process_ = ::fork();
    REQUIRE(process_ >= 0);
    if (process_ == 0) {
      run(port, pipe[1]);
    }
    ::close(pipe[1]);
    const auto size = ::read(pipe[0], &port_, sizeof port_);
    ::close(pipe[0]);
    REQUIRE(size == sizeof port_);
  }
  ~TunnelProcess() { end({ SIGKILL }); }

  TunnelProcess(const TunnelProcess&) = delete;
  TunnelProcess& operator=(const TunnelProcess&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }

  /** Sends signals one after the other; the last one must end the process. */
  void end(const std::vector<int>& signals)
  {
    if (process_ <= 0) {
      return;
    }
    for (const int signal : signals) {
      ::kill(process_, signal);
    }
    ::waitpid(std::exchange(process_, 0), nullptr, 0);
  }

private:
  [[noreturn]] static void run(std::uint16_t port, int portPipe)
  {
    boost::asio::io_context io{ 1 };
    TunnelServer server{ io, [](const TunnelRequest& request) {
                          return router::isAuthorized(request, kPeerKey) ? 200 : 407;
                        } };
    boost::asio::signal_set signals(io, SIGTERM);
    signals.async_wait([](const auto& /*error*/, int) { ::_exit(0); });
    if (server.listen({ boost::asio::ip::address_v4::loopback(), port })) {
      const auto ownPort = server.port();
      if (::write(portPipe, &ownPort, sizeof ownPort) == sizeof ownPort) {
        io.run();
      }
    }
    ::_exit(1);
  }

  pid_t process_ = 0;
  std::uint16_t port_ = 0;
};

constexpr std::string_view kUnframedPart = "HTTP/1.1 200 OK\r\n\r\nid: 1\ndata: x\n\n";

} // namespace

// Guards against bytes that a tunnel loses or alters, and against a new tunnel for each request.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_twoCalls_arePassedOnOverOneConnection")
{
  auto call = get(recorder);
  auto connection = endpoint.accept(io);
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  CHECK(connection.received == "GET /x HTTP/1.1\r\nHost: bees\r\n\r\n");
  CHECK(recorder.connected);
  const std::string body(300'000, 'b');
  const auto answer = "HTTP/1.1 200 OK\r\nContent-Length: 300000\r\n\r\n" + body;
  std::size_t sent = 0;
  REQUIRE(runUntil(io, [&] {
    sent += connection.send(std::string_view(answer).substr(sent));
    return sent == answer.size();
  }));
  REQUIRE(waitForEnd(recorder));
  CHECK(recorder.body == body);
  CHECK(tunnels.tunnels() == 1);

  Recorder second;
  connection.received.clear();
  call = get(second);
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  CHECK_FALSE(second.connected);
  connection.send("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  REQUIRE(waitForEnd(second));
  CHECK(second.completed == 1);
  CHECK(tunnels.tunnels() == 1);
}

// Guards against a response that looks complete although the endpoint reset its connection.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_endpointResetsItsConnection_callFails")
{
  const auto call = get(recorder);
  auto connection = endpoint.accept(io);
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  connection.send("HTTP/1.1 200 OK\r\n\r\npart");
  REQUIRE(runUntil(io, [&] { return !recorder.body.empty(); }));
  connection.resetConnection();
  REQUIRE(waitForEnd(recorder));
  CHECK((recorder.failure.kind == CallFailureKind::reset));
  CHECK(recorder.failure.sent);
  CHECK(runUntil(io, [&] { return tunnels.tunnels() == 0; }));
}

// Guards against a reset that is lost because it follows the end of the endpoint's stream: the cut
// response looks complete.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_resetFollowsEndOfStream_callFails")
{
  const auto call = get(recorder);
  auto connection = endpoint.accept(io);
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  connection.send("HTTP/1.1 200 OK\r\n\r\npart");
  SUBCASE("at once") {}
  SUBCASE("after a part was read")
  {
    REQUIRE(runUntil(io, [&] { return !recorder.body.empty(); }));
  }
  SUBCASE("20 ms later")
  {
    connection.shutdownSend();
    runFor(io, 20ms);
  }
  connection.shutdownSend();
  connection.resetConnection();
  REQUIRE(waitForEnd(recorder));
  CHECK(recorder.completed == 0);
  CHECK((recorder.failure.kind == CallFailureKind::reset));
  CHECK(runUntil(io, [&] { return tunnels.tunnels() == 0; }));
}

// Guards against a response that looks complete although its tunnel was closed, which a stopped
// process does in order.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_serverIsDestroyed_bodyUntilCloseFails")
{
  Recorder other;
  const auto otherCall = get(other);
  auto otherConnection = endpoint.accept(io);
  const auto call = get(recorder);
  auto connection = endpoint.accept(io);
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  connection.send("HTTP/1.1 200 OK\r\n\r\npart");
  REQUIRE(runUntil(io, [&] { return !recorder.body.empty(); }));
  tunnelServer.reset();
  REQUIRE(waitForEnd(recorder));
  CHECK(recorder.completed == 0);
}

// Guards against a response that ends with its connection and does not end at the caller.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_endpointClosesItsConnection_callCompletes")
{
  const auto call = get(recorder);
  auto connection = endpoint.accept(io);
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  connection.send("HTTP/1.1 200 OK\r\n\r\nwhole");
  connection.close();
  REQUIRE(waitForEnd(recorder));
  CHECK(recorder.completed == 1);
  CHECK(recorder.body == "whole");
}

// Guards against an endpoint that goes on with a request whose caller has left.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_callIsCancelled_endpointSeesTheEnd")
{
  const auto call = get(recorder);
  auto connection = endpoint.accept(io);
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  call->cancel();
  CHECK(runUntil(io, [&] {
    connection.read();
    return connection.closed();
  }));
}

// Guards against an endpoint that is blamed for a proxy, and a proxy for an endpoint.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_isNotOpened_failureTellsEndpointFromProxy")
{
  SUBCASE("the endpoint refuses connections")
  {
    endpoint.close();
    const auto call = get(recorder);
    REQUIRE(waitForEnd(recorder));
    CHECK((recorder.failure.kind == CallFailureKind::connectRefused));
  }
  SUBCASE("the proxy refuses the tunnel")
  {
    status = 503;
    const auto call = get(recorder);
    REQUIRE(waitForEnd(recorder));
    CHECK((recorder.failure.kind == CallFailureKind::proxyFailed));
  }
  SUBCASE("the request is signed with another key")
  {
    options.proxy->authorization = router::tunnelAuthorizationFor(endpoint.address(), "other key");
    const auto call = get(recorder);
    REQUIRE(waitForEnd(recorder));
    CHECK((recorder.failure.kind == CallFailureKind::proxyFailed));
  }
  SUBCASE("the proxy does not answer")
  {
    RawListener silent;
    options.proxy->address = silent.address();
    options.connectTimeout = 100ms;
    const auto call = get(recorder);
    REQUIRE(waitForEnd(recorder, 1s));
    CHECK((recorder.failure.kind == CallFailureKind::proxyFailed));
  }
  SUBCASE("nothing listens at the proxy's address")
  {
    RawListener closed;
    options.proxy->address = closed.address();
    closed.close();
    const auto call = get(recorder);
    REQUIRE(waitForEnd(recorder));
    CHECK((recorder.failure.kind == CallFailureKind::proxyFailed));
  }
  CHECK_FALSE(recorder.failure.sent);
  CHECK_FALSE(recorder.connected);
}

// Guards against requests of strangers that open connections or keep resources.
TEST_CASE_FIXTURE(TunnelFixture, "TunnelServer_badOrIncompleteRequest_isRefusedOrClosed")
{
  auto bad = RawSocket::connectTo(tunnels.port());
  bad.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK(waitFor(bad, "HTTP/1.1 400"));
  auto withoutTarget = RawSocket::connectTo(tunnels.port());
  withoutTarget.send("CONNECT nowhere HTTP/1.1\r\nHost: nowhere\r\n\r\n");
  CHECK(waitFor(withoutTarget, "HTTP/1.1 400"));
  auto incomplete = RawSocket::connectTo(tunnels.port());
  incomplete.send("CONNECT 127.0.0.1:1 HTTP/1.1\r\n");
  CHECK(runUntil(
    io,
    [&] {
      incomplete.read();
      return incomplete.closed();
    },
    2s));
  CHECK(runUntil(io, [&] { return tunnels.tunnels() == 0; }));
}

// Guards against a response that looks complete because the process that carries it has ended.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_carryingProcessEnds_callFails")
{
  std::vector<int> signals;
  SUBCASE("killed")
  {
    signals = { SIGKILL };
  }
  SUBCASE("terminated")
  {
    signals = { SIGTERM };
  }
  SUBCASE("stopped, then killed")
  {
    signals = { SIGSTOP, SIGKILL };
  }
  TunnelProcess carrier;
  options.proxy->address.port(carrier.port());
  const auto call = get(recorder);
  auto connection = endpoint.accept(io);
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  connection.send(kUnframedPart);
  REQUIRE(runUntil(io, [&] { return !recorder.body.empty(); }));
  carrier.end(signals);
  const TunnelProcess successor(carrier.port());
  REQUIRE(waitForEnd(recorder));
  CHECK(recorder.completed == 0);
  CHECK((recorder.failure.kind == CallFailureKind::reset));
  CHECK(waitForEnd(connection));
  CHECK(connection.reset);
}

// Guards against the same when the tunnels of a process that goes on are closed.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_serverIsDestroyed_bothSidesAreReset")
{
  auto server = std::make_unique<TunnelServer>(io, [](const TunnelRequest&) { return 200; });
  REQUIRE(server->listen({ boost::asio::ip::address_v4::loopback(), 0 }));
  auto peer = openRawTunnel(server->port());
  auto connection = endpoint.accept(io);
  peer.send("POST /x HTTP/1.1\r\n\r\npart");
  REQUIRE(waitFor(connection, "part"));
  connection.send(kUnframedPart);
  REQUIRE(waitFor(peer, "data: x\n\n"));
  server.reset();
  CHECK(waitForEnd(peer));
  CHECK(peer.reset);
  CHECK(waitForEnd(connection));
  CHECK(connection.reset);
}

// Guards against the loss of bytes that the tunnel has taken over when the endpoint ends its
// stream.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_endpointEndsWhileBytesAreWritten_peerReceivesAllInOrder")
{
  auto peer = openRawTunnel(tunnels.port());
  auto connection = endpoint.accept(io);
  const std::string body(8'000'000, 'b');
  std::size_t sent = 0;
  runUntil(
    io,
    [&] {
      sent += connection.send(std::string_view(body).substr(sent));
      return sent == body.size();
    },
    500ms);
  // The peer reads only now, so the tunnel was blocked in its writes.
  REQUIRE(runUntil(io, [&] {
    sent += connection.send(std::string_view(body).substr(sent));
    peer.read(100'000);
    return sent == body.size();
  }));
  connection.close();
  CHECK(waitForEnd(peer));
  CHECK(peer.ended);
  CHECK(peer.received.size() == body.size());
  peer.close();
  CHECK(runUntil(io, [&] { return tunnels.tunnels() == 0; }));
}

// Guards against a response that looks complete although its endpoint resets the connection just
// after the end, for example because it has not read the request.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_endpointEndsThenResets_peerIsReset")
{
  auto peer = openRawTunnel(tunnels.port());
  auto connection = endpoint.accept(io);
  connection.send(kUnframedPart);
  connection.shutdownSend();
  REQUIRE(waitFor(peer, "data: x\n\n"));
  REQUIRE(waitForEnd(peer));
  connection.resetConnection();
  CHECK(runUntil(io, [&] { return tunnels.tunnels() == 0; }));
  CHECK(peer.isReset());
}

// Guards against an end that is passed on although the endpoint has not read the whole request.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_endpointEndsBeforeItReadsTheRequest_peerIsReset")
{
  auto peer = openRawTunnel(tunnels.port());
  auto connection = endpoint.accept(io);
  const std::string request(64'000'000, 'q');
  std::size_t sent = 0;
  runUntil(
    io,
    [&] {
      sent += peer.send(std::string_view(request).substr(sent));
      return sent == request.size();
    },
    500ms);
  REQUIRE(sent < request.size());
  connection.send(kUnframedPart);
  connection.shutdownSend();
  CHECK(waitForEnd(peer));
  CHECK(peer.reset);
  CHECK(runUntil(io, [&] { return tunnels.tunnels() == 0; }));
}

// Guards against bytes that are overlooked because the receiver has no room for them.
TEST_CASE_FIXTURE(TunnelFixture, "HasUnacknowledgedBytes_receiverReadsNothing_returnsTrue")
{
  auto sender = RawSocket::connectTo(endpoint.address().port());
  auto receiver = endpoint.accept(io);
  const std::string bytes(64'000'000, 'b');
  std::size_t sent = 0;
  runUntil(
    io,
    [&] {
      sent += sender.send(std::string_view(bytes).substr(sent));
      return false;
    },
    500ms);
  REQUIRE(sent < bytes.size());
  CHECK(http::detail::hasUnacknowledgedBytes(sender.descriptor()));
  CHECK(runUntil(io, [&] {
    receiver.read();
    return !http::detail::hasUnacknowledgedBytes(sender.descriptor());
  }));
  CHECK(receiver.received.size() == sent);
}

// Guards against an endpoint that takes a request body cut by its sender for a complete one.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_peerResetsItsConnection_endpointIsReset")
{
  auto peer = openRawTunnel(tunnels.port());
  auto connection = endpoint.accept(io);
  peer.send("POST /x HTTP/1.1\r\n\r\npart");
  REQUIRE(waitFor(connection, "part"));
  peer.resetConnection();
  CHECK(waitForEnd(connection));
  CHECK(connection.reset);
}

// Guards against an endpoint that gets a reset for a connection that its peer ended in order.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_peerClosesItsConnection_endpointSeesAnOrderlyEnd")
{
  auto peer = openRawTunnel(tunnels.port());
  auto connection = endpoint.accept(io);
  peer.send("POST /x HTTP/1.1\r\n\r\nwhole");
  peer.close();
  CHECK(waitForEnd(connection));
  CHECK(connection.ended);
  CHECK(connection.has("whole"));
}

// Guards against tunnels that stay open because a peer does not react to the end of its endpoint.
TEST_CASE_FIXTURE(TunnelFixture, "Tunnel_peerKeepsItsConnectionAfterTheEnd_tunnelIsClosed")
{
  auto peer = openRawTunnel(tunnels.port());
  auto connection = endpoint.accept(io);
  connection.send(kUnframedPart);
  connection.close();
  REQUIRE(waitForEnd(peer));
  CHECK(peer.ended);
  CHECK(tunnels.tunnels() == 1);
  CHECK(runUntil(
    io,
    [&] { return tunnels.tunnels() == 0; },
    std::chrono::ceil<std::chrono::milliseconds>(TunnelServer::kEndTimeout) + 1s));
  CHECK_FALSE(peer.isReset());
}

// Guards against a process that stops while others use its tunnels, and one that waits for tunnels
// that nobody uses.
TEST_CASE_FIXTURE(TunnelFixture, "TunnelServer_exchangesRun_tunnelIsBusyUntilTheirResponsesEnd")
{
  auto peer = openRawTunnel(tunnels.port());
  auto connection = endpoint.accept(io);
  CHECK(tunnels.busyTunnels() == 0);
  const auto checkBusyUntil = [&](std::string_view request, std::string_view response) {
    peer.send(request);
    REQUIRE(waitFor(connection, request));
    for (const char byte : response) {
      CHECK(tunnels.busyTunnels() == 1);
      connection.send({ &byte, 1 });
      const auto size = peer.received.size();
      REQUIRE(runUntil(io, [&] {
        peer.read();
        return peer.received.size() > size;
      }));
    }
    CHECK(tunnels.busyTunnels() == 0);
    connection.received.clear();
  };
  checkBusyUntil("GET /x HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc");
  checkBusyUntil("GET /x HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  checkBusyUntil("HEAD /x HTTP/1.1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n");
  checkBusyUntil("POST /x HTTP/1.1\r\n\r\n",
                 "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
  CHECK_FALSE(tunnels.isEndPending(endpoint.address()));
  peer.send("GET /x HTTP/1.1\r\n\r\n");
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  connection.send(kUnframedPart);
  REQUIRE(waitFor(peer, "data: x\n\n"));
  CHECK(tunnels.busyTunnels() == 1);
  connection.close();
  CHECK(waitForEnd(peer));
  CHECK(tunnels.busyTunnels() == 1);
  CHECK(tunnels.isEndPending(endpoint.address()));
  peer.close();
  CHECK(runUntil(io, [&] { return tunnels.busyTunnels() == 0; }));
}

// Guards against ends of responses that are lost when the process of the tunnel stops.
TEST_CASE_FIXTURE(TunnelFixture, "TunnelServer_stopsAfterWholeResponse_peerReceivesAllOfIt")
{
  auto peer = openRawTunnel(tunnels.port(), 4096);
  auto connection = endpoint.accept(io);
  peer.send("GET /x HTTP/1.1\r\n\r\n");
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  const std::string body(500000, 'x');
  const auto response =
    fmt::format("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{}", body.size(), body);
  std::size_t sent = 0;
  REQUIRE(runUntil(io, [&] {
    sent += connection.send(std::string_view(response).substr(sent));
    return sent == response.size();
  }));
  REQUIRE(runUntil(io, [&] { return tunnels.busyTunnels() == 0; }));
  CHECK(peer.received.empty());
  tunnelServer.reset();
  CHECK(waitForEnd(peer));
  CHECK(peer.received == response);
}

// Guards against responses for slow callers that a tunnel cuts after 2 s without a read.
TEST_CASE_FIXTURE(TunnelFixture, "TunnelServer_peerPausesReading_responseGoesOn")
{
  auto peer = openRawTunnel(tunnels.port(), 4096);
  auto connection = endpoint.accept(io);
  peer.send("GET /x HTTP/1.1\r\n\r\n");
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  const std::string response(500000, 'x');
  REQUIRE(connection.send(response) == response.size());
  runFor(io, 5s);
  CHECK(tunnels.tunnels() == 1);
  CHECK(runUntil(io, [&] {
    peer.read();
    return peer.received == response;
  }));
}

// Guards against a tunnel that counts as unused because its response is not understood.
TEST_CASE_FIXTURE(TunnelFixture, "TunnelServer_responseIsMalformed_tunnelStaysBusy")
{
  auto peer = openRawTunnel(tunnels.port());
  auto connection = endpoint.accept(io);
  peer.send("GET /x HTTP/1.1\r\n\r\n");
  REQUIRE(waitFor(connection, "\r\n\r\n"));
  connection.send("nonsense\r\n\r\n");
  REQUIRE(waitFor(peer, "nonsense"));
  CHECK(tunnels.busyTunnels() == 1);
}
