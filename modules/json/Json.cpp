#include "json/Json.h"

#include "core/Utf8.h"
#include "json/Scanner.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <cxxtools/jsondeserializer.h>
#include <cxxtools/serializationinfo.h>
#include <cxxtools/utf8codec.h>
#include <system_error>

namespace figchute::json {
namespace {

using cxxtools::SerializationInfo;

// Builds the Value tree from the cxxtools tree, in text order.
class Converter
{
public:
  explicit Converter(const std::vector<detail::LongString>& longStrings)
    : nextLongString_(longStrings.begin())
    , longStringsEnd_(longStrings.end())
  {
  }

  // The scanner limits the nesting depth, which bounds the recursion.
  // NOLINTNEXTLINE(misc-no-recursion)
  Expected<Value> convert(const SerializationInfo& info)
  {
    switch (info.category()) {
      case SerializationInfo::Object:
        return convertObject(info);
      case SerializationInfo::Array:
        return convertArray(info);
      default:
        return convertScalar(info);
    }
  }

private:
  // NOLINTNEXTLINE(misc-no-recursion)
  Expected<Value> convertObject(const SerializationInfo& info)
  {
    Value::Object members;
    members.reserve(info.memberCount());
    for (const auto& member : info) {
      auto value = convert(member);
      if (!value) {
        return value;
      }
      members.push_back(Member{ member.name(), std::move(*value) });
    }
    if (const auto* duplicateName = findDuplicateName(members)) {
      return fail(ErrorKind::badRequest,
                  "JSON: member \"" + *duplicateName + "\" occurs more than once");
    }
    return Value(std::move(members));
  }

  // NOLINTNEXTLINE(misc-no-recursion)
  Expected<Value> convertArray(const SerializationInfo& info)
  {
    Value::Array elements;
    elements.reserve(info.memberCount());
    for (const auto& element : info) {
      auto value = convert(element);
      if (!value) {
        return value;
      }
      elements.push_back(std::move(*value));
    }
    return Value(std::move(elements));
  }

  static const std::string* findDuplicateName(const Value::Object& members)
  {
    std::vector<const std::string*> names;
    names.reserve(members.size());
    for (const auto& member : members) {
      names.push_back(&member.name);
    }
    std::sort(names.begin(), names.end(), [](const auto* a, const auto* b) { return *a < *b; });
    const auto nameIt = std::adjacent_find(
      names.begin(), names.end(), [](const auto* a, const auto* b) { return *a == *b; });
    return nameIt == names.end() ? nullptr : *nameIt;
  }

  Expected<Value> convertScalar(const SerializationInfo& info)
  {
    if (info.typeName() == "string") {
      return convertString(info);
    }
    if (info.isNull() || info.typeName() == "null") {
      return Value();
    }
    cxxtools::String unicodeText;
    info.getValue(unicodeText);
    const auto text = cxxtools::Utf8Codec::encode(unicodeText);
    if (info.typeName() == "bool") {
      return Value(text == "true");
    }
    return convertNumber(text);
  }

  Value convertString(const SerializationInfo& info)
  {
    if (nextLongString_ != longStringsEnd_ && nextLongString_->ordinal == stringCount_) {
      ++stringCount_;
      const auto& longString = *nextLongString_++;
      return longString.hasEscapes ? Value(detail::unescape(longString.content))
                                   : Value(longString.content);
    }
    ++stringCount_;
    cxxtools::String unicodeText;
    info.getValue(unicodeText);
    return Value(cxxtools::Utf8Codec::encode(unicodeText));
  }

  static Expected<Value> convertNumber(const std::string& text)
  {
    const auto* const end = text.data() + text.size();
    std::int64_t integer = 0;
    const auto integerResult = std::from_chars(text.data(), end, integer);
    if (integerResult.ec == std::errc() && integerResult.ptr == end) {
      return Value(integer);
    }
    double real = 0;
    const auto realResult = std::from_chars(text.data(), end, real);
    if (realResult.ec == std::errc() && realResult.ptr == end) {
      return Value(real);
    }
    return fail(ErrorKind::badRequest, "JSON: number " + text + " is out of range");
  }

  std::vector<detail::LongString>::const_iterator nextLongString_;
  std::vector<detail::LongString>::const_iterator longStringsEnd_;
  std::size_t stringCount_ = 0;
};

Expected<Value> buildValue(const detail::ScannedText& scannedText)
{
  try {
    cxxtools::JsonDeserializer deserializer;
    deserializer.begin();
    for (const auto c : cxxtools::Utf8Codec::decode(scannedText.reduced)) {
      deserializer.advance(c);
    }
    deserializer.finish();
    return Converter(scannedText.longStrings).convert(deserializer.si());
  } catch (const std::exception& error) {
    return fail(ErrorKind::badRequest, std::string("JSON: ") + error.what());
  }
}

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
  const auto scannedText = detail::Scanner(text, limits.maxDepth).scan();
  if (!scannedText) {
    return tl::unexpected<Error>(scannedText.error());
  }
  return buildValue(*scannedText);
}

std::string dump(const Value& value)
{
  std::string output;
  write(output, value);
  return output;
}

} // namespace figchute::json
