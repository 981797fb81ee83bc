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

using Answer = Expected<json::Value>;
using Strings = std::vector<std::string>;

// Records the calls and gives the answer that the test sets.
class FakeBackend : public AdminBackend
{
public:
  Answer applyDocument(const ApplyRequest& r) override
  {
    return call({ "apply", r.team, std::to_string(r.base), r.change, r.text });
  }
  Answer showDocument(const std::string& team) override { return call({ "show", team }); }
  Answer history(const std::string& team) override { return call({ "history", team }); }
  Answer spend() override { return call({ "spend" }); }
  Answer service() override { throw std::runtime_error("backend fault"); }
  Answer endpoints() override { return call({ "endpoints" }); }
  Answer versions() override { return call({ "versions" }); }
  Answer members() override { return call({ "members" }); }
  Answer addMember(const std::string& id) override { return call({ "add", id }); }
  Answer removeMember(const std::string& id) override { return call({ "remove", id }); }
  Answer retire(const std::string& id) override { return call({ "retire", id }); }
  Answer dump() override { return call({ "dump" }); }
  Answer metrics() override { return call({ "metrics" }); }
  Answer announce(const Announcement& a) override { return call({ "announce", a.id, a.ip }); }

  Answer answer = json::Value::object({ { "ok", true } });
  Strings last;
  std::chrono::milliseconds delay{ 0 };

private:
  Answer call(Strings what)
  {
    std::this_thread::sleep_for(delay);
    const std::lock_guard lock(mutex_);
    last = std::move(what);
    return answer;
  }

  std::mutex mutex_;
};

int connectTo(std::uint16_t port)
{
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  const timeval limit{ 5, 0 };
  setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
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
    // The port follows from the process id, so that tests of several work trees can run at once.
    for (int i = 0; i < 50 && !server_; ++i) {
      options_.port = static_cast<std::uint16_t>(20000 + (getpid() * 7 + i * 131) % 12000);
      auto server = std::make_unique<AdminServer>(options_, backend_);
      if (server->start()) {
        server_ = std::move(server);
      }
    }
    REQUIRE(server_);
  }

  // Sends bytes and returns all that comes back until the server closes.
  std::string exchange(const std::string& bytes) const
  {
    const int fd = connectTo(options_.port);
    send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string answer;
    char buffer[4096];
    for (auto got = recv(fd, buffer, sizeof(buffer), 0); got > 0;
         got = recv(fd, buffer, sizeof(buffer), 0)) {
      answer.append(buffer, static_cast<std::size_t>(got));
    }
    close(fd);
    return answer;
  }

  std::string request(const std::string& line,
                      const std::string& headers = "Authorization: Bearer operator-key\r\n",
                      const std::string& body = "") const
  {
    const auto length =
      body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return exchange(line + " HTTP/1.1\r\nHost: x\r\nConnection: close\r\n" + headers + length +
                    "\r\n" + body);
  }

  static int statusOf(const std::string& answer)
  {
    return answer.size() > 12 ? std::atoi(answer.c_str() + 9) : 0;
  }

protected:
  FakeBackend backend_;
  AdminOptions options_{ "127.0.0.1", 0, "operator-key", "endpoint-key", 4096 };
  std::unique_ptr<AdminServer> server_;
};

const std::string kAnnouncement =
  R"({"id":"e1","address":"10.0.0.1:9000","zone":"a","kind":"model","models":["m"],"slots":8})";
const std::string kEndpointKey = "Authorization: Bearer endpoint-key\r\n";

} // namespace

// Guards against a route that calls another method or drops a parameter.
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
  for (const auto& [line, call] : routes) {
    const auto answer = request(line);
    CHECK_MESSAGE(statusOf(answer) == 200, line);
    CHECK_MESSAGE(backend_.last == call, line);
    CHECK(answer.find("\r\n\r\n{\"ok\":true}") != std::string::npos);
  }
  const auto authorization = "Authorization: Bearer operator-key\r\n";
  CHECK(statusOf(request("POST /v1/documents/t?base=7&change=a%2Fb", authorization, "[x]")) == 200);
  CHECK(backend_.last == Strings{ "apply", "t", "7", "a/b", "[x]" });
  CHECK(statusOf(request("POST /v1/announce", kEndpointKey, kAnnouncement)) == 200);
  CHECK(backend_.last == Strings{ "announce", "e1", "10.0.0.1" });
}

