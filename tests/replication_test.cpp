#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "replication/replication.h"

#include <deque>
#include <doctest/doctest.h>
#include <set>

using namespace figchute;
using namespace figchute::replication;

namespace {

/** Log nodes joined by a network without delay, on disks that never fail. */
class Group
{
public:
  struct Process
  {
    std::optional<LogNode> node;
    RecoveredState stored;
    std::vector<Entry> applied;
    std::string restored;
  };

  explicit Group(std::initializer_list<const char*> names, std::size_t maxAppendBytes = 512)
    : maxAppendBytes_(maxAppendBytes)
  {
    for (const char* name : names) {
      initial_.push_back(MemberId{ ProcessId(name), "" });
    }
    for (const char* name : names) {
      start(name);
    }
  }

  void start(const std::string& name, bool newDisk = false)
  {
    Process& process = processes_[name];
    if (newDisk || process.stored.diskId.empty()) {
      process = Process{};
      process.stored.diskId = name + std::to_string(++disks_);
    }
    LogConfig config;
    config.self = ProcessId(name);
    config.initialMembers = initial_;
    config.seed = ++seed_;
    config.maxAppendBytes = maxAppendBytes_;
    config.trailingEntries = 0;
    process.node.emplace(config, process.stored, now);
  }

  void stop(const std::string& name) { processes_[name].node.reset(); }

