#include "replication/StorageFormat.h"

#include <array>
#include <boost/crc.hpp>
#include <charconv>
#include <cstring>
#include <fmt/format.h>

namespace figchute::replication::detail {
namespace {

constexpr std::size_t kHeaderBytes = 8;
/** The start of every payload. It lets a search for a valid record compute few checksums. */
constexpr std::string_view kRecordMagic = "FGR1";

void appendUint32(std::string& bytes, std::uint32_t number)
{
  for (unsigned shift = 0; shift < 32; shift += 8) {
    bytes.push_back(static_cast<char>((number >> shift) & 0xFFU));
  }
}

std::uint32_t readUint32(std::string_view bytes, std::uint64_t offset)
{
  std::uint32_t number = 0;
  for (unsigned i = 0; i < 4; ++i) {
    number |= static_cast<std::uint32_t>(static_cast<unsigned char>(bytes[offset + i])) << (8U * i);
  }
  return number;
}

/** Returns the CRC-32 of length and payload. The length is included so that a damaged length is
    detected. */
std::uint32_t checksumOf(std::string_view length, std::string_view payload)
{
  boost::crc_32_type crc;
  crc.process_bytes(length.data(), length.size());
  crc.process_bytes(payload.data(), payload.size());
  return crc.checksum();
}

} // namespace

std::uint64_t encodedRecordSize(std::uint64_t payloadBytes)
{
  return kHeaderBytes + kRecordMagic.size() + payloadBytes;
}

std::string encodeRecord(std::string_view payload)
{
  std::string body(kRecordMagic);
  body += payload;
  std::string record;
  record.reserve(kHeaderBytes + body.size());
  appendUint32(record, static_cast<std::uint32_t>(body.size()));
  appendUint32(record, checksumOf(record, body));
  record += body;
  return record;
}

std::optional<std::string_view> decodeRecordAt(std::string_view file, std::uint64_t offset)
{
  if (file.size() < offset + encodedRecordSize(0)) {
    return std::nullopt;
  }
  const std::string_view rest = file.substr(offset);
  const std::uint64_t length = readUint32(rest, 0);
  const std::string_view body = rest.substr(kHeaderBytes);
  if (!body.starts_with(kRecordMagic) || length < kRecordMagic.size() || length > body.size()) {
    return std::nullopt;
  }
  const std::string_view recordBody = body.substr(0, length);
  if (checksumOf(rest.substr(0, 4), recordBody) != readUint32(rest, 4)) {
    return std::nullopt;
  }
  return recordBody.substr(kRecordMagic.size());
}

std::optional<std::uint64_t> findNextRecord(std::string_view file, std::uint64_t offset)
{
  for (std::uint64_t searchFrom = offset + kHeaderBytes;;) {
    const auto magicOffset = file.find(kRecordMagic, searchFrom);
    if (magicOffset == std::string_view::npos) {
      return std::nullopt;
    }
    if (decodeRecordAt(file, magicOffset - kHeaderBytes)) {
      return magicOffset - kHeaderBytes;
    }
    searchFrom = magicOffset + 1;
  }
}

std::string numberedFileName(std::string_view prefix, std::uint64_t number)
{
  return fmt::format("{}{:020}", prefix, number);
}

std::optional<std::uint64_t> parseFileNumber(std::string_view prefix, std::string_view name)
{
  if (!name.starts_with(prefix)) {
    return std::nullopt;
  }
  const std::string_view digits = name.substr(prefix.size());
  std::uint64_t number = 0;
  const auto parsed = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (parsed.ec != std::errc() || numberedFileName(prefix, number) != name) {
    return std::nullopt;
  }
  return number;
}

Expected<void> applyBatch(Batch batch, RecoveredState& state)
{
  if (batch.hasHardState) {
    state.hardState = std::move(batch.hardState);
  }
  if (batch.resetIndex > 0) {
    state.entries.clear();
  }
  for (auto& entry : batch.entries) {
    auto& entries = state.entries;
    if (!entries.empty() && entry.index <= entries.back().index) {
      const LogIndex keptCount =
        entry.index > entries.front().index ? entry.index - entries.front().index : 0;
      entries.resize(keptCount);
    }
    if (!entries.empty() && entry.index != entries.back().index + 1) {
      return fail(ErrorKind::storageCorrupt,
                  fmt::format("entry {} follows entry {}", entry.index, entries.back().index));
    }
    entries.push_back(std::move(entry));
  }
  return {};
}

Expected<void> trimToSnapshot(RecoveredState& state)
{
  auto& entries = state.entries;
  const auto& meta = state.snapshot.meta;
  if (entries.empty()) {
    return {};
  }
  const LogIndex first = entries.front().index;
  if (first > meta.index + 1) {
    return fail(ErrorKind::storageCorrupt,
                fmt::format("entries {} to {} are missing", meta.index + 1, first - 1));
  }
  if (first == meta.index + 1) {
    return {};
  }
  const std::uint64_t position = meta.index - first;
  // The snapshot came from the leader, but the process ended before it stored the record that
  // clears the log.
  if (position >= entries.size() || entries[position].term != meta.term) {
    entries.clear();
    return {};
  }
  entries.erase(entries.begin(), entries.begin() + static_cast<std::ptrdiff_t>(position) + 1);
  return {};
}

} // namespace figchute::replication::detail
