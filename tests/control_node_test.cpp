#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "ControlCluster.h"

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

/** A group of three or four control processes that has formed and accepts commands. */
struct FormedCluster : ControlCluster
{
  explicit FormedCluster(const Names& names = kSeeds, std::uint64_t seed = 1)
    : ControlCluster(seed)
  {
    startAll(names, kSeeds);
    REQUIRE(settles());
    REQUIRE(commits("a"));
  }

  ~FormedCluster() { CHECK(report() == ""); }

  FormedCluster(const FormedCluster&) = delete;
  FormedCluster& operator=(const FormedCluster&) = delete;

  std::string follower()
  {
    const auto first = leader();
    for (const auto& name : names()) {
      if (name != first) {
        return name;
      }
    }
    return {};
  }

  void checkSettled()
  {
    CHECK(settles());
    CHECK(commits(names().front()));
    run(500ms);
    checkAll();
  }
};

struct FormedFour : FormedCluster
{
  FormedFour()
    : FormedCluster({ "a", "b", "c", "d" })
  {
  }
};

/** One randomised run: faults, writes and reads for a while, then everything heals.
    @returns the violations, one a line; empty when all held */
std::string runFaults(std::uint64_t seed, int rounds, bool ignoreSync = false)
{
  ControlCluster cluster(seed);
  cluster.ignoreSync = ignoreSync;
  auto& random = cluster.random();
  const int count = static_cast<int>(random.between(3, 5));
  Names names = { "a", "b", "c", "d", "e" };
  names.resize(static_cast<std::size_t>(count));
  cluster.startAll(names, kSeeds);
  if (!cluster.settles(20s)) {
    return fmt::format("seed {}: the group did not form", seed);
  }
  char nextName = 'f';
  std::uint64_t diskLosses = 0;
  for (int round = 0; round < rounds; ++round) {
    const auto all = cluster.names();
    const auto& one = all[random.below(all.size())];
    const auto& other = all[random.below(all.size())];
    switch (random.below(12)) {
      case 0:
        cluster.cut(one, other);
        break;
      case 1:
        cluster.isolate(one);
        break;
      case 2: {
        const std::string first = cluster.leader();
        for (const auto& name : all) {
          if (!first.empty()) {
            random.chance(0.5) ? cluster.cut(first, name) : cluster.cut(name, first);
          }
        }
        break;
      }
      case 3:
        cluster.pause(one, Duration(random.between(300'000, 6'000'000)));
        break;
      case 4:
        cluster.restart(one);
        break;
      case 5:
        for (const auto& name : all) {
          cluster.powerLoss(name);
        }
        for (const auto& name : all) {
          cluster.restart(name);
        }
        break;
      case 6:
        cluster.processes[one].disk->failAfterOperations(random.below(20));
        break;
      case 7:
        cluster.loss = random.unit() * 0.2;
        break;
      case 8:
      case 9: {
        // A disk may be lost only while all the other members have theirs and are in the log.
        for (const auto& name : all) {
          cluster.processes[name].disk->clearFailure();
        }
        cluster.heal();
        cluster.loss = 0;
        if (!cluster.settles(40s)) {
          cluster.violations.push_back(fmt::format(
            "seed {} step {}: not repaired\n{}", seed, cluster.steps, cluster.describe()));
          return cluster.report();
        }
        if (ignoreSync) {
          break;
        }
        ++diskLosses;
        if (random.chance(0.5)) {
          cluster.processes[one].seeds = cluster.names();
          cluster.restart(one, true);
        } else {
          const std::string gone = one;
          cluster.remove(gone);
          const std::string fresh(1, nextName++);
          cluster.start(fresh, cluster.names());
        }
        break;
      }
      default:
        for (const auto& name : all) {
          cluster.processes[name].disk->clearFailure();
        }
        cluster.heal();
        cluster.loss = 0;
        break;
    }
    const auto pieces = random.between(2, 12);
    for (int piece = 0; piece < pieces; ++piece) {
      const auto now = cluster.names();
      for (const auto& name : now) {
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
      return cluster.report();
    }
  }
  for (const auto& name : cluster.names()) {
    cluster.processes[name].disk->clearFailure();
  }
  cluster.heal();
  cluster.loss = 0;
  if (!cluster.settles(40s) || !cluster.commits(cluster.names().front())) {
    cluster.violations.push_back(
      fmt::format("seed {} step {}: not repaired\n{}", seed, cluster.steps, cluster.describe()));
  }
  cluster.run(1s);
  cluster.checkAll();
  if (!ignoreSync && (cluster.acknowledged.empty() || cluster.checkedReads == 0)) {
    cluster.violations.push_back(fmt::format("seed {}: nothing was checked", seed));
  }
  return cluster.report();
}

} // namespace

// Guards against a group that forms only when its founders start together or in a certain order.
TEST_CASE("ControlNode_foundersStartLateInAnyOrder_formOneGroup")
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
    CHECK(cluster.settles(8s));
    CHECK(cluster.commits("a"));
    CHECK(cluster.report() == "");
  }
}

// Guards against founders that forget that they may found when they restart before the group
// exists; the second start has no bootstrap.
TEST_CASE("ControlNode_foundersRestartBeforeFormation_stillForm")
{
  ControlCluster cluster(4);
  cluster.start("a", kSeeds, true);
  cluster.start("b", kSeeds, true);
  cluster.run(3s);
  cluster.powerLoss("a");
  cluster.restart("a");
  cluster.restart("b");
  cluster.start("c", kSeeds, true);
  CHECK(cluster.settles(8s));
  CHECK(cluster.report() == "");
}

// Guards against a founder whose disk was lost before the first election blocking the formation or
// founding a second group.
TEST_CASE("ControlNode_founderWipedBeforeFormation_oneGroupForms")
{
  for (const bool bootstrap : { false, true }) {
    ControlCluster cluster(5);
    cluster.start("a", kSeeds, true);
    cluster.start("b", kSeeds, true);
    cluster.run(3s);
    cluster.kill("b");
    cluster.start("b", kSeeds, bootstrap, true);
    cluster.start("c", kSeeds, true);
    CHECK(cluster.settles());
    CHECK(cluster.commits("b"));
    CHECK(cluster.report() == "");
  }
}

// Guards against a process that founds a group without the right to: without bootstrap, outside
// its own seeds, or in a folder that joined earlier.
TEST_CASE("ControlNode_withoutRightToFound_neverLeads")
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

// Guards against a fourth process that stays outside with three seeds, and against learners that
// are never promoted; both extra processes ask at the same time.
TEST_CASE("ControlNode_twoJoinAtOnce_bothBecomeVoters")
{
  ControlCluster cluster(6);
  cluster.startAll({ "a", "b", "c", "d", "e" }, kSeeds);
  CHECK(cluster.settles());
  CHECK(cluster.commits("e"));
  CHECK(cluster.node("a").members().voterCount() == 5);
  CHECK(cluster.report() == "");
}

// Guards against a wiped process that votes under its old identity, and against its return under
// the old address being refused while the old identity is still a voter.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_memberWiped_isAddedAnew")
{
  for (const auto& name : Names{ follower(), leader() }) {
    restart(name, true);
    checkSettled();
  }
}

// Guards against a group that stays without its third member after a member was replaced by a
// process at another address, and against the loss of another one right after that repair.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_memberReplacedThenSecondLost_staysAvailable")
{
  const std::string first = follower();
  remove(first);
  start("x", kSeeds);
  checkSettled();
  const std::string second = leader();
  remove(second);
  CHECK(commits("x"));
  start("y", { "x" });
  checkSettled();
}

// Guards against a planned replacement that needs more than one process at a time.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_plannedReplacementNewOneFirst_endsWithThreeVoters")
{
  start("x", kSeeds);
  checkSettled();
  CHECK(node("x").members().voterCount() == 4);
  remove(leader());
  CHECK(commits("x"));
  checkSettled();
  CHECK(node("x").members().voterCount() == 3);
}

// Guards against a silent voter that keeps an even group from tolerating the next loss.
TEST_CASE_FIXTURE(FormedFour, "ControlNode_oneOfFourLost_nextLossIsTolerated")
{
  remove(follower());
  run(5s);
  CHECK(node(leader()).members().voterCount() == 3);
  remove(leader());
  CHECK(commits(names().front()));
  run(40s);
  CHECK(node(leader()).members().voterCount() == 3);
}

// Guards against acknowledged commands that are lost when all processes lose power at once.
TEST_CASE_FIXTURE(FormedFour, "ControlNode_powerLossOfAll_keepsAcknowledged")
{
  for (int round = 0; round < 5; ++round) {
    for (int i = 0; i < 10; ++i) {
      write(names()[static_cast<std::size_t>(i) % 4]);
    }
    run(Duration(random().between(1'000, 60'000)));
    for (const auto& name : names()) {
      powerLoss(name);
    }
    run(300ms);
    for (const auto& name : names()) {
      restart(name);
    }
    checkSettled();
  }
}

// Guards against a leader that keeps its place while only one direction of its links works.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_leaderCutInOneDirection_isReplaced")
{
  for (const bool outward : { true, false }) {
    const std::string first = leader();
    for (const auto& name : names()) {
      outward ? cut(first, name) : cut(name, first);
    }
    run(4s);
    CHECK(leader() != first);
    CHECK(commits(leader()));
    heal();
    checkSettled();
  }
}

// Guards against a follower that tells its subscribers that it is in contact although it gets no
// entries any more: it hears the leader, but the leader does not hear it.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_followerUnheard_losesContactUntilItHasCaughtUp")
{
  const std::string name = follower();
  for (const auto& other : names()) {
    cut(name, other);
  }
  for (int i = 0; i < 4; ++i) {
    write(leader());
    run(400ms);
  }
  run(1s);
  CHECK(node(name).appliedIndex() < node(leader()).appliedIndex());
  CHECK(node(leader()).hasLeaderContact(now));
  CHECK_FALSE(node(name).hasLeaderContact(now));
  heal();
  checkSettled();
  CHECK(node(name).hasLeaderContact(now));
}

// Guards against acknowledgements by a minority and against either half doing so in an even split.
TEST_CASE_FIXTURE(FormedFour, "ControlNode_splitInHalves_neitherAcknowledges")
{
  cuts = { { "a", "c" }, { "a", "d" }, { "b", "c" }, { "b", "d" },
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
  heal();
  checkSettled();
}

// Guards against a leader that trusts an old lease after its VM was suspended, and against a
// minority that acknowledges.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_leaderPaused_doesNotAcknowledgeAlone")
{
  const std::string first = leader();
  isolate(first);
  pause(first, 4s);
  run(3s);
  CHECK(commits(leader()));
  run(1s);
  const auto before = acknowledged.size();
  CHECK_FALSE(node(first).isLeader(now));
  write(first);
  read(first);
  run(2s);
  CHECK(acknowledged.size() == before);
  CHECK(refused > 0);
  heal();
  checkSettled();
}

// Guards against a process that ends, or that takes part in the log, while its data folder refuses
// writes, and against a state that goes back when the folder works again.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_storageFails_recoversInTheSameProcess")
{
  for (const auto& name : Names{ leader(), follower() }) {
    processes[name].disk->failAfterOperations(1);
    const auto others = names()[0] == name ? names()[1] : names()[0];
    CHECK(commits(others));
    run(3s);
    CHECK(node(name).storageError().has_value());
    CHECK_FALSE(node(name).isLeader(now));
    CHECK_FALSE(node(name).hasLeaderContact(now));
    const auto index = node(name).appliedIndex();
    CHECK(node(name).state().revision() > 0);
    CHECK(commits(name));
    processes[name].disk->clearFailure();
    run(600ms);
    CHECK(node(name).appliedIndex() >= index);
    CHECK_FALSE(node(name).storageError().has_value());
    checkSettled();
  }
}

// Guards against a removed member with an old log that deposes the leader when it comes back.
TEST_CASE_FIXTURE(FormedFour, "ControlNode_removedMemberReturns_doesNotDisturb")
{
  const std::string old = follower();
  isolate(old);
  run(5s);
  const std::string first = leader();
  CHECK(node(first).members().find(ProcessId(old)) == nullptr);
  CHECK(commits(first));
  const auto term = node(first).log()->term();
  heal();
  checkSettled();
  CHECK(node(first).log()->term() == term);
  CHECK(leader() == first);
}

// Guards against a group that stays without a leader when its leader is removed, and against the
// removed process staying outside although it runs.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_leaderRemoved_anotherLeadsAndItRejoins")
{
  const std::string first = leader();
  bool removed = false;
  node(first).proposeLocal(now,
                           ledger::RemoveMember{ ProcessId(first), node(first).log()->diskId() },
                           1s,
                           [&](const auto& result) { removed = result.has_value(); });
  run(400ms);
  CHECK_FALSE(node(first).isLeader(now));
  CHECK(runUntil([&] { return !leader().empty(); }, 3s));
  CHECK(leader() != first);
  CHECK(commits(leader()));
  checkSettled();
  CHECK(removed);
}

// Guards against a result that reaches a proposer long before the entry: a linearizable read at a
// follower would wait for the next heartbeat.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_readAtFollower_isAnsweredWithoutHeartbeat")
{
  const std::string name = follower();
  for (int i = 0; i < 5; ++i) {
    const auto before = checkedReads;
    read(name);
    CHECK(runUntil([&] { return checkedReads > before; }, 80ms));
    run(170ms);
  }
}

// Guards against a delayed request of a lost disk that removes the process's new identity.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_delayedJoinOfLostDisk_changesNothing")
{
  const std::string name = follower();
  const auto oldDisk = node(name).log()->diskId();
  const auto oldIncarnation = processes[name].incarnation;
  restart(name, true);
  checkSettled();
  const auto term = node(leader()).log()->term();
  isolate(name);
  run(1s);
  const JoinRequest old{ ProcessId(name), oldDisk, Incarnation{ oldIncarnation }, true };
  node(leader()).receive(
    now, ProcessId("x"), Incarnation{ 1 }, wire::Channel::join, wire::encode(old));
  run(1s);
  CHECK(node(leader()).members().find(ProcessId(name))->id.diskId == node(name).log()->diskId());
  CHECK(node(leader()).log()->term() == term);
  heal();
  checkSettled();
}

// Guards against a join that is lost because the asked member does not lead and the seeds are out
// of date.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_seedsOutOfDate_joinsThroughOneMember")
{
  start("x", { "gone", follower() });
  checkSettled();
  start("y", { "gone", "lost" });
  run(3s);
  CHECK(node("y").members().members.empty());
  node("y").setSeeds({ ProcessId("x") });
  checkSettled();
}

// Guards against a log that grows without a bound: large entries cause a snapshot by bytes, and a
// process that joins gets it.
TEST_CASE_FIXTURE(FormedCluster, "ControlNode_largeEntries_areCompacted")
{
  for (int i = 0; i < 8; ++i) {
    ledger::ApplyDocument command;
    command.team = TeamId("large");
    command.baseVersion = static_cast<std::uint64_t>(i);
    command.change = ChangeId(std::to_string(i));
    command.text = std::string(1024UL * 1024, 'x');
    node("a").proposeLocal(now, command, 2s, [](const auto& result) { CHECK(result); });
    processes["a"].dirty = true;
    run(500ms);
  }
  CHECK(node("a").log()->snapshotIndex() > 0);
  start("x", kSeeds);
  checkSettled();
}

// Guards against an origin or an identity that a FileDisk loses at a restart.
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

// Guards against combinations of faults that no single case has: cuts, pauses, power loss, full
// disks, wiped and replaced processes. FIGCHUTE_SEED and FIGCHUTE_RUNS choose other runs.
TEST_CASE("ControlNode_randomFaults_keepWhatIsPromised")
{
  const char* seedText = std::getenv("FIGCHUTE_SEED");
  const char* runsText = std::getenv("FIGCHUTE_RUNS");
  const std::uint64_t first = seedText != nullptr ? std::strtoull(seedText, nullptr, 10) : 1;
  const std::uint64_t runs = runsText != nullptr ? std::strtoull(runsText, nullptr, 10) : 40;
  for (std::uint64_t seed = first; seed < first + runs; ++seed) {
    CHECK(runFaults(seed, 25) == "");
  }
}

// Shows that the randomised check finds a disk that does not sync.
TEST_CASE("ControlNode_randomFaultsWithoutSync_areFound")
{
  bool found = false;
  for (std::uint64_t seed = 1; seed <= 5 && !found; ++seed) {
    found = !runFaults(seed, 25, true).empty();
  }
  CHECK(found);
}

// Shows that the check of reads finds an answer that does not wait for the barrier's index.
TEST_CASE("ControlNode_readBeforeBarrier_isFound")
{
  ControlCluster cluster(9);
  cluster.readWithoutBarrier = true;
  cluster.startAll(kSeeds, kSeeds);
  REQUIRE(cluster.settles());
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
