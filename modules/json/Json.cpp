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
    : next_(longStrings.begin())
    , end_(longStrings.end())
  {
  }

  // The recursion is bounded by the depth that the scanner allows.
  // NOLINTNEXTLINE(misc-no-recursion)
  Expected<Value> convert(const SerializationInfo& info)
  {
    switch (info.category()) {
      case SerializationInfo::Object:
        return object(info);
      case SerializationInfo::Array:
        return array(info);
      default:
        return scalar(info);
    }
  }

private:
  // NOLINTNEXTLINE(misc-no-recursion)
  Expected<Value> object(const SerializationInfo& info)
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
    if (const auto* repeated = findRepeated(members)) {
      return fail(ErrorKind::badRequest, "JSON: member \"" + *repeated + "\" is repeated");
    }
    return Value(std::move(members));
  }

  // NOLINTNEXTLINE(misc-no-recursion)
  Expected<Value> array(const SerializationInfo& info)
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

  static const std::string* findRepeated(const Value::Object& members)
  {
    std::vector<const std::string*> names;
    names.reserve(members.size());
    for (const auto& member : members) {
      names.push_back(&member.name);
    }
    std::sort(names.begin(), names.end(), [](const auto* a, const auto* b) { return *a < *b; });
    const auto at = std::adjacent_find(
      names.begin(), names.end(), [](const auto* a, const auto* b) { return *a == *b; });
    return at == names.end() ? nullptr : *at;
  }

  Expected<Value> scalar(const SerializationInfo& info)
  {
    if (info.typeName() == "string") {
      return string(info);
    }
    if (info.isNull() || info.typeName() == "null") {
      return Value();
    }
    cxxtools::String wide;
    info.getValue(wide);
    const auto text = cxxtools::Utf8Codec::encode(wide);
    if (info.typeName() == "bool") {
      return Value(text == "true");
    }
    return number(text);
  }

  Value string(const SerializationInfo& info)
  {
    if (next_ != end_ && next_->ordinal == strings_) {
      ++strings_;
      const auto& found = *next_++;
      return found.hasEscapes ? Value(detail::unescape(found.content)) : Value(found.content);
    }
    ++strings_;
    cxxtools::String wide;
    info.getValue(wide);
    return Value(cxxtools::Utf8Codec::encode(wide));
  }

  static Expected<Value> number(const std::string& text)
  {
    const auto* const end = text.data() + text.size();
    std::int64_t integer = 0;
    const auto whole = std::from_chars(text.data(), end, integer);
    if (whole.ec == std::errc() && whole.ptr == end) {
      return Value(integer);
    }
    double real = 0;
    const auto parsed = std::from_chars(text.data(), end, real);
    if (parsed.ec == std::errc() && parsed.ptr == end) {
      return Value(real);
    }
    return fail(ErrorKind::badRequest, "JSON: number " + text + " is out of range");
  }

  std::vector<detail::LongString>::const_iterator next_;
  std::vector<detail::LongString>::const_iterator end_;
  std::size_t strings_ = 0;
};

Expected<Value> build(const detail::ScannedText& scanned)
{
  try {
    cxxtools::JsonDeserializer deserializer;
    deserializer.begin();
    for (const auto c : cxxtools::Utf8Codec::decode(scanned.reduced)) {
      deserializer.advance(c);
    }
    deserializer.finish();
    return Converter(scanned.longStrings).convert(deserializer.si());
  } catch (const std::exception& e) {
    return fail(ErrorKind::badRequest, std::string("JSON: ") + e.what());
  }
}

std::string replaceInvalidUtf8(std::string_view text)
{
  std::string valid;
  auto rest = text;
  for (auto at = findInvalidUtf8(rest); at != std::string_view::npos; at = findInvalidUtf8(rest)) {
    valid.append(rest.substr(0, at)).append("\xEF\xBF\xBD");
    rest.remove_prefix(at + 1);
  }
  valid.append(rest);
  return valid;
}

bool needsEscape(char c)
{
  return static_cast<unsigned char>(c) < 0x20 || c == '"' || c == '\\' || c == 0x7F;
}

void writeEscape(std::string& out, char c)
{
  constexpr std::string_view kCharacters = "\"\\\b\f\n\r\t";
  constexpr std::string_view kNames = "\"\\bfnrt";
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto index = kCharacters.find(c);
  if (index != std::string_view::npos) {
    out.append(1, '\\').append(1, kNames[index]);
    return;
  }
  const auto byte = static_cast<unsigned char>(c);
  out.append("\\u00").append(1, kDigits[byte >> 4U]).append(1, kDigits[byte & 15U]);
}

// The cxxtools formatter writes member names as Latin-1 and took 178 us for a string of 4 KiB.
void writeString(std::string& out, std::string_view text)
{
  if (findInvalidUtf8(text) != std::string_view::npos) {
    writeString(out, replaceInvalidUtf8(text));
    return;
  }
  out += '"';
  const auto* at = text.begin();
  while (at != text.end()) {
    const auto* const special = std::find_if(at, text.end(), needsEscape);
    out.append(at, special);
    at = special;
    if (at != text.end()) {
      writeEscape(out, *at++);
    }
  }
  out += '"';
}

void writeReal(std::string& out, double number)
{
  if (!std::isfinite(number)) {
    out += "null";
    return;
  }
  char digits[32];
  const auto written = std::to_chars(digits, digits + sizeof(digits), number);
  const std::string_view text(digits, static_cast<std::size_t>(written.ptr - digits));
  out += text;
  if (text.find_first_of(".e") == std::string_view::npos) {
    out += ".0";
  }
}

// The recursion follows the depth of the value. NOLINTBEGIN(misc-no-recursion)
void write(std::string& out, const Value& value)
{
  const char* separator = "";
  switch (value.kind()) {
    case Kind::null:
      out += "null";
      break;
    case Kind::boolean:
      out += *value.asBool() ? "true" : "false";
      break;
    case Kind::integer:
      out += std::to_string(*value.asInteger());
      break;
    case Kind::real:
      writeReal(out, *value.asNumber());
      break;
    case Kind::string:
      writeString(out, *value.asString());
      break;
    case Kind::array:
      out += '[';
      for (const auto& element : *value.asArray()) {
        out += separator;
        write(out, element);
        separator = ",";
      }
      out += ']';
      break;
    case Kind::object:
      out += '{';
      for (const auto& member : *value.asObject()) {
        out += separator;
        writeString(out, member.name);
        out += ':';
        write(out, member.value);
        separator = ",";
      }
      out += '}';
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
  const auto scanned = detail::Scanner(text, limits.maxDepth).scan();
  if (!scanned) {
    return tl::unexpected<Error>(scanned.error());
  }
  return build(*scanned);
}

std::string dump(const Value& value)
{
  std::string out;
  write(out, value);
  return out;
}

} // namespace figchute::json
