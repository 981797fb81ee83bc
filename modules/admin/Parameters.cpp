#include "admin/Parameters.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace figchute::admin {
namespace {

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxChangeIdBytes = 128;

bool isNameCharacter(char c)
{
  const auto isLetter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  return isLetter || (c >= '0' && c <= '9') || c == '-' || c == '_' || c == '.';
}

bool isVisibleCharacter(char c)
{
  return c > 0x20 && c < 0x7F;
}

std::optional<std::string> decodePercentEscapes(std::string_view text)
{
  std::string decoded;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] != '%') {
      decoded += text[i] == '+' ? ' ' : text[i];
      continue;
    }
    if (i + 2 >= text.size()) {
      return std::nullopt;
    }
    unsigned byteValue = 0;
    const auto* const end = text.data() + i + 3;
    const auto parsed = std::from_chars(text.data() + i + 1, end, byteValue, 16);
    if (parsed.ec != std::errc() || parsed.ptr != end) {
      return std::nullopt;
    }
    decoded += static_cast<char>(byteValue);
    i += 2;
  }
  return decoded;
}

} // namespace

bool isName(std::string_view text)
{
  return !text.empty() && text.size() <= kMaxNameBytes && text.front() != '.' &&
         std::all_of(text.begin(), text.end(), isNameCharacter);
}

bool isChangeId(std::string_view text)
{
  return !text.empty() && text.size() <= kMaxChangeIdBytes &&
         std::all_of(text.begin(), text.end(), isVisibleCharacter);
}

std::optional<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t max)
{
  std::uint64_t number = 0;
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end || number > max) {
    return std::nullopt;
  }
  return number;
}

Expected<Parameters> parseQuery(std::string_view query,
                                std::initializer_list<std::string_view> allowed)
{
  Parameters parameters;
  while (!query.empty()) {
    const auto end = std::min(query.find('&'), query.size());
    const auto pair = query.substr(0, end);
    query.remove_prefix(std::min(end + 1, query.size()));
    const auto equalsOffset = std::min(pair.find('='), pair.size());
    const auto name = std::string(pair.substr(0, equalsOffset));
    auto value = decodePercentEscapes(pair.substr(std::min(equalsOffset + 1, pair.size())));
    if (std::find(allowed.begin(), allowed.end(), name) == allowed.end()) {
      return fail(ErrorKind::badRequest, "unknown query parameter \"" + name + "\"");
    }
    if (!value || !parameters.emplace(name, std::move(*value)).second) {
      return fail(ErrorKind::badRequest,
                  "query parameter \"" + name + "\" is malformed or repeated");
    }
  }
  return parameters;
}

bool equalsSecret(std::string_view candidate, std::string_view secret)
{
  volatile unsigned difference = candidate.size() == secret.size() ? 0 : 1;
  for (std::size_t i = 0; i < candidate.size(); ++i) {
    const auto expected = static_cast<unsigned char>(secret[i % secret.size()]);
    difference = difference | (static_cast<unsigned char>(candidate[i]) ^ expected);
  }
  return difference == 0;
}

} // namespace figchute::admin
