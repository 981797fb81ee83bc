#include "json/Scanner.h"

#include "core/Utf8.h"

#include <algorithm>
#include <utility>

namespace figchute::json::detail {
namespace {

// Shorter strings cost less in cxxtools than their bookkeeping does here.
constexpr std::size_t kMinLongBytes = 32;

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

unsigned hexUnitAt(std::string_view text, std::size_t at)
{
  unsigned unit = 0;
  for (const auto c : text.substr(at, 4)) {
    unit = unit * 16 + static_cast<unsigned>(hexDigit(c));
  }
  return unit;
}

void appendUtf8(std::string& out, unsigned codePoint)
{
  if (codePoint < 0x80) {
    out += static_cast<char>(codePoint);
    return;
  }
  if (codePoint < 0x800) {
    out += static_cast<char>(0xC0U | (codePoint >> 6U));
  } else if (codePoint < 0x10000) {
    out += static_cast<char>(0xE0U | (codePoint >> 12U));
    out += static_cast<char>(0x80U | ((codePoint >> 6U) & 0x3FU));
  } else {
    out += static_cast<char>(0xF0U | (codePoint >> 18U));
    out += static_cast<char>(0x80U | ((codePoint >> 12U) & 0x3FU));
    out += static_cast<char>(0x80U | ((codePoint >> 6U) & 0x3FU));
  }
  out += static_cast<char>(0x80U | (codePoint & 0x3FU));
}

// Appends the character of the escape that begins at a backslash and returns where it ends.
std::size_t appendEscape(std::string& out, std::string_view text, std::size_t at)
{
  constexpr std::string_view kNames = "bfnrt";
  constexpr std::string_view kCharacters = "\b\f\n\r\t";
  const auto name = text[at + 1];
  if (name != 'u') {
    const auto index = kNames.find(name);
    out += index == std::string_view::npos ? name : kCharacters[index];
    return at + 2;
  }
  const auto unit = hexUnitAt(text, at + 2);
  if (unit < 0xD800 || unit > 0xDFFF) {
    appendUtf8(out, unit);
    return at + 6;
  }
  const auto low = hexUnitAt(text, at + 8);
  appendUtf8(out, 0x10000 + ((unit - 0xD800) << 10U) + (low - 0xDC00));
  return at + 12;
}

std::string positionOf(std::string_view text, std::size_t at)
{
  const auto before = text.substr(0, at);
  const auto line = std::count(before.begin(), before.end(), '\n') + 1;
  const auto lastBreak = before.rfind('\n');
  const auto column = lastBreak == std::string_view::npos ? at + 1 : at - lastBreak;
  return "line " + std::to_string(line) + " column " + std::to_string(column);
}

} // namespace

std::string unescape(std::string_view content)
{
  std::string out;
  out.reserve(content.size());
  std::size_t at = 0;
  while (at < content.size()) {
    const auto escape = std::min(content.find('\\', at), content.size());
    out.append(content.substr(at, escape - at));
    at = escape < content.size() ? appendEscape(out, content, escape) : escape;
  }
  return out;
}

Scanner::Scanner(std::string_view text, std::size_t maxDepth)
  : text_(text)
  , maxDepth_(maxDepth)
{
}

Expected<ScannedText> Scanner::scan()
{
  const auto invalid = findInvalidUtf8(text_);
  if (invalid != std::string_view::npos) {
    at_ = invalid;
    fault("the text is not valid UTF-8");
  } else {
    skipSpace();
    copied_ = at_;
    if (value(0)) {
      copyUpTo(at_);
      skipSpace();
      if (!atEnd()) {
        fault("text after the JSON value");
      }
    }
  }
  if (!message_.empty()) {
    return fail(ErrorKind::badRequest, "JSON " + positionOf(text_, at_) + ": " + message_);
  }
  return std::move(result_);
}

void Scanner::skipSpace()
{
  while (!atEnd() && (peek() == ' ' || peek() == '\n' || peek() == '\t' || peek() == '\r')) {
    ++at_;
  }
}

// The recursion is bounded by maxDepth_. NOLINTBEGIN(misc-no-recursion)
bool Scanner::value(std::size_t depth)
{
  switch (peek()) {
    case '{':
      return object(depth + 1);
    case '[':
      return array(depth + 1);
    case '"':
      return stringValue();
    case 't':
      return word("true");
    case 'f':
      return word("false");
    case 'n':
      return word("null");
    default:
      return number();
  }
}

bool Scanner::object(std::size_t depth)
{
  if (depth > maxDepth_) {
    return fault("nesting is deeper than " + std::to_string(maxDepth_));
  }
  ++at_;
  skipSpace();
  if (peek() == '}') {
    ++at_;
    return true;
  }
  while (member(depth)) {
    skipSpace();
    if (peek() != ',') {
      return take('}');
    }
    ++at_;
    skipSpace();
  }
  return false;
}

bool Scanner::member(std::size_t depth)
{
  bool hasEscapes = false;
  if (!string(hasEscapes)) {
    return false;
  }
  skipSpace();
  if (!take(':')) {
    return false;
  }
  skipSpace();
  return value(depth);
}

bool Scanner::array(std::size_t depth)
{
  if (depth > maxDepth_) {
    return fault("nesting is deeper than " + std::to_string(maxDepth_));
  }
  ++at_;
  skipSpace();
  if (peek() == ']') {
    ++at_;
    return true;
  }
  while (value(depth)) {
    skipSpace();
    if (peek() != ',') {
      return take(']');
    }
    ++at_;
    skipSpace();
  }
  return false;
}
// NOLINTEND(misc-no-recursion)

bool Scanner::number()
{
  if (peek() == '-') {
    ++at_;
  }
  if (peek() == '0') {
    ++at_;
  } else if (!digits()) {
    return false;
  }
  if (peek() == '.') {
    ++at_;
    if (!digits()) {
      return false;
    }
  }
  if (peek() != 'e' && peek() != 'E') {
    return true;
  }
  ++at_;
  if (peek() == '+' || peek() == '-') {
    ++at_;
  }
  return digits();
}

bool Scanner::digits()
{
  if (!isDigit(peek())) {
    return fault("a JSON value or digit is expected");
  }
  while (isDigit(peek())) {
    ++at_;
  }
  return true;
}

bool Scanner::word(std::string_view expected)
{
  if (text_.substr(at_, expected.size()) != expected) {
    return fault("\"" + std::string(expected) + "\" is expected");
  }
  at_ += expected.size();
  return true;
}

bool Scanner::stringValue()
{
  const auto begin = at_ + 1;
  bool hasEscapes = false;
  if (!string(hasEscapes)) {
    return false;
  }
  const auto content = text_.substr(begin, at_ - 1 - begin);
  if (content.size() >= kMinLongBytes) {
    result_.longStrings.push_back(LongString{ strings_, content, hasEscapes });
    copyUpTo(begin);
    copied_ = at_ - 1;
  }
  ++strings_;
  return true;
}

bool Scanner::string(bool& hasEscapes)
{
  if (!take('"')) {
    return false;
  }
  while (!atEnd() && peek() != '"') {
    if (static_cast<unsigned char>(peek()) < 0x20) {
      return fault("a control character in a string must be escaped");
    }
    if (peek() == '\\') {
      hasEscapes = true;
      if (!escape()) {
        return false;
      }
    } else {
      ++at_;
    }
  }
  return take('"');
}

bool Scanner::escape()
{
  ++at_;
  if (peek() == 'u') {
    return unicodeEscape();
  }
  if (atEnd() || std::string_view("\"\\/bfnrt").find(peek()) == std::string_view::npos) {
    return fault("unknown escape in a string");
  }
  ++at_;
  return true;
}

bool Scanner::unicodeEscape()
{
  unsigned unit = 0;
  if (!hexUnit(unit)) {
    return false;
  }
  if (unit < 0xD800 || unit > 0xDFFF) {
    return true;
  }
  unsigned low = 0;
  if (unit > 0xDBFF || peek() != '\\') {
    return fault("surrogate without its pair");
  }
  ++at_;
  if (peek() != 'u' || !hexUnit(low) || low < 0xDC00 || low > 0xDFFF) {
    return fault("surrogate without its pair");
  }
  return true;
}

bool Scanner::hexUnit(unsigned& unit)
{
  ++at_;
  for (int i = 0; i < 4; ++i) {
    const auto digit = hexDigit(peek());
    if (digit < 0) {
      return fault("four hexadecimal digits are expected");
    }
    unit = unit * 16 + static_cast<unsigned>(digit);
    ++at_;
  }
  return true;
}

bool Scanner::take(char expected)
{
  if (atEnd()) {
    return fault("the text ends too early");
  }
  if (peek() != expected) {
    return fault(std::string("'") + expected + "' is expected");
  }
  ++at_;
  return true;
}

bool Scanner::fault(std::string_view message)
{
  if (message_.empty()) {
    message_ = message;
  }
  return false;
}

void Scanner::copyUpTo(std::size_t end)
{
  result_.reduced.append(text_.substr(copied_, end - copied_));
  copied_ = end;
}

} // namespace figchute::json::detail
