#include "fleet/ByteDelta.h"

#include <algorithm>
#include <unordered_map>
#include <xxhash.h>

namespace figchute::fleet {
namespace {

/** The old bytes are indexed by blocks of this size, so any common range of twice this size
    contains an indexed block. */
constexpr std::size_t kBlockBytes = 32;
/** The factor of the polynomial hash; odd, so that it is invertible modulo 2^64. */
constexpr std::uint64_t kHashFactor = 0x9E3779B97F4A7C15;
/** The approximate encoded size of a part without its literal bytes. */
constexpr std::size_t kPartBytes = 16;

std::uint64_t digestOfBytes(std::string_view bytes)
{
  return XXH3_64bits(bytes.data(), bytes.size());
}

std::size_t commonPrefix(std::string_view a, std::string_view b)
{
  const auto end = a.begin() + static_cast<std::ptrdiff_t>(std::min(a.size(), b.size()));
  return static_cast<std::size_t>(std::mismatch(a.begin(), end, b.begin()).first - a.begin());
}

std::size_t commonSuffix(std::string_view a, std::string_view b)
{
  const auto end = a.rbegin() + static_cast<std::ptrdiff_t>(std::min(a.size(), b.size()));
  return static_cast<std::size_t>(std::mismatch(a.rbegin(), end, b.rbegin()).first - a.rbegin());
}

/** The polynomial hash of a window of kBlockBytes bytes that moves over the bytes. */
class RollingHash
{
public:
  /** @param bytes  at least kBlockBytes; must outlive this object */
  explicit RollingHash(std::string_view bytes)
    : bytes_(bytes)
  {
    for (std::size_t i = 0; i < kBlockBytes; ++i) {
      value_ = value_ * kHashFactor + byteAt(i);
      oldestFactor_ *= i == 0 ? 1 : kHashFactor;
    }
  }

  [[nodiscard]] std::uint64_t value() const { return value_; }
  [[nodiscard]] std::size_t position() const { return position_; }
  [[nodiscard]] bool canAdvance() const { return position_ + kBlockBytes < bytes_.size(); }

  /** Moves the window by one byte. Precondition: canAdvance(). */
  void advance()
  {
    value_ -= byteAt(position_) * oldestFactor_;
    value_ = value_ * kHashFactor + byteAt(position_ + kBlockBytes);
    ++position_;
  }

private:
  [[nodiscard]] std::uint64_t byteAt(std::size_t i) const
  {
    return static_cast<unsigned char>(bytes_[i]);
  }

  std::string_view bytes_;
  std::uint64_t value_ = 0;
  std::uint64_t oldestFactor_ = 1;
  std::size_t position_ = 0;
};

/** The offset of the first block for each hash of a block. */
using BlockIndex = std::unordered_map<std::uint64_t, std::size_t>;

BlockIndex indexBlocks(std::string_view bytes)
{
  BlockIndex index;
  index.reserve(bytes.size() / kBlockBytes);
  for (std::size_t offset = 0; offset + kBlockBytes <= bytes.size(); offset += kBlockBytes) {
    index.try_emplace(RollingHash(bytes.substr(offset, kBlockBytes)).value(), offset);
  }
  return index;
}

/** A range that occurs in the old and in the new bytes. */
struct Match
{
  std::size_t oldOffset = 0;
  std::size_t newOffset = 0;
  std::size_t length = 0;
};

/** Returns the first match that contains a block of the old bytes.
    @param newBytes  at least kBlockBytes */
std::optional<Match> findMatch(const BlockIndex& index,
                               std::string_view oldBytes,
                               std::string_view newBytes)
{
  RollingHash window(newBytes);
  while (true) {
    if (const auto block = index.find(window.value()); block != index.end()) {
      const auto length =
        commonPrefix(oldBytes.substr(block->second), newBytes.substr(window.position()));
      if (length >= kBlockBytes) {
        return Match{ block->second, window.position(), length };
      }
    }
    if (!window.canAdvance()) {
      return std::nullopt;
    }
    window.advance();
  }
}

/** Collects the parts of a delta. */
class DeltaBuilder
{
public:
  /** Adds a range of the old bytes. */
  void addRange(std::size_t offset, std::size_t length)
  {
    if (length > 0) {
      delta_.parts.push_back({ offset, length, {} });
    }
  }

  void addLiteral(std::string_view bytes)
  {
    if (bytes.empty()) {
      return;
    }
    if (delta_.parts.empty()) {
      delta_.parts.emplace_back();
    }
    delta_.parts.back().literal += bytes;
  }

  ByteDelta finish(std::string_view newBytes)
  {
    delta_.digest = digestOfBytes(newBytes);
    return std::move(delta_);
  }

private:
  ByteDelta delta_;
};

/** Adds the parts of new bytes that have no prefix or suffix in common with the old bytes. */
void addParts(DeltaBuilder& builder, std::string_view oldBytes, std::string_view newBytes)
{
  const auto index = newBytes.size() < kBlockBytes ? BlockIndex() : indexBlocks(oldBytes);
  while (newBytes.size() >= kBlockBytes) {
    const auto match = findMatch(index, oldBytes, newBytes);
    if (!match) {
      break;
    }
    const auto unmatched = newBytes.substr(0, match->newOffset);
    const auto backward = commonSuffix(oldBytes.substr(0, match->oldOffset), unmatched);
    builder.addLiteral(unmatched.substr(0, unmatched.size() - backward));
    builder.addRange(match->oldOffset - backward, match->length + backward);
    newBytes.remove_prefix(match->newOffset + match->length);
  }
  builder.addLiteral(newBytes);
}

} // namespace

std::size_t ByteDelta::encodedBytes() const
{
  std::size_t bytes = 0;
  for (const auto& part : parts) {
    bytes += kPartBytes + part.literal.size();
  }
  return bytes;
}

ByteDelta makeDelta(std::string_view oldBytes, std::string_view newBytes)
{
  const auto prefix = commonPrefix(oldBytes, newBytes);
  const auto suffix = commonSuffix(oldBytes.substr(prefix), newBytes.substr(prefix));
  DeltaBuilder builder;
  builder.addRange(0, prefix);
  addParts(builder, oldBytes, newBytes.substr(prefix, newBytes.size() - prefix - suffix));
  builder.addRange(oldBytes.size() - suffix, suffix);
  return builder.finish(newBytes);
}

std::optional<std::string> applyDelta(std::string_view oldBytes,
                                      const ByteDelta& delta,
                                      std::size_t maxBytes)
{
  std::string newBytes;
  for (const auto& [offset, length, literal] : delta.parts) {
    const bool isInside = offset <= oldBytes.size() && length <= oldBytes.size() - offset;
    if (!isInside || newBytes.size() + length + literal.size() > maxBytes) {
      return std::nullopt;
    }
    newBytes += oldBytes.substr(offset, length);
    newBytes += literal;
  }
  return digestOfBytes(newBytes) == delta.digest ? std::optional(std::move(newBytes))
                                                 : std::nullopt;
}

} // namespace figchute::fleet
