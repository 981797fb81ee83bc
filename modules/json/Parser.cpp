#include "json/Scanner.h"

#include "core/Utf8.h"

#include <algorithm>
#include <utility>

namespace figchute::json::detail {
namespace {

// For shorter strings, cxxtools is faster than the extra bookkeeping in the scanner.
constexpr std::size_t kMinLongStringBytes = 32;

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

} // namespace

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

Scanner::Scanner(std::string_view text, std::size_t maxDepth)
  : text_(text)
  , maxDepth_(maxDepth)
{
}

Expected<ScannedText> Scanner::scan()
{
  const auto invalidOffset = findInvalidUtf8(text_);
  if (invalidOffset != std::string_view::npos) {
    position_ = invalidOffset;
    setError("the text is not valid UTF-8");
  } else {
    skipSpace();
    copiedEnd_ = position_;
    if (scanValue(0)) {
      copyUpTo(position_);
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
  return std::move(result_);
}

void Scanner::skipSpace()
{
  while (!atEnd() && (peek() == ' ' || peek() == '\n' || peek() == '\t' || peek() == '\r')) {
    ++position_;
  }
}

// maxDepth_ bounds the recursion. NOLINTBEGIN(misc-no-recursion)
bool Scanner::scanValue(std::size_t depth)
{
  switch (peek()) {
    case '{':
      return scanObject(depth + 1);
    case '[':
      return scanArray(depth + 1);
    case '"':
      return scanStringValue();
    case 't':
      return scanLiteral("true");
    case 'f':
      return scanLiteral("false");
    case 'n':
      return scanLiteral("null");
    default:
      return scanNumber();
  }
}

bool Scanner::scanObject(std::size_t depth)
{
  if (depth > maxDepth_) {
    return setError("nesting is deeper than " + std::to_string(maxDepth_));
  }
  ++position_;
  skipSpace();
  if (peek() == '}') {
    ++position_;
    return true;
  }
  while (scanMember(depth)) {
    skipSpace();
    if (peek() != ',') {
      return expectCharacter('}');
    }
    ++position_;
    skipSpace();
  }
  return false;
}

bool Scanner::scanMember(std::size_t depth)
{
  bool hasEscapes = false;
  if (!scanString(hasEscapes)) {
    return false;
  }
  skipSpace();
  if (!expectCharacter(':')) {
    return false;
  }
  skipSpace();
  return scanValue(depth);
}

bool Scanner::scanArray(std::size_t depth)
{
  if (depth > maxDepth_) {
    return setError("nesting is deeper than " + std::to_string(maxDepth_));
  }
  ++position_;
  skipSpace();
  if (peek() == ']') {
    ++position_;
    return true;
  }
  while (scanValue(depth)) {
    skipSpace();
    if (peek() != ',') {
      return expectCharacter(']');
    }
    ++position_;
    skipSpace();
  }
  return false;
}
// NOLINTEND(misc-no-recursion)

bool Scanner::scanNumber()
{
  if (peek() == '-') {
    ++position_;
  }
  if (peek() == '0') {
    ++position_;
  } else if (!scanDigits()) {
    return false;
  }
  if (peek() == '.') {
    ++position_;
    if (!scanDigits()) {
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
  return scanDigits();
}

bool Scanner::scanDigits()
{
  if (!isDigit(peek())) {
    return setError("a JSON value or a digit is expected");
  }
  while (isDigit(peek())) {
    ++position_;
  }
  return true;
}

bool Scanner::scanLiteral(std::string_view expected)
{
  if (text_.substr(position_, expected.size()) != expected) {
    return setError("\"" + std::string(expected) + "\" is expected");
  }
  position_ += expected.size();
  return true;
}

bool Scanner::scanStringValue()
{
  const auto begin = position_ + 1;
  bool hasEscapes = false;
  if (!scanString(hasEscapes)) {
    return false;
  }
  const auto content = text_.substr(begin, position_ - 1 - begin);
  if (content.size() >= kMinLongStringBytes) {
    result_.longStrings.push_back(LongString{ stringCount_, content, hasEscapes });
    copyUpTo(begin);
    copiedEnd_ = position_ - 1;
  }
  ++stringCount_;
  return true;
}

bool Scanner::scanString(bool& hasEscapes)
{
  if (!expectCharacter('"')) {
    return false;
  }
  while (!atEnd() && peek() != '"') {
    if (static_cast<unsigned char>(peek()) < 0x20) {
      return setError("a control character in a string must be escaped");
    }
    if (peek() == '\\') {
      hasEscapes = true;
      if (!scanEscape()) {
        return false;
      }
    } else {
      ++position_;
    }
  }
  return expectCharacter('"');
}

bool Scanner::scanEscape()
{
  ++position_;
  if (peek() == 'u') {
    return scanUnicodeEscape();
  }
  if (atEnd() || std::string_view("\"\\/bfnrt").find(peek()) == std::string_view::npos) {
    return setError("unknown escape in a string");
  }
  ++position_;
  return true;
}

bool Scanner::scanUnicodeEscape()
{
  unsigned codeUnit = 0;
  if (!scanHexUnit(codeUnit)) {
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
  if (peek() != 'u' || !scanHexUnit(lowSurrogate) || lowSurrogate < 0xDC00 ||
      lowSurrogate > 0xDFFF) {
    return setError("unpaired surrogate");
  }
  return true;
}

bool Scanner::scanHexUnit(unsigned& codeUnit)
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

bool Scanner::expectCharacter(char expected)
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

bool Scanner::setError(std::string_view message)
{
  if (errorMessage_.empty()) {
    errorMessage_ = message;
  }
  return false;
}

void Scanner::copyUpTo(std::size_t end)
{
  result_.reduced.append(text_.substr(copiedEnd_, end - copiedEnd_));
  copiedEnd_ = end;
}

} // namespace figchute::json::detail
