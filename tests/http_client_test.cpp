#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "HttpSockets.h"

#include <memory>
#include <optional>

using namespace figchute;
using namespace figchute::http;
using namespace std::chrono_literals;

namespace {

/** Records the events of a call. */
struct Recorder final : CallListener
{
  void onSent() override { sent = true; }
  void onHead(const ResponseHead& received) override
  {
    head = received;
    if (atHead)
      atHead();
  }
  void onBody(std::string_view bytes) override
  {
    body.append(bytes);
    if (atBody)
      atBody();
  }
  void onComplete() override
  {
    ++completed;
    if (atEnd)
      atEnd();
  }
  void onFailure(const CallFailure& result) override
  {
    ++failures;
    failure = result;
    if (atEnd)
      atEnd();
  }

  [[nodiscard]] bool ended() const { return completed + failures > 0; }

  bool sent = false;
  std::optional<ResponseHead> head;
  std::string body;
  int completed = 0;
  int failures = 0;
  CallFailure failure;
  std::function<void()> atHead;
  std::function<void()> atBody;
  std::function<void()> atEnd;
};

struct ClientFixture
{
  boost::asio::io_context io{ 1 };
  RawListener listener;
  ClientPool pool{ io };
  Recorder recorder;
  CallOptions options;

  std::shared_ptr<Call> get(Recorder& target, std::string method = "GET")
  {
    return send(target, std::move(method), nullptr);
  }

  std::shared_ptr<Call> send(Recorder& target,
                             std::string method,
                             std::shared_ptr<const std::string> body)
  {
    RequestHead head;
    head.method = std::move(method);
    head.target = "/x";
    head.fields.add("Host", "bees");
    return pool.start(listener.address(), std::move(head), std::move(body), options, target);
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

  /** Runs a first call, so that the pool has an idle connection. */
  RawSocket idleConnection(
    std::string_view response = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
  {
    Recorder first;
    const auto call = get(first);
    auto endpoint = listener.accept(io);
    REQUIRE(waitFor(endpoint, "\r\n\r\n"));
    endpoint.send(response);
    REQUIRE(waitForEnd(first));
    REQUIRE(first.completed == 1);
    endpoint.received.clear();
    return endpoint;
  }
};

} // namespace

// Guards against a request or response whose parts are lost or changed.
TEST_CASE_FIXTURE(ClientFixture, "Client_plainRequest_isSentAndAnswered")
{
  const auto call = send(recorder, "POST", std::make_shared<const std::string>("hello"));
  auto endpoint = listener.accept(io);
  REQUIRE(waitFor(endpoint, "hello"));
  CHECK(endpoint.received == "POST /x HTTP/1.1\r\nHost: bees\r\nContent-Length: 5\r\n\r\nhello");
  CHECK(recorder.sent);
  endpoint.send("HTTP/1.1 201 Made\r\nX-B: 2\r\nContent-Length: 5\r\n\r\nworld");
  REQUIRE(waitForEnd(recorder));
  CHECK(recorder.completed == 1);
  CHECK(recorder.head->status == 201);
  CHECK(recorder.head->reason == "Made");
  CHECK(recorder.head->fields.get("x-b") == "2");
  CHECK(recorder.head->length == 5);
  CHECK(recorder.body == "world");
  CHECK(pool.connections(listener.address()) == 1);
}

// Guards against parts that wait for the end of the response.
TEST_CASE_FIXTURE(ClientFixture, "Client_streamedResponse_isDeliveredPartByPart")
{
  const auto call = get(recorder);
  auto endpoint = listener.accept(io);
  REQUIRE(waitFor(endpoint, "\r\n\r\n"));
  endpoint.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n");
  CHECK(runUntil(io, [&] { return recorder.body == "one"; }));
  endpoint.send("5\r\nthr");
  CHECK(runUntil(io, [&] { return recorder.body == "onethr"; }));
  endpoint.send("ee\r\n0\r\n");
  endpoint.send("X-Trailer: 1\r\n\r\n");
  REQUIRE(waitForEnd(recorder));
  CHECK(recorder.completed == 1);
  CHECK(recorder.body == "onethree");
  CHECK(recorder.head->chunked);
}
