#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute {

/** Severity of a log event. */
enum class LogSeverity
{
  debug,
  info,
  warning,
  error,
};

/** One field of a log event. */
struct LogField
{
  std::string_view name;
  std::string value;
};

/** One event for the log: a name and fields, written as one line. */
struct LogEvent
{
  LogSeverity severity = LogSeverity::info;
  std::string_view event;
  std::vector<LogField> fields;
};

/** Receives log events. It must be safe from any thread and must not block for long. */
using LogSink = std::function<void(const LogEvent&)>;

} // namespace figchute
