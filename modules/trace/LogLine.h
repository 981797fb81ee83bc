#pragma once

#include "core/core.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::trace {

/** One key=value field of a log line. */
struct LogField
{
  std::string name;
  std::string value;
};

/** One log line as router::LogWriter writes it. */
struct LogLine
{
  Time time;
  std::string process;
  std::string event;
  /** The fields after the event, in their order. */
  std::vector<LogField> fields;
  /** The line as it was written, from `time=` on. */
  std::string text;

  /** Returns the value of the first field of a name, or nullptr. The pointer lives as long as the
      line is unchanged. */
  [[nodiscard]] const std::string* find(std::string_view name) const;
};

/** Reads one line: an optional prefix that ends with a space or a tab, then `time=SECONDS.FRACTION
    process=P event=E` and fields. Values may be quoted; a backslash escapes the next character.
    @param text  the line without its line end
    @returns the line, or nothing when it is malformed
    Thread safety: safe from any thread. */
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace figchute::trace
