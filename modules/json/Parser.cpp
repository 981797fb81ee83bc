#include "json/Parser.h"

#include "core/Utf8.h"

#include <algorithm>
#include <charconv>
#include <system_error>
#include <utility>
#include <vector>

namespace figchute::json::detail {
namespace {

bool isDigit(char c)
{
  return c >= '0' && c <= '9';
}

int hexDigit(char c)
{
  if (isDigit(c)) {
    return c - '0';
  }
  if (c >= 'a' && c <= 'f') {
    return c - 'a' + 10;
  }
  return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

unsigned hexUnitAt(std::string_view text, std::size_t offset)
{
  unsigned codeUnit = 0;
  for (const auto c : text.substr(offset, 4)) {
    codeUnit = codeUnit * 16 + static_cast<unsigned>(hexDigit(c));
  }
  return codeUnit;
}

void appendUtf8(std::string& output, unsigned codePoint)
{
  if (codePoint < 0x80) {
    output += static_cast<char>(codePoint);
    return;
  }
  if (codePoint < 0x800) {
    output += static_cast<char>(0xC0U | (codePoint >> 6U));
  } else if (codePoint < 0x10000) {
    output += static_cast<char>(0xE0U | (codePoint >> 12U));
    output += static_cast<char>(0x80U | ((codePoint >> 6U) & 0x3FU));
  } else {
    output += static_cast<char>(0xF0U | (codePoint >> 18U));
    output += static_cast<char>(0x80U | ((codePoint >> 12U) & 0x3FU));
    output += static_cast<char>(0x80U | ((codePoint >> 6U) & 0x3FU));
  }
  output += static_cast<char>(0x80U | (codePoint & 0x3FU));
}

// Appends the character of the escape that starts at a backslash and returns the offset after the
// escape.
std::size_t appendEscape(std::string& output, std::string_view text, std::size_t offset)
{
  constexpr std::string_view kEscapeNames = "bfnrt";
  constexpr std::string_view kEscapedCharacters = "\b\f\n\r\t";
  const auto name = text[offset + 1];
  if (name != 'u') {
    const auto index = kEscapeNames.find(name);
    output += index == std::string_view::npos ? name : kEscapedCharacters[index];
    return offset + 2;
  }
  const auto codeUnit = hexUnitAt(text, offset + 2);
  if (codeUnit < 0xD800 || codeUnit > 0xDFFF) {
    appendUtf8(output, codeUnit);
    return offset + 6;
  }
  const auto lowSurrogate = hexUnitAt(text, offset + 8);
  appendUtf8(output, 0x10000 + ((codeUnit - 0xD800) << 10U) + (lowSurrogate - 0xDC00));
  return offset + 12;
}

std::string describePosition(std::string_view text, std::size_t offset)
{
  const auto before = text.substr(0, offset);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const auto lastLineBreak = before.rfind('\n');
  const auto column = lastLineBreak == std::string_view::npos ? offset + 1 : offset - lastLineBreak;
  return "line " + std::to_string(line) + " column " + std::to_string(column);
}

// Replaces the escapes of a string that was checked.
std::string unescape(std::string_view content)
{
  std::string output;
  output.reserve(content.size());
  std::size_t offset = 0;
  while (offset < content.size()) {
    const auto escapeOffset = std::min(content.find('\\', offset), content.size());
    output.append(content.substr(offset, escapeOffset - offset));
    offset =
      escapeOffset < content.size() ? appendEscape(output, content, escapeOffset) : escapeOffset;
  }
  return output;
}

} // namespace

Parser::Parser(std::string_view text, std::size_t maxDepth)
  : text_(text)
  , maxDepth_(maxDepth)
{
}

Expected<Value> Parser::parse()
{
  Value value;
  const auto invalidOffset = findInvalidUtf8(text_);
  if (invalidOffset != std::string_view::npos) {
    position_ = invalidOffset;
    setError("the text is not valid UTF-8");
  } else {
    skipSpace();
    if (parseValue(0, value)) {
      skipSpace();
      if (!atEnd()) {
        setError("unexpected text after the JSON value");
      }
    }
  }
  if (!errorMessage_.empty()) {
    return fail(ErrorKind::badRequest,
                "JSON " + describePosition(text_, position_) + ": " + errorMessage_);
  }
  return value;
}

void Parser::skipSpace()
{
  while (!atEnd() && (peek() == ' ' || peek() == '\n' || peek() == '\t' || peek() == '\r')) {
    ++position_;
  }
}

// maxDepth_ bounds the recursion. NOLINTBEGIN(misc-no-recursion)
bool Parser::parseValue(std::size_t depth, Value& value)
{
  switch (peek()) {
    case '{':
      return parseObject(depth + 1, value);
    case '[':
      return parseArray(depth + 1, value);
    case '"': {
      std::string text;
      const bool isValid = parseString(text);
      value = Value(std::move(text));
      return isValid;
    }
    case 't':
      return parseLiteral("true", Value(true), value);
    case 'f':
      return parseLiteral("false", Value(false), value);
    case 'n':
      return parseLiteral("null", Value(), value);
    default:
      return parseNumber(value);
  }
}

bool Parser::parseObject(std::size_t depth, Value& value)
{
  if (depth > maxDepth_) {
    return setError("nesting is deeper than " + std::to_string(maxDepth_));
  }
  Value::Object members;
  ++position_;
  skipSpace();
  while (peek() != '}' || !members.empty()) {
    if (!parseMember(depth, members.emplace_back())) {
      return false;
    }
    skipSpace();
    if (peek() != ',') {
      break;
    }
    ++position_;
    skipSpace();
  }
  if (!expectCharacter('}') || !checkNames(members)) {
    return false;
  }
  value = Value(std::move(members));
  return true;
}

bool Parser::parseMember(std::size_t depth, Member& member)
{
  if (!parseString(member.name)) {
    return false;
  }
  skipSpace();
  if (!expectCharacter(':')) {
    return false;
  }
  skipSpace();
  return parseValue(depth, member.value);
}

bool Parser::parseArray(std::size_t depth, Value& value)
{
  if (depth > maxDepth_) {
    return setError("nesting is deeper than " + std::to_string(maxDepth_));
  }
  Value::Array elements;
  ++position_;
  skipSpace();
  while (peek() != ']' || !elements.empty()) {
    if (!parseValue(depth, elements.emplace_back())) {
      return false;
    }
    skipSpace();
    if (peek() != ',') {
      break;
    }
    ++position_;
    skipSpace();
  }
  if (!expectCharacter(']')) {
    return false;
  }
  value = Value(std::move(elements));
  return true;
}
// NOLINTEND(misc-no-recursion)

bool Parser::checkNames(const Value::Object& members)
{
  std::vector<std::string_view> names;
  names.reserve(members.size());
  for (const auto& member : members) {
    names.emplace_back(member.name);
  }
  std::sort(names.begin(), names.end());
  const auto duplicate = std::adjacent_find(names.begin(), names.end());
  return duplicate == names.end() ||
         setError("member \"" + std::string(*duplicate) + "\" occurs more than once");
}

bool Parser::parseNumber(Value& value)
{
  const auto begin = position_;
  return skipNumber() && convertNumber(text_.substr(begin, position_ - begin), value);
}

bool Parser::convertNumber(std::string_view digits, Value& value)
{
  const auto* const end = digits.data() + digits.size();
  std::int64_t integer = 0;
  const auto integerResult = std::from_chars(digits.data(), end, integer);
  if (integerResult.ec == std::errc() && integerResult.ptr == end) {
    value = Value(integer);
    return true;
  }
  double real = 0;
  const auto realResult = std::from_chars(digits.data(), end, real);
  if (realResult.ec == std::errc() && realResult.ptr == end) {
    value = Value(real);
    return true;
  }
  return setError("number " + std::string(digits) + " is out of range");
}

bool Parser::skipNumber()
{
  if (peek() == '-') {
    ++position_;
  }
  if (peek() == '0') {
    ++position_;
  } else if (!skipDigits()) {
    return false;
  }
  if (peek() == '.') {
    ++position_;
    if (!skipDigits()) {
      return false;
    }
  }
  if (peek() != 'e' && peek() != 'E') {
    return true;
  }
  ++position_;
  if (peek() == '+' || peek() == '-') {
    ++position_;
  }
  return skipDigits();
}

bool Parser::skipDigits()
{
  if (!isDigit(peek())) {
    return setError("a JSON value or a digit is expected");
  }
  while (isDigit(peek())) {
    ++position_;
  }
  return true;
}

bool Parser::parseLiteral(std::string_view expected, Value literal, Value& value)
{
  if (text_.substr(position_, expected.size()) != expected) {
    return setError("\"" + std::string(expected) + "\" is expected");
  }
  position_ += expected.size();
  value = std::move(literal);
  return true;
}

bool Parser::parseString(std::string& output)
{
  if (!expectCharacter('"')) {
    return false;
  }
  const auto begin = position_;
  bool hasEscapes = false;
  while (!atEnd() && peek() != '"') {
    if (static_cast<unsigned char>(peek()) < 0x20) {
      return setError("a control character in a string must be escaped");
    }
    if (peek() == '\\') {
      hasEscapes = true;
      if (!skipEscape()) {
        return false;
      }
    } else {
      ++position_;
    }
  }
  const auto content = text_.substr(begin, position_ - begin);
  if (!expectCharacter('"')) {
    return false;
  }
  output = hasEscapes ? unescape(content) : std::string(content);
  return true;
}

bool Parser::skipEscape()
{
  ++position_;
  if (peek() == 'u') {
    return skipUnicodeEscape();
  }
  if (atEnd() || std::string_view("\"\\/bfnrt").find(peek()) == std::string_view::npos) {
    return setError("unknown escape in a string");
  }
  ++position_;
  return true;
}

bool Parser::skipUnicodeEscape()
{
  unsigned codeUnit = 0;
  if (!readHexUnit(codeUnit)) {
    return false;
  }
  if (codeUnit < 0xD800 || codeUnit > 0xDFFF) {
    return true;
  }
  unsigned lowSurrogate = 0;
  if (codeUnit > 0xDBFF || peek() != '\\') {
    return setError("unpaired surrogate");
  }
  ++position_;
  if (peek() != 'u' || !readHexUnit(lowSurrogate) || lowSurrogate < 0xDC00 ||
      lowSurrogate > 0xDFFF) {
    return setError("unpaired surrogate");
  }
  return true;
}

bool Parser::readHexUnit(unsigned& codeUnit)
{
  ++position_;
  for (int i = 0; i < 4; ++i) {
    const auto digit = hexDigit(peek());
    if (digit < 0) {
      return setError("four hexadecimal digits are expected");
    }
    codeUnit = codeUnit * 16 + static_cast<unsigned>(digit);
    ++position_;
  }
  return true;
}

bool Parser::expectCharacter(char expected)
{
  if (atEnd()) {
    return setError("unexpected end of the text");
  }
  if (peek() != expected) {
    return setError(std::string("'") + expected + "' is expected");
  }
  ++position_;
  return true;
}

bool Parser::setError(std::string_view message)
{
  if (errorMessage_.empty()) {
    errorMessage_ = message;
  }
  return false;
}

} // namespace figchute::json::detail
