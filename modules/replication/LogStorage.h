#pragma once

#include "core/Error.h"
#include "replication/Disk.h"
#include "replication/Entry.h"
#include "replication/LogNode.h"
#include "replication/StorageFormat.h"

#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace figchute::replication {

/** The settings of one LogStorage. */
struct StorageConfig
{
  /** A segment that has reached this size is closed and a new one is started. */
  std::uint64_t segmentBytes = 8UL * 1024 * 1024;
};

/** Stores one node's log in a data folder: segments `log-N` of records {length, CRC-32, payload},
    snapshots `snapshot-N` and the disk id in `identity`.
    Thread safety: use one instance from one thread at a time.
    @tparam D  the Disk that holds the folder */
template<Disk D>
class LogStorage
{
public:
  /** Opens the folder for one process.
      @param disk    the folder; it must outlive the storage
      @param config  the settings */
  explicit LogStorage(D& disk, StorageConfig config = {})
    : disk_(disk)
    , config_(config)
  {
  }

  /** Reads what the folder holds. A bad last record of the last segment is cut off. An empty folder
      gets the given disk id.
      @param newDiskId  a random id that no other folder has
      @returns the state to give to LogNode; storage_corrupt with file and offset when another
     record is bad or the folder has a log but no identity; storage_failed on an I/O error
      Precondition: it is the first call. */
  Expected<RecoveredState> recover(std::string_view newDiskId);

  /** Makes hard state, entries and snapshot of a Ready durable, with one sync when there is no
      snapshot and no new segment.
      @param ready  what LogNode::takeReady() returned
      @returns storage_failed on an I/O error; the storage then refuses every further call, because
      it is not known what reached the disk
      Precondition: recover() succeeded. */
  Expected<void> save(const Ready& ready);

private:
  Expected<void> saveParts(const Ready& ready);
  Expected<void> readSnapshot(const std::vector<std::string>& names, RecoveredState& state);
  Expected<void> readSegment(std::uint64_t number, bool last, RecoveredState& state);
  Expected<void> readIdentity(const std::vector<std::string>& names,
                              std::string_view newDiskId,
                              RecoveredState& state);
  Expected<void> writeWhole(std::string_view name, std::string_view bytes);
  Expected<void> saveSnapshot(const Snapshot& snapshot);
  Expected<void> removeCovered(LogIndex snapshotIndex);
  Expected<void> startSegment();
  Expected<void> appendBatch(const detail::Batch& batch);

  struct Segment
  {
    std::uint64_t number = 0;
    /** The largest index ever written to the segment. */
    LogIndex maxIndex = 0;
    std::uint64_t bytes = 0;
  };

  D& disk_;
  StorageConfig config_;
  std::vector<Segment> segments_;
  std::vector<std::uint64_t> snapshots_;
  HardState hardState_;
  bool failed_ = false;
};

} // namespace figchute::replication
