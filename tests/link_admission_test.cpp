#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "LinkModel.h"

#include <array>
#include <doctest/doctest.h>
#include <unistd.h>
#include <vector>

using namespace figchute;
using namespace figchute::router;
using namespace std::chrono_literals;

namespace {

constexpr double kMegabit = 1e6 / 8;

/** An admission for a link of 10 Mbit/s, of which 1 MB per second may be used. */
struct LinkAdmissionFixture
{
  LinkAdmissionFixture() { update(10s); }

  void update(Duration elapsed)
  {
    now = now + elapsed;
    admission.update(now, traffic, refused);
  }

  bool admit(int rank, std::uint64_t bodyBytes, bool servedBefore = true)
  {
    LinkRequest request;
    request.route = "route";
    request.rank = rank;
    request.target = 1s;
    request.headBytes = 500;
    request.bodyBytes = bodyBytes;
    request.servedBefore = servedBefore;
    auto decision = admission.decide(now, request);
    if (!decision.charge) {
      return false;
    }
    charges.push_back(std::move(decision.charge));
    return true;
  }

  LinkAdmission admission{ 10 * kMegabit };
  http::Traffic traffic;
  http::Traffic refused;
  Time now{ 1'000'000'000 };
  std::vector<std::unique_ptr<LinkAdmission::Charge>> charges;
};

/** Runs 12 s of a model. */
LinkModel played(Policy policy, const std::vector<double>& megabits, std::vector<HomeLoad> loads)
{
  LinkModel model(policy, megabits, std::move(loads));
  model.run(12);
  return model;
}

/** Checks that every kind is served better than with the accept limit only, that the submissions
    reach a share, and that no forwarded request waits longer for the link than its target allows.
 */
void checkAgainstAcceptLimit(const std::vector<double>& megabits,
                             const std::vector<HomeLoad>& loads,
                             double submissions)
{
  const auto before = played(Policy::acceptLimit, megabits, loads);
  const auto after = played(Policy::admission, megabits, loads);
  CAPTURE(before.describe());
  CAPTURE(after.describe());
  CHECK(after.onTimeShare(0) > submissions);
  for (std::size_t i = 0; i < kReport; ++i) {
    CHECK(after.onTimeShare(i) > before.onTimeShare(i) + 0.1);
  }
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    CHECK(after.outcome(i).longestWait <
          std::chrono::milliseconds(kKinds[i].targetMs) / LinkAdmission::kOwnWaitDivisor);
  }
  CHECK(after.outcome(0).refusals == 0);
  // At most one pause for each VM.
  CHECK(after.notReadySeconds() <= 5 * static_cast<int>(megabits.size()));
}

} // namespace

// Guards against urgent requests that fail because the long prompts of their workspace fill the
// link of one VM: 300 requests a second of 3.9 KB from 80 callers at 10 Mbit/s.
TEST_CASE("LinkAdmission_oneFullVm_movesCallersToOthers")
{
  checkAgainstAcceptLimit({ 10, 10, 10, 10 }, { { 0, 300 } }, 0.8);
}

// Guards against callers that are moved back and forth between two full VMs.
TEST_CASE("LinkAdmission_neighbourFullToo_servesBothWorkspaces")
{
  checkAgainstAcceptLimit({ 10, 10, 10, 10, 10, 10 }, { { 0, 300 }, { 1, 300 } }, 0.75);
}

// Guards against a collapse when no VM has room: 1.3 times what both links carry.
TEST_CASE("LinkAdmission_allVmsFull_servesMoreThanTheAcceptLimit")
{
  const auto before = played(Policy::acceptLimit, { 10, 10 }, { { 0, 300 }, { 1, 300 } });
  const auto after = played(Policy::admission, { 10, 10 }, { { 0, 300 }, { 1, 300 } });
  CAPTURE(before.describe());
  CAPTURE(after.describe());
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    CHECK(after.onTimeShare(i) > before.onTimeShare(i));
    CHECK((i == 4 || after.onTimeShare(i) > 0.4));
  }
  CHECK(after.onTimeShare(4) < after.onTimeShare(0));
}

// Guards against a narrow VM whose callers are not moved to a wide one, and the other way round.
TEST_CASE("LinkAdmission_linksOfDifferentWidth_eachDecidesByItsOwn")
{
  checkAgainstAcceptLimit({ 7.5, 25 }, { { 0, 300 }, { 1, 300 } }, 0.7);
  checkAgainstAcceptLimit({ 25, 7.5 }, { { 0, 300 }, { 1, 150 } }, 0.95);
}

