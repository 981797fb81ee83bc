#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "replication/replication.h"

#include <deque>
#include <doctest/doctest.h>
#include <set>

using namespace figchute;
using namespace figchute::replication;

namespace {

/** Several LogNodes with a network without delays and storage that never fails. */
class Group
{
public:
  struct Process
  {
    std::optional<LogNode> node;
    RecoveredState storage;
    std::vector<Entry> appliedEntries;
    std::string restoredSnapshot;
  };

  explicit Group(std::initializer_list<const char*> names, std::size_t maxAppendBytes = 512)
    : maxAppendBytes_(maxAppendBytes)
  {
    for (const char* name : names) {
      initialMembers_.push_back(MemberId{ ProcessId(name), "" });
    }
    for (const char* name : names) {
      start(name);
    }
  }

  void start(const std::string& name, bool newDisk = false)
  {
    Process& process = processes_[name];
    if (newDisk || process.storage.diskId.empty()) {
      process = Process{};
      process.storage.diskId = name + std::to_string(++diskCount_);
    }
    LogConfig config;
    config.self = ProcessId(name);
    config.initialMembers = initialMembers_;
    config.seed = ++seed_;
    config.maxAppendBytes = maxAppendBytes_;
    config.trailingEntries = 0;
    process.node.emplace(config, process.storage, now);
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
    for (bool madeProgress = true; madeProgress;) {
      madeProgress = false;
      for (auto& [name, process] : processes_) {
        madeProgress = processReady(name, process) || madeProgress;
      }
      while (!messages_.empty()) {
        auto [from, outgoing] = std::move(messages_.front());
        messages_.pop_front();
        auto& target = processes_[outgoing.to.value];
        if (target.node && !isolated.count(from) && !isolated.count(outgoing.to.value)) {
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

  std::string waitForLeader()
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
    for (const auto& entry : processes_[name].appliedEntries) {
      if (entry.kind == EntryKind::command) {
        texts.push_back(entry.payload);
      }
    }
    return texts;
  }

  Time now{ 1'000'000'000 };
  std::set<std::string> isolated;

private:
  bool processReady(const std::string& name, Process& process)
  {
    if (!process.node) {
      return false;
    }
    Ready ready = process.node->takeReady();
    auto& storage = process.storage;
    if (ready.hardState) {
      storage.hardState = *ready.hardState;
    }
    if (ready.snapshot) {
      storage.snapshot = *ready.snapshot;
      std::erase_if(storage.entries, [&](const Entry& entry) {
        return ready.restoreState || entry.index <= ready.snapshot->meta.index;
      });
      process.restoredSnapshot =
        ready.restoreState ? ready.snapshot->data : process.restoredSnapshot;
    }
    for (const auto& entry : ready.entries) {
      std::erase_if(storage.entries,
                    [&](const Entry& storedEntry) { return storedEntry.index >= entry.index; });
      storage.entries.push_back(entry);
    }
    if (ready.needsSync()) {
      process.node->confirmPersisted(now);
    }
    for (auto& outgoing : ready.messages) {
      const auto decodedMessage = wire::decode<Message>(wire::encode(outgoing.message));
      messages_.emplace_back(name, OutgoingMessage{ outgoing.to, decodedMessage.value() });
    }
    process.appliedEntries.insert(
      process.appliedEntries.end(), ready.committed.begin(), ready.committed.end());
    return !ready.empty();
  }

  std::size_t maxAppendBytes_;
  std::vector<MemberId> initialMembers_;
  std::map<std::string, Process> processes_;
  std::deque<std::pair<std::string, OutgoingMessage>> messages_;
  std::uint64_t seed_ = 0;
  int diskCount_ = 0;
};

const std::vector<std::string> kNames{ "a", "b", "c" };

} // namespace

// Guards against commands that are committed only at the leader or in different orders.
TEST_CASE("LogNode_threeVoters_commitEverywhereInOrder")
{
  Group group({ "a", "b", "c" });
  group.waitForLeader();
  group.propose("x");
  group.propose("y");
  for (const auto& name : kNames) {
    CHECK(group.commands(name) == std::vector<std::string>{ "x", "y" });
    CHECK(group.node(name).leaderHint() == ProcessId(group.leader()));
  }
}

// Guards against an isolated leader that still reports itself as leader or accepts commands.
TEST_CASE("LogNode_isolatedLeader_stepsDownWithinOneElectionTimeout")
{
  Group group({ "a", "b", "c" });
  const std::string oldLeader = group.waitForLeader();
  group.isolated = { oldLeader };
  group.run(Duration(350'000));
  CHECK_FALSE(group.node(oldLeader).isLeader(group.now));
  CHECK(group.node(oldLeader).propose(group.now, "x").error().kind == ErrorKind::noQuorum);
  group.run(Duration(2'000'000));
  CHECK(group.leader() != oldLeader);
  const Term term = group.node(group.leader()).term();
  group.isolated = {};
  group.run(Duration(1'000'000));
  // Without pre-votes, the returning member would cause an election with a higher term.
  CHECK(group.node(group.leader()).term() == term);
}

// Guards against uncommitted entries of a deposed leader that stay in its log or prevent it from
// receiving the entries of the new leader.
TEST_CASE("LogNode_conflictingEntries_areReplacedByNewLeader")
{
  Group group({ "a", "b", "c" });
  const std::string oldLeader = group.waitForLeader();
  group.isolated = { oldLeader };
  for (int i = 0; i < 20; ++i) {
    REQUIRE(group.node(oldLeader).propose(group.now, "lost"));
  }
  group.run(Duration(2'000'000));
  group.propose("kept");
  group.isolated = {};
  group.run(Duration(1'000'000));
  CHECK(group.commands(oldLeader) == std::vector<std::string>{ "kept" });
}

// Guards against a member that cannot catch up because the leader has replaced the entries that it
// lacks by a snapshot.
TEST_CASE("LogNode_laggingMember_receivesSnapshotInChunks")
{
  Group group({ "a", "b", "c" });
  const std::string leader = group.waitForLeader();
  const std::string laggingMember = leader == "a" ? "b" : "a";
  group.isolated = { laggingMember };
  group.propose("x");
  const std::string snapshot(5000, 's');
  REQUIRE(group.node(leader).compact(group.node(leader).commitIndex(), snapshot));
  CHECK_FALSE(group.node(leader).compact(group.node(leader).commitIndex(), snapshot));
  group.propose("y");
  group.isolated = {};
  group.run(Duration(2'000'000));
  CHECK(group.process(laggingMember).restoredSnapshot == snapshot);
  CHECK(group.commands(laggingMember) == std::vector<std::string>{ "y" });
  group.stop(laggingMember);
  group.start(laggingMember);
  group.run(Duration(1'000'000));
  CHECK(group.node(laggingMember).members() == group.node(leader).members());
}

// Guards against a new member that counts for majorities before it has the log: entries would be
// lost if another member failed then.
TEST_CASE("LogNode_newLearner_isPromotedOnlyWhenCaughtUp")
{
  Group group({ "a", "b", "c" });
  group.waitForLeader();
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
  CHECK(member->id.diskId == group.process("d").storage.diskId);
  const std::string stoppedMember = group.leader() == "d" ? "a" : group.leader();
  group.stop(stoppedMember);
  group.waitForLeader();
  group.propose("y");
  CHECK(group.commands("d") == std::vector<std::string>{ "x", "y" });
}

// Guards against counting the vote of a process that lost its disk, and with it its earlier vote
// and entries.
TEST_CASE("LogNode_voterWithLostDisk_isNotCountedUntilRemovedAndAdded")
{
  Group group({ "a", "b", "c" });
  group.waitForLeader();
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
  group.waitForLeader();
  REQUIRE(group.change(MembershipChangeKind::remove, "a"));
  group.run(Duration(200'000));
  REQUIRE(group.change(MembershipChangeKind::addLearner, "a"));
  group.run(Duration(500'000));
  REQUIRE(group.change(MembershipChangeKind::promote, "a"));
  group.run(Duration(500'000));
  group.stop("b");
  group.waitForLeader();
  CHECK(group.commands("a") == std::vector<std::string>{ "x" });
}

// Guards against a first election without one of the initial voters, whose disk may already contain
// a log.
TEST_CASE("LogNode_firstElection_needsAllInitialVoters")
{
  Group group({ "a", "b", "c" });
  group.stop("c");
  group.run(Duration(3'000'000));
  CHECK(group.leader().empty());
  group.start("c");
  group.waitForLeader();
  for (const auto& member : group.node("a").members().members) {
    CHECK_FALSE(member.id.diskId.empty());
  }
}

// Guards against two membership changes at the same time, whose majorities need not overlap.
TEST_CASE("LogNode_secondMembershipChange_isRejectedUntilFirstIsCommitted")
{
  Group group({ "a", "b", "c" });
  group.waitForLeader();
  REQUIRE(group.change(MembershipChangeKind::addLearner, "d"));
  CHECK(group.change(MembershipChangeKind::addLearner, "e").error().kind == ErrorKind::overloaded);
  group.run(Duration(200'000));
  CHECK(group.change(MembershipChangeKind::addLearner, "d").error().kind == ErrorKind::badRequest);
  CHECK(group.change(MembershipChangeKind::remove, "z").error().kind == ErrorKind::badRequest);
  CHECK(group.change(MembershipChangeKind::promote, "a").error().kind == ErrorKind::badRequest);
}

// Guards against a removed leader that remains leader, and against the removal of the last voter.
TEST_CASE("LogNode_removedLeader_stepsDownAfterCommit")
{
  Group group({ "a", "b" });
  const std::string oldLeader = group.waitForLeader();
  REQUIRE(group.change(MembershipChangeKind::remove, oldLeader.c_str()));
  group.run(Duration(2'000'000));
  const std::string newLeader = group.leader();
  CHECK(newLeader != oldLeader);
  REQUIRE_FALSE(newLeader.empty());
  CHECK(group.change(MembershipChangeKind::remove, newLeader.c_str()).error().kind ==
        ErrorKind::badRequest);
  CHECK_FALSE(group.node(oldLeader).state().leader == ProcessId(oldLeader));
}
