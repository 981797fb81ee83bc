#include "core/Utf8.h"

#include <cstdint>
#include <cstring>

namespace figchute {
namespace {

constexpr std::uint32_t kMaxCodePoint = 0x10FFFF;

// Returns the length of the sequence that a lead byte starts; 0 if the byte cannot start a
// sequence.
std::size_t sequenceLength(std::uint8_t lead)
{
  if (lead < 0x80) {
    return 1;
  }
  if (lead >= 0xC2 && lead < 0xE0) {
    return 2;
  }
  if (lead >= 0xE0 && lead < 0xF0) {
    return 3;
  }
  return lead >= 0xF0 && lead < 0xF5 ? 4 : 0;
}

bool isAllowed(std::uint32_t codePoint, std::size_t length)
{
  if (length == 3) {
    return codePoint >= 0x800 && (codePoint < 0xD800 || codePoint > 0xDFFF);
  }
  return length != 4 || (codePoint >= 0x10000 && codePoint <= kMaxCodePoint);
}

bool isValidSequence(std::string_view sequence)
{
  const auto length = sequence.size();
  if (length == 1) {
    return true;
  }
  auto codePoint =
    static_cast<std::uint32_t>(static_cast<std::uint8_t>(sequence[0])) & (0x7FU >> length);
  for (std::size_t i = 1; i < length; ++i) {
    const auto byte = static_cast<std::uint8_t>(sequence[i]);
    if ((byte & 0xC0U) != 0x80U) {
      return false;
    }
    codePoint = (codePoint << 6U) | (byte & 0x3FU);
  }
  return isAllowed(codePoint, length);
}

// Skips ASCII bytes, eight in one step, and returns an offset at or before the next byte that is
// not ASCII.
std::size_t skipAscii(std::string_view text, std::size_t offset)
{
  std::uint64_t bytes = 0;
  while (offset + sizeof(bytes) <= text.size()) {
    std::memcpy(&bytes, text.data() + offset, sizeof(bytes));
    if ((bytes & 0x8080808080808080U) != 0) {
      return offset;
    }
    offset += sizeof(bytes);
  }
  return offset;
}

} // namespace

std::size_t findInvalidUtf8(std::string_view text)
{
  auto offset = skipAscii(text, 0);
  while (offset < text.size()) {
    const auto length = sequenceLength(static_cast<std::uint8_t>(text[offset]));
    if (length == 0 || offset + length > text.size() ||
        !isValidSequence(text.substr(offset, length))) {
      return offset;
    }
    offset = skipAscii(text, offset + length);
  }
  return std::string_view::npos;
}

} // namespace figchute
