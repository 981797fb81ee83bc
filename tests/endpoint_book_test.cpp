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

Announcement announcementOf(const std::string& id, std::int64_t startedAtMs, std::uint64_t sequence)
{
  Announcement announcement;
  announcement.id = EndpointId(id);
  announcement.service = ServiceName("chat");
  announcement.address = "10.0.0.1:80";
  announcement.zone = ZoneId("z1");
  announcement.slots = 4;
  announcement.sequence = sequence;
  announcement.startedAtMs = startedAtMs;
  return announcement;
}

/** A registry with endpoint "a" of incarnation 100, sequence 5. */
struct Registry
{
  Registry() { CHECK(put(announcementA)); }

  template<typename Command>
  bool apply(const Command& command)
  {
    endpointStore.forget(now);
    return endpointStore.apply(++index, now, command);
  }

  bool put(const Announcement& announcement) { return apply(PutEndpoint{ announcement }); }

  bool has(const std::string& id) const { return endpointStore.find(EndpointId(id)) != nullptr; }

  EndpointStore endpointStore;
  Announcement announcementA = announcementOf("a", 100, 5);
  std::uint64_t index = 0;
  Time now{ 1'000'000'000 };
};

} // namespace

// Guards against a delayed announcement that reverts a later one.
TEST_CASE_FIXTURE(Registry, "Put_lowerSequenceOrEarlierStart_changesNothing")
{
  announcementA.sequence = 4;
  announcementA.state = EndpointState::draining;
  CHECK_FALSE(put(announcementA));
  announcementA.startedAtMs = 99;
  announcementA.sequence = 50;
  CHECK_FALSE(put(announcementA));
  announcementA.startedAtMs = 101;
  announcementA.sequence = 1;
  CHECK(put(announcementA));
  CHECK(endpointStore.find(announcementA.id)->state == EndpointState::draining);
  CHECK(endpointStore.find(announcementA.id)->revision == index);
}

// Guards against a log entry for every announcement, and against ordering that ignores
// announcements without a change.
TEST_CASE_FIXTURE(Registry, "Put_sameContent_isUnchangedButAdvancesSequence")
{
  announcementA.sequence = 9;
  CHECK(endpointStore.classify(announcementA) == AnnouncementEffect::unchanged);
  CHECK_FALSE(put(announcementA));
  CHECK(endpointStore.revision() == 1);
  announcementA.sequence = 7;
  announcementA.slots = 8;
  CHECK(endpointStore.classify(announcementA) == AnnouncementEffect::outdated);
}

// Guards against a log entry for each step of a warm-up.
TEST_CASE_FIXTURE(Registry, "Put_decreasingWarmup_changesOnlyAtItsEnd")
{
  announcementA.sequence = 6;
  announcementA.warmupMs = 3000;
  CHECK(put(announcementA));
  announcementA.warmupMs = 2000;
  CHECK(endpointStore.classify(announcementA) == AnnouncementEffect::unchanged);
  announcementA.warmupMs = 0;
  CHECK(endpointStore.classify(announcementA) == AnnouncementEffect::modifies);
}

// Guards against a late announcement that registers a removed endpoint again.
TEST_CASE_FIXTURE(Registry, "Remove_sameIncarnation_staysRemovedFor60Seconds")
{
  CHECK_FALSE(apply(RemoveEndpoint{ announcementA.id, 99, 9 }));
  CHECK(apply(RemoveEndpoint{ announcementA.id, 100, 6 }));
  CHECK(endpointStore.isRemoved(announcementA.id, 100));
  announcementA.sequence = 9;
  CHECK_FALSE(put(announcementA));
  now = now + EndpointStore::kTombstoneRetention - Duration(1);
  CHECK_FALSE(put(announcementA));
  auto laterAnnouncement = announcementOf("a", 200, 1);
  CHECK(endpointStore.classify(laterAnnouncement) == AnnouncementEffect::modifies);
  now = now + Duration(1);
  CHECK(put(announcementA));
}

