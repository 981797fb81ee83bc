#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "admin/admin.h"
#include "core/core.h"

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <fstream>
#include <iterator>
#include <mutex>
#include <sstream>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

using namespace figchute;
using namespace figchute::admin;

namespace {

using Result = Expected<json::Value>;
using Strings = std::vector<std::string>;

/** Records the last call and returns the result that the test sets. */
class FakeBackend : public AdminBackend
{
public:
  Result applyDocument(const ApplyRequest& request) override
  {
    return recordCall(
      { "apply", request.team, std::to_string(request.base), request.change, request.text });
  }
  Result showDocument(const std::string& team) override { return recordCall({ "show", team }); }
  Result history(const std::string& team) override { return recordCall({ "history", team }); }
  Result spend() override { return recordCall({ "spend" }); }
  Result service() override { throw std::runtime_error("backend fault"); }
  Result endpoints() override { return recordCall({ "endpoints" }); }
  Result versions() override { return recordCall({ "versions" }); }
  Result members() override { return recordCall({ "members" }); }
  Result addMember(const std::string& id) override { return recordCall({ "add", id }); }
  Result removeMember(const std::string& id) override { return recordCall({ "remove", id }); }
  Result retire(const std::string& id) override { return recordCall({ "retire", id }); }
  Result dump() override { return recordCall({ "dump" }); }
  Result metrics() override { return recordCall({ "metrics" }); }
  Result announce(const Announcement& announcement) override
  {
    return recordCall({ "announce", announcement.id, announcement.ip });
  }

  Result result = json::Value::object({ { "ok", true } });
  Strings lastCall;
  std::chrono::milliseconds delay{ 0 };

private:
  Result recordCall(Strings call)
  {
    std::this_thread::sleep_for(delay);
    const std::lock_guard lock(mutex_);
    lastCall = std::move(call);
    return result;
  }

