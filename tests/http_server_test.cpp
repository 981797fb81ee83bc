#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "HttpSockets.h"

#include <memory>
#include <vector>

using namespace figchute;
using namespace figchute::http;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kGet = "GET /a?b=c HTTP/1.1\r\nHost: bees\r\n\r\n";

struct ServerFixture
{
  boost::asio::io_context io{ 1 };
  std::vector<std::shared_ptr<ServerRequest>> requests;
  ServerLimits limits;
  std::unique_ptr<Server> server;
  /** Answers each request with its target and body. */
  bool echo = false;

  void listen()
  {
    server = std::make_unique<Server>(io, limits, [this](std::shared_ptr<ServerRequest> request) {
      if (echo) {
        ResponseHead head;
        head.fields.add("X-Target", request->head().target);
        request->respond(std::move(head), *request->body());
      } else {
        requests.push_back(std::move(request));
      }
    });
    REQUIRE(server->listen({ boost::asio::ip::address_v4::loopback(), 0 }));
  }

  RawSocket connect(int receiveBuffer = 0)
  {
    if (!server)
      listen();
    return RawSocket::connectTo(server->port(), receiveBuffer);
  }

  bool waitForRequests(std::size_t count)
  {
    return runUntil(io, [&] { return requests.size() >= count; });
  }

  bool waitFor(RawSocket& socket, std::string_view text, std::chrono::milliseconds timeout = 5s)
  {
    return runUntil(
      io,
      [&] {
        socket.read();
        return socket.has(text);
      },
      timeout);
  }

  bool waitForClose(RawSocket& socket, std::chrono::milliseconds timeout = 5s)
  {
    return runUntil(
      io,
      [&] {
        socket.read();
        return socket.closed();
      },
      timeout);
  }
};

} // namespace

// Guards against a request or response whose parts are lost or changed.
TEST_CASE_FIXTURE(ServerFixture, "Server_plainRequest_isHandedOverAndAnswered")
{
  auto caller = connect();
  caller.send("POST /x HTTP/1.1\r\nHost: bees\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nhello");
  REQUIRE(waitForRequests(1));
  CHECK(requests[0]->head().method == "POST");
  CHECK(requests[0]->head().target == "/x");
  CHECK(requests[0]->head().fields.get("x-a") == "1");
  CHECK(requests[0]->head().length == 5);
  CHECK(*requests[0]->body() == "hello");
  CHECK(requests[0]->peer().substr(0, 10) == "127.0.0.1:");
  CHECK(server->openRequests() == 1);
  ResponseHead head;
  head.status = 201;
  head.fields.add("X-B", "2");
  requests[0]->respond(std::move(head), "world");
  CHECK(waitFor(caller, "\r\n\r\nworld"));
  CHECK(caller.received == "HTTP/1.1 201 Created\r\nX-B: 2\r\nContent-Length: 5\r\n\r\nworld");
  CHECK(server->openRequests() == 0);
}

// Guards against parts that wait for the end of the response.
TEST_CASE_FIXTURE(ServerFixture, "Server_streamedResponse_arrivesPartByPart")
{
  auto caller = connect();
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  requests[0]->start({});
  requests[0]->write("one");
  CHECK(waitFor(caller, "3\r\none\r\n"));
  CHECK(caller.has("Transfer-Encoding: chunked\r\n"));
  requests[0]->write("three");
  CHECK(waitFor(caller, "5\r\nthree\r\n"));
  requests[0]->finish();
  CHECK(waitFor(caller, "0\r\n\r\n"));
}
