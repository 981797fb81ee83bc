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

Ready snapshotUpTo(LogIndex index, Term term, bool restore)
{
  Ready ready;
  ready.snapshot = Snapshot{ SnapshotMeta{ index, term, {} }, "state" };
  ready.restoreState = restore;
  return ready;
}

Expected<RecoveredState> recoverFrom(MemoryDisk& disk)
{
  LogStorage<MemoryDisk> storage(disk);
  return storage.recover("other");
}

std::string lastSegmentName(MemoryDisk& disk)
{
  std::string lastSegment;
  const auto names = disk.list().value();
  for (const auto& name : names) {
    lastSegment = name.starts_with("log-") ? name : lastSegment;
  }
  return lastSegment;
}

} // namespace

// Guards against state that is lost or changed by a restart, and against a changed disk id.
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
  const auto state = recoverFrom(disk);
  REQUIRE(state);
  CHECK(state->diskId == "disk1");
  CHECK(state->hardState == HardState{ 1, ProcessId("a") });
  REQUIRE(state->entries.size() == 9);
  CHECK(state->entries[3].term == 2);
}

// Guards against one sync per entry: a batch must take a single sync.
TEST_CASE("LogStorage_batch_takesOneSync")
{
  MemoryDisk disk;
  LogStorage<MemoryDisk> storage(disk);
  REQUIRE(storage.recover("disk1"));
  const auto syncCountBefore = disk.syncCount();
  Ready ready = entriesFrom(1, 100, 1);
  ready.hardState = HardState{ 1, ProcessId("a") };
  REQUIRE(storage.save(ready));
  CHECK(disk.syncCount() == syncCountBefore + 1);
}

// Guards against a torn last record that makes recovery fail or leaves a part of a batch.
TEST_CASE("LogStorage_tornLastRecord_isRemovedAtEveryLength")
{
  MemoryDisk original;
  LogStorage<MemoryDisk> storage(original);
  REQUIRE(storage.recover("disk1"));
  REQUIRE(storage.save(entriesFrom(1, 3, 1)));
  const auto sizeBeforeLastRecord = original.read(lastSegmentName(original))->size();
  REQUIRE(storage.save(entriesFrom(4, 6, 1)));
  const auto fullSize = original.read(lastSegmentName(original))->size();
  for (auto size = sizeBeforeLastRecord; size < fullSize; ++size) {
    MemoryDisk disk = original;
    REQUIRE(disk.truncate(lastSegmentName(disk), size));
    REQUIRE(recoverFrom(disk)->entries.size() == 3);
    REQUIRE(recoverFrom(disk)->entries.size() == 3);
  }
}

// Guards against a damaged record that is treated as a torn write: the records after it would be
// lost.
TEST_CASE("LogStorage_damagedRecordBeforeLast_isReportedWithFileAndOffset")
{
  MemoryDisk original;
  LogStorage<MemoryDisk> storage(original);
  REQUIRE(storage.recover("disk1"));
  const auto recordStart = original.read(lastSegmentName(original))->size();
  REQUIRE(storage.save(entriesFrom(1, 3, 1)));
  const auto recordEnd = original.read(lastSegmentName(original))->size();
  REQUIRE(storage.save(entriesFrom(4, 6, 1)));
  for (auto offset = recordStart; offset < recordEnd; ++offset) {
    MemoryDisk disk = original;
    disk.corrupt(lastSegmentName(disk), offset);
    const auto state = recoverFrom(disk);
    REQUIRE_FALSE(state);
    CHECK(state.error().kind == ErrorKind::storageCorrupt);
    CHECK(state.error().detail.find(lastSegmentName(disk)) != std::string::npos);
    CHECK(state.error().detail.find("offset " + std::to_string(recordStart)) != std::string::npos);
  }
}

// Guards against damage that is not detected: in an earlier segment, a missing segment or a missing
// identity.
TEST_CASE("LogStorage_damagedOrMissingFile_isReported")
{
  MemoryDisk original;
  LogStorage<MemoryDisk> storage(original, StorageConfig{ 1 });
  REQUIRE(storage.recover("disk1"));
  REQUIRE(storage.save(entriesFrom(1, 1, 1)));
  REQUIRE(storage.save(entriesFrom(2, 2, 1)));
  const auto names = original.list().value();
  const std::string earlierSegment = names.at(2);
  MemoryDisk diskWithDamage = original;
  diskWithDamage.corrupt(earlierSegment, diskWithDamage.read(earlierSegment)->size() - 1);
  CHECK(recoverFrom(diskWithDamage).error().kind == ErrorKind::storageCorrupt);
  MemoryDisk diskWithoutSegment = original;
  REQUIRE(diskWithoutSegment.remove(earlierSegment));
  CHECK(recoverFrom(diskWithoutSegment).error().kind == ErrorKind::storageCorrupt);
  MemoryDisk diskWithoutIdentity = original;
  REQUIRE(diskWithoutIdentity.remove("identity"));
  CHECK(recoverFrom(diskWithoutIdentity).error().kind == ErrorKind::storageCorrupt);
}

