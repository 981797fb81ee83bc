#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "HttpSockets.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <csignal>
#include <malloc.h>
#include <memory>
#include <sys/eventfd.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <vector>

using namespace figchute;
using namespace figchute::http;
using namespace std::chrono_literals;

namespace {

constexpr std::string_view kGet = "GET /a?b=c HTTP/1.1\r\nHost: bees\r\n\r\n";

/** A request whose response has no length and is not chunked. */
constexpr std::string_view kGetUntilClose = "GET / HTTP/1.0\r\n\r\n";

/** More than the buffers of both sockets hold. */
constexpr std::size_t kLargeBodyBytes = 8000000;

struct ServerFixture
{
  boost::asio::io_context io{ 1 };
  std::vector<std::shared_ptr<ServerRequest>> requests;
  ServerLimits limits;
  std::unique_ptr<Server> server;
  /** Responds to each request with its target and body instead of storing it in requests. */
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

/** A process with a server that answers each request with the body "part". */
class ServerProcess
{
public:
  /** @param finishes  whether it ends the body */
  explicit ServerProcess(bool finishes)
  {
    int pipe[2];
    REQUIRE(::pipe(pipe) == 0);
    id_ = ::fork();
    REQUIRE(id_ >= 0);
    if (id_ == 0)
      run(finishes, pipe[1]);
    REQUIRE(::read(pipe[0], &port_, sizeof port_) == sizeof port_);
    ::close(pipe[0]);
    ::close(pipe[1]);
  }
  ~ServerProcess() { end({ SIGKILL }); }

  ServerProcess(const ServerProcess&) = delete;
  ServerProcess& operator=(const ServerProcess&) = delete;

  [[nodiscard]] std::uint16_t port() const { return port_; }

  /** Sends signals, the last of which must end the process. */
  void end(const std::vector<int>& signals)
  {
    if (id_ <= 0)
      return;
    for (const int signal : signals)
      ::kill(id_, signal);
    ::waitpid(std::exchange(id_, 0), nullptr, 0);
  }

private:
  [[noreturn]] static void run(bool finishes, int portPipe)
  {
    std::signal(SIGTERM, SIG_DFL);
    boost::asio::io_context io{ 1 };
    std::vector<std::shared_ptr<ServerRequest>> requests;
    Server server(io, {}, [&](std::shared_ptr<ServerRequest> request) {
      request->start({});
      request->write("part");
      if (finishes)
        request->finish();
      requests.push_back(std::move(request));
    });
    if (!server.listen({ boost::asio::ip::address_v4::loopback(), 0 }))
      ::_exit(1);
    const auto port = server.port();
    if (::write(portPipe, &port, sizeof port) != sizeof port)
      ::_exit(1);
    io.run();
    ::_exit(0);
  }

