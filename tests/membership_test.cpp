#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "membership/membership.h"

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>
#include <functional>
#include <memory>
#include <set>
#include <string>

using namespace figchute;
using namespace figchute::membership;
using namespace std::chrono_literals;

namespace {

/** Entry VMs on a simulated network that delivers immediately, except from or to VMs that are down
 * or partitioned. */
class Fleet
{
public:
  Fleet(int zones, int vmsPerZone)
  {
    for (int i = 0; i < zones * vmsPerZone; ++i) {
      const std::string number = std::to_string(1000 + i);
      known_.push_back({ ProcessId("vm" + number), ZoneId("z" + std::to_string(i % zones)) });
    }
    for (std::size_t i = 0; i < known_.size(); ++i) {
      start(i, Incarnation{ 1 });
    }
  }

  void start(std::size_t i, Incarnation incarnation)
  {
    vms_.resize(known_.size());
    const MembershipOptions options{ known_[i].id, known_[i].zone, incarnation, i };
    vms_[i] = std::make_unique<Membership>(options, known_);
    down.erase(i);
  }

  void run(Duration duration)
  {
    for (const Time end = now + duration; now < end; now = now + 100ms) {
      for (std::size_t i = 0; i < vms_.size(); ++i) {
        if (!down.contains(i)) {
          vms_[i]->tick(now);
        }
      }
      deliver();
    }
  }

  Membership& vm(std::size_t i) { return *vms_[i]; }
  ProcessId id(std::size_t i) const { return known_[i].id; }

  MemberState stateOf(std::size_t observer, std::size_t subject)
  {
    const auto members = vm(observer).members();
    return members[subject].state;
  }