// Guards against an acknowledged removal without effect, because the control process that received
// it had not applied the last announcement yet.
TEST_CASE_FIXTURE(Registry, "Remove_fromOlderCopyOfTheRegistry_removesTheEndpoint")
{
  const EndpointStore withoutRecord;
  EndpointStore olderCopy;
  CHECK(olderCopy.apply(1, now, PutEndpoint{ announcementOf("a", 100, 4) }));
  for (const auto* copy : { &withoutRecord, static_cast<const EndpointStore*>(&olderCopy) }) {
    Registry registry;
    CHECK(registry.apply(copy->removalOf(announcementA.id)));
    CHECK_FALSE(registry.has("a"));
    CHECK(registry.endpointStore.isRemoved(announcementA.id, 100));
    CHECK_FALSE(registry.put(announcementOf("a", 100, 9)));
    CHECK(registry.put(announcementOf("a", 101, 1)));
  }
}

// Guards against ignoring a removal that arrives before the first announcement.
TEST_CASE_FIXTURE(Registry, "Remove_unknownEndpoint_blocksItsLateAnnouncement")
{
  CHECK_FALSE(apply(RemoveEndpoint{ EndpointId("b"), 100, 3 }));
  CHECK(endpointStore.revision() == 1);
  auto announcementB = announcementOf("b", 100, 2);
  announcementB.address = "10.0.0.2:80";
  CHECK_FALSE(put(announcementB));
  announcementB.startedAtMs = 101;
  CHECK(put(announcementB));
}

// Guards against an endpoint that stays unregistered after a partition, and against a delayed
// announcement that registers an expired endpoint again.
TEST_CASE_FIXTURE(Registry, "Expire_laterAnnouncement_registersTheIncarnationAgain")
{
  CHECK_FALSE(apply(ExpireEndpoint{ announcementA.id, 99, 9 }));
  CHECK_FALSE(apply(ExpireEndpoint{ announcementA.id, 100, 4 }));
  CHECK(apply(ExpireEndpoint{ announcementA.id, 100, 8 }));
  announcementA.sequence = 8;
  CHECK_FALSE(put(announcementA));
  announcementA.sequence = 9;
  CHECK(put(announcementA));
}

// Guards against two records with one address, which would send requests to the wrong endpoint, and
// against a late announcement that takes the address back.
TEST_CASE_FIXTURE(Registry, "Put_reusedAddress_belongsToTheLatestStarted")
{
  const auto announcementB = announcementOf("b", 200, 1);
  CHECK(put(announcementB));
  CHECK_FALSE(has("a"));
  announcementA.sequence = 20;
  CHECK_FALSE(put(announcementA));
  CHECK(apply(RemoveEndpoint{ announcementB.id, 200, 2 }));
  CHECK_FALSE(put(announcementA));
  announcementA.address = "10.0.0.2:80";
  CHECK(put(announcementA));
  CHECK(put(announcementOf("c", 50, 1)));
  CHECK(has("a"));
}

// Guards against partial changes that miss a removal.
TEST_CASE_FIXTURE(Registry, "ChangesSince_forgottenRemoval_returnsAllRecords")
{
  auto announcementB = announcementOf("b", 200, 1);
  announcementB.address = "10.0.0.2:80";
  CHECK(put(announcementB));
  CHECK(apply(RemoveEndpoint{ announcementA.id, 100, 6 }));
  auto changes = endpointStore.changesSince(1);
  CHECK_FALSE(changes.complete);
  CHECK(changes.removed == std::vector{ announcementA.id });
  CHECK(changes.endpoints.size() == 1);
  CHECK(endpointStore.changesSince(3).removed.empty());
  now = now + EndpointStore::kTombstoneRetention;
  endpointStore.forget(now);
  changes = endpointStore.changesSince(2);
  CHECK(changes.complete);
  CHECK(changes.removed.empty());
  CHECK(changes.endpoints == endpointStore.records());
  CHECK_FALSE(endpointStore.changesSince(3).complete);
}