  pid_t id_ = 0;
  std::uint16_t port_ = 0;
};

} // namespace

// Guards against parts of a request or response that are lost or altered.
TEST_CASE_FIXTURE(ServerFixture, "Server_plainRequest_isHandledAndAnswered")
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

// Guards against parts of a body that are sent only once the response is complete.
TEST_CASE_FIXTURE(ServerFixture, "Server_streamedResponse_arrivesInParts")
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

// Guards against request smuggling: a head that another HTTP implementation could parse differently
// must be rejected, and the bytes after it must not be parsed as a request.
TEST_CASE_FIXTURE(ServerFixture, "Server_ambiguousHead_isRejected")
{
  const std::string host = "Host: bees\r\n";
  const std::vector<std::string> heads = {
    "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 4\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length: 3\r\nContent-Length: 3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length: 3, 3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length: +3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length: -3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length: 0x3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length:\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length: 99999999999999999999999\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: gzip, chunked\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: chunked, chunked\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: xchunked\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host +
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding: identity\r\n\r\n",
    "POST / HTTP/1.0\r\n" + host + "Transfer-Encoding: chunked\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Transfer-Encoding : chunked\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "Content-Length : 3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + " Content-Length: 3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "X-A: b\r\n folded\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "X-A: b\r\n\tfolded\r\n\r\n",
    "POST / HTTP/1.1\n" + host + "\r\n",
    "POST / HTTP/1.1\r\nHost: bees\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "\n",
    "POST / HTTP/1.1\r\n" + host + "X-A: b\rContent-Length: 3\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + std::string("X-A: b\0c\r\n\r\n", 13),
    "POST / HTTP/1.1\r\n" + host + "X-A: b\x01\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "X-A: b\x7f\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "X A: b\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + ": b\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + "no colon\r\n\r\n",
    "POST / HTTP/1.1\r\n\r\n",
    "POST / HTTP/1.1\r\n" + host + host + "\r\n",
    "POST / HTTP/1.1\r\nHost: a b\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a/b\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a@b\r\n\r\n",
    "POST / HTTP/1.1\r\nHost: a,b\r\n\r\n",
    "POST  / HTTP/1.1\r\n" + host + "\r\n",
    "POST / HTTP/2.0\r\n" + host + "\r\n",
    "POST / HTTP/1.1 \r\n" + host + "\r\n",
    "POST / http/1.1\r\n" + host + "\r\n",
    "POST HTTP/1.1\r\n" + host + "\r\n",
    "POST x HTTP/1.1\r\n" + host + "\r\n",
    "CONNECT bees:80 HTTP/1.1\r\n" + host + "\r\n",
    "P@ST / HTTP/1.1\r\n" + host + "\r\n",
    "\r\r\n",
    "\x16\x03\x01\x02",
  };
  for (const auto& head : heads) {
    CAPTURE(head);
    auto caller = connect();
    caller.send(head + "GET /smuggled HTTP/1.1\r\nHost: bees\r\n\r\n");
    CHECK(waitForClose(caller));
    CHECK(caller.received.substr(0, 12) == "HTTP/1.1 400");
    CHECK(caller.has("Connection: close\r\n"));
    CHECK(caller.ended);
    CHECK(requests.empty());
  }
}

// Guards against accepting chunks that another HTTP implementation could parse differently.
TEST_CASE_FIXTURE(ServerFixture, "Server_malformedChunk_isRejected")
{
  const std::vector<std::string> bodies = { "x\r\n",          "3\nabc\r\n0\r\n\r\n",
                                            "3\r\nabcd\r\n",  "-1\r\n\r\n",
                                            "\r\n",           "3 \nabc\r\n0\r\n\r\n",
                                            "0x3\r\nabc\r\n", "fffffffffffffffff\r\nabc\r\n" };
  for (const auto& body : bodies) {
    CAPTURE(body);
    auto caller = connect();
    caller.send("POST / HTTP/1.1\r\nHost: bees\r\nTransfer-Encoding: chunked\r\n\r\n" + body +
                "GET /smuggled HTTP/1.1\r\nHost: bees\r\n\r\n");
    CHECK(waitForClose(caller));
    CHECK(caller.received.substr(0, 9) == "HTTP/1.1 ");
    CHECK((caller.has(" 400 ") || caller.has(" 413 ")));
    CHECK(requests.empty());
  }
}

// Guards against losing bytes of a chunked body wherever the input is split, and against trailer
// fields that are taken for header fields.
TEST_CASE_FIXTURE(ServerFixture, "Server_requestSentByteByByte_isRead")
{
  echo = true;
  auto caller = connect();
  const std::string request = "POST /t HTTP/1.1\r\nHost: bees\r\nTransfer-Encoding: Chunked\r\n\r\n"
                              "3;a=b\r\none\r\nA\r\n0123456789\r\n0\r\nX-Target: trailer\r\n\r\n";
  for (const char byte : request) {
    caller.send({ &byte, 1 });
    runUntil(
      io, [&] { return false; }, 1ms);
  }
  CHECK(waitFor(caller, "\r\n\r\none0123456789"));
  CHECK(caller.has("X-Target: /t\r\n"));
}

// Guards against forwarding hop-by-hop fields to endpoints, and against a caller that removes Host
// by naming it in Connection.
TEST_CASE_FIXTURE(ServerFixture, "Server_hopByHopFields_areRemoved")
{
  auto caller = connect();
  caller.send("POST / HTTP/1.1\r\nHost: bees\r\nConnection: X-Hop, keep-alive, Host\r\nX-Hop: 1\r\n"
              "Keep-Alive: timeout=9\r\nTE: trailers\r\nTrailer: X\r\nUpgrade: h2c\r\n"
              "Proxy-Connection: close\r\nProxy-Authorization: x\r\nContent-Length: 2\r\n"
              "X-End: 2\r\n\r\nok");
  REQUIRE(waitForRequests(1));
  const auto& fields = requests[0]->head().fields;
  CHECK(fields.size() == 2);
  CHECK(fields.get("Host") == "bees");
  CHECK(fields.get("X-End") == "2");
}

// Guards against a Host field that differs from the host of an absolute target.
TEST_CASE_FIXTURE(ServerFixture, "Server_absoluteTarget_replacesHost")
{
  auto caller = connect();
  caller.send("GET http://wasps:81/x?y HTTP/1.1\r\nHost: bees\r\n\r\n");
  REQUIRE(waitForRequests(1));
  CHECK(requests[0]->head().target == "/x?y");
  CHECK(requests[0]->head().fields.get("Host") == "wasps:81");
}

// Guards against unbounded heads, and against an error response that is lost to a connection reset.
TEST_CASE_FIXTURE(ServerFixture, "Server_oversizedHead_gets431")
{
  limits.headBytes = 1000;
  auto caller = connect();
  caller.send("GET / HTTP/1.1\r\nHost: bees\r\nX-A: " + std::string(100000, 'a'));
  CHECK(waitForClose(caller));
  CHECK(caller.received.substr(0, 12) == "HTTP/1.1 431");
  CHECK(caller.ended);

  auto complete = connect();
  complete.send("GET / HTTP/1.1\r\nHost: bees\r\nX-A: " + std::string(1000, 'a') + "\r\n\r\n");
  CHECK(waitForClose(complete));
  CHECK(complete.received.substr(0, 12) == "HTTP/1.1 431");
  CHECK(requests.empty());
}

// Guards against unbounded bodies, and against an error response that is lost because the caller is
// still sending.
TEST_CASE_FIXTURE(ServerFixture, "Server_oversizedBody_gets413")
{
  limits.bodyBytes = 1000;
  auto caller = connect();
  caller.send("POST / HTTP/1.1\r\nHost: bees\r\nContent-Length: 1000000\r\n\r\n");
  for (int i = 0; i < 10; ++i) {
    caller.send(std::string(50000, 'x'));
    runFor(io, 5ms);
  }
  CHECK(waitFor(caller, "HTTP/1.1 413"));
  caller.shutDownWriting();
  CHECK(waitForClose(caller));
  CHECK(caller.ended);

  auto chunked = connect();
  chunked.send("POST / HTTP/1.1\r\nHost: bees\r\nTransfer-Encoding: chunked\r\n\r\n");
  chunked.send("258\r\n" + std::string(600, 'x') + "\r\n258\r\n" + std::string(600, 'x') + "\r\n");
  CHECK(waitFor(chunked, "HTTP/1.1 413"));
  CHECK(requests.empty());
}

// Guards against unbounded memory for the bodies of many concurrent requests, and against a total
// that is not reduced when bodies are released.
TEST_CASE_FIXTURE(ServerFixture, "Server_totalBodySize_isLimited")
{
  limits.totalBodyBytes = 1500;
  const std::string post =
    "POST / HTTP/1.1\r\nHost: bees\r\nContent-Length: 1000\r\n\r\n" + std::string(1000, 'x');
  auto first = connect();
  first.send(post);
  REQUIRE(waitForRequests(1));
  auto second = connect();
  second.send(post);
  CHECK(waitForClose(second));
  CHECK(second.received.substr(0, 12) == "HTTP/1.1 503");
  CHECK(second.has("Retry-After: "));

  requests[0]->respond({}, "done");
  requests.clear();
  auto third = connect();
  third.send(post);
  CHECK(waitForRequests(1));
}

// Guards against callers that occupy a connection with a head or body that never ends.
TEST_CASE_FIXTURE(ServerFixture, "Server_slowSender_gets408")
{
  limits.headTimeout = 200ms;
  limits.bodyTimeout = 200ms;
  auto head = connect();
  auto body = connect();
  head.send("GET / HTTP/1.1\r\nHos");
  body.send("POST / HTTP/1.1\r\nHost: bees\r\nContent-Length: 10\r\n\r\n123");
  runFor(io, 100ms);
  // Each part of a body restarts its timeout; parts of a head do not.
  head.send("t: bees\r\n");
  body.send("4");
  CHECK(waitForClose(head, 250ms));
  CHECK(head.received.substr(0, 12) == "HTTP/1.1 408");
  body.read();
  CHECK_FALSE(body.has("408"));
  CHECK(waitForClose(body, 250ms));
  CHECK(body.received.substr(0, 12) == "HTTP/1.1 408");
}

// Guards against idle connections that are never closed, and against an error response on them that
// a caller would take for the response to its next request.
TEST_CASE_FIXTURE(ServerFixture, "Server_idleConnection_isClosedWithoutResponse")
{
  limits.idleTimeout = 200ms;
  echo = true;
  auto unused = connect();
  auto used = connect();
  used.send(kGet);
  CHECK(waitFor(used, "\r\n\r\n"));
  used.received.clear();
  CHECK(waitForClose(unused, 500ms));
  CHECK(waitForClose(used, 500ms));
  CHECK(unused.received.empty());
  CHECK(used.received.empty());
  CHECK(runUntil(io, [&] { return server->connections() == 2; }));
  unused.close();
  used.close();
  CHECK(runUntil(io, [&] { return server->connections() == 0; }));
}

// Guards against work that begins for a caller that left while its request waited to be read.
TEST_CASE_FIXTURE(ServerFixture, "Server_callerLeftBeforeItsRequestIsRead_isNotHandled")
{
  for (const bool isReset : { false, true }) {
    CAPTURE(isReset);
    auto caller = connect();
    caller.send(kGet);
    if (isReset)
      caller.resetConnection();
    else
      caller.close();
    runFor(io, 50ms);
    CHECK(requests.empty());
    CHECK(server->openRequests() == 0);
    CHECK(server->connections() == 0);
  }
}

// Guards against an endpoint that keeps working for a caller that has disconnected.
TEST_CASE_FIXTURE(ServerFixture, "Server_callerDisconnects_ownerIsNotified")
{
  for (const bool reset : { false, true }) {
    for (const bool started : { false, true }) {
      CAPTURE(reset);
      CAPTURE(started);
      requests.clear();
      auto caller = connect();
      caller.send(kGet);
      REQUIRE(waitForRequests(1));
      int disconnected = 0;
      requests[0]->onDisconnect([&] { ++disconnected; });
      if (started) {
        requests[0]->start({});
        requests[0]->write("part");
        runFor(io, 5ms);
      }
      if (reset)
        caller.resetConnection();
      else
        caller.close();
      CHECK(runUntil(io, [&] { return disconnected == 1; }));
      CHECK(server->openRequests() == 0);
      requests[0]->write("more");
      requests[0]->finish();
      requests[0]->abort();
      runFor(io, 5ms);
      CHECK(disconnected == 1);
      CHECK(server->connections() == 0);
    }
  }
}

// Guards against missing a disconnect on a connection that is not being read because the caller
// pipelined too much data.
TEST_CASE_FIXTURE(ServerFixture, "Server_callerDisconnectsWithUnreadInput_ownerIsNotified")
{
  limits.headBytes = 1000;
  auto caller = connect();
  caller.send(std::string(kGet) + std::string(20000, 'x'));
  REQUIRE(waitForRequests(1));
  bool disconnected = false;
  requests[0]->onDisconnect([&] { disconnected = true; });
  runFor(io, 50ms);
  CHECK_FALSE(disconnected);
  caller.close();
  CHECK(runUntil(
    io, [&] { return disconnected; }, 500ms));
}

// Guards against pipelined requests that are lost, mixed up or handled concurrently.
TEST_CASE_FIXTURE(ServerFixture, "Server_pipelinedRequests_areHandledInOrder")
{
  auto caller = connect();
  caller.send("POST /1 HTTP/1.1\r\nHost: b\r\nContent-Length: 3\r\n\r\none\r\n"
              "GET /2 HTTP/1.1\r\nHost: b\r\n\r\nGET /3 HTTP/1.1\r\nHost: b\r\n\r\n");
  for (std::size_t i = 0; i < 3; ++i) {
    REQUIRE(waitForRequests(i + 1));
    runFor(io, 5ms);
    CHECK(requests.size() == i + 1);
    CHECK(requests[i]->head().target == "/" + std::to_string(i + 1));
    requests[i]->respond({}, "answer " + std::to_string(i + 1));
  }
  CHECK(waitFor(caller, "answer 3"));
  CHECK(caller.received.find("answer 1") < caller.received.find("answer 2"));
}

// Guards against an aborted response that looks complete, for each kind of body framing.
TEST_CASE_FIXTURE(ServerFixture, "Server_abortedResponse_neverLooksComplete")
{
  struct Case
  {
    std::string request;
    ResponseHead head;
    std::string body;
    std::string complete;
  };
  ResponseHead withLength;
  withLength.length = 4;
  ResponseHead empty;
  empty.length = 0;
  ResponseHead noContent;
  noContent.status = 204;
  const std::string head10 = "GET / HTTP/1.0\r\n\r\n";
  const std::string head = "HEAD / HTTP/1.1\r\nHost: b\r\n\r\n";
  const std::vector<Case> cases = {
    { std::string(kGet), withLength, "body", "body" }, { std::string(kGet), empty, "", "\r\n\r\n" },
    { std::string(kGet), noContent, "", "\r\n\r\n" },  { head, withLength, "", "\r\n\r\n" },
    { std::string(kGet), {}, "body", "0\r\n\r\n" },    { head10, {}, "body", "" },
  };
  for (const auto& testCase : cases) {
    CAPTURE(testCase.request);
    requests.clear();
    auto caller = connect();
    caller.send(testCase.request);
    REQUIRE(waitForRequests(1));
    requests[0]->start(testCase.head);
    requests[0]->write(testCase.body);
    runFor(io, 10ms);
    caller.read();
    CHECK(caller.has("HTTP/1.1 20"));
    CHECK(requests[0]->pendingBytes() == 0);
    requests[0]->abort();
    CHECK(waitForClose(caller));
    if (testCase.complete.empty())
      CHECK(caller.reset);
    else
      CHECK_FALSE(caller.has(testCase.complete));
    CHECK(server->connections() == 0);
  }
}

// Guards against a response shorter than its Content-Length on a connection that stays open, where
// the next response would be read as its body.
TEST_CASE_FIXTURE(ServerFixture, "Server_shortBody_isAborted")
{
  auto caller = connect();
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  ResponseHead head;
  head.length = 10;
  requests[0]->start(head);
  requests[0]->write("short");
  requests[0]->finish();
  CHECK(waitForClose(caller));
  CHECK(caller.reset);
}

// Guards against sending bytes beyond the Content-Length, which a caller would take for its next
// response.
TEST_CASE_FIXTURE(ServerFixture, "Server_longBody_isTruncatedAtContentLength")
{
  auto caller = connect();
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  ResponseHead head;
  head.length = 4;
  requests[0]->start(head);
  requests[0]->write("body and more");
  requests[0]->finish();
  CHECK(waitFor(caller, "body"));
  runFor(io, 5ms);
  caller.read();
  CHECK_FALSE(caller.has("and more"));
  CHECK_FALSE(caller.closed());
}

// Guards against a request that stays open after its last pointer is destroyed.
TEST_CASE_FIXTURE(ServerFixture, "Server_destroyedRequest_isAborted")
{
  auto caller = connect();
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  requests.clear();
  CHECK(waitForClose(caller));
  CHECK(caller.received.empty());
  CHECK(server->openRequests() == 0);
}

// Guards against unbounded buffering for a caller that reads slowly, and against a producer that is
// never notified to continue.
TEST_CASE_FIXTURE(ServerFixture, "Server_slowReader_appliesBackPressure")
{
  auto caller = connect(4096);
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  const auto request = requests[0];
  request->start({});
  const std::string part(8000, 'x');
  std::size_t written = 0;
  const std::size_t total = 8000000;
  const auto produce = [&] {
    while (written < total && request->pendingBytes() < 65536) {
      request->write(part);
      written += part.size();
    }
    if (written >= total)
      request->finish();
  };
  request->onWritable(produce);
  produce();
  runFor(io, 100ms);
  CHECK(written < total);
  CHECK(request->pendingBytes() > 0);
  CHECK(waitFor(caller, "0\r\n\r\n", 20s));
  CHECK(written == total);
  CHECK(caller.received.size() > total);
}

// Guards against a caller that never reads and keeps its request open indefinitely.
TEST_CASE_FIXTURE(ServerFixture, "Server_callerThatDoesNotRead_isDisconnected")
{
  limits.writeTimeout = 300ms;
  auto caller = connect(4096);
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  bool disconnected = false;
  requests[0]->onDisconnect([&] { disconnected = true; });
  requests[0]->start({});
  requests[0]->write(std::string(8000000, 'x'));
  runFor(io, 100ms);
  CHECK_FALSE(disconnected);
  CHECK(runUntil(
    io, [&] { return disconnected; }, 1s));
  CHECK(server->connections() == 0);
}

// Guards against disconnecting a caller that reads slowly but steadily.
TEST_CASE_FIXTURE(ServerFixture, "Server_callerThatReadsSlowly_staysConnected")
{
  limits.writeTimeout = 300ms;
  auto caller = connect(4096);
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  bool disconnected = false;
  requests[0]->onDisconnect([&] { disconnected = true; });
  requests[0]->start({});
  requests[0]->write(std::string(8000000, 'x'));
  for (int i = 0; i < 40; ++i) {
    runFor(io, 20ms);
    caller.read(200000);
  }
  CHECK_FALSE(disconnected);
  CHECK(requests[0]->pendingBytes() < 8000000);
}

// Guards against a write limit that waits for a third of the system's buffer to become free.
TEST_CASE_FIXTURE(ServerFixture, "Server_callerThatReadsLittleAtATime_staysConnected")
{
  limits.writeTimeout = 300ms;
  auto caller = connect(4096);
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  bool disconnected = false;
  requests[0]->onDisconnect([&] { disconnected = true; });
  requests[0]->start({});
  requests[0]->write(std::string(kLargeBodyBytes, 'x'));
  runFor(io, 50ms);
  const auto pending = requests[0]->pendingBytes();
  for (int i = 0; i < 75; ++i) {
    runFor(io, 20ms);
    caller.read(1500);
  }
  CHECK_FALSE(disconnected);
  CHECK(requests[0]->pendingBytes() == pending);
}

// Guards against a process that exits while the end of an answer waits for its caller.
TEST_CASE_FIXTURE(ServerFixture, "Server_endedResponseThatIsNotReceived_isCountedUntilItIs")
{
  auto caller = connect(4096);
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  CHECK(server->unsentResponses() == 0);
  bool unsent = false;
  requests[0]->onUnsent([&](const UnsentResponse& /*response*/) { unsent = true; });
  SUBCASE("the end waits in the output buffer")
  {
    requests[0]->respond({}, std::string(kLargeBodyBytes, 'x'));
  }
  SUBCASE("the end waits in the buffer of the operating system")
  {
    requests[0]->respond({}, std::string(100000, 'x'));
  }
  SUBCASE("the connection is closed after the response")
  {
    requests[0]->closeAfterResponse();
    requests[0]->respond({}, std::string(100000, 'x'));
  }
  runFor(io, 1200ms);
  CHECK(server->openRequests() == 0);
  CHECK(server->unsentResponses() == 1);
  CHECK(runUntil(io, [&] {
    caller.read();
    return server->unsentResponses() == 0;
  }));
  CHECK_FALSE(unsent);
}

// Guards against lost ends of responses that nobody is told of.
TEST_CASE_FIXTURE(ServerFixture, "Server_endedResponseThatIsNotReceived_isReportedOnce")
{
  limits.writeTimeout = 300ms;
  auto caller = connect(4096);
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  std::vector<UnsentResponse> reports;
  requests[0]->onUnsent([&](const UnsentResponse& response) { reports.push_back(response); });
  requests[0]->respond({}, std::string(kLargeBodyBytes, 'x'));
  requests.clear();
  runFor(io, 50ms);
  CHECK(reports.empty());
  auto reason = UnsentReason::writeTimeout;
  SUBCASE("the caller reads nothing") {}
  SUBCASE("the caller resets the connection")
  {
    reason = UnsentReason::disconnected;
    caller.resetConnection();
  }
  SUBCASE("the server closes its connections")
  {
    reason = UnsentReason::closed;
    server->closeConnections();
  }
  CHECK(runUntil(io, [&] { return server->connections() == 0; }));
  REQUIRE(reports.size() == 1);
  CHECK(reports[0].reason == reason);
  CHECK(reports[0].unwrittenBytes > 0);
  CHECK(reports[0].unwrittenBytes + reports[0].unacknowledgedBytes < kLargeBodyBytes + 200);
}

// Guards against a small response that is lost because the process exits before its next flush, and
// against a pipelined request that starts then.
TEST_CASE_FIXTURE(ServerFixture, "Server_closeConnections_writesOutputFirst")
{
  auto caller = connect();
  caller.send(kGet);
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  runFor(io, 20ms);
  requests[0]->respond({}, "end");
  server->closeConnections();
  CHECK(requests.size() == 1);
  CHECK(waitForClose(caller));
  CHECK(caller.ended);
  CHECK(caller.has("\r\n\r\nend"));
}

// Guards against chunked bodies and persistent connections for HTTP/1.0 callers that support
// neither.
TEST_CASE_FIXTURE(ServerFixture, "Server_http10Caller_getsBodyUntilClose")
{
  auto caller = connect();
  caller.send("GET / HTTP/1.0\r\n\r\n");
  REQUIRE(waitForRequests(1));
  requests[0]->start({});
  requests[0]->write("one");
  requests[0]->write("two");
  requests[0]->finish();
  CHECK(waitForClose(caller));
  CHECK(caller.ended);
  CHECK(caller.received == "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nonetwo");

  requests.clear();
  auto keepAliveClient = connect();
  keepAliveClient.send("GET / HTTP/1.0\r\nConnection: keep-alive\r\n\r\n");
  REQUIRE(waitForRequests(1));
  requests[0]->respond({}, "one");
  CHECK(waitFor(keepAliveClient, "Connection: keep-alive\r\n\r\none"));
  keepAliveClient.send("GET / HTTP/1.0\r\n\r\n");
  REQUIRE(waitForRequests(2));
  requests[1]->respond({}, "two");
  CHECK(waitForClose(keepAliveClient));
  CHECK(keepAliveClient.has("Connection: close\r\n\r\ntwo"));
}

// Guards against a caller that never receives 100 Continue, or receives it before a rejection.
TEST_CASE_FIXTURE(ServerFixture, "Server_expectContinue_isAnswered")
{
  limits.bodyBytes = 1000;
  echo = true;
  auto caller = connect();
  caller.send("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\nExpect: 100-Continue\r\n\r\n");
  CHECK(waitFor(caller, "HTTP/1.1 100 Continue\r\n\r\n"));
  caller.send("ok");
  CHECK(waitFor(caller, "\r\n\r\nok"));

  auto large = connect();
  large.send("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 2000\r\nExpect: 100-continue\r\n\r\n");
  CHECK(waitForClose(large));
  CHECK(large.received.substr(0, 12) == "HTTP/1.1 413");

  auto unknown = connect();
  unknown.send("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 2\r\nExpect: honey\r\n\r\n");
  CHECK(waitForClose(unknown));
  CHECK(unknown.received.substr(0, 12) == "HTTP/1.1 417");
}

// Guards against sending a body with a response that must not have one, which would corrupt the
// next response.
TEST_CASE_FIXTURE(ServerFixture, "Server_responseWithoutBody_sendsNoBodyBytes")
{
  auto caller = connect();
  caller.send("HEAD /1 HTTP/1.1\r\nHost: b\r\n\r\n");
  REQUIRE(waitForRequests(1));
  requests[0]->respond({}, "12345");
  CHECK(waitFor(caller, "\r\n\r\n"));
  CHECK(caller.received == "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
  for (const int status : { 204, 304 }) {
    caller.received.clear();
    caller.send(kGet);
    REQUIRE(runUntil(io, [&] { return server->openRequests() == 1; }));
    ResponseHead head;
    head.status = status;
    requests.back()->start(head);
    requests.back()->write("ignored");
    requests.back()->finish();
    CHECK(waitFor(caller, "\r\n\r\n"));
    CHECK_FALSE(caller.has("ignored"));
    CHECK_FALSE(caller.has("Content-Length"));
    CHECK_FALSE(caller.has("Transfer-Encoding"));
  }
}

// Guards against framing fields of an endpoint that contradict those of the server, and against
// field values that inject a line into the head.
TEST_CASE_FIXTURE(ServerFixture, "Server_responseFields_cannotChangeFraming")
{
  auto caller = connect();
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  ResponseHead head;
  head.fields.add("Content-Length", "99");
  head.fields.add("Transfer-Encoding", "chunked");
  head.fields.add("Connection", "x");
  head.fields.add("X-A", "b\r\nX-B: c");
  requests[0]->respond(std::move(head), "ok");
  CHECK(waitFor(caller, "\r\n\r\nok"));
  CHECK(caller.received == "HTTP/1.1 200 OK\r\nX-A: b  X-B: c\r\nContent-Length: 2\r\n\r\nok");
}

// Guards against a draining server that keeps idle connections open or lets callers reuse busy
// ones.
TEST_CASE_FIXTURE(ServerFixture, "Server_drain_closesIdleConnectionsAndAddsConnectionClose")
{
  auto idle = connect();
  auto busy = connect();
  busy.send(kGet);
  REQUIRE(waitForRequests(1));
  server->drain();
  CHECK(waitForClose(idle));
  CHECK(idle.received.empty());
  CHECK_FALSE(busy.closed());
  auto afterDrain = connect();
  afterDrain.send(kGet);
  REQUIRE(waitForRequests(2));
  for (auto& request : requests)
    request->respond({}, "done");
  CHECK(waitForClose(busy));
  CHECK(waitForClose(afterDrain));
  CHECK(busy.has("Connection: close\r\n\r\ndone"));
  CHECK(afterDrain.has("Connection: close\r\n\r\ndone"));
}

// Guards against closing a connection that was just accepted while its first request is on its way.
TEST_CASE_FIXTURE(ServerFixture, "Server_drainBeforeFirstRequest_answersIt")
{
  echo = true;
  auto before = connect();
  runFor(io, 5ms);
  server->drain();
  auto after = connect();
  runFor(io, 5ms);
  server->drain();
  CHECK(server->expectsFirstRequests());
  for (auto* caller : { &before, &after }) {
    caller->send(kGet);
    CHECK(waitForClose(*caller));
    CHECK(caller->has("HTTP/1.1 200 OK"));
  }
  CHECK_FALSE(server->expectsFirstRequests());
}

// Guards against losing a request that arrived just before drain().
TEST_CASE_FIXTURE(ServerFixture, "Server_drainWithUnreadRequest_answersIt")
{
  echo = true;
  auto caller = connect();
  runFor(io, 5ms);
  caller.send(kGet);
  server->drain();
  CHECK(waitForClose(caller));
  CHECK(caller.has("HTTP/1.1 200 OK"));
}

// Guards against a server that still accepts connections after stopAccepting().
TEST_CASE_FIXTURE(ServerFixture, "Server_stopAccepting_refusesNewConnections")
{
  auto caller = connect();
  runFor(io, 5ms);
  server->stopAccepting();
  runFor(io, 5ms);
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(server->port());
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  CHECK(::connect(descriptor, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0);
  ::close(descriptor);
  caller.send(kGet);
  CHECK(waitForRequests(1));
}

// Guards against exceeding maxConnections, and against refusing a connection without a status.
TEST_CASE_FIXTURE(ServerFixture, "Server_tooManyConnections_refusesWith503")
{
  limits.maxConnections = 2;
  auto first = connect();
  auto second = connect();
  runFor(io, 5ms);
  auto third = connect();
  third.send(kGet);
  CHECK(waitForClose(third));
  CHECK(third.received.substr(0, 12) == "HTTP/1.1 503");
  first.close();
  third.close();
  CHECK(runUntil(io, [&] { return server->connections() == 1; }));
  auto fourth = connect();
  fourth.send(kGet);
  CHECK(waitForRequests(1));
}

// Guards against new limits that take effect only after a restart.
TEST_CASE_FIXTURE(ServerFixture, "Server_newLimits_applyToNextRequest")
{
  auto caller = connect();
  caller.send("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x'));
  REQUIRE(waitForRequests(1));
  requests[0]->respond({}, "ok");
  CHECK(waitFor(caller, "ok"));
  limits.bodyBytes = 50;
  server->setLimits(limits);
  caller.send("POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 100\r\n\r\n" + std::string(100, 'x'));
  CHECK(waitFor(caller, "HTTP/1.1 413"));
}

// Guards against use after free when a request is destroyed in one of its own callbacks.
TEST_CASE_FIXTURE(ServerFixture, "Server_requestDestroyedInCallback_isSafe")
{
  auto disconnected = connect();
  disconnected.send(kGet);
  REQUIRE(waitForRequests(1));
  bool called = false;
  // The callback holds the last pointer to its own request.
  requests[0]->onDisconnect([&called, request = requests[0]] {
    called = true;
    request->abort();
  });
  requests.clear();
  disconnected.close();
  CHECK(runUntil(io, [&] { return called; }));

  auto writable = connect();
  writable.send(kGet);
  REQUIRE(waitForRequests(1));
  requests[0]->start({});
  requests[0]->onWritable([this] { requests.clear(); });
  requests[0]->write("part");
  CHECK(waitForClose(writable));
  CHECK(requests.empty());

  auto finished = connect();
  finished.send(kGet);
  REQUIRE(waitForRequests(1));
  requests[0]->onDisconnect([request = requests[0]] {});
  auto* request = requests[0].get();
  requests.clear();
  request->respond({}, "done");
  CHECK(waitFor(finished, "done"));
  CHECK(server->openRequests() == 0);
}

// Guards against request callbacks and use after free once the server is destroyed.
TEST_CASE_FIXTURE(ServerFixture, "Server_destroyedWithOpenRequests_isSafe")
{
  auto caller = connect();
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  requests[0]->onDisconnect([] { FAIL("onDisconnect callback after the server was destroyed"); });
  requests[0]->start({});
  requests[0]->write("part");
  server.reset();
  requests[0]->write("part");
  requests[0]->finish();
  runFor(io, 5ms);
  CHECK(waitForClose(caller));
}

// Guards against losing the end of a pending response when the caller half-closes the connection.
TEST_CASE_FIXTURE(ServerFixture, "Server_callerHalfCloses_receivesWholeResponse")
{
  auto caller = connect(4096);
  caller.send(kGet);
  REQUIRE(waitForRequests(1));
  requests[0]->respond({}, std::string(8000000, 'x'));
  runFor(io, 10ms);
  caller.shutDownWriting();
  CHECK(waitForClose(caller, 20s));
  CHECK(caller.ended);
  CHECK(caller.received.size() > 8000000);
}

// Guards against a body until close that is cut and ends in order, as a whole one does, because its
// server is destroyed or its caller ends its own side.
TEST_CASE_FIXTURE(ServerFixture, "Server_bodyUntilCloseIsCut_isReset")
{
  struct Case
  {
    std::string_view name;
    std::function<void(RawSocket&)> end;
  };
  const std::vector<Case> cases = {
    { "server is destroyed", [&](RawSocket&) { server.reset(); } },
    { "caller half-closes", [&](RawSocket& caller) { caller.shutDownWriting(); } },
    { "request is destroyed", [&](RawSocket&) { requests.clear(); } },
    { "server drains and is destroyed",
      [&](RawSocket& caller) {
        server->stopAccepting();
        server->drain();
        runFor(io, 10ms);
        caller.read();
        CHECK_FALSE(caller.closed());
        server.reset();
      } },
  };
  for (const auto& testCase : cases) {
    for (const bool hasBody : { false, true }) {
      CAPTURE(testCase.name);
      CAPTURE(hasBody);
      requests.clear();
      auto caller = connect();
      caller.send(kGetUntilClose);
      REQUIRE(waitForRequests(1));
      requests[0]->start({});
      if (hasBody)
        requests[0]->write("part");
      REQUIRE(waitFor(caller, hasBody ? "part" : "\r\n\r\n"));
      testCase.end(caller);
      CHECK(waitForClose(caller));
      CHECK(caller.reset);
    }
  }
}

// Guards against a body until close that ends in order although its caller did not read all of it
// within the write timeout, before and after the handler has finished it.
TEST_CASE_FIXTURE(ServerFixture, "Server_bodyUntilCloseExceedsWriteTimeout_isReset")
{
  limits.writeTimeout = 300ms;
  auto caller = connect(4096);
  caller.send(kGetUntilClose);
  REQUIRE(waitForRequests(1));
  requests[0]->start({});
  requests[0]->write(std::string(kLargeBodyBytes, 'x'));
  SUBCASE("unfinished") {}
  SUBCASE("finished")
  {
    requests[0]->finish();
  }
  CHECK(runUntil(io, [&] { return server->connections() == 0; }));
  CHECK(waitForClose(caller));
  CHECK(caller.reset);
  CHECK(caller.received.size() < kLargeBodyBytes);
}

// Guards against bytes of a whole body until close that are lost because its connection is reset.
TEST_CASE_FIXTURE(ServerFixture, "Server_wholeBodyUntilClose_endsInOrder")
{
  auto caller = connect(4096);
  caller.send(kGetUntilClose);
  REQUIRE(waitForRequests(1));
  requests[0]->start({});
  std::size_t size = 4;
  SUBCASE("all bytes are written before the end")
  {
    requests[0]->write("body");
    REQUIRE(waitFor(caller, "body"));
    requests[0]->finish();
  }
  SUBCASE("caller half-closes between the end and its flush")
  {
    requests[0]->write("body");
    REQUIRE(waitFor(caller, "body"));
    // Both become readable for the same turn of the event loop, the trigger first.
    boost::asio::posix::stream_descriptor trigger(io, ::eventfd(0, EFD_CLOEXEC));
    trigger.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                       [&](const boost::system::error_code&) { requests[0]->finish(); });
    runFor(io, 5ms);
    ::eventfd_write(trigger.native_handle(), 1);
    caller.shutDownWriting();
    REQUIRE(runUntil(io, [&] { return server->openRequests() == 0; }));
  }
  SUBCASE("bytes remain in the output buffer")
  {
    size = kLargeBodyBytes;
    requests[0]->write(std::string(size, 'x'));
    requests[0]->finish();
    runFor(io, 10ms);
  }
  SUBCASE("caller half-closes while bytes remain in the output buffer")
  {
    size = kLargeBodyBytes;
    requests[0]->write(std::string(size, 'x'));
    requests[0]->finish();
    runFor(io, 10ms);
    caller.shutDownWriting();
  }
  SUBCASE("server is destroyed after the bytes were handed to the system")
  {
    requests[0]->write("body");
    requests[0]->finish();
    runFor(io, 10ms);
    server.reset();
  }
  CHECK(waitForClose(caller, 20s));
  CHECK(caller.ended);
  CHECK(caller.received.size() - caller.received.find("\r\n\r\n") - 4 == size);
}

// Guards against the end of the server's process, which closes its connections in order, that a
// caller takes for the end of a body.
TEST_CASE("Server_processEndsDuringBodyUntilClose_bodyIsReset")
{
  bool isWhole = false;
  SUBCASE("unfinished body") {}
  SUBCASE("whole body")
  {
    isWhole = true;
  }
  for (const auto& signals : { std::vector{ SIGKILL }, { SIGTERM }, { SIGSTOP, SIGKILL } }) {
    CAPTURE(signals.front());
    ServerProcess process(isWhole);
    auto caller = RawSocket::connectTo(process.port());
    caller.send(kGetUntilClose);
    boost::asio::io_context io;
    const auto read = [&](const std::function<bool()>& condition) {
      return runUntil(io, [&] {
        caller.read();
        return condition();
      });
    };
    REQUIRE(read([&] { return caller.has("part"); }));
    if (isWhole)
      REQUIRE(read([&] { return caller.ended; }));
    process.end(signals);
    CHECK(read([&] { return caller.closed(); }));
    CHECK(caller.ended == isWhole);
    CHECK(caller.reset == !isWhole);
  }
}

// Guards against a busy loop, or accepting that never resumes, after the process ran out of file
// descriptors.
TEST_CASE_FIXTURE(ServerFixture, "Server_noFreeDescriptor_acceptsLater")
{
  auto caller = connect();
  runFor(io, 5ms);
  auto waiting = connect();
  waiting.send(kGet);
  rlimit originalLimit{};
  REQUIRE(::getrlimit(RLIMIT_NOFILE, &originalLimit) == 0);
  rlimit noDescriptors = originalLimit;
  noDescriptors.rlim_cur = 0;
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &noDescriptors) == 0);
  runFor(io, 20ms);
  CHECK(io.poll() == 0);
  CHECK(server->connections() == 1);
  REQUIRE(::setrlimit(RLIMIT_NOFILE, &originalLimit) == 0);
  CHECK(waitForRequests(1));
}

// Guards against reporting success when the address is already in use.
TEST_CASE_FIXTURE(ServerFixture, "Server_addressInUse_listenFails")
{
  listen();
  Server other(io, limits, [](const std::shared_ptr<ServerRequest>&) {});
  const auto result = other.listen({ boost::asio::ip::address_v4::loopback(), server->port() });
  REQUIRE_FALSE(result);
  CHECK(result.error().kind == ErrorKind::internal);
  CHECK(result.error().detail.find("Address already in use") != std::string::npos);
}

// Guards against a head timeout for a request that arrived in time while the process was suspended.
TEST_CASE_FIXTURE(ServerFixture, "Server_requestArrivedDuringSuspension_isServed")
{
  limits.headTimeout = 100ms;
  auto caller = connect();
  caller.send(kGet.substr(0, 10));
  runFor(io, 20ms);
  caller.send(kGet.substr(10));
  // The event loop does not run during this time, as in a suspended process.
  ::usleep(300000);
  CHECK(waitForRequests(1));
}

// Guards against idle connections that keep the buffers of past requests and responses.
TEST_CASE_FIXTURE(ServerFixture, "Server_idleConnections_holdNoBuffers")
{
  constexpr std::size_t kCount = 50;
  std::vector<RawSocket> callers;
  callers.reserve(kCount);
  const auto used = [] {
    const auto info = ::mallinfo2();
    return info.uordblks + info.hblkhd;
  };
  echo = true;
  connect();
  runFor(io, 5ms);
  const std::string body(100000, 'x');
  const auto post = "POST / HTTP/1.1\r\nHost: b\r\nContent-Length: 100000\r\n\r\n" + body;
  const auto before = used();
  for (std::size_t i = 0; i < kCount; ++i) {
    auto caller = connect();
    caller.send(post);
    REQUIRE(runUntil(io, [&] {
      caller.read();
      return caller.received.size() > body.size();
    }));
    std::string().swap(caller.received);
    callers.push_back(std::move(caller));
  }
  CHECK(server->connections() == kCount);
  CHECK(used() - before < 2 * kCount * 1024);
}

namespace {

/** A server that refuses requests to /no before it reads their bodies. */
struct FilterFixture : ServerFixture
{
  struct Observer final : TransferObserver
  {
    Observer(std::size_t& receivedBytes, std::size_t& answeredBytes)
      : received_(receivedBytes)
      , answered_(answeredBytes)
    {
    }
    void received(std::size_t bytes) override { received_ += bytes; }
    void forwarded(std::size_t /*bytes*/) override {}
    void answered(std::size_t bytes) override { answered_ += bytes; }
    std::size_t& received_;
    std::size_t& answered_;
  };

