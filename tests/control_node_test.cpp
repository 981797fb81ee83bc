#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ControlCluster.h"
#include "ThreadTime.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <unistd.h>

using namespace figchute;
using namespace figchute::control;
using namespace std::chrono_literals;

namespace {

using Names = std::vector<std::string>;

const Names kSeeds = { "a", "b", "c" };

/** A group of control processes that has formed and accepts commands. Its destructor checks that
    the cluster found no violation. */
struct ReadyCluster : ControlCluster
{
  explicit ReadyCluster(const Names& names = kSeeds, std::uint64_t seed = 1)
    : ControlCluster(seed)
  {
    startAll(names, kSeeds);
    REQUIRE(waitUntilStable());
    REQUIRE(canCommit("a"));
  }

  ~ReadyCluster() { CHECK(violationReport() == ""); }

  ReadyCluster(const ReadyCluster&) = delete;
  ReadyCluster& operator=(const ReadyCluster&) = delete;

  std::string follower()
  {
    const auto leaderName = leader();
    for (const auto& name : names()) {
      if (name != leaderName) {
        return name;
      }
    }
    return {};
  }

  void checkStable()
  {
    CHECK(waitUntilStable());
    CHECK(canCommit(names().front()));
    run(500ms);
    checkAllProcesses();
  }
};

struct ReadyFourNodeCluster : ReadyCluster
{
  ReadyFourNodeCluster()
    : ReadyCluster({ "a", "b", "c", "d" })
  {
  }
};

/** Runs random faults, writes and reads, then ends all faults and checks that the group recovers.
    @returns the violations, one per line; empty when there are none */
std::string runRandomFaults(std::uint64_t seed, int rounds, bool ignoreSync = false)
{
  ControlCluster cluster(seed);
  cluster.ignoreSync = ignoreSync;
  auto& random = cluster.random();
  const int count = static_cast<int>(random.between(3, 5));
  Names names = { "a", "b", "c", "d", "e" };
  names.resize(static_cast<std::size_t>(count));
  cluster.startAll(names, kSeeds);
  if (!cluster.waitUntilStable(20s)) {
    return fmt::format("seed {}: the group did not form", seed);
  }
  char nextName = 'f';
  std::uint64_t diskLosses = 0;
  for (int round = 0; round < rounds; ++round) {
    const auto allNames = cluster.names();
    const auto& target = allNames[random.below(allNames.size())];
    const auto& peer = allNames[random.below(allNames.size())];
    switch (random.below(12)) {
      case 0:
        cluster.blockLink(target, peer);
        break;
      case 1:
        cluster.isolate(target);
        break;
      case 2: {
        const std::string leaderName = cluster.leader();
        for (const auto& name : allNames) {
          if (!leaderName.empty()) {
            random.chance(0.5) ? cluster.blockLink(leaderName, name)
                               : cluster.blockLink(name, leaderName);
          }
        }
        break;
      }
      case 3:
        cluster.pause(target, Duration(random.between(300'000, 6'000'000)));
        break;
      case 4:
        cluster.restart(target);
        break;
      case 5:
        for (const auto& name : allNames) {
          cluster.losePower(name);
        }
        for (const auto& name : allNames) {
          cluster.restart(name);
        }
        break;
      case 6:
        cluster.processes[target].disk->failAfterOperations(random.below(20));
        break;
      case 7:
        cluster.messageLossProbability = random.unit() * 0.2;
        break;
      case 8:
      case 9: {
        // The log tolerates the loss of one disk only while all other members have their disks and
        // are up to date, so the run waits for that first.
        for (const auto& name : allNames) {
          cluster.processes[name].disk->clearFailure();
        }
        cluster.unblockLinks();
        cluster.messageLossProbability = 0;
        if (!cluster.waitUntilStable(40s)) {
          cluster.violations.push_back(fmt::format("seed {} step {}: the group did not recover\n{}",
                                                   seed,
                                                   cluster.steps,
                                                   cluster.describe()));
          return cluster.violationReport();
        }
        if (ignoreSync) {
          break;
        }
        ++diskLosses;
        if (random.chance(0.5)) {
          cluster.processes[target].seeds = cluster.names();
          cluster.restart(target, true);
        } else {
          const std::string removedName = target;
          cluster.remove(removedName);
          const std::string newName(1, nextName++);
          cluster.start(newName, cluster.names());
        }
        break;
      }
      default:
        for (const auto& name : allNames) {
          cluster.processes[name].disk->clearFailure();
        }
        cluster.unblockLinks();
        cluster.messageLossProbability = 0;
        break;
    }
    const auto intervals = random.between(2, 12);
    for (int interval = 0; interval < intervals; ++interval) {
      const auto currentNames = cluster.names();
      for (const auto& name : currentNames) {
        if (random.chance(0.3)) {
          cluster.write(name);
        }
        if (random.chance(0.3)) {
          cluster.read(name);
        }
      }
      cluster.run(Duration(random.between(50'000, 500'000)));
    }
    if (!cluster.violations.empty()) {
      return cluster.violationReport();
    }
  }
  for (const auto& name : cluster.names()) {
    cluster.processes[name].disk->clearFailure();
  }
  cluster.unblockLinks();
  cluster.messageLossProbability = 0;
  if (!cluster.waitUntilStable(40s) || !cluster.canCommit(cluster.names().front())) {
    cluster.violations.push_back(fmt::format(
      "seed {} step {}: the group did not recover\n{}", seed, cluster.steps, cluster.describe()));
  }
  cluster.run(1s);
  cluster.checkAllProcesses();
  if (!ignoreSync && (cluster.acknowledged.empty() || cluster.checkedReads == 0)) {
    cluster.violations.push_back(
      fmt::format("seed {}: no write was acknowledged or no read was checked", seed));
  }
  return cluster.violationReport();
}

} // namespace

// Guards against an overloaded leader that searches all its pending proposals for each one that it
// receives: 20,000 of them took 200 million comparisons.
TEST_CASE("PendingProposals_thousandsPending_areFoundWithinTheProcessorShare")
{
  constexpr std::uint64_t kProposals = 20'000;
  const ProcessId from("10.1.0.1:7300");
  control::PendingProposals proposals;
  const auto before = threadTime();
  for (std::uint64_t i = 1; i <= kProposals; ++i) {
    REQUIRE_FALSE(proposals.contains(from, i));
    proposals.add(i, { from, i, 1 });
  }
  // A second of a leader with 0.15 of a core.
  CHECK(threadTime() - before < std::chrono::milliseconds(150));
  CHECK(proposals.contains(from, kProposals));
  CHECK_FALSE(proposals.contains(ProcessId("other"), kProposals));
}

// Guards against a proposal that counts as pending after its entry was applied, replaced or covered
// by a snapshot, and against one that is forgotten because a copy of it was.
TEST_CASE("PendingProposals_entriesAreRemoved_proposalsAreNotPending")
{
  const ProcessId from("p");
  control::PendingProposals proposals;
  proposals.add(1, { from, 7, 1 });
  proposals.add(2, { from, 7, 2 });
  REQUIRE(proposals.take(1)->term == 1);
  CHECK(proposals.contains(from, 7));
  proposals.add(2, { from, 8, 3 });
  CHECK_FALSE(proposals.contains(from, 7));
  CHECK_FALSE(proposals.take(3).has_value());
  proposals.add(3, { from, 9, 3 });
  proposals.removeUpTo(2);
  CHECK_FALSE(proposals.contains(from, 8));
  CHECK(proposals.contains(from, 9));
  CHECK(proposals.size() == 1);
}

// Guards against a group that forms only when the initial members start together or in a certain
// order.
TEST_CASE("ControlNode_initialMembersStartLateInAnyOrder_formOneGroup")
{
  const std::vector<Names> orders = { { "a", "b", "c" }, { "c", "a", "b" }, { "b", "c", "a" } };
  for (const auto& order : orders) {
    ControlCluster cluster(3);
    for (const auto& name : order) {
      cluster.start(name, kSeeds, true);
      if (name != order.back()) {
        cluster.run(4s);
        CHECK(cluster.leader().empty());
      }
    }
    CHECK(cluster.waitUntilStable(8s));
    CHECK(cluster.canCommit("a"));
    CHECK(cluster.violationReport() == "");
  }
}

// Guards against initial members that can no longer form the group after they restart before the
// first election. The second start is without bootstrap.
TEST_CASE("ControlNode_initialMembersRestartBeforeFirstElection_stillFormGroup")
{
  ControlCluster cluster(4);
  cluster.start("a", kSeeds, true);
  cluster.start("b", kSeeds, true);
  cluster.run(3s);
  cluster.losePower("a");
  cluster.restart("a");
  cluster.restart("b");
  cluster.start("c", kSeeds, true);
  CHECK(cluster.waitUntilStable(8s));
  CHECK(cluster.violationReport() == "");
}

// Guards against an initial member whose disk was lost before the first election and that then
// blocks the formation of the group or forms a second one.
TEST_CASE("ControlNode_initialMemberLosesDiskBeforeFirstElection_oneGroupForms")
{
  for (const bool bootstrap : { false, true }) {
    ControlCluster cluster(5);
    cluster.start("a", kSeeds, true);
    cluster.start("b", kSeeds, true);
    cluster.run(3s);
    cluster.kill("b");
    cluster.start("b", kSeeds, bootstrap, true);
    cluster.start("c", kSeeds, true);
    CHECK(cluster.waitUntilStable());
    CHECK(cluster.canCommit("b"));
    CHECK(cluster.violationReport() == "");
  }
}

// Guards against a process that forms a group although it must not: without bootstrap, when it is
// not among its seeds, or with a data folder that was created without bootstrap.
TEST_CASE("ControlNode_mayNotBootstrap_neverLeads")
{
  ControlCluster cluster;
  cluster.start("a", { "a" }, false);
  cluster.start("b", { "c" }, true);
  cluster.run(5s);
  CHECK(cluster.leader().empty());
  cluster.kill("a");
  cluster.start("a", { "a" }, true);
  cluster.kill("b");
  cluster.start("b", { "b" }, true);
  cluster.run(5s);
  CHECK(cluster.leader().empty());
}

// Guards against processes that are not seeds and never become members, and against learners that
// are never promoted. Two such processes request to join at the same time.
TEST_CASE("ControlNode_twoProcessesJoinAtOnce_bothBecomeVoters")
{
  ControlCluster cluster(6);
  cluster.startAll({ "a", "b", "c", "d", "e" }, kSeeds);
  CHECK(cluster.waitUntilStable());
  CHECK(cluster.canCommit("e"));
  CHECK(cluster.node("a").members().voterCount() == 5);
  CHECK(cluster.violationReport() == "");
}

// Guards against a process that lost its disk and still votes under its old disk id, and against a
// rejected join of that process because the old disk id is still a voter at the same address.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_memberLosesDisk_isAddedAgain")
{
  for (const auto& name : Names{ follower(), leader() }) {
    restart(name, true);
    checkStable();
  }
}

// Guards against a replacement at another address that is not added to the group, and against a
// group that stops when it loses a second member right after the replacement.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_memberReplacedThenSecondLost_staysAvailable")
{
  const std::string firstLost = follower();
  remove(firstLost);
  start("x", kSeeds);
  checkStable();
  const std::string secondLost = leader();
  remove(secondLost);
  CHECK(canCommit("x"));
  start("y", { "x" });
  checkStable();
}

// Guards against a group that does not return to three voters when the replacement of a member is
// added before the member is removed.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_replacementAddedBeforeRemoval_endsWithThreeVoters")
{
  start("x", kSeeds);
  checkStable();
  CHECK(node("x").members().voterCount() == 4);
  remove(leader());
  CHECK(canCommit("x"));
  checkStable();
  CHECK(node("x").members().voterCount() == 3);
}

// Guards against an unreachable voter that stays in a group of four: the group would not tolerate
// the next loss. In a group of three, a lost voter must stay a member.
TEST_CASE_FIXTURE(ReadyFourNodeCluster, "ControlNode_oneOfFourLost_nextLossIsTolerated")
{
  remove(follower());
  run(5s);
  CHECK(node(leader()).members().voterCount() == 3);
  remove(leader());
  CHECK(canCommit(names().front()));
  run(40s);
  CHECK(node(leader()).members().voterCount() == 3);
}

// Guards against the loss of acknowledged commands when all processes lose power at once.
TEST_CASE_FIXTURE(ReadyFourNodeCluster, "ControlNode_powerLossOfAll_keepsAcknowledged")
{
  for (int round = 0; round < 5; ++round) {
    for (int i = 0; i < 10; ++i) {
      write(names()[static_cast<std::size_t>(i) % 4]);
    }
    run(Duration(random().between(1'000, 60'000)));
    for (const auto& name : names()) {
      losePower(name);
    }
    run(300ms);
    for (const auto& name : names()) {
      restart(name);
    }
    checkStable();
  }
}

// Guards against a leader that stays leader while its links work in only one direction.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_leaderLinksBlockedInOneDirection_isReplaced")
{
  for (const bool outward : { true, false }) {
    const std::string oldLeader = leader();
    for (const auto& name : names()) {
      outward ? blockLink(oldLeader, name) : blockLink(name, oldLeader);
    }
    run(4s);
    CHECK(leader() != oldLeader);
    CHECK(canCommit(leader()));
    unblockLinks();
    checkStable();
  }
}

// Guards against a follower that reports contact to the leader although it receives no more
// entries: it receives heartbeats, but its replies are lost.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_followerRepliesLost_hasNoContactUntilCaughtUp")
{
  const std::string name = follower();
  for (const auto& other : names()) {
    blockLink(name, other);
  }
  for (int i = 0; i < 4; ++i) {
    write(leader());
    run(400ms);
  }
  run(1s);
  CHECK(node(name).appliedIndex() < node(leader()).appliedIndex());
  CHECK(node(leader()).hasLeaderContact(now));
  CHECK_FALSE(node(name).hasLeaderContact(now));
  unblockLinks();
  checkStable();
  CHECK(node(name).hasLeaderContact(now));
}

// Guards against acknowledgements without a majority when the group is split into equal halves.
TEST_CASE_FIXTURE(ReadyFourNodeCluster, "ControlNode_splitInHalves_neitherAcknowledges")
{
  blockedLinks = { { "a", "c" }, { "a", "d" }, { "b", "c" }, { "b", "d" },
                   { "c", "a" }, { "d", "a" }, { "c", "b" }, { "d", "b" } };
  run(3s);
  const auto before = acknowledged.size();
  for (int i = 0; i < 8; ++i) {
    for (const auto& name : names()) {
      write(name);
      read(name);
    }
    run(1s);
  }
  CHECK(acknowledged.size() == before);
  CHECK(leader().empty());
  for (const auto& name : names()) {
    CHECK_FALSE(node(name).hasLeaderContact(now));
  }
  unblockLinks();
  checkStable();
}

// Guards against a leader that still acts as leader after its VM was suspended, and against
// acknowledgements by a minority.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_leaderPaused_doesNotAcknowledgeAlone")
{
  const std::string oldLeader = leader();
  isolate(oldLeader);
  pause(oldLeader, 4s);
  run(3s);
  CHECK(canCommit(leader()));
  run(1s);
  const auto before = acknowledged.size();
  CHECK_FALSE(node(oldLeader).isLeader(now));
  write(oldLeader);
  read(oldLeader);
  run(2s);
  CHECK(acknowledged.size() == before);
  CHECK(rejected > 0);
  unblockLinks();
  checkStable();
}

// Guards against a process that ends or takes part in the log while writes to its data folder fail,
// and against an older state after the folder works again.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_storageFails_recoversInSameProcess")
{
  for (const auto& name : Names{ leader(), follower() }) {
    processes[name].disk->failAfterOperations(1);
    const auto otherName = names()[0] == name ? names()[1] : names()[0];
    CHECK(canCommit(otherName));
    run(3s);
    CHECK(node(name).storageError().has_value());
    CHECK_FALSE(node(name).isLeader(now));
    CHECK_FALSE(node(name).hasLeaderContact(now));
    const auto index = node(name).appliedIndex();
    CHECK(node(name).state().revision() > 0);
    CHECK(canCommit(name));
    processes[name].disk->clearFailure();
    run(600ms);
    CHECK(node(name).appliedIndex() >= index);
    CHECK_FALSE(node(name).storageError().has_value());
    checkStable();
  }
}

// Guards against a group that refuses changes for good after the disks of all its members were
// full, one after another.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_disksFillInTurn_commitsAfterwards")
{
  for (std::uint64_t operations = 0; operations < 8; ++operations) {
    CAPTURE(operations);
    for (const auto& name : names()) {
      processes[name].disk->failAfterOperations(operations);
      const auto otherName = names()[0] == name ? names()[1] : names()[0];
      CHECK(canCommit(otherName));
      run(3s);
      processes[name].disk->clearFailure();
    }
    run(2s);
    for (const auto& name : names()) {
      CHECK(canCommit(name));
      CHECK_FALSE(node(name).storageError().has_value());
    }
    checkStable();
  }
}

// Guards against a removed member with an old log that deposes the leader when it returns.
TEST_CASE_FIXTURE(ReadyFourNodeCluster, "ControlNode_removedMemberReturns_leaderStays")
{
  const std::string removedMember = follower();
  isolate(removedMember);
  run(5s);
  const std::string currentLeader = leader();
  CHECK(node(currentLeader).members().find(ProcessId(removedMember)) == nullptr);
  CHECK(canCommit(currentLeader));
  const auto term = node(currentLeader).log()->term();
  unblockLinks();
  checkStable();
  CHECK(node(currentLeader).log()->term() == term);
  CHECK(leader() == currentLeader);
}

// Guards against a group that elects no new leader when its leader is removed, and against a
// removed process that runs but does not join again.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_leaderRemoved_anotherIsElectedAndItRejoins")
{
  const std::string oldLeader = leader();
  bool removed = false;
  node(oldLeader).proposeLocal(
    now,
    ledger::RemoveMember{ ProcessId(oldLeader), node(oldLeader).log()->diskId() },
    1s,
    [&](const auto& result) { removed = result.has_value(); });
  run(400ms);
  CHECK_FALSE(node(oldLeader).isLeader(now));
  CHECK(runUntil([&] { return !leader().empty(); }, 3s));
  CHECK(leader() != oldLeader);
  CHECK(canCommit(leader()));
  checkStable();
  CHECK(removed);
}

// Guards against a linearizable read at a follower that waits for the next heartbeat because the
// result of the barrier arrives before the commit index.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_readAtFollower_isAnsweredWithoutHeartbeat")
{
  const std::string name = follower();
  for (int i = 0; i < 5; ++i) {
    const auto before = checkedReads;
    read(name);
    CHECK(runUntil([&] { return checkedReads > before; }, 80ms));
    run(170ms);
  }
}

// Guards against a delayed join request of a lost disk that removes the member with the new disk.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_delayedJoinOfLostDisk_changesNothing")
{
  const std::string name = follower();
  const auto oldDisk = node(name).log()->diskId();
  const auto oldIncarnation = processes[name].incarnation;
  restart(name, true);
  checkStable();
  const auto term = node(leader()).log()->term();
  isolate(name);
  run(1s);
  const JoinRequest delayedRequest{ ProcessId(name), oldDisk, Incarnation{ oldIncarnation }, true };
  node(leader()).receive(
    now, ProcessId("x"), Incarnation{ 1 }, wire::Channel::join, wire::encode(delayedRequest));
  run(1s);
  CHECK(node(leader()).members().find(ProcessId(name))->id.diskId == node(name).log()->diskId());
  CHECK(node(leader()).log()->term() == term);
  unblockLinks();
  checkStable();
}

// Guards against a join request that gets lost because the only reachable seed is not the leader,
// and against a process that cannot join after its outdated seeds were replaced.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_seedsOutOfDate_joinsThroughOneMember")
{
  start("x", { "gone", follower() });
  checkStable();
  start("y", { "gone", "lost" });
  run(3s);
  CHECK(node("y").members().members.empty());
  node("y").setSeeds({ ProcessId("x") });
  checkStable();
}

// Guards against a log that grows without limit: large entries must trigger a snapshot by bytes,
// which a process that joins then receives.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_largeEntries_areCompacted")
{
  for (int i = 0; i < 8; ++i) {
    ledger::ApplyDocument command;
    command.team = TeamId("large");
    command.baseVersion = static_cast<std::uint64_t>(i);
    command.change = ChangeId(std::to_string(i));
    command.text = std::string(1024UL * 1024, 'x');
    node("a").proposeLocal(now, command, 2s, [](const auto& result) { CHECK(result); });
    processes["a"].tickNeeded = true;
    run(500ms);
  }
  CHECK(node("a").log()->snapshotIndex() > 0);
  start("x", kSeeds);
  checkStable();
}

// Guards against snapshots of a large state that take most of the leader's time: one was taken
// every 4,096 entries, although it was many times as large as these entries.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_stateIsLargerThanTheEntries_takesFewSnapshots")
{
  ledger::ApplyDocument large;
  large.team = TeamId("large");
  large.change = ChangeId("large");
  large.text = std::string(4UL * 1024 * 1024, 'x');
  node("a").proposeLocal(now, large, 2s, [](const auto& result) { CHECK(result); });
  processes["a"].tickNeeded = true;
  run(500ms);
  const auto firstSnapshot = node("a").log()->snapshotIndex();
  REQUIRE(firstSnapshot > 0);
  constexpr int kCommands = 10'000;
  for (int i = 0; i < kCommands; ++i) {
    node("a").proposeLocal(now, ledger::ReadBarrier{}, 2s, [](const auto& /*result*/) {});
    if (i % 100 == 0) {
      processes["a"].tickNeeded = true;
      run(20ms);
    }
  }
  run(500ms);
  REQUIRE(node("a").appliedIndex() >= firstSnapshot + kCommands);
  CHECK(node("a").log()->snapshotIndex() == firstSnapshot);
}

// Guards against a FileDisk that loses the origin, the disk id or the state at a restart.
// Guards against operators that wait behind the proposals of all holders of a large fleet.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_thousandsOfHoldersPropose_operatorIsAnsweredFirst")
{
  constexpr std::uint64_t kHolders = 3000;
  constexpr std::uint64_t kMaxEntriesBefore = 600;
  const auto leaderName = leader();
  const auto before = node(leaderName).appliedIndex();
  for (std::uint64_t holder = 0; holder < kHolders; ++holder) {
    const ledger::Command command = ledger::Outcome{};
    const ledger::Message message = ledger::Propose{ holder + 1, wire::encode(command) };
    node(leaderName)
      .receive(now,
               ProcessId(fmt::format("h{}", holder)),
               Incarnation{ 1 },
               wire::Channel::ledger,
               wire::encode(message));
  }
  std::uint64_t index = 0;
  node(leaderName).proposeLocal(now, ledger::ReadBarrier{}, 900ms, [&index](const auto& result) {
    REQUIRE(result.has_value());
    index = std::get<ledger::BarrierResult>(*result).index;
  });
  REQUIRE(runUntil([&] { return index > 0; }, 1s));
  CHECK(index <= before + kMaxEntriesBefore);
  REQUIRE(runUntil([&] { return node(leaderName).appliedIndex() > before + kHolders; }, 30s));
}

// Guards against a process that handles no message while it applies all that its log contains, as
// after a loss of power: it answered no heartbeat for up to 2 s, and the new leader lost its
// office.
TEST_CASE_FIXTURE(ReadyCluster, "ControlNode_restartsWithManyEntries_appliesThemInSlices")
{
  constexpr int kEntries = 1500;
  constexpr int kMaxEntriesPerTick = 200;
  for (int i = 0; i < kEntries; ++i) {
    write("a");
  }
  run(3s);
  const auto before = node("a").appliedIndex();
  REQUIRE(before >= kEntries);
  for (const auto& name : names()) {
    restart(name);
  }
  auto applied = node("a").appliedIndex();
  std::uint64_t mostPerStep = 0;
  REQUIRE(runUntil(
    [&] {
      const auto now = node("a").appliedIndex();
      mostPerStep = std::max(mostPerStep, now - std::exchange(applied, now));
      return now >= before;
    },
    10s));
  CHECK(mostPerStep > 0);
  CHECK(mostPerStep <= kMaxEntriesPerTick);
  checkStable();
}

TEST_CASE("ControlNode_onFileDisk_keepsIdentityAndState")
{
  const auto folder =
    std::filesystem::temp_directory_path() / fmt::format("control-node-{}", ::getpid());
  ControlNodeSettings settings;
  settings.self = ProcessId("a");
  settings.dataFolder = folder.string();
  settings.seeds = { ProcessId("a") };
  settings.bootstrap = true;
  std::string diskId;
  for (int start = 0; start < 2; ++start) {
    Time now{ 1'000'000 + start * 100'000'000LL };
    ControlNode node(settings, now);
    REQUIRE_FALSE(node.storageError().has_value());
    CHECK((diskId.empty() || diskId == node.log()->diskId()));
    diskId = node.log()->diskId();
    bool done = false;
    std::size_t applied = 0;
    node.onApplied([&] { ++applied; });
    for (int i = 0; i < 400 && !done; ++i) {
      now = now + Duration(10'000);
      node.tick(now);
      if (i == 300) {
        ledger::ApplyDocument command;
        command.team = TeamId(std::to_string(start));
        command.change = ChangeId("1");
        node.proposeLocal(now, command, 1s, [&](const auto& result) { done = result.has_value(); });
      }
    }
    CHECK(done);
    CHECK(applied > 0);
    CHECK(node.state().teams().size() == static_cast<std::size_t>(start) + 1);
    settings.bootstrap = false;
    settings.seed = 2;
  }
  std::filesystem::remove_all(folder);
}

// Guards against violations under combinations of faults: blocked links, pauses, power loss, full
// disks, lost disks and replaced processes. FIGCHUTE_SEED and FIGCHUTE_RUNS choose other runs.
TEST_CASE("ControlNode_randomFaults_causeNoViolation")
{
  const char* seedText = std::getenv("FIGCHUTE_SEED");
  const char* runsText = std::getenv("FIGCHUTE_RUNS");
  const std::uint64_t firstSeed = seedText != nullptr ? std::strtoull(seedText, nullptr, 10) : 1;
  const std::uint64_t runs = runsText != nullptr ? std::strtoull(runsText, nullptr, 10) : 40;
  for (std::uint64_t seed = firstSeed; seed < firstSeed + runs; ++seed) {
    CHECK(runRandomFaults(seed, 25) == "");
  }
}

// Shows that the random faults reveal a disk that does not sync.
TEST_CASE("ControlNode_randomFaultsWithoutSync_violationIsFound")
{
  bool violationFound = false;
  for (std::uint64_t seed = 1; seed <= 5 && !violationFound; ++seed) {
    violationFound = !runRandomFaults(seed, 25, true).empty();
  }
  CHECK(violationFound);
}

// Shows that the check of reads detects a result that does not wait for the index of the barrier.
TEST_CASE("ControlNode_readWithoutBarrier_violationIsFound")
{
  ControlCluster cluster(9);
  cluster.readWithoutBarrier = true;
  cluster.startAll(kSeeds, kSeeds);
  REQUIRE(cluster.waitUntilStable());
  for (int i = 0; i < 50 && cluster.violations.empty(); ++i) {
    const auto before = cluster.acknowledged.size();
    cluster.write(cluster.leader());
    cluster.runUntil([&] { return cluster.acknowledged.size() > before; }, 1s);
    for (const auto& name : kSeeds) {
      cluster.read(name);
    }
    cluster.run(200ms);
  }
  CHECK_FALSE(cluster.violations.empty());
}