// Guards against an error kind that is answered with another row of the table.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_everyErrorKind_isAnsweredByTheTable")
{
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto& traits = errorTraits(static_cast<ErrorKind>(i));
    backend_.answer = fail(traits.kind, "why \"it\" failed");
    const auto answer =
      request("GET /v1/spend", "Authorization: Bearer operator-key\r\nX-Request-Id: r1\r\n");
    const auto body = json::parse(answer.substr(answer.find("\r\n\r\n") + 4));
    REQUIRE(body);
    const auto& error = *body->find("error");
    CHECK(statusOf(answer) == traits.httpStatus);
    CHECK(*error.find("type")->asString() == traits.name);
    CHECK(*error.find("message")->asString() == "why \"it\" failed");
    CHECK(*error.find("ran")->asString() == toString(traits.ran));
    CHECK(*error.find("retry")->asString() == toString(traits.retry));
    CHECK(*error.find("request_id")->asString() == "r1");
    const auto header = "\r\nX-Figchute-Error: " + std::string(traits.name) + "\r\n";
    CHECK(answer.find(header) != std::string::npos);
    CHECK(answer.find("X-Figchute-Ran: " + std::string(toString(traits.ran))) != std::string::npos);
    const auto hasDelay = answer.find("\r\nRetry-After: ") != std::string::npos;
    CHECK(hasDelay == (traits.retry != RetryAdvice::never));
  }
  CHECK(statusOf(request("GET /v1/service")) == 500);
}

// Guards against a page for callers that differs from the errors they get.
TEST_CASE("ErrorTable_apiPage_hasTheSameRows")
{
  const std::string here = __FILE__;
  std::ifstream file(here.substr(0, here.rfind('/')) + "/../docs/api.md");
  const std::string page(std::istreambuf_iterator<char>(file), {});
  const auto table = page.substr(page.find("| type | status |"));
  for (std::size_t i = 0; i < kErrorKindCount; ++i) {
    const auto& traits = errorTraits(static_cast<ErrorKind>(i));
    std::ostringstream row;
    row << "\n| `" << traits.name << "` | " << traits.httpStatus << " | " << toString(traits.ran)
        << " | " << toString(traits.retry) << " | " << traits.retryAfter.count() << " | ";
    CHECK_MESSAGE(table.find(row.str()) != std::string::npos, row.str());
  }
  std::size_t rows = 0;
  for (auto at = table.find("\n| `"); at != std::string::npos; at = table.find("\n| `", at + 1)) {
    ++rows;
  }
  CHECK(rows == kErrorKindCount);
}

// Guards against access without a key, or with the key of the other kind of client.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_wrongKey_reachesNoBackend")
{
  for (const std::string header : { "",
                                    "Authorization: Bearer operator-kez\r\n",
                                    "Authorization: Bearer operator-key2\r\n",
                                    "Authorization: Bearer operator-ke\r\n",
                                    "Authorization: Bearer \r\n",
                                    "Authorization: operator-key\r\n",
                                    "Authorization: Basic operator-key\r\n" }) {
    CHECK_MESSAGE(statusOf(request("GET /v1/spend", header)) == 401, header);
    CHECK_MESSAGE(statusOf(request("POST /v1/announce", header, kAnnouncement)) == 401, header);
  }
  CHECK(statusOf(request("GET /v1/spend", kEndpointKey)) == 403);
  const auto operatorKey = "Authorization: Bearer operator-key\r\n";
  CHECK(statusOf(request("POST /v1/announce", operatorKey, kAnnouncement)) == 403);
  CHECK(backend_.last.empty());
}

