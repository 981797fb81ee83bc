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

/** Entry VMs on a network that delivers at once, except to or from VMs that are down or cut off. */
class Fleet
{
public:
  Fleet(int zones, int perZone)
  {
    for (int i = 0; i < zones * perZone; ++i) {
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

  void run(Duration length)
  {
    for (const Time end = now + length; now < end; now = now + 100ms) {
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
  std::function<bool(std::size_t, std::size_t)> passes = [](std::size_t, std::size_t) {
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
          if (down.contains(from) || down.contains(target) || !passes(from, target)) {
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

// Guards against a dead VM that stays in use, and against VMs that disagree about it.
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

// Guards against a restarted VM that is refused because its earlier start was declared dead, and
// against late messages of the earlier start that replace the newer one.
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
  Heartbeat late;
  late.self = { fleet.id(2), ZoneId("z0"), Incarnation{ 1 }, 9, MemberState::alive };
  fleet.vm(1).receive(fleet.now, fleet.id(2), late);
  CHECK(fleet.vm(1).members()[2].incarnation == Incarnation{ 2 });
}

// Guards against a live VM that is declared dead because of a few lost heartbeats.
TEST_CASE("Membership_falseSuspicion_isRefuted")
{
  Fleet fleet(1, 5);
  fleet.run(2s);
  Heartbeat rumour;
  rumour.self = { fleet.id(1), ZoneId("z0"), Incarnation{ 1 }, 0, MemberState::alive };
  rumour.updates = { { fleet.id(4), ZoneId("z0"), Incarnation{ 1 }, 0, MemberState::suspect } };
  fleet.vm(0).receive(fleet.now, fleet.id(1), rumour);
  CHECK(fleet.stateOf(0, 4) == MemberState::suspect);
  fleet.run(6s);
  for (std::size_t i = 0; i < 5; ++i) {
    CHECK(fleet.stateOf(i, 4) == MemberState::alive);
  }
}

// Guards against halves of a zone, or zones, that never find each other again after a partition.
TEST_CASE("Membership_partitionHeals_viewsMeetAgain")
{
  Fleet fleet(2, 4);
  fleet.run(2s);
  fleet.passes = [](std::size_t a, std::size_t b) { return a % 2 == b % 2; };
  fleet.run(30s);
  CHECK(fleet.vm(0).live().size() == 4);
  fleet.passes = [](std::size_t a, std::size_t b) { return (a < 4) == (b < 4); };
  fleet.run(30s);
  fleet.passes = [](std::size_t, std::size_t) { return true; };
  fleet.run(20s);
  for (std::size_t i = 0; i < 8; ++i) {
    CHECK(fleet.vm(i).live().size() == 8);
  }
}

// Guards against links from each VM to each other VM, and against a cost above the 4 KB/s of
// section 1 at the design size. 90 bytes stand for the envelope with its HMAC.
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
  const double sent = static_cast<double>(fleet.bytes + 90 * fleet.messages) / 420 / 10;
  MESSAGE("membership, sent bytes per node and second at 420 nodes: " << sent);
  CHECK(sent < 1000);
  CHECK(fleet.vm(7).live().size() == 420);
  // A rack of ten VMs fails at once, relays and inner VMs of the tree among them.
  for (std::size_t i = 0; i < 10; ++i) {
    fleet.down.insert(i);
  }
  fleet.bytes = 0;
  fleet.messages = 0;
  fleet.run(30s);
  const double during = static_cast<double>(fleet.bytes + 90 * fleet.messages) / 410 / 30;
  MESSAGE("the same while ten VMs fail at once: " << during);
  std::size_t agreed = 0;
  for (std::size_t i = 10; i < 420; ++i) {
    agreed += fleet.vm(i).live().size() == 410 ? 1 : 0;
  }
  CHECK(agreed == 410);
}