  void run(Duration span)
  {
    for (const Time end = now + span; now < end; now = now + Duration(10'000)) {
      for (auto& [name, process] : processes_) {
        if (process.node) {
          process.node->tick(now);
        }
      }
      deliver();
    }
  }

  void deliver()
  {
    for (bool busy = true; busy;) {
      busy = false;
      for (auto& [name, process] : processes_) {
        busy = pump(name, process) || busy;
      }
      while (!queue_.empty()) {
        auto [from, outgoing] = std::move(queue_.front());
        queue_.pop_front();
        auto& target = processes_[outgoing.to.value];
        if (target.node && !cut.count(from) && !cut.count(outgoing.to.value)) {
          target.node->receive(now, ProcessId(from), outgoing.message);
        }
      }
    }
  }

  std::string leader()
  {
    for (auto& [name, process] : processes_) {
      if (process.node && process.node->isLeader(now)) {
        return name;
      }
    }
    return {};
  }

  std::string elect()
  {
    run(Duration(2'000'000));
    REQUIRE(!leader().empty());
    return leader();
  }

  LogNode& node(const std::string& name) { return *processes_[name].node; }
  Process& process(const std::string& name) { return processes_[name]; }

  void propose(const std::string& bytes)
  {
    REQUIRE(node(leader()).propose(now, bytes));
    run(Duration(100'000));
  }

  Expected<LogIndex> change(MembershipChangeKind kind, const char* name)
  {
    return node(leader()).proposeMembershipChange(now, { kind, { ProcessId(name), "" } });
  }

  std::vector<std::string> commands(const std::string& name)
  {
    std::vector<std::string> texts;
    for (const auto& entry : processes_[name].applied) {
      if (entry.kind == EntryKind::command) {
        texts.push_back(entry.payload);
      }
    }
    return texts;
  }

  Time now{ 1'000'000'000 };
  std::set<std::string> cut;

private:
  bool pump(const std::string& name, Process& process)
  {
    if (!process.node) {
      return false;
    }
    Ready ready = process.node->takeReady();
    auto& stored = process.stored;
    if (ready.hardState) {
      stored.hardState = *ready.hardState;
    }
    if (ready.snapshot) {
      stored.snapshot = *ready.snapshot;
      std::erase_if(stored.entries, [&](const Entry& entry) {
        return ready.restoreState || entry.index <= ready.snapshot->meta.index;
      });
      process.restored = ready.restoreState ? ready.snapshot->data : process.restored;
    }
    for (const auto& entry : ready.entries) {
      std::erase_if(stored.entries, [&](const Entry& old) { return old.index >= entry.index; });
      stored.entries.push_back(entry);
    }
    if (ready.needsSync()) {
      process.node->confirmPersisted(now);
    }
    for (auto& outgoing : ready.messages) {
      const auto copy = wire::decode<Message>(wire::encode(outgoing.message));
      queue_.emplace_back(name, Outgoing{ outgoing.to, copy.value() });
    }
    process.applied.insert(process.applied.end(), ready.committed.begin(), ready.committed.end());
    return !ready.empty();
  }

  std::size_t maxAppendBytes_;
  std::vector<MemberId> initial_;
  std::map<std::string, Process> processes_;
  std::deque<std::pair<std::string, Outgoing>> queue_;
  std::uint64_t seed_ = 0;
  int disks_ = 0;
};

const std::vector<std::string> kNames{ "a", "b", "c" };

} // namespace

// Guards against commands that are committed at the leader only, or in another order elsewhere.
TEST_CASE("LogNode_threeVoters_commitEverywhereInOrder")
{
  Group group({ "a", "b", "c" });
  group.elect();
  group.propose("x");
  group.propose("y");
  for (const auto& name : kNames) {
    CHECK(group.commands(name) == std::vector<std::string>{ "x", "y" });
    CHECK(group.node(name).leaderHint() == ProcessId(group.leader()));
  }
}

// Guards against an isolated leader that accepts commands or calls itself leader.
TEST_CASE("LogNode_isolatedLeader_stepsDownWithinOneElectionTimeout")
{
  Group group({ "a", "b", "c" });
  const std::string old = group.elect();
  group.cut = { old };
  group.run(Duration(350'000));
  CHECK_FALSE(group.node(old).isLeader(group.now));
  CHECK(group.node(old).propose(group.now, "x").error().kind == ErrorKind::noQuorum);
  group.run(Duration(2'000'000));
  CHECK(group.leader() != old);
  const Term term = group.node(group.leader()).term();
  group.cut = {};
  group.run(Duration(1'000'000));
  // Without the pre-vote, the return of the isolated member would force an election.
  CHECK(group.node(group.leader()).term() == term);
}

// Guards against uncommitted entries of a deposed leader that survive or block its log.
TEST_CASE("LogNode_conflictingEntries_areReplacedByTheNewLeader")
{
  Group group({ "a", "b", "c" });
  const std::string old = group.elect();
  group.cut = { old };
  for (int i = 0; i < 20; ++i) {
    REQUIRE(group.node(old).propose(group.now, "lost"));
  }
  group.run(Duration(2'000'000));
  group.propose("kept");
  group.cut = {};
  group.run(Duration(1'000'000));
  CHECK(group.commands(old) == std::vector<std::string>{ "kept" });
}

// Guards against a member that cannot rejoin when its entries were replaced by a snapshot.
TEST_CASE("LogNode_laggingMember_getsSnapshotInChunks")
{
  Group group({ "a", "b", "c" });
  const std::string leader = group.elect();
  const std::string late = leader == "a" ? "b" : "a";
  group.cut = { late };
  group.propose("x");
  const std::string snapshot(5000, 's');
  REQUIRE(group.node(leader).compact(group.node(leader).commitIndex(), snapshot));
  CHECK_FALSE(group.node(leader).compact(group.node(leader).commitIndex(), snapshot));
  group.propose("y");
  group.cut = {};
  group.run(Duration(2'000'000));
  CHECK(group.process(late).restored == snapshot);
  CHECK(group.commands(late) == std::vector<std::string>{ "y" });
  group.stop(late);
  group.start(late);
  group.run(Duration(1'000'000));
  CHECK(group.node(late).members() == group.node(leader).members());
}

// Guards against a repair that counts a member before it holds the log: a second loss right after
// the repair would lose entries.
TEST_CASE("LogNode_freshLearner_isPromotedOnlyWhenCaughtUpAndThenCounts")
{
  Group group({ "a", "b", "c" });
  group.elect();
  group.propose("x");
  REQUIRE(group.change(MembershipChangeKind::addLearner, "d"));
  group.run(Duration(100'000));
  CHECK(group.change(MembershipChangeKind::promote, "d").error().kind == ErrorKind::overloaded);
  group.start("d", true);
  group.run(Duration(500'000));
  REQUIRE(group.change(MembershipChangeKind::promote, "d"));
  group.run(Duration(500'000));
  const auto* member = group.node("d").members().find(ProcessId("d"));
  REQUIRE(member != nullptr);
  CHECK(member->voter);
  CHECK(member->id.diskId == group.process("d").stored.diskId);
  const std::string gone = group.leader() == "d" ? "a" : group.leader();
  group.stop(gone);
  group.elect();
  group.propose("y");
  CHECK(group.commands("d") == std::vector<std::string>{ "x", "y" });
}

// Guards against a process that votes after it lost its disk: it has forgotten its vote and
// entries.
TEST_CASE("LogNode_voterWithLostDisk_isNotCountedUntilRemovedAndAdded")
{
  Group group({ "a", "b", "c" });
  group.elect();
  group.propose("x");
  group.stop("a");
  group.run(Duration(1'000'000));
  group.start("a", true);
  group.run(Duration(1'000'000));
  CHECK(group.commands("a").empty());
  group.stop("b");
  group.run(Duration(3'000'000));
  CHECK(group.leader().empty());
  group.start("b");
  group.elect();
  REQUIRE(group.change(MembershipChangeKind::remove, "a"));
  group.run(Duration(200'000));
  REQUIRE(group.change(MembershipChangeKind::addLearner, "a"));
  group.run(Duration(500'000));
  REQUIRE(group.change(MembershipChangeKind::promote, "a"));
  group.run(Duration(500'000));
  group.stop("b");
  group.elect();
  CHECK(group.commands("a") == std::vector<std::string>{ "x" });
}

// Guards against a first election without one voter, which may already hold a log on its disk.
TEST_CASE("LogNode_firstElection_needsAllInitialVoters")
{
  Group group({ "a", "b", "c" });
  group.stop("c");
  group.run(Duration(3'000'000));
  CHECK(group.leader().empty());
  group.start("c");
  group.elect();
  for (const auto& member : group.node("a").members().members) {
    CHECK_FALSE(member.id.diskId.empty());
  }
}

// Guards against two changes at once, whose majorities need not overlap.
TEST_CASE("LogNode_secondMembershipChange_isRefusedUntilTheFirstIsCommitted")
{
  Group group({ "a", "b", "c" });
  group.elect();
  REQUIRE(group.change(MembershipChangeKind::addLearner, "d"));
  CHECK(group.change(MembershipChangeKind::addLearner, "e").error().kind == ErrorKind::overloaded);
  group.run(Duration(200'000));
  CHECK(group.change(MembershipChangeKind::addLearner, "d").error().kind == ErrorKind::badRequest);
  CHECK(group.change(MembershipChangeKind::remove, "z").error().kind == ErrorKind::badRequest);
  CHECK(group.change(MembershipChangeKind::promote, "a").error().kind == ErrorKind::badRequest);
}

// Guards against a removed leader that goes on leading, and against removal of the last voter.
TEST_CASE("LogNode_removedLeader_stepsDownAfterCommit")
{
  Group group({ "a", "b" });
  const std::string old = group.elect();
  REQUIRE(group.change(MembershipChangeKind::remove, old.c_str()));
  group.run(Duration(2'000'000));
  const std::string next = group.leader();
  CHECK(next != old);
  REQUIRE_FALSE(next.empty());
  CHECK(group.change(MembershipChangeKind::remove, next.c_str()).error().kind ==
        ErrorKind::badRequest);
  CHECK_FALSE(group.node(old).state().leader == ProcessId(old));
}
