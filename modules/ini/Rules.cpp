#include "ini/Rules.h"

#include <algorithm>

namespace figchute::ini {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMinKeyBytes = 8;
constexpr std::size_t kMaxKeyBytes = 256;

bool isNameCharacter(char c)
{
  const auto isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return isLetter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

} // namespace

bool isName(std::string_view text)
{
  return !text.empty() && text.size() <= kMaxNameBytes && text.front() != '.' &&
         std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isKey(std::string_view text)
{
  return text.size() >= kMinKeyBytes && text.size() <= kMaxKeyBytes &&
         std::all_of(text.begin(), text.end(), [](char c) { return c > 0x20 && c < 0x7F; });
}

} // namespace figchute::ini