  std::mutex mutex_;
};

int connectTo(std::uint16_t port)
{
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval receiveTimeout{ 5, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &receiveTimeout, sizeof(receiveTimeout));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  REQUIRE(connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
  return fd;
}

class AdminFixture
{
public:
  AdminFixture()
  {
    // Derives the port from the process id, so that the tests of several work trees can run at the
    // same time.
    for (int i = 0; i < 50 && !server_; ++i) {
      options_.port = static_cast<std::uint16_t>(20000 + (getpid() * 7 + i * 131) % 12000);
      auto server = std::make_unique<AdminServer>(options_, backend_);
      if (server->start()) {
        server_ = std::move(server);
      }
    }
    REQUIRE(server_);
  }

  /** Sends bytes and returns everything received until the server closes the connection. */
  std::string sendAndReceive(const std::string& bytes) const
  {
    const int fd = connectTo(options_.port);
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string response;
    char buffer[4096];
    for (auto receivedBytes = recv(fd, buffer, sizeof(buffer), 0); receivedBytes > 0;
         receivedBytes = recv(fd, buffer, sizeof(buffer), 0)) {
      response.append(buffer, static_cast<std::size_t>(receivedBytes));
    }
    close(fd);
    return response;
  }

  std::string request(const std::string& requestLine,
                      const std::string& headers = "Authorization: Bearer operator-key\r\n",
                      const std::string& body = "") const
  {
    const auto length =
      body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return sendAndReceive(requestLine + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers +
                          length + "\r\n" + body);
  }

  static int parseStatus(const std::string& response)
  {
    return response.size() > 12 ? std::atoi(response.c_str() + 9) : 0;
  }

protected:
  FakeBackend backend_;
  AdminOptions options_{ "127.0.0.1", 0, "operator-key", "endpoint-key", 4096 };
  std::unique_ptr<AdminServer> server_;
};

const std::string kAnnouncement =
  R"({"id":"e1","address":"10.0.0.1:9000","zone":"a","kind":"model","models":["m"],"slots":8})";
const std::string kEndpointAuthorization = "Authorization: Bearer endpoint-key\r\n";

} // namespace

// Guards against a route that calls the wrong backend method or drops a parameter.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_everyRoute_callsItsMethod")
{
  const std::vector<std::pair<std::string, Strings>> routes{
    { "GET /v1/documents/t", { "show", "t" } },
    { "GET /v1/documents/t/history", { "history", "t" } },
    { "GET /v1/spend", { "spend" } },
    { "GET /v1/endpoints", { "endpoints" } },
    { "GET /v1/versions", { "versions" } },
    { "GET /v1/members", { "members" } },
    { "GET /v1/dump", { "dump" } },
    { "GET /v1/metrics", { "metrics" } },
    { "POST /v1/members?add=c4", { "add", "c4" } },
    { "POST /v1/members?remove=c4", { "remove", "c4" } },
    { "POST /v1/retire?process=p", { "retire", "p" } },
  };
  for (const auto& [requestLine, expectedCall] : routes) {
    const auto response = request(requestLine);
    CHECK_MESSAGE(parseStatus(response) == 200, requestLine);
    CHECK_MESSAGE(backend_.lastCall == expectedCall, requestLine);
    CHECK(response.find("\r\n\r\n{\"ok\":true}") != std::string::npos);
  }
  const auto operatorAuthorization = "Authorization: Bearer operator-key\r\n";
  CHECK(parseStatus(request(
          "POST /v1/documents/t?base=7&change=a%2Fb", operatorAuthorization, "[x]")) == 200);
  CHECK(backend_.lastCall == Strings{ "apply", "t", "7", "a/b", "[x]" });
  CHECK(parseStatus(request("POST /v1/announce", kEndpointAuthorization, kAnnouncement)) == 200);
  CHECK(backend_.lastCall == Strings{ "announce", "e1", "10.0.0.1" });
}

// Guards against an error response that does not match the error table row of its kind.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_everyErrorKind_matchesTheErrorTable")
{
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto& traits = errorTraits(static_cast<ErrorKind>(i));
    backend_.result = fail(traits.kind, "why \"it\" failed");
    const auto response =
      request("GET /v1/spend", "Authorization: Bearer operator-key\r\nX-Request-Id: r1\r\n");
    const auto body = json::parse(response.substr(response.find("\r\n\r\n") + 4));
    REQUIRE(body);
    const auto& error = *body->find("error");
    CHECK(parseStatus(response) == traits.httpStatus);
    CHECK(*error.find("type")->asString() == traits.name);
    CHECK(*error.find("message")->asString() == "why \"it\" failed");
    CHECK(*error.find("ran")->asString() == toString(traits.ran));
    CHECK(*error.find("retry")->asString() == toString(traits.retry));
    CHECK(*error.find("request_id")->asString() == "r1");
    const auto header = "\r\nX-Figchute-Error: " + std::string(traits.name) + "\r\n";
    CHECK(response.find(header) != std::string::npos);
    CHECK(response.find("X-Figchute-Ran: " + std::string(toString(traits.ran))) !=
          std::string::npos);
    const auto hasDelay = response.find("\r\nRetry-After: ") != std::string::npos;
    CHECK(hasDelay == (traits.retry != RetryAdvice::never));
  }
  CHECK(parseStatus(request("GET /v1/service")) == 500);
}

// Guards against an API page that differs from the errors that callers receive.
TEST_CASE("ErrorTable_apiPage_hasTheSameRows")
{
  const std::string thisFile = __FILE__;
  std::ifstream file(thisFile.substr(0, thisFile.rfind('/')) + "/../docs/api.md");
  const std::string apiPage(std::istreambuf_iterator<char>(file), {});
  const auto table = apiPage.substr(apiPage.find("| type | status |"));
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto& traits = errorTraits(static_cast<ErrorKind>(i));
    std::ostringstream row;
    row << "\n| `" << traits.name << "` | " << traits.httpStatus << " | " << toString(traits.ran)
        << " | " << toString(traits.retry) << " | " << traits.retryAfter.count() << " | ";
    CHECK_MESSAGE(table.find(row.str()) != std::string::npos, row.str());
  }
  std::size_t rowCount = 0;
  for (auto rowOffset = table.find("\n| `"); rowOffset != std::string::npos;
       rowOffset = table.find("\n| `", rowOffset + 1)) {
    ++rowCount;
  }
  CHECK(rowCount == kErrorKindCount);
}

