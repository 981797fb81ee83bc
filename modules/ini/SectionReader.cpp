#include "ini/SectionReader.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <system_error>

namespace figchute::ini {
namespace {

template<typename Number>
std::optional<Number> parseNumber(const std::string& text)
{
  Number number{};
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) {
    return std::nullopt;
  }
  return number;
}

std::string formatNumber(double number)
{
  char digits[32];
  const auto written =
    std::to_chars(digits, digits + sizeof(digits), number, std::chars_format::fixed);
  return std::string(digits, written.ptr);
}

template<typename Strings>
std::string join(const Strings& words)
{
  std::string text;
  for (const auto& word : words) {
    text.append(text.empty() ? "" : ", ").append(word);
  }
  return text;
}

std::string_view trim(std::string_view text)
{
  const auto begin = text.find_first_not_of(" \t");
  if (begin == std::string_view::npos) {
    return {};
  }
  return text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
}

} // namespace

SectionReader::SectionReader(const Section& section, Faults& faults)
  : section_(section)
  , faults_(faults)
{
}

const Entry* SectionReader::entry(std::string_view key, Presence presence)
{
  requestedKeys_.emplace_back(key);
  const auto* keyEntry = section_.find(key);
  if (keyEntry == nullptr && presence == Presence::required) {
    faults_.push_back(
      Fault{ section_.name, std::string(key), "missing", "a value", section_.line });
  }
  if (keyEntry != nullptr && keyEntry->value.empty()) {
    addFault(*keyEntry, "a value that is not empty");
    return nullptr;
  }
  return keyEntry;
}

const Entry* SectionReader::optionalEntry(std::string_view key)
{
  requestedKeys_.emplace_back(key);
  return section_.find(key);
}

std::optional<std::int64_t> SectionReader::integer(std::string_view key,
                                                   IntegerRange range,
                                                   Presence presence)
{
  const auto* keyEntry = entry(key, presence);
  if (keyEntry == nullptr) {
    return std::nullopt;
  }
  const auto number = parseNumber<std::int64_t>(keyEntry->value);
  if (!number || *number < range.min || *number > range.max) {
    addFault(*keyEntry,
             "an integer from " + std::to_string(range.min) + " to " + std::to_string(range.max));
    return std::nullopt;
  }
  return number;
}

std::optional<double> SectionReader::real(std::string_view key, RealRange range, Presence presence)
{
  const auto* keyEntry = entry(key, presence);
  if (keyEntry == nullptr) {
    return std::nullopt;
  }
  const auto number = parseNumber<double>(keyEntry->value);
  if (!number || !std::isfinite(*number) || *number < range.min || *number > range.max) {
    addFault(*keyEntry,
             "a number from " + formatNumber(range.min) + " to " + formatNumber(range.max));
    return std::nullopt;
  }
  return number;
}

std::optional<std::size_t> SectionReader::choice(std::string_view key,
                                                 const std::vector<std::string_view>& words,
                                                 Presence presence)
{
  const auto* keyEntry = entry(key, presence);
  if (keyEntry == nullptr) {
    return std::nullopt;
  }
  const auto wordIt = std::find(words.begin(), words.end(), keyEntry->value);
  if (wordIt == words.end()) {
    addFault(*keyEntry, "one of: " + join(words));
    return std::nullopt;
  }
  return static_cast<std::size_t>(wordIt - words.begin());
}

void SectionReader::addFault(const Entry& entry, std::string allowed)
{
  faults_.push_back(Fault{ section_.name, entry.key, entry.value, std::move(allowed), entry.line });
}

void SectionReader::rejectUnknownKeys()
{
  for (const auto& entry : section_.entries) {
    if (std::find(requestedKeys_.begin(), requestedKeys_.end(), entry.key) ==
        requestedKeys_.end()) {
      faults_.push_back(Fault{ section_.name,
                               entry.key,
                               "unknown key",
                               "one of the keys: " + join(requestedKeys_),
                               entry.line });
    }
  }
}

std::vector<std::string> splitList(std::string_view text)
{
  std::vector<std::string> parts;
  for (auto comma = text.find(','); comma != std::string_view::npos; comma = text.find(',')) {
    parts.emplace_back(trim(text.substr(0, comma)));
    text.remove_prefix(comma + 1);
  }
  parts.emplace_back(trim(text));
  return parts;
}

} // namespace figchute::ini
