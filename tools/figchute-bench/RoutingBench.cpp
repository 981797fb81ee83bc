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
constexpr std::size_t kZones = 7;
constexpr std::size_t kNodes = 420;
constexpr std::size_t kEndpoints = 610;
constexpr std::size_t kModels = 36;
constexpr std::size_t kWorkspaces = 510;
constexpr std::size_t kRequestsPerSecond = 3000;
constexpr std::uint32_t kSlots = 32;

/** Envelope fields and HMAC around each message. */
constexpr std::size_t kEnvelopeBytes = 90;

constexpr Time kStart{ 1'800'000'000'000'000 };

void writeRow(std::ostream& out, const std::string& name, double value, const std::string& unit)
{
  out << name << '\t' << value << '\t' << unit << '\n';
}

ModelName modelName(std::size_t number)
{
  return ModelName("model" + std::to_string(number % kModels));
}

ZoneId zoneName(std::size_t number)
{
  return ZoneId("zone" + std::to_string(number % kZones));
}

routing::Announcement announcementOf(std::size_t number, std::uint32_t running)
{
  routing::Announcement announcement;
  announcement.id = EndpointId("engine-" + std::to_string(1000 + number));
  announcement.address = "10.0.0.1:" + std::to_string(10000 + number);
  announcement.zone = zoneName(number);
  announcement.models = { modelName(number / kZones) };
  announcement.slots = kSlots;
  announcement.running = running;
  return announcement;
}

routing::Work workOf(std::size_t number, Time now, Random& random)
{
  routing::Work work;
  work.id = RequestId("request-" + std::to_string(number));
  work.workspace = WorkspaceId("team/workspace" + std::to_string(random.below(kWorkspaces)));
  work.caller = CallerId(work.workspace.value + "/caller");
  work.rank = static_cast<Rank>(random.below(kRankCount));
  work.model = modelName(random.below(kModels));
  work.promptBytes = 4000;
  work.prefixChain = { random.below(100), random.below(1000), random.next() };
  work.maxTokens = Tokens{ 400 };
  work.arrival = now;
  return work;
}

/** Times submit() and the other calls of each request at one router that sees all endpoints, with a
    constant number of requests in flight. */
void measureDecisions(std::ostream& out)
{
  constexpr std::size_t kRequests = 100'000;
  constexpr std::size_t kInFlight = 200;
  routing::Router router({ ProcessId("vm"), zoneName(0), 1 });
  Time now = kStart;
  Random random(1);
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    router.announce(now, announcementOf(i, 0));
  }
  std::deque<RequestId> inFlight;
  std::vector<double> micros;
  const auto begin = Clock::now();
  for (std::size_t i = 0; i < kRequests; ++i) {
    now = now + 50us;
    auto work = workOf(i, now, random);
    const auto before = Clock::now();
    router.submit(now, std::move(work));
    for (const auto& action : router.takeActions()) {
      if (const auto* dispatch = std::get_if<routing::Dispatch>(&action)) {
        inFlight.push_back(dispatch->id);
      }
    }
    if (inFlight.size() > kInFlight) {
      router.firstToken(now, inFlight.front());
      router.finished(now, inFlight.front(), routing::Outcome::completed);
      inFlight.pop_front();
    }
    micros.push_back(std::chrono::duration<double, std::micro>(Clock::now() - before).count());
  }
  const double seconds = std::chrono::duration<double>(Clock::now() - begin).count();
  std::sort(micros.begin(), micros.end());
  writeRow(out, "routing_decisions", static_cast<double>(kRequests) / seconds, "per_second");
  writeRow(out, "routing_decision_p50", micros[kRequests / 2], "us");
  writeRow(out, "routing_decision_p95", micros[kRequests * 95 / 100], "us");
}

void measureMemory(std::ostream& out)
{
  routing::EndpointRegistry registry(zoneName(0));
  const auto before = mallinfo2().uordblks;
  for (std::size_t i = 0; i < kEndpoints; ++i) {
    registry.announce(kStart, announcementOf(i, 0));
  }
  const auto after = mallinfo2().uordblks;
  writeRow(
    out, "registry_memory", static_cast<double>(after - before) / kEndpoints, "bytes_per_endpoint");
}