  RawSocket connectFiltered()
  {
    listen();
    server->setHeadFilter([this](const RequestHead& head, const HeadInfo& info) {
      servedBeforeFlags.push_back(info.servedBefore);
      CHECK(info.receivedBytes >= info.headBytes);
      HeadDecision decision;
      if (head.target == "/no") {
        decision.refusal = HeadRefusal{};
        decision.refusal->head.status = 503;
        decision.refusal->head.fields.add("Retry-After", "0.020");
        decision.refusal->body = "full";
      } else {
        decision.observer = std::make_shared<Observer>(receivedBytes, answeredBytes);
      }
      return decision;
    });
    return connect();
  }

  std::vector<bool> servedBeforeFlags;
  std::size_t receivedBytes = 0;
  std::size_t answeredBytes = 0;
};

constexpr std::string_view kRefusedStart = "POST /no HTTP/1.1\r\nHost: bees\r\n";

} // namespace

// Guards against a refusal that waits for the body, or that is not sent while the caller goes on
// sending, and against a server that handles or reads on what follows it.
TEST_CASE_FIXTURE(FilterFixture, "Server_refusedHead_isAnsweredBeforeItsBodyAndClosed")
{
  auto caller = connectFiltered();
  caller.send(std::string(kRefusedStart) + "Content-Length: 1000000\r\n\r\nabc");
  REQUIRE(waitFor(caller, "\r\n\r\nfull"));
  CHECK(caller.received == "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.020\r\n"
                           "Content-Length: 4\r\nConnection: close\r\n\r\nfull");
  CHECK(waitForClose(caller, 500ms));
  CHECK_FALSE(caller.reset);
  caller.send(std::string(400'000, 'x'));
  runFor(io, 100ms);
  CHECK(server->traffic().receivedBytes < 40'000);
  CHECK(server->refusedTraffic().receivedBytes == server->traffic().receivedBytes);
  CHECK(server->refusedTraffic().sentBytes == server->traffic().sentBytes);
  CHECK(runUntil(
    io, [&] { return server->connections() == 0; }, 2s));
  CHECK(requests.empty());
}

// Guards against the handling of a request that was pipelined behind a refused one.
TEST_CASE_FIXTURE(FilterFixture, "Server_pipelinedAfterRefusedRequest_isNotHandled")
{
  auto caller = connectFiltered();
  caller.send(std::string(kRefusedStart) + "\r\n" + std::string(kGet));
  CHECK(waitForClose(caller));
  CHECK(caller.has("503"));
  CHECK(requests.empty());
  CHECK(servedBeforeFlags.size() == 1);
}

// Guards against a refused caller that is asked for its body.
TEST_CASE_FIXTURE(FilterFixture, "Server_refusedExpectContinue_getsNo100")
{
  auto caller = connectFiltered();
  caller.send(std::string(kRefusedStart) + "Content-Length: 5\r\nExpect: 100-continue\r\n\r\n");
  CHECK(waitForClose(caller));
  CHECK(caller.received.substr(0, 12) == "HTTP/1.1 503");
}

// Guards against a filter that hides the errors of invalid requests.
TEST_CASE_FIXTURE(FilterFixture, "Server_invalidRequest_isRejectedBeforeTheFilter")
{
  limits.bodyBytes = 10;
  limits.headBytes = 200;
  const std::vector<std::pair<std::string, std::string>> cases = {
    { "Content-Length: 11\r\n\r\n", "413" },
    { "Content-Length: 1\r\nContent-Length: 2\r\n\r\n", "400" },
    { "Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "400" },
    { "X: " + std::string(300, 'x') + "\r\n\r\n", "431" },
    { "Content-Length: 5\r\nExpect: tea\r\n\r\n", "417" },
  };
  for (const auto& [rest, status] : cases) {
    auto caller = connectFiltered();
    caller.send(std::string(kRefusedStart) + rest);
    CHECK(waitForClose(caller));
    CHECK(caller.received.substr(9, 3) == status);
  }
  CHECK(servedBeforeFlags.empty());
  CHECK(server->refusedTraffic().receivedBytes == 0);
}

// Guards against a filter that cannot tell a kept connection from a new one, and against bytes of
// an admitted request that its observer does not see.
TEST_CASE_FIXTURE(FilterFixture, "Server_admittedRequests_areObservedAndKeepTheirConnection")
{
  echo = true;
  const std::string request = "POST /x HTTP/1.1\r\nHost: bees\r\nContent-Length: 5\r\n\r\nhello";
  auto caller = connectFiltered();
  caller.send(request);
  REQUIRE(waitFor(caller, "hello"));
  caller.send(request.substr(0, 30));
  runFor(io, 20ms);
  caller.send(request.substr(30));
  REQUIRE(runUntil(io, [&] { return server->traffic().receivedBytes == 2 * request.size(); }));
  REQUIRE(runUntil(io, [&] { return server->openRequests() == 0 && answeredBytes > 0; }));
  caller.read();
  CHECK(servedBeforeFlags == std::vector<bool>{ false, true });
  CHECK(receivedBytes == 2 * request.size());
  CHECK(answeredBytes == caller.received.size());
  CHECK_FALSE(caller.has("Connection: close"));
  CHECK(server->refusedTraffic().receivedBytes == 0);
}
