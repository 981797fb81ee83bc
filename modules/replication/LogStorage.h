#pragma once

#include "core/Error.h"
#include "replication/Disk.h"
#include "replication/Entry.h"
#include "replication/LogNode.h"
#include "replication/StorageFormat.h"

#include <algorithm>
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
  struct Segment
  {
    std::uint64_t number = 0;
    /** The largest index ever written to the segment. */
    LogIndex maxIndex = 0;
    std::uint64_t bytes = 0;
  };

  Expected<void> readIdentity(const std::vector<std::string>& names,
                              std::string_view newDiskId,
                              RecoveredState& state);
  Expected<void> readSnapshot(const std::vector<std::string>& names, RecoveredState& state);
  Expected<void> readSegments(const std::vector<std::string>& names, RecoveredState& state);
  Expected<void> readSegment(std::uint64_t number, bool last, RecoveredState& state);
  /** Writes the valid part of the last segment anew. What was read may be in the page cache only:
      after a failed sync, the system may drop the pages without another error, and the segment
      would be corrupt behind the next one. */
  Expected<void> rewriteLast(const std::string& name, std::string_view bytes);
  Expected<void> writeWhole(std::string_view name, std::string_view bytes);
  Expected<void> saveParts(const Ready& ready);
  Expected<void> saveSnapshot(const Snapshot& snapshot);
  Expected<void> removeCovered(LogIndex snapshotIndex);
  Expected<void> startSegment(LogIndex resetIndex = 0);
  Expected<void> appendBatch(const detail::Batch& batch);

  D& disk_;
  StorageConfig config_;
  std::vector<Segment> segments_;
  std::vector<std::uint64_t> snapshots_;
  HardState hardState_;
  bool failed_ = false;
};

template<Disk D>
Expected<RecoveredState> LogStorage<D>::recover(std::string_view newDiskId)
{
  RecoveredState state;
  const auto names = disk_.list();
  if (!names) {
    return tl::unexpected(names.error());
  }
  for (const auto& name : *names) {
    if (name.ends_with(detail::kTemporarySuffix)) {
      if (auto removed = disk_.remove(name); !removed) {
        return tl::unexpected(removed.error());
      }
    }
  }
  auto read = readIdentity(*names, newDiskId, state)
                .and_then([&] { return readSnapshot(*names, state); })
                .and_then([&] { return readSegments(*names, state); })
                .and_then([&] { return detail::joinSnapshot(state); });
  if (!read) {
    return tl::unexpected(read.error());
  }
  hardState_ = state.hardState;
  // When the snapshot covers or replaces all stored entries, the next entry may leave a gap to
  // them.
  const LogIndex resetIndex = state.entries.empty() ? state.snapshot.meta.index : 0;
  // A new segment keeps the file that was cut or read as it is.
  if (auto started = startSegment(resetIndex); !started) {
    return tl::unexpected(started.error());
  }
  return state;
}

template<Disk D>
Expected<void> LogStorage<D>::readIdentity(const std::vector<std::string>& names,
                                           std::string_view newDiskId,
                                           RecoveredState& state)
{
  const auto present = [&](std::string_view prefix) {
    return std::any_of(names.begin(), names.end(), [&](const std::string& name) {
      return detail::fileNumber(prefix, name).has_value();
    });
  };
  auto identity = disk_.read(detail::kIdentityName);
  if (identity) {
    const auto payload = detail::decodeRecordAt(*identity, 0);
    if (!payload) {
      return fail(ErrorKind::storageCorrupt, "file identity, offset 0: bad record");
    }
    state.diskId = std::string(*payload);
    return {};
  }
  if (identity.error().kind != ErrorKind::notFound) {
    return tl::unexpected(identity.error());
  }
  if (present(detail::kSegmentPrefix) || present(detail::kSnapshotPrefix)) {
    return fail(ErrorKind::storageCorrupt, "file identity is missing beside a log");
  }
  state.diskId = std::string(newDiskId);
  return writeWhole(detail::kIdentityName, detail::encodeRecord(newDiskId));
}