// Guards against bad paths and parameters that reach the backend.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_badPathOrParameter_isRefused")
{
  for (const auto* line : { "GET /",
                            "GET /v1",
                            "GET /v1/none",
                            "GET /v1/spend/x",
                            "PUT /v1/spend",
                            "GET /v1/retire",
                            "POST /v1/spend",
                            "DELETE /v1/documents/t",
                            "GET /v1/documents",
                            "GET /v1/documents/t/other" }) {
    CHECK_MESSAGE(statusOf(request(line)) == 404, line);
  }
  for (const auto* line : { "GET /v1/documents/%2e%2e",
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
    CHECK_MESSAGE(statusOf(request(line)) == 400, line);
  }
  CHECK(backend_.last.empty());
}

// Guards against body lengths that cxxtools takes as an empty body, and against garbage that stops
// the server.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_badFraming_isRefusedAndTheServerGoesOn")
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
    const auto answer = exchange(head + framing);
    CHECK_MESSAGE(statusOf(answer) == 400, framing);
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
  }
  CHECK(statusOf(exchange(head + "Content-Length: 4097\r\n\r\n" + std::string(4097, 'x'))) == 413);
  CHECK(backend_.last.empty());
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
  CHECK(statusOf(request("GET /v1/spend")) == 200);
}

// Guards against one blocked call that holds up all others.
TEST_CASE_FIXTURE(AdminFixture, "AdminServer_blockedCalls_runSideBySide")
{
  backend_.delay = std::chrono::milliseconds(300);
  const auto begin = std::chrono::steady_clock::now();
  std::vector<std::thread> clients;
  for (int i = 0; i < 24; ++i) {
    clients.emplace_back([this] { request("GET /v1/spend"); });
  }
  for (auto& client : clients) {
    client.join();
  }
  CHECK(std::chrono::steady_clock::now() - begin < std::chrono::seconds(3));
}

// Guards against an announcement with a fault being taken, and against faults that hide each other.
TEST_CASE("Announcement_faults_areAllNamed")
{
  const auto sound = parseAnnouncement(*json::parse(kAnnouncement));
  REQUIRE(sound);
  CHECK(parseAnnouncement(toJson(*sound))->models == sound->models);
  CHECK(sound->port == 9000);
  const auto plain = parseAnnouncement(*json::parse(
    R"({"id":"e","address":"[::1]:1","zone":"a","kind":"plain","service":"till","slots":1,)"
    R"("running":2,"waiting":3,"checks_fencing":true,"leaving":true,"newer":[]})"));
  REQUIRE(plain);
  CHECK(toJson(*parseAnnouncement(toJson(*plain))) == toJson(*plain));
  CHECK(plain->leaving);
  const auto faulty = parseAnnouncement(*json::parse(
    R"({"id":"a b","address":"host:1","kind":"model","models":[],"slots":0,"running":-1,)"
    R"("waiting":1.5,"checks_fencing":1,"leaving":"no"})"));
  REQUIRE_FALSE(faulty);
  for (const auto* member : { "id = ",
                              "address = ",
                              "zone = missing",
                              "models = ",
                              "slots = ",
                              "running = ",
                              "waiting = ",
                              "checks_fencing = ",
                              "leaving = " }) {
    CHECK_MESSAGE(faulty.error().detail.find(member) != std::string::npos, member);
  }
  CHECK_FALSE(parseAnnouncement(json::Value(3)));
}

// Guards against a client that gives up at the first server, or takes a passing error as final.
TEST_CASE_FIXTURE(AdminFixture, "AdminClient_severalServers_takesTheFirstFinalAnswer")
{
  ClientOptions options;
  options.key = "operator-key";
  options.maxRounds = 1;
  options.servers = { { "127.0.0.1", 1 }, { "127.0.0.1", options_.port } };
  AdminClient client(options);
  const ClientRequest apply{
    "POST", "/v1/documents/t", "base=2&change=" + escapeQuery("c/1"), "x"
  };
  REQUIRE(client.send(apply));
  CHECK(client.send(apply)->status == 200);
  CHECK(backend_.last == Strings{ "apply", "t", "2", "c/1", "x" });
  backend_.answer = fail(ErrorKind::versionConflict, "version 3 won");
  CHECK(client.send(apply)->error == "version_conflict");
  CHECK(client.send(apply)->message == "version 3 won");
  backend_.answer = fail(ErrorKind::noQuorum, "no leader");
  const auto failed = client.send(apply);
  REQUIRE_FALSE(failed);
  CHECK(failed.error().kind == ErrorKind::noQuorum);
  CHECK(failed.error().detail.find("no leader") != std::string::npos);
  server_->stop();
  CHECK(client.send(apply).error().kind == ErrorKind::noEndpoint);
}