  Time now{ 1'000'000'000 };
  std::set<std::size_t> down;
  std::function<bool(std::size_t, std::size_t)> canReach = [](std::size_t, std::size_t) {
    return true;
  };
  std::size_t bytes = 0;
  std::size_t messages = 0;

private:
  void deliver()
  {
    for (int round = 0; round < 3; ++round) {
      for (std::size_t from = 0; from < vms_.size(); ++from) {
        for (const auto& [to, message] : vms_[from]->takeOutgoing()) {
          const auto target = static_cast<std::size_t>(std::stoi(to.value.substr(2)) - 1000);
          if (down.contains(from) || down.contains(target) || !canReach(from, target)) {
            continue;
          }
          bytes += wire::encode(message).size();
          ++messages;
          vms_[target]->receive(now, known_[from].id, message);
        }
      }
    }
  }

  std::vector<KnownPeer> known_;
  std::vector<std::unique_ptr<Membership>> vms_;
};

} // namespace

// Guards against a dead VM that is still considered live, and against VMs that disagree about its
// state.
TEST_CASE("Membership_vmStops_isSuspectThenDeadEverywhere")
{
  Fleet fleet(3, 3);
  fleet.run(3s);
  CHECK(fleet.vm(0).live().size() == 9);
  CHECK(fleet.vm(0).isRelay());
  fleet.down.insert(0);
  fleet.run(3s);
  CHECK(fleet.stateOf(3, 0) == MemberState::suspect);
  fleet.run(5s);
  for (std::size_t i = 1; i < 9; ++i) {
    CHECK(fleet.stateOf(i, 0) == MemberState::dead);
    CHECK(fleet.vm(i).relayOf(ZoneId("z0")) == fleet.id(3));
    CHECK(fleet.vm(i).live().size() == 8);
  }
}

// Guards against a restarted VM that is rejected because its earlier incarnation was declared dead,
// and against a delayed heartbeat of the earlier incarnation that replaces the newer one.
TEST_CASE("Membership_newerIncarnation_replacesOlder")
{
  Fleet fleet(1, 3);
  fleet.run(2s);
  fleet.down.insert(2);
  fleet.run(8s);
  CHECK(fleet.stateOf(0, 2) == MemberState::dead);
  fleet.start(2, Incarnation{ 2 });
  fleet.run(3s);
  CHECK(fleet.stateOf(0, 2) == MemberState::alive);
  CHECK(fleet.vm(1).members()[2].incarnation == Incarnation{ 2 });
  Heartbeat delayedHeartbeat;
  delayedHeartbeat.self = { fleet.id(2), ZoneId("z0"), Incarnation{ 1 }, 9, MemberState::alive };
  fleet.vm(1).receive(fleet.now, fleet.id(2), delayedHeartbeat);
  CHECK(fleet.vm(1).members()[2].incarnation == Incarnation{ 2 });
}

// Guards against a live VM that is declared dead after a false suspicion.
TEST_CASE("Membership_falseSuspicion_isRefuted")
{
  Fleet fleet(1, 5);
  fleet.run(2s);
  Heartbeat falseStatement;
  falseStatement.self = { fleet.id(1), ZoneId("z0"), Incarnation{ 1 }, 0, MemberState::alive };
  falseStatement.updates = {
    { fleet.id(4), ZoneId("z0"), Incarnation{ 1 }, 0, MemberState::suspect }
  };
  fleet.vm(0).receive(fleet.now, fleet.id(1), falseStatement);
  CHECK(fleet.stateOf(0, 4) == MemberState::suspect);
  fleet.run(6s);
  for (std::size_t i = 0; i < 5; ++i) {
    CHECK(fleet.stateOf(i, 4) == MemberState::alive);
  }
}

// Guards against zones, or halves of a zone, that never reconnect after a partition.
TEST_CASE("Membership_partitionHeals_viewsMeetAgain")
{
  Fleet fleet(2, 4);
  fleet.run(2s);
  fleet.canReach = [](std::size_t a, std::size_t b) { return a % 2 == b % 2; };
  fleet.run(30s);
  CHECK(fleet.vm(0).live().size() == 4);
  fleet.canReach = [](std::size_t a, std::size_t b) { return (a < 4) == (b < 4); };
  fleet.run(30s);
  fleet.canReach = [](std::size_t, std::size_t) { return true; };
  fleet.run(20s);
  for (std::size_t i = 0; i < 8; ++i) {
    CHECK(fleet.vm(i).live().size() == 8);
  }
}

// Guards against a full mesh of links, and against membership traffic that exceeds its share of the
// limit of 4 KB/s per node at the design size of 420 VMs. 90 bytes per message represent the
// envelope with its HMAC.
TEST_CASE("Membership_designSize_costsLittlePerNode")
{
  Fleet fleet(7, 60);
  fleet.run(10s);
  const std::size_t links = fleet.vm(400).targets(fleet.now).size();
  CHECK(links <= 3);
  CHECK(fleet.vm(0).targets(fleet.now).size() <= 3 + 6);
  fleet.bytes = 0;
  fleet.messages = 0;
  fleet.run(10s);
  const double sentPerNodeAndSecond =
    static_cast<double>(fleet.bytes + 90 * fleet.messages) / 420 / 10;
  MESSAGE("membership, sent bytes per node and second at 420 nodes: " << sentPerNodeAndSecond);
  CHECK(sentPerNodeAndSecond < 1000);
  CHECK(fleet.vm(7).live().size() == 420);
  // Ten VMs, such as a rack, fail at once; relays and inner VMs of the trees are among them.
  for (std::size_t i = 0; i < 10; ++i) {
    fleet.down.insert(i);
  }
  fleet.bytes = 0;
  fleet.messages = 0;
  fleet.run(30s);
  const double sentDuringFailure =
    static_cast<double>(fleet.bytes + 90 * fleet.messages) / 410 / 30;
  MESSAGE("the same while ten VMs fail at once: " << sentDuringFailure);
  std::size_t agreeingVms = 0;
  for (std::size_t i = 10; i < 420; ++i) {
    agreeingVms += fleet.vm(i).live().size() == 410 ? 1 : 0;
  }
  CHECK(agreeingVms == 410);
}