// Guards against access without a valid key, or with the key of the other kind of client.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_wrongKey_neverReachesTheBackend")
{
  for (const std::string header : { "",
                                    "Authorization: Bearer operator-kez\r\n",
                                    "Authorization: Bearer operator-key2\r\n",
                                    "Authorization: Bearer operator-ke\r\n",
                                    "Authorization: Bearer \r\n",
                                    "Authorization: operator-key\r\n",
                                    "Authorization: Basic operator-key\r\n" }) {
    CHECK_MESSAGE(parseStatus(request("GET /v1/spend", header)) == 401, header);
    CHECK_MESSAGE(parseStatus(request("POST /v1/announce", header, kAnnouncement)) == 401, header);
  }
  CHECK(parseStatus(request("GET /v1/spend", kEndpointAuthorization)) == 403);
  const auto operatorAuthorization = "Authorization: Bearer operator-key\r\n";
  CHECK(parseStatus(request("POST /v1/announce", operatorAuthorization, kAnnouncement)) == 403);
  CHECK(backend_.lastCall.empty());
}

// Guards against invalid paths and parameters that reach the backend.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_badPathOrParameter_isRefused")
{
  for (const auto* requestLine : { "GET /",
                                   "GET /v1",
                                   "GET /v1/none",
                                   "GET /v1/spend/x",
                                   "PUT /v1/spend",
                                   "GET /v1/retire",
                                   "POST /v1/spend",
                                   "DELETE /v1/documents/t",
                                   "GET /v1/documents",
                                   "GET /v1/documents/t/other" }) {
    CHECK_MESSAGE(parseStatus(request(requestLine)) == 404, requestLine);
  }
  for (const auto* requestLine : { "GET /v1/documents/%2e%2e",
                                   "GET /v1/documents/a%20b",
                                   "GET /v1/spend?x=1",
                                   "POST /v1/members",
                                   "POST /v1/members?add=",
                                   "POST /v1/members?add=a&remove=b",
                                   "POST /v1/members?add=a&add=b",
                                   "POST /v1/retire?process=a/b",
                                   "POST /v1/documents/t?base=1",
                                   "POST /v1/documents/t?base=-1&change=c",
                                   "POST /v1/documents/t?base=1&change=%0a",
                                   "POST /v1/documents/t?base=1&change=%zz",
                                   "POST /v1/documents/t?base=1&change=c" }) {
    CHECK_MESSAGE(parseStatus(request(requestLine)) == 400, requestLine);
  }
  CHECK(backend_.lastCall.empty());
}

// Guards against body lengths that cxxtools interprets as an empty body, and against random input
// that stops the server.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_badFraming_isRefusedAndServerContinues")
{
  const std::string head = "POST /v1/documents/t?base=1&change=c HTTP/1.1\r\nHost: x\r\n"
                           "Authorization: Bearer operator-key\r\n";
  for (const std::string framing :
       { "Content-Length: -5\r\n\r\nhello",
         "Content-Length: +5\r\n\r\nhello",
         "Content-Length: 5x\r\n\r\nhello",
         "Content-Length:\r\n\r\nhello",
         "Content-Length: 5\r\nContent-Length: 5\r\n\r\nhello",
         "Content-Length: 99999999999999999999\r\n\r\nhello",
         "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n" }) {
    const auto response = sendAndReceive(head + framing);
    CHECK_MESSAGE(parseStatus(response) == 400, framing);
    CHECK(response.find("HTTP/1.1", 1) == std::string::npos);
  }
  CHECK(parseStatus(
          sendAndReceive(head + "Content-Length: 4097\r\n\r\n" + std::string(4097, 'x'))) == 413);
  CHECK(backend_.lastCall.empty());
  Random random(99);
  for (int i = 0; i < 200; ++i) {
    std::string garbage = random.chance(0.5) ? head.substr(0, random.below(head.size())) : "";
    for (auto bytes = random.below(200); bytes > 0; --bytes) {
      garbage += static_cast<char>(random.below(256));
    }
    const int fd = connectTo(options_.port);
    send(fd, garbage.data(), garbage.size(), MSG_NOSIGNAL);
    close(fd);
  }
  CHECK(parseStatus(request("GET /v1/spend")) == 200);
}

