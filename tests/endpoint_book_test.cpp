#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "fleet/fleet.h"
#include "ledger/ledger.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <set>

using namespace figchute;
using namespace figchute::fleet;

namespace {

Announcement announcementOf(const std::string& id, std::int64_t born, std::uint64_t sequence)
{
  Announcement announcement;
  announcement.id = EndpointId(id);
  announcement.service = ServiceName("chat");
  announcement.address = "10.0.0.1:80";
  announcement.zone = ZoneId("z1");
  announcement.slots = 4;
  announcement.sequence = sequence;
  announcement.startedAtMs = born;
  return announcement;
}

/** A registry with endpoint "a" of incarnation 100, sequence 5. */
struct Registry
{
  Registry() { CHECK(put(a)); }

  template<typename Command>
  bool apply(const Command& command)
  {
    book.forget(now);
    return book.apply(++index, now, command);
  }

  bool put(const Announcement& announcement) { return apply(PutEndpoint{ announcement }); }

  bool has(const std::string& id) const { return book.find(EndpointId(id)) != nullptr; }

  EndpointBook book;
  Announcement a = announcementOf("a", 100, 5);
  std::uint64_t index = 0;
  Time now{ 1'000'000'000 };
};

} // namespace

// Guards against a delayed announcement that takes back a later one.
TEST_CASE_FIXTURE(Registry, "Put_lowerSequenceOrOlderBorn_changesNothing")
{
  a.sequence = 4;
  a.state = EndpointState::draining;
  CHECK_FALSE(put(a));
  a.startedAtMs = 99;
  a.sequence = 50;
  CHECK_FALSE(put(a));
  a.startedAtMs = 101;
  a.sequence = 1;
  CHECK(put(a));
  CHECK(book.find(a.id)->state == EndpointState::draining);
  CHECK(book.find(a.id)->revision == index);
}

// Guards against a log entry for each announcement, and against an order that forgets the ones that
// changed nothing.
TEST_CASE_FIXTURE(Registry, "Put_sameContent_isUnchangedButOrdersLaterOnes")
{
  a.sequence = 9;
  CHECK(book.judge(a) == AnnouncementVerdict::unchanged);
  CHECK_FALSE(put(a));
  CHECK(book.revision() == 1);
  a.sequence = 7;
  a.slots = 8;
  CHECK(book.judge(a) == AnnouncementVerdict::outdated);
}

// Guards against a log entry for each step of a warm-up.
TEST_CASE_FIXTURE(Registry, "Put_fallingWarmup_changesOnlyAtItsEnd")
{
  a.sequence = 6;
  a.warmupMs = 3000;
  CHECK(put(a));
  a.warmupMs = 2000;
  CHECK(book.judge(a) == AnnouncementVerdict::unchanged);
  a.warmupMs = 0;
  CHECK(book.judge(a) == AnnouncementVerdict::changes);
}

// Guards against a late announcement that brings a removed endpoint back.
TEST_CASE_FIXTURE(Registry, "Remove_sameIncarnation_staysAwayFor60Seconds")
{
  CHECK_FALSE(apply(RemoveEndpoint{ a.id, 100, 4 }));
  CHECK(apply(RemoveEndpoint{ a.id, 100, 6 }));
  CHECK(book.isRemoved(a.id, 100));
  a.sequence = 9;
  CHECK_FALSE(put(a));
  now = now + EndpointBook::kTombstoneTime - Duration(1);
  CHECK_FALSE(put(a));
  auto next = announcementOf("a", 200, 1);
  CHECK(book.judge(next) == AnnouncementVerdict::changes);
  now = now + Duration(1);
  CHECK(put(a));
}

// Guards against a removal that overtakes the first announcement and is forgotten.
TEST_CASE_FIXTURE(Registry, "Remove_unknownEndpoint_stopsItsLateAnnouncement")
{
  CHECK_FALSE(apply(RemoveEndpoint{ EndpointId("b"), 100, 3 }));
  CHECK(book.revision() == 1);
  auto b = announcementOf("b", 100, 2);
  b.address = "10.0.0.2:80";
  CHECK_FALSE(put(b));
  b.startedAtMs = 101;
  CHECK(put(b));
}

// Guards against an endpoint that is lost for good after a partition, and against one that a
// delayed announcement brings back.
TEST_CASE_FIXTURE(Registry, "Expire_laterAnnouncement_bringsTheIncarnationBack")
{
  CHECK_FALSE(apply(ExpireEndpoint{ a.id, 99, 9 }));
  CHECK_FALSE(apply(ExpireEndpoint{ a.id, 100, 4 }));
  CHECK(apply(ExpireEndpoint{ a.id, 100, 8 }));
  a.sequence = 8;
  CHECK_FALSE(put(a));
  a.sequence = 9;
  CHECK(put(a));
}

// Guards against work sent to a gone endpoint's address, and against a late announcement that takes
// the address back.
TEST_CASE_FIXTURE(Registry, "Put_reusedAddress_belongsToTheYoungest")
{
  const auto b = announcementOf("b", 200, 1);
  CHECK(put(b));
  CHECK_FALSE(has("a"));
  a.sequence = 20;
  CHECK_FALSE(put(a));
  CHECK(apply(RemoveEndpoint{ b.id, 200, 2 }));
  CHECK_FALSE(put(a));
  a.address = "10.0.0.2:80";
  CHECK(put(a));
  CHECK(put(announcementOf("c", 50, 1)));
  CHECK(has("a"));
}

// Guards against partial answers that miss a removal.
TEST_CASE_FIXTURE(Registry, "ChangesSince_forgottenRemoval_givesAllRecords")
{
  auto b = announcementOf("b", 200, 1);
  b.address = "10.0.0.2:80";
  CHECK(put(b));
  CHECK(apply(RemoveEndpoint{ a.id, 100, 6 }));
  auto changes = book.changesSince(1);
  CHECK_FALSE(changes.whole);
  CHECK(changes.removed == std::vector{ a.id });
  CHECK(changes.endpoints.size() == 1);
  CHECK(book.changesSince(3).removed.empty());
  now = now + EndpointBook::kTombstoneTime;
  book.forget(now);
  changes = book.changesSince(2);
  CHECK(changes.whole);
  CHECK(changes.removed.empty());
  CHECK(changes.endpoints == book.records());
  CHECK_FALSE(book.changesSince(3).whole);
}

// Guards against fleet state that a snapshot loses, a version that reverts, and a reference that
// restore() invalidates.
TEST_CASE("ControlState_fleetCommands_surviveASnapshot")
{
  ledger::ControlState state;
  const Time now{ 1'000'000'000 };
  const auto version = [&](std::uint64_t index, std::uint64_t put, const std::string& bytes) {
    const ledger::PutConfiguration command{ put, bytes, {} };
    return std::get<ledger::ConfigurationResult>(state.apply(index, now, command)).version;
  };
  CHECK(version(1, 7, "seven") == 7);
  CHECK(version(2, 6, "six") == 7);
  const auto a = announcementOf("a", 100, 5);
  CHECK(std::get<ledger::EndpointResult>(state.apply(3, now, PutEndpoint{ a })).changed);
  const auto gone = announcementOf("gone", 50, 5);
  state.apply(4, now, RemoveEndpoint{ gone.id, gone.startedAtMs, 6 });

  ledger::ControlState copy;
  const auto& fleet = copy.fleet();
  REQUIRE(copy.restore(state.snapshot()).has_value());
  CHECK(copy.snapshot() == state.snapshot());
  CHECK(&fleet == &copy.fleet());
  CHECK(fleet.configuration.version() == 7);
  CHECK(*fleet.configuration.bytes() == "seven");
  CHECK(fleet.endpoints.revision() == 3);
  CHECK(fleet.endpoints.judge(gone) == AnnouncementVerdict::outdated);
  const auto heir = announcementOf("heir", 200, 1);
  CHECK(std::get<ledger::EndpointResult>(copy.apply(5, now, PutEndpoint{ heir })).changed);
  CHECK(fleet.endpoints.find(a.id) == nullptr);
}

namespace {

/** Endpoints that start, change, leave and die, whose announcements are lost, repeated and delayed.
    The tally knows the living ones and what was removed; it shares no code with the registry. */
struct World
{
  explicit World(std::uint64_t seed)
    : random(seed)
  {
  }

  struct Message
  {
    Announcement announcement;
    bool removal = false;
  };

  void send(const Message& message)
  {
    if (random.chance(0.1)) {
      return;
    }
    const int copies = random.chance(0.2) ? 2 : 1;
    for (int i = 0; i < copies; ++i) {
      const auto slow = random.chance(0.2) ? 20'000 : 300;
      transit.emplace(now + std::chrono::milliseconds(random.between(0, slow)), message);
    }
  }

  void announce(Announcement& endpoint)
  {
    ++endpoint.sequence;
    send({ endpoint, false });
  }

  void start()
  {
    auto endpoint = announcementOf("e" + std::to_string(random.below(8)), ++clock, 0);
    endpoint.address = "10.0.0." + std::to_string(random.below(6)) + ":80";
    endpoint.slots = static_cast<int>(random.between(1, 9));
    const auto taken = [&](const auto& item) { return item.second.address == endpoint.address; };
    if (living.contains(endpoint.id) || std::any_of(living.begin(), living.end(), taken)) {
      return;
    }
    announce(living[endpoint.id] = endpoint);
  }

  void act()
  {
    const auto dice = random.below(100);
    if (dice < 10 || living.empty()) {
      start();
      return;
    }
    auto at = std::next(living.begin(), static_cast<std::ptrdiff_t>(random.below(living.size())));
    auto& endpoint = at->second;
    if (dice < 13) {
      living.erase(at);
    } else if (dice < 16) {
      ++endpoint.sequence;
      send({ endpoint, true });
      living.erase(at);
    } else {
      if (dice < 25) {
        endpoint.slots = static_cast<int>(random.between(1, 9));
      } else if (dice < 28) {
        endpoint.state = EndpointState::draining;
      }
      announce(endpoint);
    }
  }

  void expireOne()
  {
    const auto records = book.records();
    if (!records.empty()) {
      const auto& record = records[random.below(records.size())];
      apply(ExpireEndpoint{ record.id, record.startedAtMs, book.sequenceOf(record.id) });
    }
  }

  template<typename Command>
  void apply(const Command& command)
  {
    const auto before = book.records();
    book.forget(now);
    copy.forget(now);
    const bool changed = book.apply(++index, now, command);
    REQUIRE(copy.apply(index, now, command) == changed);
    check(before, changed);
  }

  void deliver(const Message& message)
  {
    const auto& a = message.announcement;
    if (!message.removal) {
      apply(PutEndpoint{ a });
      return;
    }
    apply(RemoveEndpoint{ a.id, a.startedAtMs, a.sequence });
    removed.emplace(std::pair(a.id, a.startedAtMs), now);
  }

  void check(const std::vector<EndpointRecord>& before, bool changed)
  {
    const auto records = book.records();
    REQUIRE(changed == (records != before));
    std::map<std::string, const EndpointRecord*> places;
    for (const auto& record : records) {
      REQUIRE(places.emplace(record.address, &record).second);
      const auto gone = removed.find({ record.id, record.startedAtMs });
      REQUIRE((gone == removed.end() || now - gone->second >= EndpointBook::kTombstoneTime));
    }
    for (const auto& old : before) {
      if (const auto* record = book.find(old.id)) {
        REQUIRE(std::pair(record->startedAtMs, record->sequence) >=
                std::pair(old.startedAtMs, old.sequence));
      }
      if (const auto place = places.find(old.address); place != places.end()) {
        REQUIRE(place->second->startedAtMs >= old.startedAtMs);
      }
    }
  }

  void follow()
  {
    const auto changes = book.changesSince(followedRevision);
    if (changes.whole) {
      followed.clear();
    }
    for (const auto& id : changes.removed) {
      followed.erase(id);
    }
    for (const auto& record : changes.endpoints) {
      followed[record.id] = record;
    }
    followedRevision = changes.revision;
    std::vector<EndpointRecord> records;
    for (const auto& [id, record] : followed) {
      records.push_back(record);
    }
    REQUIRE(records == book.records());
  }

  void step()
  {
    now = now + std::chrono::milliseconds(random.between(1, 400));
    act();
    while (!transit.empty() && transit.begin()->first <= now) {
      deliver(transit.extract(transit.begin()).mapped());
    }
    if (random.chance(0.02)) {
      expireOne();
    }
    if (random.chance(0.05)) {
      follow();
    }
    if (random.chance(0.01)) {
      copy = wire::decode<EndpointBook>(wire::encode(book)).value();
      copy.rebuildIndex();
    }
  }

  /** Delivers what is in transit, expires the dead and lets each living endpoint announce itself.
   */
  void settle()
  {
    for (const auto& [at, message] : transit) {
      now = std::max(now, at);
      deliver(message);
    }
    for (const auto& record : book.records()) {
      const auto found = living.find(record.id);
      if (found == living.end() || found->second.startedAtMs != record.startedAtMs) {
        apply(ExpireEndpoint{ record.id, record.startedAtMs, book.sequenceOf(record.id) });
      }
    }
    for (auto& [id, endpoint] : living) {
      ++endpoint.sequence;
      deliver({ endpoint, false });
    }
    follow();
  }

  Random random;
  Time now{ 1'000'000'000 };
  std::int64_t clock = 0;
  std::uint64_t index = 0;
  EndpointBook book;
  /** Applies the same commands, at times after a snapshot. */
  EndpointBook copy;
  std::map<EndpointId, Announcement> living;
  std::multimap<Time, Message> transit;
  std::map<std::pair<EndpointId, std::int64_t>, Time> removed;
  std::map<EndpointId, EndpointRecord> followed;
  std::uint64_t followedRevision = 0;
};

} // namespace

// Guards against any order of old, repeated, replaced and removed announcements that ends with a
// registry other than the living endpoints, or with two replicas that differ.
TEST_CASE("Registry_randomAnnouncements_endsWithTheLivingEndpoints")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    World world(seed);
    for (int i = 0; i < 1500; ++i) {
      world.step();
    }
    world.settle();
    REQUIRE(world.book.size() == world.living.size());
    for (const auto& [id, endpoint] : world.living) {
      const auto* record = world.book.find(id);
      REQUIRE(record != nullptr);
      CHECK(record->startedAtMs == endpoint.startedAtMs);
      CHECK(record->address == endpoint.address);
      CHECK(record->slots == endpoint.slots);
      CHECK(record->state == endpoint.state);
    }
    CHECK(wire::encode(world.copy) == wire::encode(world.book));
  }
}
