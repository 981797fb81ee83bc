#include "trace/LogLine.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace figchute::trace {
namespace {

constexpr std::string_view kTimeField = "time=";
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
/** Larger times do not fit into 64 bits of microseconds. */
constexpr std::int64_t kMaxSeconds = INT64_MAX / kMicrosPerSecond - 1;

std::optional<std::int64_t> parseNumber(std::string_view digits)
{
  // from_chars() would accept a sign.
  if (digits.empty() || digits.find_first_not_of("0123456789") != std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const auto* const end = digits.data() + digits.size();
  const auto result = std::from_chars(digits.data(), end, number);
  return result.ec == std::errc() && result.ptr == end ? std::optional(number) : std::nullopt;
}

std::optional<Time> parseTime(const std::string& text)
{
  constexpr std::size_t kFractionDigits = 6;
  const auto pointOffset = text.find('.');
  if (pointOffset == std::string::npos || text.size() - pointOffset - 1 > kFractionDigits) {
    return std::nullopt;
  }
  auto fractionDigits = text.substr(pointOffset + 1);
  fractionDigits.resize(kFractionDigits, '0');
  const auto seconds = parseNumber(std::string_view(text).substr(0, pointOffset));
  const auto micros = parseNumber(fractionDigits);
  if (!seconds || !micros || *seconds > kMaxSeconds) {
    return std::nullopt;
  }
  return Time{ *seconds * kMicrosPerSecond + *micros };
}

/** Reads the fields of a line one after the other. */
class FieldScanner
{
public:
  explicit FieldScanner(std::string_view text)
    : remaining_(text)
  {
  }

  [[nodiscard]] bool atEnd() const { return remaining_.empty(); }

  // Returns std::nullopt if the text at the current position is not a field.
  std::optional<LogField> next()
  {
    const auto equalsOffset = remaining_.find('=');
    if (equalsOffset == std::string_view::npos || equalsOffset == 0 ||
        remaining_.substr(0, equalsOffset).find_first_of(" \t\"") != std::string_view::npos) {
      return std::nullopt;
    }
    LogField field;
    field.name = remaining_.substr(0, equalsOffset);
    remaining_.remove_prefix(equalsOffset + 1);
    const bool isValid =
      remaining_.starts_with('"') ? readQuotedValue(field.value) : readPlainValue(field.value);
    if (!isValid || !skipSeparator()) {
      return std::nullopt;
    }
    return field;
  }

private:
  bool readPlainValue(std::string& value)
  {
    const auto endOffset = std::min(remaining_.find(' '), remaining_.size());
    value = remaining_.substr(0, endOffset);
    remaining_.remove_prefix(endOffset);
    return !value.empty();
  }

  bool readQuotedValue(std::string& value)
  {
    for (std::size_t index = 1; index < remaining_.size(); ++index) {
      if (remaining_[index] == '"') {
        remaining_.remove_prefix(index + 1);
        return true;
      }
      if (remaining_[index] == '\\' && index + 1 < remaining_.size()) {
        ++index;
      }
      value += remaining_[index];
    }
    return false;
  }

  bool skipSeparator()
  {
    if (remaining_.empty()) {
      return true;
    }
    const bool isSeparator = remaining_.front() == ' ';
    remaining_.remove_prefix(1);
    return isSeparator;
  }

  std::string_view remaining_;
};

// Parses a line that starts with its time.
std::optional<LogLine> parseFromTime(std::string_view text)
{
  FieldScanner scanner(text);
  const auto time = scanner.next();
  const auto micros = time && time->name == "time" ? parseTime(time->value) : std::nullopt;
  auto process = micros ? scanner.next() : std::nullopt;
  auto event = process && process->name == "process" ? scanner.next() : std::nullopt;
  if (!event || event->name != "event") {
    return std::nullopt;
  }
  LogLine line{ *micros, std::move(process->value), std::move(event->value), {}, {} };
  while (!scanner.atEnd()) {
    auto field = scanner.next();
    if (!field) {
      return std::nullopt;
    }
    line.fields.push_back(std::move(*field));
  }
  line.text = text;
  return line;
}

} // namespace

const std::string* LogLine::find(std::string_view name) const
{
  const auto fieldIt = std::ranges::find(fields, name, &LogField::name);
  return fieldIt == fields.end() ? nullptr : &fieldIt->value;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
  if (text.ends_with('\r')) {
    text.remove_suffix(1);
  }
  // The prefix may contain a field of the same name, so each occurrence is checked in turn.
  for (auto offset = text.find(kTimeField); offset != std::string_view::npos;
       offset = text.find(kTimeField, offset + 1)) {
    const bool isFieldStart = offset == 0 || text[offset - 1] == ' ' || text[offset - 1] == '\t';
    const auto candidate = text.substr(offset);
    const auto processOffset = candidate.find(" process=");
    // Before a line is parsed, only the text between the time and the process is checked, so that
    // the time to parse a line is bounded by its length.
    if (isFieldStart && processOffset != std::string_view::npos &&
        candidate.find(' ') == processOffset) {
      return parseFromTime(candidate);
    }
  }
  return std::nullopt;
}

} // namespace figchute::trace
