#include "json/Json.h"

#include "core/Utf8.h"
#include "json/Parser.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace figchute::json {
namespace {

std::string replaceInvalidUtf8(std::string_view text)
{
  std::string valid;
  auto remaining = text;
  for (auto offset = findInvalidUtf8(remaining); offset != std::string_view::npos;
       offset = findInvalidUtf8(remaining)) {
    valid.append(remaining.substr(0, offset)).append("\xEF\xBF\xBD");
    remaining.remove_prefix(offset + 1);
  }
  valid.append(remaining);
  return valid;
}

bool needsEscape(char c)
{
  return static_cast<unsigned char>(c) < 0x20 || c == '"' || c == '\\' || c == 0x7F;
}

void writeEscape(std::string& output, char c)
{
  constexpr std::string_view kEscapedCharacters = "\"\\\b\f\n\r\t";
  constexpr std::string_view kEscapeNames = "\"\\bfnrt";
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto index = kEscapedCharacters.find(c);
  if (index != std::string_view::npos) {
    output.append(1, '\\').append(1, kEscapeNames[index]);
    return;
  }
  const auto byte = static_cast<unsigned char>(c);
  output.append("\\u00").append(1, kDigits[byte >> 4U]).append(1, kDigits[byte & 15U]);
}

// Does not use the cxxtools formatter, which writes member names as Latin-1 and took 178 us for a
// string of 4 KiB.
void writeString(std::string& output, std::string_view text)
{
  if (findInvalidUtf8(text) != std::string_view::npos) {
    writeString(output, replaceInvalidUtf8(text));
    return;
  }
  output += '"';
  const auto* position = text.begin();
  while (position != text.end()) {
    const auto* const escapeIt = std::find_if(position, text.end(), needsEscape);
    output.append(position, escapeIt);
    position = escapeIt;
    if (position != text.end()) {
      writeEscape(output, *position++);
    }
  }
  output += '"';
}

void writeReal(std::string& output, double number)
{
  if (!std::isfinite(number)) {
    output += "null";
    return;
  }
  char digits[32];
  const auto result = std::to_chars(digits, digits + sizeof(digits), number);
  const std::string_view text(digits, static_cast<std::size_t>(result.ptr - digits));
  output += text;
  if (text.find_first_of(".e") == std::string_view::npos) {
    output += ".0";
  }
}

// The recursion depth is the nesting depth of the value. NOLINTBEGIN(misc-no-recursion)
void write(std::string& output, const Value& value)
{
  const char* separator = "";
  switch (value.kind()) {
    case Kind::null:
      output += "null";
      break;
    case Kind::boolean:
      output += *value.asBool() ? "true" : "false";
      break;
    case Kind::integer:
      output += std::to_string(*value.asInteger());
      break;
    case Kind::real:
      writeReal(output, *value.asNumber());
      break;
    case Kind::string:
      writeString(output, *value.asString());
      break;
    case Kind::array:
      output += '[';
      for (const auto& element : *value.asArray()) {
        output += separator;
        write(output, element);
        separator = ",";
      }
      output += ']';
      break;
    case Kind::object:
      output += '{';
      for (const auto& member : *value.asObject()) {
        output += separator;
        writeString(output, member.name);
        output += ':';
        write(output, member.value);
        separator = ",";
      }
      output += '}';
      break;
  }
}
// NOLINTEND(misc-no-recursion)

} // namespace

Expected<Value> parse(std::string_view text, const ParseLimits& limits)
{
  if (text.size() > limits.maxBytes) {
    return fail(ErrorKind::bodyTooLarge,
                "JSON text has " + std::to_string(text.size()) + " bytes; at most " +
                  std::to_string(limits.maxBytes) + " are allowed");
  }
  return detail::Parser(text, limits.maxDepth).parse();
}

std::string dump(const Value& value)
{
  std::string output;
  write(output, value);
  return output;
}

} // namespace figchute::json
