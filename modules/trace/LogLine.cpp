#include "trace/LogLine.h"

#include <algorithm>
#include <charconv>
#include <system_error>

namespace figchute::trace {
namespace {

constexpr std::string_view kTimeField = "time=";
constexpr std::int64_t kMicrosPerSecond = 1'000'000;
/** Larger times do not fit in 64 bits of microseconds. */
constexpr std::int64_t kMaxSeconds = INT64_MAX / kMicrosPerSecond - 1;

std::optional<std::int64_t> parseNumber(std::string_view digits)
{
  // from_chars() would accept a sign.
  if (digits.empty() || digits.find_first_not_of("0123456789") != std::string_view::npos) {
    return std::nullopt;
  }
  std::int64_t number = 0;
  const auto* const end = digits.data() + digits.size();
  const auto parsed = std::from_chars(digits.data(), end, number);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(number) : std::nullopt;
}

std::optional<Time> parseTime(const std::string& text)
{
  constexpr std::size_t kFractionDigits = 6;
  const auto point = text.find('.');
  if (point == std::string::npos || text.size() - point - 1 > kFractionDigits) {
    return std::nullopt;
  }
  auto fraction = text.substr(point + 1);
  fraction.resize(kFractionDigits, '0');
  const auto seconds = parseNumber(std::string_view(text).substr(0, point));
  const auto micros = parseNumber(fraction);
  if (!seconds || !micros || *seconds > kMaxSeconds) {
    return std::nullopt;
  }
  return Time{ *seconds * kMicrosPerSecond + *micros };
}

/** Takes the fields of a line one after the other. */
class FieldScanner
{
public:
  explicit FieldScanner(std::string_view text)
    : rest_(text)
  {
  }

  [[nodiscard]] bool atEnd() const { return rest_.empty(); }

  // Returns nothing when the text at this place is no field.
  std::optional<LogField> next()
  {
    const auto equals = rest_.find('=');
    if (equals == std::string_view::npos || equals == 0 ||
        rest_.substr(0, equals).find_first_of(" \t\"") != std::string_view::npos) {
      return std::nullopt;
    }
    LogField field;
    field.name = rest_.substr(0, equals);
    rest_.remove_prefix(equals + 1);
    const bool isSound = rest_.starts_with('"') ? takeQuoted(field.value) : takePlain(field.value);
    if (!isSound || !skipGap()) {
      return std::nullopt;
    }
    return field;
  }

private:
  bool takePlain(std::string& value)
  {
    const auto end = std::min(rest_.find(' '), rest_.size());
    value = rest_.substr(0, end);
    rest_.remove_prefix(end);
    return !value.empty();
  }

  bool takeQuoted(std::string& value)
  {
    for (std::size_t at = 1; at < rest_.size(); ++at) {
      if (rest_[at] == '"') {
        rest_.remove_prefix(at + 1);
        return true;
      }
      if (rest_[at] == '\\' && at + 1 < rest_.size()) {
        ++at;
      }
      value += rest_[at];
    }
    return false;
  }

  bool skipGap()
  {
    if (rest_.empty()) {
      return true;
    }
    const bool isGap = rest_.front() == ' ';
    rest_.remove_prefix(1);
    return isGap;
  }

  std::string_view rest_;
};

// Reads a line that begins with its time.
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
  const auto found = std::ranges::find(fields, name, &LogField::name);
  return found == fields.end() ? nullptr : &found->value;
}

std::optional<LogLine> parseLogLine(std::string_view text)
{
  if (text.ends_with('\r')) {
    text.remove_suffix(1);
  }
  // A prefix may have a field of the same name, so each occurrence is tried in turn.
  for (auto at = text.find(kTimeField); at != std::string_view::npos;
       at = text.find(kTimeField, at + 1)) {
    const bool isStart = at == 0 || text[at - 1] == ' ' || text[at - 1] == '\t';
    const auto rest = text.substr(at);
    const auto process = rest.find(" process=");
    // Only the text between the time and the process is looked at before a line is read, so that
    // the time for a line is bounded by its length.
    if (isStart && process != std::string_view::npos && rest.find(' ') == process) {
      return parseFromTime(rest);
    }
  }
  return std::nullopt;
}

} // namespace figchute::trace
