#include "ini/Fault.h"

#include <algorithm>

namespace figchute::ini {
namespace {

// Longer values are truncated in messages so that a fault stays readable on one line.
constexpr std::size_t kMaxPrintedValueBytes = 80;

std::string toPrintable(const std::string& value)
{
  std::string text;
  for (const auto c : value.substr(0, kMaxPrintedValueBytes)) {
    text += static_cast<unsigned char>(c) < 0x20 || c == 0x7F ? '?' : c;
  }
  return value.size() > kMaxPrintedValueBytes ? text + "..." : text;
}

} // namespace

std::string toString(const Fault& fault)
{
  auto text = fault.line > 0 ? "line " + std::to_string(fault.line) + ": " : std::string();
  if (!fault.section.empty()) {
    text += "[" + toPrintable(fault.section) + "] ";
  }
  if (!fault.key.empty()) {
    text += toPrintable(fault.key) + " = ";
  }
  return text + "\"" + toPrintable(fault.found) + "\": expected " + fault.allowed;
}

std::string toString(const Faults& faults)
{
  std::string text;
  for (const auto& fault : faults) {
    text += (text.empty() ? "" : "\n") + toString(fault);
  }
  return text;
}

void sortByLine(Faults& faults)
{
  std::stable_sort(
    faults.begin(), faults.end(), [](const Fault& a, const Fault& b) { return a.line < b.line; });
}

} // namespace figchute::ini
