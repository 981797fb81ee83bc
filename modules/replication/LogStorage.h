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
  /** When a segment has reached this size, a new one is started. */
  std::uint64_t segmentRotationBytes = 8UL * 1024 * 1024;
};

/** Stores the log of one node in a data folder: segments `log-N` with records {length, CRC-32,
    payload}, snapshots `snapshot-N`, and the disk id in `identity`.
    Thread safety: use one instance from one thread at a time.
    @tparam D  the Disk that holds the folder */
template<Disk D>
class LogStorage
{
public:
  /** Creates the storage; recover() opens the folder.
      @param disk    the folder; it must outlive the storage
      @param config  the settings */
  explicit LogStorage(D& disk, StorageConfig config = {})
    : disk_(disk)
    , config_(config)
  {
  }

  /** Reads the folder. An invalid last record of the last segment is a torn write and is removed.
      An empty folder gets the given disk id.
      @param newDiskId  a random id that no other folder has
      @returns the state for LogNode; storage_corrupt with file and offset when another record is
      invalid or the folder has a log but no identity; storage_failed on an I/O error
      Precondition: no other function was called before. */
  Expected<RecoveredState> recover(std::string_view newDiskId);

  /** Saves hard state, entries and snapshot of a Ready durably. Without a snapshot and a new
      segment this takes one sync.
      @param ready  the result of LogNode::takeReady()
      @returns storage_failed on an I/O error. All further calls then fail too, because it is not
      known which data reached the disk.
      Precondition: recover() succeeded. */
  Expected<void> save(const Ready& ready);

private:
  struct Segment
  {
    std::uint64_t number = 0;
    /** The highest index that was ever written to the segment. */
    LogIndex maxIndex = 0;
    std::uint64_t bytes = 0;
  };

  Expected<void> readIdentity(const std::vector<std::string>& names,
                              std::string_view newDiskId,
                              RecoveredState& state);
  Expected<void> readSnapshot(const std::vector<std::string>& names, RecoveredState& state);
  Expected<void> readSegments(const std::vector<std::string>& names, RecoveredState& state);
  Expected<void> readSegment(std::uint64_t number, bool last, RecoveredState& state);
  /** Rewrites the last segment with its valid part. The data that was read may be only in the page
      cache: after a failed sync, the system may drop the pages while a second sync reports success.
      The segment would then be corrupt although it is no longer the last one. */
  Expected<void> rewriteLastSegment(const std::string& name, std::string_view bytes);
  Expected<void> writeFileAtomically(std::string_view name, std::string_view bytes);
  Expected<void> saveReady(const Ready& ready);
  Expected<void> saveSnapshot(const Snapshot& snapshot);
  Expected<void> removeCoveredFiles(LogIndex snapshotIndex);
  Expected<void> startSegment(LogIndex resetIndex = 0);
  Expected<void> appendBatch(const detail::Batch& batch);

  D& disk_;
  StorageConfig config_;
  std::vector<Segment> segments_;
  std::vector<std::uint64_t> snapshotNumbers_;
  HardState hardState_;
  bool writeFailed_ = false;
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
      if (auto removeResult = disk_.remove(name); !removeResult) {
        return tl::unexpected(removeResult.error());
      }
    }
  }
  auto readResult = readIdentity(*names, newDiskId, state)
                      .and_then([&] { return readSnapshot(*names, state); })
                      .and_then([&] { return readSegments(*names, state); })
                      .and_then([&] { return detail::trimToSnapshot(state); });
  if (!readResult) {
    return tl::unexpected(readResult.error());
  }
  hardState_ = state.hardState;
  // When no stored entry follows the snapshot, the next entry may leave a gap to the stored ones,
  // so the new segment starts with a record that discards them.
  const LogIndex resetIndex = state.entries.empty() ? state.snapshot.meta.index : 0;
  // Further records go to a new segment; the segments that were read stay unchanged.
  if (auto startResult = startSegment(resetIndex); !startResult) {
    return tl::unexpected(startResult.error());
  }
  return state;
}

