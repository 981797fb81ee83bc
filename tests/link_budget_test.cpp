#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "HttpSockets.h"
#include "router/LinkBudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace figchute;
using namespace figchute::router;
using namespace std::chrono_literals;

namespace {

constexpr double kBytesPerSecond = 1'000'000;
constexpr std::uint64_t kRequestBytes = 4000;

/** A budget for a link of 1 MB per second, of which admitted work may use 800 KB. */
struct LinkBudgetFixture
{
  LinkBudgetFixture() { budget.update(now, traffic); }

  /** Lets time pass and returns whether work may be admitted. */
  bool isAvailableAfter(Duration elapsed)
  {
    now = now + elapsed;
    budget.update(now, traffic);
    return budget.timeUntilAvailable() == Duration::zero();
  }

  LinkBudget budget{ kBytesPerSecond };
  http::Traffic traffic;
  Time now{ 1'000'000'000 };
};

} // namespace

// Guards against a link that is filled by requests which are refused after they were received.
TEST_CASE_FIXTURE(LinkBudgetFixture, "LinkBudget_moreRequestsThanTheLinkCarries_admitsItsShare")
{
  constexpr int kSeconds = 10;
  constexpr auto kArrivalInterval = 1ms;
  int admitted = 0;
  for (Duration elapsed{ 0 }; elapsed < std::chrono::seconds(kSeconds);
       elapsed += kArrivalInterval) {
    if (isAvailableAfter(kArrivalInterval)) {
      ++admitted;
      traffic.receivedBytes += kRequestBytes;
      traffic.sentBytes += kRequestBytes;
    }
  }
  const double bytesPerSecond = static_cast<double>(admitted) * kRequestBytes / kSeconds;
  CHECK(bytesPerSecond > 0.95 * LinkBudget::kMaxUtilisation * kBytesPerSecond);
  CHECK(bytesPerSecond < 1.05 * LinkBudget::kMaxUtilisation * kBytesPerSecond);
}

// Guards against a budget that counts only one direction of the link.
TEST_CASE_FIXTURE(LinkBudgetFixture, "LinkBudget_oneDirectionIsFull_admitsNothing")
{
  traffic.sentBytes += 300'000;
  CHECK_FALSE(isAvailableAfter(1ms));
  CHECK(budget.timeUntilAvailable() > 100ms);
  CHECK(isAvailableAfter(400ms));
  traffic.receivedBytes += 300'000;
  CHECK_FALSE(isAvailableAfter(1ms));
}

// Guards against a process that takes no connection for seconds after a long transfer, or that
// admits a burst of many seconds after an idle time.
TEST_CASE_FIXTURE(LinkBudgetFixture, "LinkBudget_longTransferOrIdleTime_boundsPauseAndBurst")
{
  traffic.sentBytes += 10'000'000;
  CHECK_FALSE(isAvailableAfter(1ms));
  CHECK(budget.timeUntilAvailable() == LinkBudget::kMaxDelay);
  CHECK(isAvailableAfter(60s));
  traffic.sentBytes += 170'000;
  CHECK_FALSE(isAvailableAfter(1ms));
}

// Guards against a server that accepts connections, and so receives their requests, while its link
// is full, and against one that stays paused.
TEST_CASE("Server_acceptDelay_leavesConnectionsWaitingUntilItEnds")
{
  boost::asio::io_context io{ 1 };
  std::vector<std::shared_ptr<http::ServerRequest>> requests;
  http::Server server(io, {}, [&requests](std::shared_ptr<http::ServerRequest> request) {
    requests.push_back(std::move(request));
  });
  Duration delay = 50ms;
  server.setAcceptDelay([&delay] { return delay; });
  REQUIRE(server.listen({ boost::asio::ip::address_v4::loopback(), 0 }));
  auto caller = http::RawSocket::connectTo(server.port());
  caller.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
  CHECK_FALSE(http::runUntil(
    io, [&] { return !requests.empty(); }, 300ms));
  CHECK(server.connections() == 0);
  CHECK(server.traffic().receivedBytes == 0);
  delay = Duration::zero();
  CHECK(http::runUntil(
    io, [&] { return !requests.empty(); }, 1s));
  CHECK(server.traffic().receivedBytes > 0);
}