// Guards against segments that are never removed, and against entries that are lost with removed
// segments.
TEST_CASE("LogStorage_snapshot_removesCoveredSegmentsOnly")
{
  MemoryDisk disk;
  LogStorage<MemoryDisk> storage(disk);
  REQUIRE(storage.recover("disk1"));
  REQUIRE(storage.save(entriesFrom(1, 10, 1)));
  REQUIRE(storage.save(snapshotUpTo(8, 1, false)));
  REQUIRE(storage.save(entriesFrom(11, 12, 1)));
  MemoryDisk diskCopy = disk;
  CHECK(recoverFrom(diskCopy)->entries.front().index == 9);
  REQUIRE(storage.save(snapshotUpTo(12, 1, false)));
  CHECK(disk.read(fmt::format("snapshot-{:020}", 8)).error().kind == ErrorKind::notFound);
  CHECK(disk.read(fmt::format("log-{:020}", 1)).error().kind == ErrorKind::notFound);
  CHECK(recoverFrom(disk)->entries.empty());
  CHECK(recoverFrom(disk)->snapshot.data == "state");
}

// Guards against entries of the old log that reappear after a snapshot from the leader.
TEST_CASE("LogStorage_leaderSnapshot_replacesTheLog")
{
  MemoryDisk disk;
  LogStorage<MemoryDisk> storage(disk);
  REQUIRE(storage.recover("disk1"));
  REQUIRE(storage.save(entriesFrom(1, 10, 1)));
  REQUIRE(storage.save(snapshotUpTo(9, 2, true)));
  // Recovers a copy, because recovery writes to the folder, which the first storage still uses.
  MemoryDisk diskCopy = disk;
  CHECK(recoverFrom(diskCopy)->entries.empty());
  REQUIRE(storage.save(entriesFrom(10, 11, 2)));
  const auto state = recoverFrom(disk);
  REQUIRE(state->entries.size() == 2);
  CHECK(state->entries.front().term == 2);
}

// Guards against a log that cannot be opened after a crash between storing the leader's snapshot
// and storing the record that discards the old log: the next entry left a gap to the old ones.
TEST_CASE("LogStorage_crashWhileSavingLeaderSnapshot_leavesNoGap")
{
  for (std::uint64_t operations = 0; operations < 12; ++operations) {
    MemoryDisk disk;
    Random random(operations);
    {
      LogStorage<MemoryDisk> storage(disk);
      REQUIRE(storage.recover("disk1"));
      REQUIRE(storage.save(entriesFrom(1, 5, 1)));
      disk.failAfterOperations(operations);
      static_cast<void>(storage.save(snapshotUpTo(20, 2, true)));
    }
    disk.crash(random);
    LogStorage<MemoryDisk> storage(disk);
    const auto state = storage.recover("other");
    REQUIRE(state.has_value());
    const LogIndex nextIndex = state->snapshot.meta.index + state->entries.size() + 1;
    REQUIRE(storage.save(entriesFrom(nextIndex, nextIndex + 1, 2)));
    const auto reopenedState = recoverFrom(disk);
    REQUIRE_MESSAGE(reopenedState.has_value(), reopenedState.error().detail);
    CHECK(reopenedState->snapshot.meta.index + reopenedState->entries.size() == nextIndex + 1);
  }
}

// Guards against a crash between any two disk operations that loses data of an earlier successful
// save or leaves a folder that cannot be opened.
TEST_CASE("LogStorage_crashAtAnyOperation_keepsAcknowledgedState")
{
  for (std::uint64_t operations = 0; operations < 60; ++operations) {
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
      MemoryDisk disk;
      Random random(seed);
      LogIndex savedIndex = 0;
      Term savedTerm = 0;
      disk.failAfterOperations(operations);
      {
        LogStorage<MemoryDisk> storage(disk, StorageConfig{ 300 });
        bool succeeded = storage.recover("disk1").has_value();
        for (LogIndex index = 1; succeeded && index < 12; ++index) {
          Ready ready = entriesFrom(index, index, 1);
          ready.hardState = HardState{ index, ProcessId("a") };
          succeeded = storage.save(ready).has_value();
          savedIndex = succeeded ? index : savedIndex;
          savedTerm = savedIndex;
          succeeded = succeeded && (index % 4 != 0 || storage.save(snapshotUpTo(index, 1, false)));
        }
      }
      disk.crash(random);
      const auto state = recoverFrom(disk);
      REQUIRE_MESSAGE(state.has_value(), state.error().detail);
      CHECK(state->hardState.term >= savedTerm);
      CHECK(state->snapshot.meta.index + state->entries.size() >= savedIndex);
    }
  }
}

// Guards against differences between FileDisk and MemoryDisk.
TEST_CASE("FileDisk_log_isRecoveredFromTheFileSystem")
{
  std::string folder = std::filesystem::temp_directory_path() / "figchute-storage-XXXXXX";
  REQUIRE(::mkdtemp(folder.data()) != nullptr);
  {
    auto disk = FileDisk::open(folder).value();
    LogStorage<FileDisk> storage(disk);
    REQUIRE(storage.recover("disk1"));
    REQUIRE(storage.save(entriesFrom(1, 10, 1)));
    REQUIRE(storage.save(snapshotUpTo(4, 1, false)));
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