template<Disk D>
Expected<void> LogStorage<D>::readIdentity(const std::vector<std::string>& names,
                                           std::string_view newDiskId,
                                           RecoveredState& state)
{
  const auto hasNumberedFile = [&](std::string_view prefix) {
    return std::any_of(names.begin(), names.end(), [&](const std::string& name) {
      return detail::parseFileNumber(prefix, name).has_value();
    });
  };
  auto identity = disk_.read(detail::kIdentityName);
  if (identity) {
    const auto payload = detail::decodeRecordAt(*identity, 0);
    if (!payload) {
      return fail(ErrorKind::storageCorrupt, "file identity, offset 0: invalid record");
    }
    state.diskId = std::string(*payload);
    return {};
  }
  if (identity.error().kind != ErrorKind::notFound) {
    return tl::unexpected(identity.error());
  }
  if (hasNumberedFile(detail::kSegmentPrefix) || hasNumberedFile(detail::kSnapshotPrefix)) {
    return fail(ErrorKind::storageCorrupt,
                "file identity is missing, but the folder contains a log");
  }
  state.diskId = std::string(newDiskId);
  return writeFileAtomically(detail::kIdentityName, detail::encodeRecord(newDiskId));
}

template<Disk D>
Expected<void> LogStorage<D>::readSnapshot(const std::vector<std::string>& names,
                                           RecoveredState& state)
{
  for (const auto& name : names) {
    if (const auto number = detail::parseFileNumber(detail::kSnapshotPrefix, name)) {
      snapshotNumbers_.push_back(*number);
    }
  }
  if (snapshotNumbers_.empty()) {
    return {};
  }
  std::sort(snapshotNumbers_.begin(), snapshotNumbers_.end());
  const std::string name =
    detail::numberedFileName(detail::kSnapshotPrefix, snapshotNumbers_.back());
  const auto file = disk_.read(name);
  if (!file) {
    return tl::unexpected(file.error());
  }
  const auto payload = detail::decodeRecordAt(*file, 0);
  auto snapshot = payload ? wire::decode<Snapshot>(*payload)
                          : Expected<Snapshot>(fail(ErrorKind::storageCorrupt, "invalid record"));
  if (!snapshot) {
    return fail(ErrorKind::storageCorrupt, "file " + name + ", offset 0: invalid record");
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
    if (const auto number = detail::parseFileNumber(detail::kSegmentPrefix, name)) {
      numbers.push_back(*number);
    }
  }
  std::sort(numbers.begin(), numbers.end());
  for (std::size_t i = 0; i < numbers.size(); ++i) {
    if (i > 0 && numbers[i] != numbers[i - 1] + 1) {
      return fail(ErrorKind::storageCorrupt,
                  "file " + detail::numberedFileName(detail::kSegmentPrefix, numbers[i - 1] + 1) +
                    ", offset 0: the segment is missing");
    }
    auto readResult = readSegment(numbers[i], i + 1 == numbers.size(), state);
    if (!readResult) {
      return readResult;
    }
  }
  return {};
}

template<Disk D>
Expected<void> LogStorage<D>::readSegment(std::uint64_t number, bool last, RecoveredState& state)
{
  const std::string name = detail::numberedFileName(detail::kSegmentPrefix, number);
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
        return rewriteLastSegment(name, std::string_view(*file).substr(0, offset));
      }
      return fail(ErrorKind::storageCorrupt,
                  "file " + name + ", offset " + std::to_string(offset) + ": invalid record");
    }
    auto batch = wire::decode<detail::Batch>(*payload);
    auto applied = Expected<void>();
    if (batch) {
      for (const auto& entry : batch->entries) {
        segments_.back().maxIndex = std::max(segments_.back().maxIndex, entry.index);
      }
      applied = detail::applyBatch(std::move(*batch), state);
    } else {
      applied = tl::unexpected(batch.error());
    }
    if (!applied) {
      return fail(ErrorKind::storageCorrupt,
                  "file " + name + ", offset " + std::to_string(offset) + ": " +
                    applied.error().detail);
    }
    offset += detail::encodedRecordSize(payload->size());
  }
  return last ? rewriteLastSegment(name, *file) : Expected<void>();
}

template<Disk D>
Expected<void> LogStorage<D>::rewriteLastSegment(const std::string& name, std::string_view bytes)
{
  segments_.back().bytes = bytes.size();
  if (bytes.empty()) {
    return disk_.truncate(name, 0).and_then([&] { return disk_.sync(name); });
  }
  return writeFileAtomically(name, bytes);
}