// Guards against one blocked call that delays all other calls.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_blockedCalls_runConcurrently")
{
  backend_.delay = std::chrono::milliseconds(300);
  const auto startTime = std::chrono::steady_clock::now();
  std::vector<std::thread> clients;
  for (int i = 0; i < 24; ++i) {
    clients.emplace_back([this] { request("GET /v1/spend"); });
  }
  for (auto& client : clients) {
    client.join();
  }
  CHECK(std::chrono::steady_clock::now() - startTime < std::chrono::seconds(3));
}

// Guards against accepting an invalid announcement, and against reporting only some of its faults.
TEST_CASE("Announcement_faults_areAllReported")
{
  const auto modelAnnouncement = parseAnnouncement(*json::parse(kAnnouncement));
  REQUIRE(modelAnnouncement);
  CHECK(parseAnnouncement(toJson(*modelAnnouncement))->models == modelAnnouncement->models);
  CHECK(modelAnnouncement->port == 9000);
  const auto plainAnnouncement = parseAnnouncement(*json::parse(
    R"({"id":"e","address":"[::1]:1","zone":"a","kind":"plain","service":"till","slots":1,)"
    R"("running":2,"waiting":3,"checks_fencing":true,"leaving":true,"newer":[]})"));
  REQUIRE(plainAnnouncement);
  CHECK(toJson(*parseAnnouncement(toJson(*plainAnnouncement))) == toJson(*plainAnnouncement));
  CHECK(plainAnnouncement->leaving);
  const auto parsedFaulty = parseAnnouncement(*json::parse(
    R"({"id":"a b","address":"host:1","kind":"model","models":[],"slots":0,"running":-1,)"
    R"("waiting":1.5,"checks_fencing":1,"leaving":"no"})"));
  REQUIRE_FALSE(parsedFaulty);
  for (const auto* member : { "id = ",
                              "address = ",
                              "zone = missing",
                              "models = ",
                              "slots = ",
                              "running = ",
                              "waiting = ",
                              "checks_fencing = ",
                              "leaving = " }) {
    CHECK_MESSAGE(parsedFaulty.error().detail.find(member) != std::string::npos, member);
  }
  CHECK_FALSE(parseAnnouncement(json::Value(3)));
}

// Guards against a client that gives up after the first server, or that treats a retryable error as
// final.
TEST_CASE_FIXTURE(AdminFixture, "AdminClient_severalServers_returnsTheFirstFinalResponse")
{
  ClientOptions options;
  options.key = "operator-key";
  options.maxRounds = 1;
  options.servers = { { "127.0.0.1", 1 }, { "127.0.0.1", options_.port } };
  AdminClient client(options);
  const ClientRequest applyRequest{
    "POST", "/v1/documents/t", "base=2&change=" + escapeQuery("c/1"), "x"
  };
  REQUIRE(client.send(applyRequest));
  CHECK(client.send(applyRequest)->status == 200);
  CHECK(backend_.lastCall == Strings{ "apply", "t", "2", "c/1", "x" });
  backend_.result = fail(ErrorKind::versionConflict, "version 3 won");
  CHECK(client.send(applyRequest)->error == "version_conflict");
  CHECK(client.send(applyRequest)->message == "version 3 won");
  backend_.result = fail(ErrorKind::noQuorum, "no leader");
  const auto failedResult = client.send(applyRequest);
  REQUIRE_FALSE(failedResult);
  CHECK(failedResult.error().kind == ErrorKind::noQuorum);
  CHECK(failedResult.error().detail.find("no leader") != std::string::npos);
  server_->stop();
  CHECK(client.send(applyRequest).error().kind == ErrorKind::noEndpoint);
}
