#include "gateway/JsonText.h"

namespace figchute::gateway {
namespace {

constexpr std::string_view kHexDigits = "0123456789abcdef";

void appendEscaped(std::string& out, unsigned char c)
{
  switch (c) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\r':
      out += "\\r";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      out += "\\u00";
      out += kHexDigits[c >> 4U];
      out += kHexDigits[c & 15U];
  }
}

bool needsEscape(unsigned char c)
{
  return c < 0x20 || c == '"' || c == '\\' || c == 0x7F;
}

} // namespace

void appendJsonString(std::string& out, std::string_view text)
{
  out += '"';
  std::size_t copiedEnd = 0;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const auto c = static_cast<unsigned char>(text[i]);
    if (needsEscape(c)) {
      out.append(text, copiedEnd, i - copiedEnd);
      appendEscaped(out, c);
      copiedEnd = i + 1;
    }
  }
  out.append(text, copiedEnd, text.size() - copiedEnd);
  out += '"';
}

std::string jsonQuote(std::string_view text)
{
  std::string out;
  out.reserve(text.size() + 2);
  appendJsonString(out, text);
  return out;
}

} // namespace figchute::gateway