// Guards against refusals below the bandwidth of the link.
TEST_CASE("LinkAdmission_loadBelowTheLink_servesEverything")
{
  const auto model = played(Policy::admission, { 10, 10 }, { { 0, 150 } });
  CAPTURE(model.describe());
  for (std::size_t i = 0; i < kKinds.size(); ++i) {
    CHECK(model.onTimeShare(i) > 0.99);
  }
}

// Guards against requests that are admitted at the same moment and exceed the link together, before
// any of their bytes have passed.
TEST_CASE_FIXTURE(LinkAdmissionFixture, "LinkAdmission_manyAtOnce_areLimitedByTheirExpectedBytes")
{
  int admitted = 0;
  while (admitted < 1000 && admit(0, 3000)) {
    ++admitted;
  }
  // 300 ms of the share, at about 4.5 KB each, or earlier when the wait is too long.
  CHECK(admitted > 10);
  CHECK(admitted < 70);
  charges.clear();
  update(1ms);
  CHECK(admission.sent().level > 190ms);
  CHECK(admission.sent().wait == 0ms);
}

// Guards against bytes that are charged both when a request is admitted and when they pass, and
// against a request whose response is larger than expected and is charged too little.
TEST_CASE_FIXTURE(LinkAdmissionFixture, "LinkAdmission_transferredBytes_areChargedOnce")
{
  REQUIRE(admit(0, 9500));
  charges[0]->received(10'000);
  charges[0]->forwarded(10'000);
  charges[0]->answered(50'000);
  traffic = { 60'000, 60'000 };
  update(1us);
  charges.clear();
  // 60 KB are 60 ms of the share.
  CHECK(std::chrono::abs(admission.sent().level - 140ms) < 1ms);
  CHECK(std::chrono::abs(admission.received().level - 140ms) < 1ms);
}

// Guards against refused requests that exhaust the level, so that all others are refused too.
TEST_CASE_FIXTURE(LinkAdmissionFixture, "LinkAdmission_refusedBytes_areNotCharged")
{
  traffic.receivedBytes += 500'000;
  refused.receivedBytes += 500'000;
  update(1us);
  CHECK(admission.received().level == 200ms);
  traffic.receivedBytes += 500'000;
  update(1us);
  CHECK(admission.received().level < 0ms);
}

// Guards against an order other than rank, size within a rank, and kept before new connections.
TEST_CASE_FIXTURE(LinkAdmissionFixture, "LinkAdmission_fallingLevel_refusesInOrder")
{
  for (int i = 0; i < 100; ++i) {
    admit(1, 9500);
    admit(5, 2000);
    charges.clear();
    update(10ms);
  }
  struct Class
  {
    int rank;
    std::uint64_t bytes;
    bool kept;
    int refusedAt = 0;
  };
  std::vector<Class> classes{
    { 5, 9500, false }, { 5, 9500, true }, { 5, 200, true }, { 1, 9500, true }, { 0, 200, true }
  };
  for (int step = 1; step <= 330; ++step) {
    traffic.receivedBytes += 1000;
    update(1us);
    for (auto& entry : classes) {
      if (!admit(entry.rank, entry.bytes, entry.kept) && entry.refusedAt == 0) {
        entry.refusedAt = step;
      }
      charges.clear();
      update(1us);
    }
  }
  for (std::size_t i = 1; i < classes.size(); ++i) {
    CAPTURE(i);
    CHECK(classes[i].refusedAt > classes[i - 1].refusedAt);
  }
  CHECK(classes.front().refusedAt > 0);
}

// Guards against a request that is larger than the burst of a narrow link and never admitted, and
// against a burst of many seconds after the VM was suspended.
TEST_CASE("LinkAdmission_narrowLinkOrSuspension_boundsTheLevel")
{
  LinkAdmission admission(0.5 * kMegabit);
  const Time now{ 1'000'000'000 };
  admission.update(now, {}, {});
  const LinkRequest request{ "route", 9, 2s, 500, 60'000, 500, false };
  CHECK(admission.decide(now, request).charge);
  admission.update(now + 3600s, {}, {});
  CHECK(admission.sent().level == LinkAdmission::kBurst);
}

// Guards against a VM that is not ready for more than an eighth of the time, or that changes with
// every check.
TEST_CASE("LinkReadiness_lastingRefusals_pauseAnEighthOfTheTime")
{
  LinkReadiness readiness;
  int paused = 0;
  int changes = 0;
  for (int second = 0; second < 800; ++second) {
    const bool wasReady = readiness.isReady();
    readiness.update(Time{ 1'000'000'000 + second * 1'000'000LL }, 100, 50);
    changes += readiness.isReady() != wasReady ? 1 : 0;
    paused += readiness.isReady() ? 0 : 1;
  }
  CHECK(paused > 50);
  CHECK(paused <= 105);
  CHECK(changes <= 42);
  LinkReadiness calm;
  calm.update(Time{ 1'000'000'000 }, 1000, 4);
  calm.update(Time{ 1'001'000'000 }, 1000, 40);
  CHECK(calm.isReady());
}

namespace {

/** An EntryLink of 10 Mbit/s, a route of rank 9 and a workspace of rank 0. */
struct EntryLinkFixture
{
  EntryLinkFixture()
  {
    fleet::Configuration configuration;
    fleet::Route route;
    route.name = "look";
    route.host = "app.example";
    route.pathPrefix = "/look/";
    route.priority = 9;
    route.split = { { ServiceName("app"), 1 } };
    configuration.routes = { route };
    configuration.hasWorkspaces = true;
    configuration.workspaces = { { "urgent", { "key-urgent" }, 0, std::nullopt } };
    table = std::make_unique<fleet::RouteTable>(configuration);
    advance(10s, 0);
  }

  /** Lets time pass in which bytes of no request are sent. */
  void advance(Duration elapsed, std::uint64_t bytes)
  {
    now = now + elapsed;
    traffic.sentBytes += bytes;
    link.update(now, traffic, {}, 0);
    link.report(now);
  }

  bool isRefused(const fleet::RouteTable* routes, std::string target, std::string key = "")
  {
    http::RequestHead head;
    head.method = "GET";
    head.target = std::move(target);
    head.fields.add("Host", "app.example");
    if (!key.empty()) {
      head.fields.add("Authorization", "Bearer " + key);
    }
    const auto decision = link.decide(now, routes, head, { 300, 300, true });
    CHECK((!decision.refusal || decision.refusal->head.fields.get("Retry-After") == "0.020"));
    return decision.refusal.has_value();
  }

  std::array<int, 2> logPipe = [] {
    std::array<int, 2> pipe{};
    REQUIRE(::pipe(pipe.data()) == 0);
    return pipe;
  }();
  LogWriter log{ logPipe[1], "entry0" };
  Metrics metrics;
  EntryLink link{ 10 * kMegabit, log, metrics };
  std::unique_ptr<fleet::RouteTable> table;
  http::Traffic traffic;
  Time now{ 1'000'000'000 };
};

} // namespace

// Guards against a rank that ignores the workspace, and against refusals that hide the usual error
// of a request without a route or of a process without a configuration.
TEST_CASE_FIXTURE(EntryLinkFixture, "EntryLink_fullLink_refusesByTheRankOfTheWorkspace")
{
  CHECK_FALSE(isRefused(table.get(), "/look/x"));
  // 0.5 s of the link, of which 0.39 s have passed.
  advance(1us, 625'000);
  advance(390ms, 0);
  for (int i = 0; i < 300; ++i) {
    isRefused(table.get(), "/look/x", "key-urgent");
  }
  CHECK(isRefused(table.get(), "/look/x"));
  CHECK(isRefused(table.get(), "/look/x", "key-unknown"));
  CHECK_FALSE(isRefused(table.get(), "/look/x", "key-urgent"));
  CHECK_FALSE(isRefused(table.get(), "/other/x"));
  CHECK_FALSE(isRefused(nullptr, "/look/x"));
}

// Guards against a log line for each refusal, and against a VM that refuses and stays ready.
TEST_CASE_FIXTURE(EntryLinkFixture, "EntryLink_manyRefusals_areReportedOnceASecond")
{
  for (int i = 0; i < 300; ++i) {
    advance(10ms, 40'000);
    isRefused(table.get(), "/look/x");
  }
  log.flush();
  std::string text(65536, ' ');
  text.resize(static_cast<std::size_t>(::read(logPipe[0], text.data(), text.size())));
  std::size_t lines = 0;
  for (auto at = text.find("link_refused"); at != std::string::npos;
       at = text.find("link_refused", at + 1)) {
    ++lines;
  }
  CHECK(lines >= 2);
  CHECK(lines <= 3);
  CHECK(text.find("ranks=9:") != std::string::npos);
  CHECK_FALSE(link.isReady());
  const auto counters = metrics.counters();
  CHECK(counters.at("link_pauses") == 1);
  CHECK(counters.at("link_bytes") > 2 * counters.at("link_capacity_bytes"));
  CHECK(link.acceptDelay() == LinkBudget::kMaxDelay);
}