template<Disk D>
Expected<void> LogStorage<D>::readSnapshot(const std::vector<std::string>& names,
                                           RecoveredState& state)
{
  for (const auto& name : names) {
    if (const auto number = detail::fileNumber(detail::kSnapshotPrefix, name)) {
      snapshots_.push_back(*number);
    }
  }
  if (snapshots_.empty()) {
    return {};
  }
  std::sort(snapshots_.begin(), snapshots_.end());
  const std::string name = detail::fileName(detail::kSnapshotPrefix, snapshots_.back());
  const auto file = disk_.read(name);
  if (!file) {
    return tl::unexpected(file.error());
  }
  const auto payload = detail::decodeRecordAt(*file, 0);
  auto snapshot = payload ? wire::decode<Snapshot>(*payload)
                          : Expected<Snapshot>(fail(ErrorKind::storageCorrupt, "bad record"));
  if (!snapshot) {
    return fail(ErrorKind::storageCorrupt, "file " + name + ", offset 0: bad record");
  }
  state.snapshot = std::move(*snapshot);
  return {};
}

template<Disk D>
Expected<void> LogStorage<D>::readSegments(const std::vector<std::string>& names,
                                           RecoveredState& state)
{
  std::vector<std::uint64_t> numbers;
  for (const auto& name : names) {
    if (const auto number = detail::fileNumber(detail::kSegmentPrefix, name)) {
      numbers.push_back(*number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && numbers[i] != numbers[i - 1] + 1) {
      return fail(ErrorKind::storageCorrupt,
                  "file " + detail::fileName(detail::kSegmentPrefix, numbers[i - 1] + 1) +
                    ", offset 0: the segment is missing");
    }
    auto read = readSegment(numbers[i], i + 1 == numbers.size(), state);
    if (!read) {
      return read;
    }
  }
  return {};
}

template<Disk D>
Expected<void> LogStorage<D>::readSegment(std::uint64_t number, bool last, RecoveredState& state)
{
  const std::string name = detail::fileName(detail::kSegmentPrefix, number);
  const auto file = disk_.read(name);
  if (!file) {
    return tl::unexpected(file.error());
  }
  segments_.push_back(Segment{ number, 0, file->size() });
  std::uint64_t offset = 0;
  while (offset < file->size()) {
    const auto payload = detail::decodeRecordAt(*file, offset);
    if (!payload) {
      const bool torn = last && !detail::findNextRecord(*file, offset + 1);
      if (torn) {
        return rewriteLast(name, std::string_view(*file).substr(0, offset));
      }
      return fail(ErrorKind::storageCorrupt,
                  "file " + name + ", offset " + std::to_string(offset) + ": bad record");
    }
    auto batch = wire::decode<detail::Batch>(*payload);
    auto replayed = Expected<void>();
    if (batch) {
      for (const auto& entry : batch->entries) {
        segments_.back().maxIndex = std::max(segments_.back().maxIndex, entry.index);
      }
      replayed = detail::replay(std::move(*batch), state);
    } else {
      replayed = tl::unexpected(batch.error());
    }
    if (!replayed) {
      return fail(ErrorKind::storageCorrupt,
                  "file " + name + ", offset " + std::to_string(offset) + ": " +
                    replayed.error().detail);
    }
    offset += detail::encodedRecordSize(payload->size());
  }
  return last ? rewriteLast(name, *file) : Expected<void>();
}

template<Disk D>
Expected<void> LogStorage<D>::rewriteLast(const std::string& name, std::string_view bytes)
{
  segments_.back().bytes = bytes.size();
  if (bytes.empty()) {
    return disk_.truncate(name, 0).and_then([&] { return disk_.sync(name); });
  }
  return writeWhole(name, bytes);
}

template<Disk D>
Expected<void> LogStorage<D>::save(const Ready& ready)
{
  if (failed_) {
    return fail(ErrorKind::storageFailed, "an earlier write to the data folder failed");
  }
  auto saved = saveParts(ready);
  failed_ = !saved.has_value();
  return saved;
}

template<Disk D>
Expected<void> LogStorage<D>::saveParts(const Ready& ready)
{
  detail::Batch batch;
  if (ready.hardState) {
    batch.hasHardState = true;
    batch.hardState = *ready.hardState;
    hardState_ = *ready.hardState;
  }
  if (ready.snapshot) {
    if (auto saved = saveSnapshot(*ready.snapshot); !saved) {
      return saved;
    }
    batch.resetIndex = ready.restoreState ? ready.snapshot->meta.index : 0;
  }
  batch.entries = ready.entries;
  if (batch.hasHardState || batch.resetIndex > 0 || !batch.entries.empty()) {
    if (auto appended = appendBatch(batch); !appended) {
      return appended;
    }
  }
  if (ready.snapshot) {
    return startSegment().and_then([&] { return removeCovered(ready.snapshot->meta.index); });
  }
  return segments_.back().bytes >= config_.segmentBytes ? startSegment() : Expected<void>();
}

template<Disk D>
Expected<void> LogStorage<D>::appendBatch(const detail::Batch& batch)
{
  Segment& segment = segments_.back();
  for (const auto& entry : batch.entries) {
    segment.maxIndex = std::max(segment.maxIndex, entry.index);
  }
  const std::string record = detail::encodeRecord(wire::encode(batch));
  const std::string name = detail::fileName(detail::kSegmentPrefix, segment.number);
  segment.bytes += record.size();
  return disk_.append(name, record).and_then([&] { return disk_.sync(name); });
}

template<Disk D>
Expected<void> LogStorage<D>::startSegment(LogIndex resetIndex)
{
  // A start on a full disk leaves an empty segment; further starts must not add one each.
  if (segments_.empty()) {
    segments_.push_back(Segment{ 1, 0, 0 });
  } else if (segments_.back().bytes > 0) {
    segments_.push_back(Segment{ segments_.back().number + 1, 0, 0 });
  }
  detail::Batch first;
  first.hasHardState = true;
  first.hardState = hardState_;
  first.resetIndex = resetIndex;
  return appendBatch(first).and_then([&] { return disk_.syncFolder(); });
}

template<Disk D>
Expected<void> LogStorage<D>::saveSnapshot(const Snapshot& snapshot)
{
  const std::uint64_t number = snapshot.meta.index;
  auto written = writeWhole(detail::fileName(detail::kSnapshotPrefix, number),
                            detail::encodeRecord(wire::encode(snapshot)));
  if (written && (snapshots_.empty() || snapshots_.back() != number)) {
    snapshots_.push_back(number);
  }
  return written;
}

template<Disk D>
Expected<void> LogStorage<D>::writeWhole(std::string_view name, std::string_view bytes)
{
  const std::string temporary = std::string(name) + std::string(detail::kTemporarySuffix);
  return disk_.append(temporary, bytes)
    .and_then([&] { return disk_.sync(temporary); })
    .and_then([&] { return disk_.rename(temporary, name); })
    .and_then([&] { return disk_.syncFolder(); });
}

template<Disk D>
Expected<void> LogStorage<D>::removeCovered(LogIndex snapshotIndex)
{
  while (segments_.size() > 1 && segments_.front().maxIndex <= snapshotIndex) {
    auto removed = disk_.remove(detail::fileName(detail::kSegmentPrefix, segments_.front().number));
    if (!removed) {
      return removed;
    }
    segments_.erase(segments_.begin());
  }
  while (snapshots_.size() > 1) {
    auto removed = disk_.remove(detail::fileName(detail::kSnapshotPrefix, snapshots_.front()));
    if (!removed) {
      return removed;
    }
    snapshots_.erase(snapshots_.begin());
  }
  return disk_.syncFolder();
}

} // namespace figchute::replication