// Guards against fleet state that is missing in a snapshot, a version that decreases, and a
// reference that restore() invalidates.
TEST_CASE("ControlState_fleetCommands_arePreservedBySnapshot")
{
  ledger::ControlState state;
  const Time now{ 1'000'000'000 };
  const auto version = [&](std::uint64_t index, std::uint64_t put, const std::string& bytes) {
    const ledger::PutConfiguration command{ put, bytes, {} };
    return std::get<ledger::ConfigurationResult>(state.apply(index, now, command)).version;
  };
  CHECK(version(1, 7, "seven") == 7);
  CHECK(version(2, 6, "six") == 7);
  const auto announcement = announcementOf("a", 100, 5);
  CHECK(std::get<ledger::EndpointResult>(state.apply(3, now, PutEndpoint{ announcement })).changed);
  const auto removedEndpoint = announcementOf("gone", 50, 5);
  state.apply(4, now, RemoveEndpoint{ removedEndpoint.id, removedEndpoint.startedAtMs, 6 });

  ledger::ControlState replica;
  const auto& fleet = replica.fleet();
  REQUIRE(replica.restore(state.snapshot()).has_value());
  CHECK(replica.snapshot() == state.snapshot());
  CHECK(&fleet == &replica.fleet());
  CHECK(fleet.configuration.version() == 7);
  CHECK(*fleet.configuration.bytes() == "seven");
  CHECK(fleet.endpoints.revision() == 3);
  CHECK(fleet.endpoints.classify(removedEndpoint) == AnnouncementEffect::outdated);
  const auto successor = announcementOf("heir", 200, 1);
  CHECK(std::get<ledger::EndpointResult>(replica.apply(5, now, PutEndpoint{ successor })).changed);
  CHECK(fleet.endpoints.find(announcement.id) == nullptr);
}

namespace {

/** Endpoints that start, change, shut down and crash, while their announcements are lost,
   duplicated and delayed. The expected state is tracked separately and shares no code with the
   registry. */
struct RegistrySimulation
{
  explicit RegistrySimulation(std::uint64_t seed)
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
      const auto maxDelayMs = random.chance(0.2) ? 20'000 : 300;
      inTransit.emplace(now + std::chrono::milliseconds(random.between(0, maxDelayMs)), message);
    }
  }

  void announce(Announcement& endpoint)
  {
    ++endpoint.sequence;
    send({ endpoint, false });
  }

  void start()
  {
    auto endpoint = announcementOf("e" + std::to_string(random.below(8)), ++lastStartMs, 0);
    endpoint.address = "10.0.0." + std::to_string(random.below(6)) + ":80";
    endpoint.slots = static_cast<int>(random.between(1, 9));
    const auto sameAddress = [&](const auto& item) {
      return item.second.address == endpoint.address;
    };
    if (liveEndpoints.contains(endpoint.id) ||
        std::any_of(liveEndpoints.begin(), liveEndpoints.end(), sameAddress)) {
      return;
    }
    announce(liveEndpoints[endpoint.id] = endpoint);
  }

  void doRandomAction()
  {
    const auto roll = random.below(100);
    if (roll < 10 || liveEndpoints.empty()) {
      start();
      return;
    }
    auto endpointEntry = std::next(liveEndpoints.begin(),
                                   static_cast<std::ptrdiff_t>(random.below(liveEndpoints.size())));
    auto& endpoint = endpointEntry->second;
    if (roll < 13) {
      liveEndpoints.erase(endpointEntry);
    } else if (roll < 16) {
      ++endpoint.sequence;
      send({ endpoint, true });
      liveEndpoints.erase(endpointEntry);
    } else {
      if (roll < 25) {
        endpoint.slots = static_cast<int>(random.between(1, 9));
      } else if (roll < 28) {
        endpoint.state = EndpointState::draining;
      }
      announce(endpoint);
    }
  }

  void expireRandomEndpoint()
  {
    const auto records = endpointStore.records();
    if (!records.empty()) {
      const auto& record = records[random.below(records.size())];
      apply(ExpireEndpoint{ record.id, record.startedAtMs, endpointStore.sequenceOf(record.id) });
    }
  }

  template<typename Command>
  void apply(const Command& command)
  {
    const auto recordsBefore = endpointStore.records();
    endpointStore.forget(now);
    replica.forget(now);
    const bool changed = endpointStore.apply(++index, now, command);
    REQUIRE(replica.apply(index, now, command) == changed);
    check(recordsBefore, changed);
  }

  void deliver(const Message& message)
  {
    const auto& announcement = message.announcement;
    if (!message.removal) {
      apply(PutEndpoint{ announcement });
      return;
    }
    apply(RemoveEndpoint{ announcement.id, announcement.startedAtMs, announcement.sequence });
    removedAt.emplace(std::pair(announcement.id, announcement.startedAtMs), now);
  }

  void check(const std::vector<EndpointRecord>& recordsBefore, bool changed)
  {
    const auto records = endpointStore.records();
    REQUIRE(changed == (records != recordsBefore));
    std::map<std::string, const EndpointRecord*> recordByAddress;
    for (const auto& record : records) {
      REQUIRE(recordByAddress.emplace(record.address, &record).second);
      const auto removal = removedAt.find({ record.id, record.startedAtMs });
      REQUIRE((removal == removedAt.end() ||
               now - removal->second >= EndpointStore::kTombstoneRetention));
    }
    for (const auto& previous : recordsBefore) {
      if (const auto* record = endpointStore.find(previous.id)) {
        REQUIRE(std::pair(record->startedAtMs, record->sequence) >=
                std::pair(previous.startedAtMs, previous.sequence));
      }
      if (const auto entry = recordByAddress.find(previous.address);
          entry != recordByAddress.end()) {
        REQUIRE(entry->second->startedAtMs >= previous.startedAtMs);
      }
    }
  }

  void updateSubscriber()
  {
    const auto changes = endpointStore.changesSince(subscriberRevision);
    if (changes.complete) {
      subscriberRecords.clear();
    }
    for (const auto& id : changes.removed) {
      subscriberRecords.erase(id);
    }
    for (const auto& record : changes.endpoints) {
      subscriberRecords[record.id] = record;
    }
    subscriberRevision = changes.revision;
    std::vector<EndpointRecord> records;
    for (const auto& [id, record] : subscriberRecords) {
      records.push_back(record);
    }
    REQUIRE(records == endpointStore.records());
  }

  void step()
  {
    now = now + std::chrono::milliseconds(random.between(1, 400));
    doRandomAction();
    while (!inTransit.empty() && inTransit.begin()->first <= now) {
      deliver(inTransit.extract(inTransit.begin()).mapped());
    }
    if (random.chance(0.02)) {
      expireRandomEndpoint();
    }
    if (random.chance(0.05)) {
      updateSubscriber();
    }
    if (random.chance(0.01)) {
      replica = wire::decode<EndpointStore>(wire::encode(endpointStore)).value();
      replica.rebuildIndex();
    }
  }

  /** Delivers all messages in transit, expires the endpoints that crashed and lets each live
      endpoint announce itself. */
  void deliverAll()
  {
    for (const auto& [arrivalTime, message] : inTransit) {
      now = std::max(now, arrivalTime);
      deliver(message);
    }
    for (const auto& record : endpointStore.records()) {
      const auto liveEndpoint = liveEndpoints.find(record.id);
      if (liveEndpoint == liveEndpoints.end() ||
          liveEndpoint->second.startedAtMs != record.startedAtMs) {
        apply(ExpireEndpoint{ record.id, record.startedAtMs, endpointStore.sequenceOf(record.id) });
      }
    }
    for (auto& [id, endpoint] : liveEndpoints) {
      ++endpoint.sequence;
      deliver({ endpoint, false });
    }
    updateSubscriber();
  }

  Random random;
  Time now{ 1'000'000'000 };
  std::int64_t lastStartMs = 0;
  std::uint64_t index = 0;
  EndpointStore endpointStore;
  /** Applies the same commands and is sometimes replaced by a decoded snapshot of the registry. */
  EndpointStore replica;
  std::map<EndpointId, Announcement> liveEndpoints;
  std::multimap<Time, Message> inTransit;
  std::map<std::pair<EndpointId, std::int64_t>, Time> removedAt;
  std::map<EndpointId, EndpointRecord> subscriberRecords;
  std::uint64_t subscriberRevision = 0;
};

} // namespace

// Guards against any order of delayed, duplicated, replaced and removed announcements after which
// the registry differs from the live endpoints, or two replicas differ from each other.
TEST_CASE("Registry_randomAnnouncements_convergesToTheLiveEndpoints")
{
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    RegistrySimulation simulation(seed);
    for (int i = 0; i < 1500; ++i) {
      simulation.step();
    }
    simulation.deliverAll();
    REQUIRE(simulation.endpointStore.size() == simulation.liveEndpoints.size());
    for (const auto& [id, endpoint] : simulation.liveEndpoints) {
      const auto* record = simulation.endpointStore.find(id);
      REQUIRE(record != nullptr);
      CHECK(record->startedAtMs == endpoint.startedAtMs);
      CHECK(record->address == endpoint.address);
      CHECK(record->slots == endpoint.slots);
      CHECK(record->state == endpoint.state);
    }
    CHECK(wire::encode(simulation.replica) == wire::encode(simulation.endpointStore));
  }
}
