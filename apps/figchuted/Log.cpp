#include "Log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace figchuted {
namespace {

using figchute::LogSeverity;
using figchute::settings::LogLevel;

/** The fields that every line contains; set once by openLog() before other threads start. */
std::string& commonFields()
{
  static std::string fields;
  return fields;
}

/** Quotes a value that is empty or contains white space, quotes or equals signs, so that an event
    remains a single line of fields. Line breaks are replaced with spaces. */
std::string quoteValue(const std::string& value)
{
  if (!value.empty() && value.find_first_of(" \"\n\r\t=") == std::string::npos) {
    return value;
  }
  std::string result = "\"";
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      result += '\\';
    }
    result += (c == '\n' || c == '\r') ? ' ' : c;
  }
  return result + "\"";
}

std::string formatEvent(const figchute::LogEvent& event)
{
  std::string line = commonFields() + " event=" + std::string(event.event);
  for (const auto& field : event.fields) {
    line += " " + std::string(field.name) + "=" + quoteValue(field.value);
  }
  return line;
}

void disableLevel(el::Configurations& configuration, el::Level level)
{
  configuration.set(level, el::ConfigurationType::Enabled, "false");
}

} // namespace

void openLog(const figchute::settings::Settings& settings)
{
  commonFields() = "process=" + settings.id.value + " zone=" + settings.zone.value;
  el::Configurations configuration;
  configuration.setToDefault();
  configuration.setGlobally(el::ConfigurationType::Format,
                            "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
  configuration.setGlobally(el::ConfigurationType::ToFile, "false");
  configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
  if (settings.logLevel > LogLevel::debug) {
    disableLevel(configuration, el::Level::Debug);
  }
  if (settings.logLevel > LogLevel::info) {
    disableLevel(configuration, el::Level::Info);
  }
  if (settings.logLevel > LogLevel::warning) {
    disableLevel(configuration, el::Level::Warning);
  }
  el::Loggers::reconfigureAllLoggers(configuration);
}

void writeLog(const figchute::LogEvent& event)
{
  const auto line = formatEvent(event);
  switch (event.severity) {
    case LogSeverity::debug:
      LOG(DEBUG) << line;
      return;
    case LogSeverity::info:
      LOG(INFO) << line;
      return;
    case LogSeverity::warning:
      LOG(WARNING) << line;
      return;
    case LogSeverity::error:
      LOG(ERROR) << line;
      return;
  }
}

} // namespace figchuted
