#pragma once

#include "core/Error.h"
#include "replication/Entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::replication {
/** The file format of LogStorage, which entry processes also use for their own files. */
namespace detail {

/** The data that one sync makes durable. It is stored as one record of a segment, so that a torn
    write loses either all of it or nothing. */
struct Batch
{
  bool hasHardState = false;
  HardState hardState;
  /** When not 0, a snapshot up to this index replaces all stored entries before @ref entries. */
  LogIndex resetIndex = 0;
  std::vector<Entry> entries;

  MSGPACK_DEFINE(hasHardState, hardState, resetIndex, entries)
};

/** Encodes one record: length, CRC-32 of length and payload, payload. The payload starts with a
    magic number, which both include. */
std::string encodeRecord(std::string_view payload);

/** Returns the payload of the record at an offset, or nothing when there is no valid record there.
    The view points into @p file. */
std::optional<std::string_view> decodeRecordAt(std::string_view file, std::uint64_t offset);

/** Returns the size in bytes of a record with a payload of @p payloadBytes. */
std::uint64_t encodedRecordSize(std::uint64_t payloadBytes);

/** Returns the offset of the first valid record at or after @p offset, or nothing when there is
    none. */
std::optional<std::uint64_t> findNextRecord(std::string_view file, std::uint64_t offset);

/** Returns the name of a segment or snapshot file. Padded numbers make the names sort by number. */
std::string numberedFileName(std::string_view prefix, std::uint64_t number);

/** Returns the number in a name made by numberedFileName() with @p prefix, or nothing for other
    names. */
std::optional<std::uint64_t> parseFileNumber(std::string_view prefix, std::string_view name);

/** Applies a batch to the state that was read so far.
    @returns storage_corrupt when the entries leave a gap; the caller adds file and offset to the
    error */
Expected<void> applyBatch(Batch batch, RecoveredState& state);

/** Removes the entries that the snapshot covers, or all of them when they conflict with it.
    @returns storage_corrupt when entries between the snapshot and the first entry are missing */
Expected<void> trimToSnapshot(RecoveredState& state);

/** The file that holds the disk id. */
constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";

} // namespace detail

} // namespace figchute::replication