/** All entry VMs of the design size, which send each other what membership and routing ask for. */
class GossipFleet
{
public:
  GossipFleet()
  {
    std::vector<membership::KnownPeer> known;
    for (std::size_t i = 0; i < kNodes; ++i) {
      known.push_back({ ProcessId("entry-" + std::to_string(1000 + i)), zoneName(i) });
      indexes_[known.back().id] = i;
    }
    for (std::size_t i = 0; i < kNodes; ++i) {
      const auto& [id, zone] = known[i];
      nodes_.push_back(
        std::make_unique<Node>(Node{ id,
                                     routing::Router({ id, zone, i }),
                                     membership::Membership({ id, zone, {}, i }, known) }));
      nodes_.back()->router.setPeers(nodes_.back()->membership.peers());
    }
    running_.resize(kEndpoints);
  }

  void run(Duration length)
  {
    for (const Time end = now_ + length; now_ < end; now_ = now_ + kStep) {
      announce();
      submit();
      for (auto& node : nodes_) {
        node->membership.tick(now_);
        node->router.tick(now_);
        node->router.takeActions();
      }
      exchange();
    }
  }

  void forgetCounts()
  {
    for (auto& node : nodes_) {
      node->sent = 0;
      node->received = 0;
    }
  }

  void write(std::ostream& out, Duration length) const
  {
    const double seconds = std::chrono::duration<double>(length).count();
    double sent = 0;
    double most = 0;
    for (const auto& node : nodes_) {
      sent += static_cast<double>(node->sent) / seconds;
      most = std::max(most, static_cast<double>(node->sent + node->received) / seconds);
    }
    writeRow(out, "control_bytes_sent_mean", sent / kNodes, "bytes_per_node_and_second");
    writeRow(out, "control_bytes_both_ways_most", most, "bytes_per_node_and_second");
    const auto view = nodes_.back()->router.dump(now_);
    writeRow(
      out, "endpoints_known_at_last_node", static_cast<double>(view.endpoints.size()), "count");
  }

private:
  static constexpr Duration kStep = 50ms;
  static constexpr std::size_t kStepsPerSecond = 20;

  struct Node
  {
    ProcessId id;
    routing::Router router;
    membership::Membership membership;
    std::size_t sent = 0;
    std::size_t received = 0;
  };

  /** Each endpoint announces itself once a second to a random VM of its zone. */
  void announce()
  {
    for (std::size_t i = step_ % kStepsPerSecond; i < kEndpoints; i += kStepsPerSecond) {
      const auto change = static_cast<std::int64_t>(random_.below(9)) - 4;
      const auto load = static_cast<std::int64_t>(running_[i]) + change;
      running_[i] = static_cast<std::uint32_t>(std::clamp<std::int64_t>(load, 0, kSlots));
      const auto vm = i % kZones + kZones * random_.below(kNodes / kZones);
      nodes_[vm]->router.announce(now_, announcementOf(i, running_[i]));
    }
    ++step_;
  }

  /** The requests end at once; only what they add to the shares matters here. */
  void submit()
  {
    for (std::size_t i = 0; i < kRequestsPerSecond / kStepsPerSecond; ++i) {
      auto& router = nodes_[random_.below(kNodes)]->router;
      const auto work = workOf(requests_++, now_, random_);
      if (!router.submit(now_, work)) {
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

  template<typename Outgoing, typename Receive>
  void post(Node& from, const std::vector<Outgoing>& messages, Receive receive)
  {
    for (const auto& [to, message] : messages) {
      auto& target = *nodes_[indexes_.at(to)];
      const auto bytes = wire::encode(message).size() + kEnvelopeBytes;
      from.sent += bytes;
      target.received += bytes;
      receive(target, message);
    }
  }

  void exchange()
  {
    for (auto& node : nodes_) {
      post(*node, node->membership.takeOutgoing(), [&](Node& target, const auto& message) {
        target.membership.receive(now_, node->id, message);
      });
      post(*node, node->router.takeOutgoing(), [&](Node& target, const auto& message) {
        target.router.receive(now_, node->id, message);
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
  constexpr Duration kWarmUp = 10s;
  constexpr Duration kMeasured = 10s;
  GossipFleet fleet;
  fleet.run(kWarmUp);
  fleet.forgetCounts();
  fleet.run(kMeasured);
  fleet.write(out, kMeasured);
}

} // namespace

void runRoutingBench(std::ostream& out)
{
  measureDecisions(out);
  measureMemory(out);
  measureGossip(out);
}

} // namespace figchute::bench
