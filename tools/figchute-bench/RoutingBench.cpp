#include "RoutingBench.h"

#include "core/Random.h"
#include "membership/membership.h"
#include "routing/EndpointRegistry.h"
#include "routing/routing.h"

#include <algorithm>
#include <chrono>
#include <deque>
#include <malloc.h>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace figchute::bench {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

/** The design size of section 1. */
constexpr std::size_t kZoneCount = 7;
constexpr std::size_t kNodeCount = 420;
constexpr std::size_t kEndpointCount = 610;
constexpr std::size_t kModelCount = 36;
constexpr std::size_t kWorkspaceCount = 510;
constexpr std::size_t kRequestsPerSecond = 3000;
constexpr std::uint32_t kSlotsPerEndpoint = 32;

/** The size of the envelope fields and the HMAC of each message. */
constexpr std::size_t kEnvelopeBytes = 90;

constexpr Time kStart{ 1'800'000'000'000'000 };

void writeRow(std::ostream& out, const std::string& name, double value, const std::string& unit)
{
  out << name << '\t' << value << '\t' << unit << '\n';
}

ModelName makeModelName(std::size_t number)
{
  return ModelName("model" + std::to_string(number % kModelCount));
}

ZoneId makeZoneId(std::size_t number)
{
  return ZoneId("zone" + std::to_string(number % kZoneCount));
}

routing::Announcement makeAnnouncement(std::size_t number, std::uint32_t running)
{
  routing::Announcement announcement;
  announcement.id = EndpointId("engine-" + std::to_string(1000 + number));
  announcement.address = "10.0.0.1:" + std::to_string(10000 + number);
  announcement.zone = makeZoneId(number);
  announcement.models = { makeModelName(number / kZoneCount) };
  announcement.slots = kSlotsPerEndpoint;
  announcement.running = running;
  return announcement;
}

routing::RequestInfo makeRequestInfo(std::size_t number, Time now, Random& random)
{
  routing::RequestInfo requestInfo;
  requestInfo.id = RequestId("request-" + std::to_string(number));
  requestInfo.workspace =
    WorkspaceId("team/workspace" + std::to_string(random.below(kWorkspaceCount)));
  requestInfo.caller = CallerId(requestInfo.workspace.value + "/caller");
  requestInfo.rank = static_cast<Rank>(random.below(kRankCount));
  requestInfo.model = makeModelName(random.below(kModelCount));
  requestInfo.promptBytes = 4000;
  requestInfo.prefixChain = { random.below(100), random.below(1000), random.next() };
  requestInfo.maxTokens = Tokens{ 400 };
  requestInfo.arrival = now;
  return requestInfo;
}

/** Measures the time of submit() and the other calls of each request at one router with all
    endpoints in its registry and a constant number of requests in flight. */
void measureDecisions(std::ostream& out)
{
  constexpr std::size_t kRequestCount = 100'000;
  constexpr std::size_t kInFlightCount = 200;
  routing::Router router({ ProcessId("vm"), makeZoneId(0), 1 });
  Time now = kStart;
  Random random(1);
  for (std::size_t i = 0; i < kEndpointCount; ++i) {
    router.announce(now, makeAnnouncement(i, 0));
  }
  std::deque<RequestId> inFlight;
  std::vector<double> decisionTimesUs;
  const auto begin = Clock::now();
  for (std::size_t i = 0; i < kRequestCount; ++i) {
    now = now + 50us;
    auto requestInfo = makeRequestInfo(i, now, random);
    const auto timeBefore = Clock::now();
    router.submit(now, std::move(requestInfo));
    for (const auto& action : router.takeActions()) {
      if (const auto* dispatch = std::get_if<routing::Dispatch>(&action)) {
        inFlight.push_back(dispatch->id);
      }
    }
    if (inFlight.size() > kInFlightCount) {
      router.firstToken(now, inFlight.front());
      router.finished(now, inFlight.front(), routing::Outcome::completed);
      inFlight.pop_front();
    }
    decisionTimesUs.push_back(
      std::chrono::duration<double, std::micro>(Clock::now() - timeBefore).count());
  }
  const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
  std::sort(decisionTimesUs.begin(), decisionTimesUs.end());
  writeRow(out, "routing_decisions", static_cast<double>(kRequestCount) / seconds, "per_second");
  writeRow(out, "routing_decision_p50", decisionTimesUs[kRequestCount / 2], "us");
  writeRow(out, "routing_decision_p95", decisionTimesUs[kRequestCount * 95 / 100], "us");
}

void measureMemory(std::ostream& out)
{
  routing::EndpointRegistry registry(makeZoneId(0));
  const auto bytesBefore = mallinfo2().uordblks;
  for (std::size_t i = 0; i < kEndpointCount; ++i) {
    registry.announce(kStart, makeAnnouncement(i, 0));
  }
  const auto bytesAfter = mallinfo2().uordblks;
  writeRow(out,
           "registry_memory",
           static_cast<double>(bytesAfter - bytesBefore) / kEndpointCount,
           "bytes_per_endpoint");
}

/** All entry VMs of the design size, which exchange the messages of membership and routing. */
class GossipFleet
{
public:
  GossipFleet()
  {
    std::vector<membership::KnownPeer> knownPeers;
    for (std::size_t i = 0; i < kNodeCount; ++i) {
      knownPeers.push_back({ ProcessId("entry-" + std::to_string(1000 + i)), makeZoneId(i) });
      indexes_[knownPeers.back().id] = i;
    }
    for (std::size_t i = 0; i < kNodeCount; ++i) {
      const auto& [id, zone] = knownPeers[i];
      nodes_.push_back(
        std::make_unique<Node>(Node{ id,
                                     routing::Router({ id, zone, i }),
                                     membership::Membership({ id, zone, {}, i }, knownPeers) }));
      nodes_.back()->router.setPeers(nodes_.back()->membership.peers());
    }
    running_.resize(kEndpointCount);
  }

  void run(Duration duration)
  {
    for (const Time end = now_ + duration; now_ < end; now_ = now_ + kStepDuration) {
      announceEndpoints();
      submitRequests();
      for (auto& node : nodes_) {
        node->membership.tick(now_);
        node->router.tick(now_);
        node->router.takeActions();
      }
      deliverMessages();
    }
  }

  void resetCounters()
  {
    for (auto& node : nodes_) {
      node->sentBytes = 0;
      node->receivedBytes = 0;
    }
  }

  void write(std::ostream& out, Duration duration) const
  {
    const double seconds = std::chrono::duration<double>(duration).count();
    double sentPerSecond = 0;
    double maxBytesPerSecond = 0;
    for (const auto& node : nodes_) {
      sentPerSecond += static_cast<double>(node->sentBytes) / seconds;
      maxBytesPerSecond = std::max(
        maxBytesPerSecond, static_cast<double>(node->sentBytes + node->receivedBytes) / seconds);
    }
    writeRow(
      out, "control_bytes_sent_mean", sentPerSecond / kNodeCount, "bytes_per_node_and_second");
    writeRow(out, "control_bytes_both_ways_most", maxBytesPerSecond, "bytes_per_node_and_second");
    const auto routerState = nodes_.back()->router.dump(now_);
    writeRow(out,
             "endpoints_known_at_last_node",
             static_cast<double>(routerState.endpoints.size()),
             "count");
  }

private:
  static constexpr Duration kStepDuration = 50ms;
  static constexpr std::size_t kStepsPerSecond = 20;

  struct Node
  {
    ProcessId id;
    routing::Router router;
    membership::Membership membership;
    std::size_t sentBytes = 0;
    std::size_t receivedBytes = 0;
  };

  /** Announces each endpoint once a second to a random VM of its zone. */
  void announceEndpoints()
  {
    for (std::size_t i = step_ % kStepsPerSecond; i < kEndpointCount; i += kStepsPerSecond) {
      const auto change = static_cast<std::int64_t>(random_.below(9)) - 4;
      const auto load = static_cast<std::int64_t>(running_[i]) + change;
      running_[i] =
        static_cast<std::uint32_t>(std::clamp<std::int64_t>(load, 0, kSlotsPerEndpoint));
      const auto vm = i % kZoneCount + kZoneCount * random_.below(kNodeCount / kZoneCount);
      nodes_[vm]->router.announce(now_, makeAnnouncement(i, running_[i]));
    }
    ++step_;
  }

  /** Submits the requests of one step. They finish immediately, because only their contribution to
      the shares is relevant. */
  void submitRequests()
  {
    for (std::size_t i = 0; i < kRequestsPerSecond / kStepsPerSecond; ++i) {
      auto& router = nodes_[random_.below(kNodeCount)]->router;
      const auto requestInfo = makeRequestInfo(requests_++, now_, random_);
      if (!router.submit(now_, requestInfo)) {
        continue;
      }
      for (const auto& action : router.takeActions()) {
        if (const auto* dispatch = std::get_if<routing::Dispatch>(&action)) {
          router.progress(now_, dispatch->id, Tokens{ 200 });
          router.finished(now_, dispatch->id, routing::Outcome::completed);
        }
      }
    }
  }

  template<typename OutgoingMessage, typename Receive>
  void deliver(Node& from, const std::vector<OutgoingMessage>& messages, Receive receive)
  {
    for (const auto& [to, message] : messages) {
      auto& receiver = *nodes_[indexes_.at(to)];
      const auto bytes = wire::encode(message).size() + kEnvelopeBytes;
      from.sentBytes += bytes;
      receiver.receivedBytes += bytes;
      receive(receiver, message);
    }
  }

  void deliverMessages()
  {
    for (auto& node : nodes_) {
      deliver(*node, node->membership.takeOutgoing(), [&](Node& receiver, const auto& message) {
        receiver.membership.receive(now_, node->id, message);
      });
      deliver(*node, node->router.takeOutgoing(), [&](Node& receiver, const auto& message) {
        receiver.router.receive(now_, node->id, message);
      });
    }
  }

  std::vector<std::unique_ptr<Node>> nodes_;
  std::map<ProcessId, std::size_t> indexes_;
  std::vector<std::uint32_t> running_;
  Random random_{ 1 };
  Time now_ = kStart;
  std::size_t step_ = 0;
  std::size_t requests_ = 0;
};

void measureGossip(std::ostream& out)
{
  constexpr Duration kWarmUpTime = 10s;
  constexpr Duration kMeasurementTime = 10s;
  GossipFleet fleet;
  fleet.run(kWarmUpTime);
  fleet.resetCounters();
  fleet.run(kMeasurementTime);
  fleet.write(out, kMeasurementTime);
}

} // namespace

void runRoutingBench(std::ostream& out)
{
  measureDecisions(out);
  measureMemory(out);
  measureGossip(out);
}

} // namespace figchute::bench
