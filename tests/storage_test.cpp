#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include "replication/replication.h"

#include <cstdlib>
#include <doctest/doctest.h>
#include <filesystem>
#include <fmt/format.h>

using namespace figchute;
using namespace figchute::replication;

namespace {

Ready entriesFrom(LogIndex first, LogIndex last, Term term)
{
  Ready ready;
  for (LogIndex index = first; index <= last; ++index) {
    ready.entries.push_back(Entry{ index, term, EntryKind::command, std::to_string(index) });
  }
  return ready;
}

Ready snapshotAt(LogIndex index, Term term, bool restore)
{
  Ready ready;
  ready.snapshot = Snapshot{ SnapshotMeta{ index, term, {} }, "state" };
  ready.restoreState = restore;
  return ready;
}

Expected<RecoveredState> recovered(MemoryDisk& disk)
{
  LogStorage<MemoryDisk> storage(disk);
  return storage.recover("other");
}

std::string lastSegment(MemoryDisk& disk)
{
  std::string last;
  const auto names = disk.list().value();
  for (const auto& name : names) {
    last = name.starts_with("log-") ? name : last;
  }
  return last;
}

} // namespace

// Guards against state that is lost or changed over a restart, and against a new disk id.
TEST_CASE("LogStorage_savedState_isRecoveredWithTheSameDiskId")
{
  MemoryDisk disk;
  {
    LogStorage<MemoryDisk> storage(disk, StorageConfig{ 200 });
    CHECK(storage.recover("disk1")->diskId == "disk1");
    Ready ready = entriesFrom(1, 5, 1);
    ready.hardState = HardState{ 1, ProcessId("a") };
    REQUIRE(storage.save(ready));
    REQUIRE(storage.save(entriesFrom(4, 9, 2)));
  }
  const auto state = recovered(disk);
  REQUIRE(state);
  CHECK(state->diskId == "disk1");
  CHECK(state->hardState == HardState{ 1, ProcessId("a") });
  REQUIRE(state->entries.size() == 9);
  CHECK(state->entries[3].term == 2);
}

// Guards against one sync per entry: a batch must cost one.
TEST_CASE("LogStorage_batch_isOneSync")
{
  MemoryDisk disk;
  LogStorage<MemoryDisk> storage(disk);
  REQUIRE(storage.recover("disk1"));
  const auto before = disk.syncCount();
  Ready ready = entriesFrom(1, 100, 1);
  ready.hardState = HardState{ 1, ProcessId("a") };
  REQUIRE(storage.save(ready));
  CHECK(disk.syncCount() == before + 1);
}

// Guards against a torn last record that stops the start or leaves half a batch.
TEST_CASE("LogStorage_tornTail_isCutAtEveryLength")
{
  MemoryDisk whole;
  LogStorage<MemoryDisk> storage(whole);
  REQUIRE(storage.recover("disk1"));
  REQUIRE(storage.save(entriesFrom(1, 3, 1)));
  const auto keep = whole.read(lastSegment(whole))->size();
  REQUIRE(storage.save(entriesFrom(4, 6, 1)));
  const auto full = whole.read(lastSegment(whole))->size();
  for (auto size = keep; size < full; ++size) {
    MemoryDisk disk = whole;
    REQUIRE(disk.truncate(lastSegment(disk), size));
    REQUIRE(recovered(disk)->entries.size() == 3);
    REQUIRE(recovered(disk)->entries.size() == 3);
  }
}

// Guards against a damaged record that is taken for a torn tail, which would lose what follows it.
TEST_CASE("LogStorage_damagedMiddle_isRefusedWithFileAndOffset")
{
  MemoryDisk whole;
  LogStorage<MemoryDisk> storage(whole);
  REQUIRE(storage.recover("disk1"));
  const auto start = whole.read(lastSegment(whole))->size();
  REQUIRE(storage.save(entriesFrom(1, 3, 1)));
  const auto end = whole.read(lastSegment(whole))->size();
  REQUIRE(storage.save(entriesFrom(4, 6, 1)));
  for (auto offset = start; offset < end; ++offset) {
    MemoryDisk disk = whole;
    disk.corrupt(lastSegment(disk), offset);
    const auto state = recovered(disk);
    REQUIRE_FALSE(state);
    CHECK(state.error().kind == ErrorKind::storageCorrupt);
    CHECK(state.error().detail.find(lastSegment(disk)) != std::string::npos);
    CHECK(state.error().detail.find("offset " + std::to_string(start)) != std::string::npos);
  }
}

// Guards against damage in an earlier segment or a missing segment or identity that goes unnoticed.
TEST_CASE("LogStorage_damagedEarlierFile_isRefused")
{
  MemoryDisk whole;
  LogStorage<MemoryDisk> storage(whole, StorageConfig{ 1 });
  REQUIRE(storage.recover("disk1"));
  REQUIRE(storage.save(entriesFrom(1, 1, 1)));
  REQUIRE(storage.save(entriesFrom(2, 2, 1)));
  const auto names = whole.list().value();
  const std::string earlier = names.at(2);
  MemoryDisk damaged = whole;
  damaged.corrupt(earlier, damaged.read(earlier)->size() - 1);
  CHECK(recovered(damaged).error().kind == ErrorKind::storageCorrupt);
  MemoryDisk missing = whole;
  REQUIRE(missing.remove(earlier));
  CHECK(recovered(missing).error().kind == ErrorKind::storageCorrupt);
  MemoryDisk anonymous = whole;
  REQUIRE(anonymous.remove("identity"));
  CHECK(recovered(anonymous).error().kind == ErrorKind::storageCorrupt);
}

