#pragma once

#include "core/Error.h"
#include "replication/Entry.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::replication {
/** The file format of LogStorage. */
namespace detail {

/** What one sync makes durable; it is one record of a segment, so a torn write loses all of it or
    nothing. */
struct Batch
{
  bool hasHardState = false;
  HardState hardState;
  /** When not 0, the stored entries are replaced by a snapshot that ends at this index. */
  LogIndex resetIndex = 0;
  std::vector<Entry> entries;

  MSGPACK_DEFINE(hasHardState, hardState, resetIndex, entries)
};

/** Encodes one record: length, CRC-32 of length and payload, payload. */
std::string encodeRecord(std::string_view payload);

/** Returns the payload of the record at an offset, or nothing when there is no valid record. The
    view points into @p file. */
std::optional<std::string_view> decodeRecordAt(std::string_view file, std::uint64_t offset);

/** Returns the bytes of a record with a payload of @p payloadBytes. */
std::uint64_t encodedRecordSize(std::uint64_t payloadBytes);

/** Returns the offset of the first valid record at or after @p offset, if any. */
std::optional<std::uint64_t> findNextRecord(std::string_view file, std::uint64_t offset);

/** Returns the name of a segment or snapshot file; names sort by number. */
std::string fileName(std::string_view prefix, std::uint64_t number);

/** Returns the number in a name that fileName() made with @p prefix, if it is one. */
std::optional<std::uint64_t> fileNumber(std::string_view prefix, std::string_view name);

/** Adds a batch to the entries read so far.
    @returns storage_corrupt when the entries leave a gap; the message lacks file and offset */
Expected<void> replay(Batch batch, RecoveredState& state);

/** Drops the entries that the snapshot covers, and all of them when they do not continue it. */
Expected<void> joinSnapshot(RecoveredState& state);

/** The file that holds the disk id. */
constexpr std::string_view kIdentityName = "identity";
constexpr std::string_view kSegmentPrefix = "log-";
constexpr std::string_view kSnapshotPrefix = "snapshot-";
constexpr std::string_view kTemporarySuffix = ".tmp";

} // namespace detail

} // namespace figchute::replication
