#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "CallRecorder.h"
#include "http/TunnelServer.h"
#include "HttpSockets.h"
#include "router/TunnelAuthorization.h"

#include <doctest/doctest.h>
#include <memory>
#include <string>

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
  TunnelServer tunnels{ io, [this](const TunnelRequest& request) {
                         return router::isAuthorized(request, kPeerKey) ? status : 407;
                       } };
  ClientPool pool{ io };
  CallOptions options;
  Recorder recorder;
};

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
