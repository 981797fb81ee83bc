#pragma once

#include "core/core.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::trace {

/** A key=value field of a log line. */
struct LogField
{
  std::string name;
  std::string value;
};

/** A log line in the format of router::LogWriter. */
struct LogLine
{
  Time time;
  std::string process;
  std::string event;
  /** The fields after the event, in line order. */
  std::vector<LogField> fields;
  /** The original text of the line, starting at `time=`. */
  std::string text;

  /** Returns the value of the first field with a name, or nullptr if there is none. The pointer is
      valid while the line is unchanged. */
  [[nodiscard]] const std::string* find(std::string_view name) const;
};

/** Parses one line: an optional prefix that ends with a space or a tab, then `time=SECONDS.FRACTION
    process=P event=E` and fields. Values may be quoted; a backslash escapes the next character.
    @param text  the line without its line ending
    @returns the line, or std::nullopt if it is malformed
    Thread safety: safe from any thread. */
std::optional<LogLine> parseLogLine(std::string_view text);

} // namespace figchute::trace
