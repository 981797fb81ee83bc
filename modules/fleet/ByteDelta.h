#pragma once

#include "wire/Codec.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::fleet {

/** A range of the old bytes, followed by literal bytes. */
struct DeltaPart
{
  std::uint64_t offset = 0;
  std::uint64_t length = 0;
  std::string literal;
  MSGPACK_DEFINE(offset, length, literal)
};

/** Describes new bytes as ranges of old bytes and literal bytes. */
struct ByteDelta
{
  std::vector<DeltaPart> parts;
  /** XXH3 digest of the new bytes. */
  std::uint64_t digest = 0;
  MSGPACK_DEFINE(parts, digest)

  /** Returns the approximate size of the encoded delta, in bytes. */
  [[nodiscard]] std::size_t encodedBytes() const;
};

/** Returns a delta between two byte sequences. Ranges of 64 bytes or more that occur in both are
    found also when they moved. The cost is linear in the sizes. Safe from any thread. */
ByteDelta makeDelta(std::string_view oldBytes, std::string_view newBytes);

/** Applies a delta that may come from another process.
    @returns the new bytes; nothing if the delta does not fit the old bytes, if the result does not
             have the digest of the delta or if it exceeds @p maxBytes
    Thread safety: safe from any thread. */
std::optional<std::string> applyDelta(std::string_view oldBytes,
                                      const ByteDelta& delta,
                                      std::size_t maxBytes);

} // namespace figchute::fleet