// Guards against segments that pile up, and against entries lost with them.
TEST_CASE("LogStorage_snapshot_removesCoveredSegmentsOnly")
{
  MemoryDisk disk;
  LogStorage<MemoryDisk> storage(disk);
  REQUIRE(storage.recover("disk1"));
  REQUIRE(storage.save(entriesFrom(1, 10, 1)));
  REQUIRE(storage.save(snapshotAt(8, 1, false)));
  REQUIRE(storage.save(entriesFrom(11, 12, 1)));
  MemoryDisk copy = disk;
  CHECK(recovered(copy)->entries.front().index == 9);
  REQUIRE(storage.save(snapshotAt(12, 1, false)));
  CHECK(disk.read(fmt::format("snapshot-{:020}", 8)).error().kind == ErrorKind::notFound);
  CHECK(disk.read(fmt::format("log-{:020}", 1)).error().kind == ErrorKind::notFound);
  CHECK(recovered(disk)->entries.empty());
  CHECK(recovered(disk)->snapshot.data == "state");
}

// Guards against entries of the old log that come back behind a snapshot of the leader.
TEST_CASE("LogStorage_leaderSnapshot_replacesTheLog")
{
  MemoryDisk disk;
  LogStorage<MemoryDisk> storage(disk);
  REQUIRE(storage.recover("disk1"));
  REQUIRE(storage.save(entriesFrom(1, 10, 1)));
  REQUIRE(storage.save(snapshotAt(9, 2, true)));
  // A copy, because recovery writes to the folder that the first storage still has open.
  MemoryDisk copy = disk;
  CHECK(recovered(copy)->entries.empty());
  REQUIRE(storage.save(entriesFrom(10, 11, 2)));
  const auto state = recovered(disk);
  REQUIRE(state->entries.size() == 2);
  CHECK(state->entries.front().term == 2);
}

// Guards against a log that cannot be opened after a crash that came between the leader's snapshot
// and the record that replaces the log.
TEST_CASE("LogStorage_crashInsideLeaderSnapshot_leavesNoGap")
{
  for (std::uint64_t operations = 0; operations < 12; ++operations) {
    MemoryDisk disk;
    Random random(operations);
    {
      LogStorage<MemoryDisk> storage(disk);
      REQUIRE(storage.recover("disk1"));
      REQUIRE(storage.save(entriesFrom(1, 5, 1)));
      disk.failAfterOperations(operations);
      static_cast<void>(storage.save(snapshotAt(20, 2, true)));
    }
    disk.crash(random);
    LogStorage<MemoryDisk> storage(disk);
    const auto state = storage.recover("other");
    REQUIRE(state.has_value());
    const LogIndex next = state->snapshot.meta.index + state->entries.size() + 1;
    REQUIRE(storage.save(entriesFrom(next, next + 1, 2)));
    const auto again = recovered(disk);
    REQUIRE_MESSAGE(again.has_value(), again.error().detail);
    CHECK(again->snapshot.meta.index + again->entries.size() == next + 1);
  }
}

// Guards against a crash between any two operations of a save that loses what an earlier save
// acknowledged or leaves a folder that cannot be opened.
TEST_CASE("LogStorage_crashAtAnyOperation_keepsAcknowledgedState")
{
  for (std::uint64_t operations = 0; operations < 60; ++operations) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      MemoryDisk disk;
      Random random(seed);
      LogIndex saved = 0;
      Term term = 0;
      disk.failAfterOperations(operations);
      {
        LogStorage<MemoryDisk> storage(disk, StorageConfig{ 300 });
        bool alive = storage.recover("disk1").has_value();
        for (LogIndex index = 1; alive && index < 12; ++index) {
          Ready ready = entriesFrom(index, index, 1);
          ready.hardState = HardState{ index, ProcessId("a") };
          alive = storage.save(ready).has_value();
          saved = alive ? index : saved;
          term = saved;
          alive = alive && (index % 4 != 0 || storage.save(snapshotAt(index, 1, false)));
        }
      }
      disk.crash(random);
      const auto state = recovered(disk);
      REQUIRE_MESSAGE(state.has_value(), state.error().detail);
      CHECK(state->hardState.term >= term);
      CHECK(state->snapshot.meta.index + state->entries.size() >= saved);
    }
  }
}

// Guards against a difference between the file system and the disk in memory.
TEST_CASE("FileDisk_log_isRecoveredFromTheFileSystem")
{
  std::string folder = std::filesystem::temp_directory_path() / "figchute-storage-XXXXXX";
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  {
    auto disk = FileDisk::open(folder).value();
    LogStorage<FileDisk> storage(disk);
    REQUIRE(storage.recover("disk1"));
    REQUIRE(storage.save(entriesFrom(1, 10, 1)));
    REQUIRE(storage.save(snapshotAt(4, 1, false)));
    REQUIRE(storage.save(entriesFrom(11, 12, 1)));
    REQUIRE(disk.append(fmt::format("log-{:020}", 2), "torn"));
  }
  auto disk = FileDisk::open(folder).value();
  LogStorage<FileDisk> storage(disk);
  const auto state = storage.recover("other");
  REQUIRE_MESSAGE(state.has_value(), state.error().detail);
  CHECK(state->diskId == "disk1");
  CHECK(state->entries.size() == 8);
  CHECK(storage.save(entriesFrom(13, 13, 1)));
  std::filesystem::remove_all(folder);
}