template<Disk D>
Expected<void> LogStorage<D>::save(const Ready& ready)
{
  if (writeFailed_) {
    return fail(ErrorKind::storageFailed, "an earlier write to the data folder failed");
  }
  auto saveResult = saveReady(ready);
  writeFailed_ = !saveResult.has_value();
  return saveResult;
}

template<Disk D>
Expected<void> LogStorage<D>::saveReady(const Ready& ready)
{
  detail::Batch batch;
  if (ready.hardState) {
    batch.hasHardState = true;
    batch.hardState = *ready.hardState;
    hardState_ = *ready.hardState;
  }
  if (ready.snapshot) {
    if (auto saveResult = saveSnapshot(*ready.snapshot); !saveResult) {
      return saveResult;
    }
    batch.resetIndex = ready.restoreState ? ready.snapshot->meta.index : 0;
  }
  batch.entries = ready.entries;
  if (batch.hasHardState || batch.resetIndex > 0 || !batch.entries.empty()) {
    if (auto appendResult = appendBatch(batch); !appendResult) {
      return appendResult;
    }
  }
  if (ready.snapshot) {
    return startSegment().and_then([&] { return removeCoveredFiles(ready.snapshot->meta.index); });
  }
  return segments_.back().bytes >= config_.segmentRotationBytes ? startSegment() : Expected<void>();
}

template<Disk D>
Expected<void> LogStorage<D>::appendBatch(const detail::Batch& batch)
{
  Segment& segment = segments_.back();
  for (const auto& entry : batch.entries) {
    segment.maxIndex = std::max(segment.maxIndex, entry.index);
  }
  const std::string record = detail::encodeRecord(wire::encode(batch));
  const std::string name = detail::numberedFileName(detail::kSegmentPrefix, segment.number);
  segment.bytes += record.size();
  return disk_.append(name, record).and_then([&] { return disk_.sync(name); });
}

template<Disk D>
Expected<void> LogStorage<D>::startSegment(LogIndex resetIndex)
{
  // Reuses an empty last segment: a start on a full disk leaves one, and repeated starts must not
  // add a file each.
  if (segments_.empty()) {
    segments_.push_back(Segment{ 1, 0, 0 });
  } else if (segments_.back().bytes > 0) {
    segments_.push_back(Segment{ segments_.back().number + 1, 0, 0 });
  }
  detail::Batch firstBatch;
  firstBatch.hasHardState = true;
  firstBatch.hardState = hardState_;
  firstBatch.resetIndex = resetIndex;
  return appendBatch(firstBatch).and_then([&] { return disk_.syncFolder(); });
}

template<Disk D>
Expected<void> LogStorage<D>::saveSnapshot(const Snapshot& snapshot)
{
  const std::uint64_t number = snapshot.meta.index;
  auto writeResult = writeFileAtomically(detail::numberedFileName(detail::kSnapshotPrefix, number),
                                         detail::encodeRecord(wire::encode(snapshot)));
  if (writeResult && (snapshotNumbers_.empty() || snapshotNumbers_.back() != number)) {
    snapshotNumbers_.push_back(number);
  }
  return writeResult;
}

template<Disk D>
Expected<void> LogStorage<D>::writeFileAtomically(std::string_view name, std::string_view bytes)
{
  const std::string temporaryName = std::string(name) + std::string(detail::kTemporarySuffix);
  return disk_.append(temporaryName, bytes)
    .and_then([&] { return disk_.sync(temporaryName); })
    .and_then([&] { return disk_.rename(temporaryName, name); })
    .and_then([&] { return disk_.syncFolder(); });
}

template<Disk D>
Expected<void> LogStorage<D>::removeCoveredFiles(LogIndex snapshotIndex)
{
  while (segments_.size() > 1 && segments_.front().maxIndex <= snapshotIndex) {
    auto removeResult =
      disk_.remove(detail::numberedFileName(detail::kSegmentPrefix, segments_.front().number));
    if (!removeResult) {
      return removeResult;
    }
    segments_.erase(segments_.begin());
  }
  while (snapshotNumbers_.size() > 1) {
    auto removeResult =
      disk_.remove(detail::numberedFileName(detail::kSnapshotPrefix, snapshotNumbers_.front()));
    if (!removeResult) {
      return removeResult;
    }
    snapshotNumbers_.erase(snapshotNumbers_.begin());
  }
  return disk_.syncFolder();
}

} // namespace figchute::replication
