#include "Log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace figchuted {
namespace {

using figchute::LogSeverity;
using figchute::settings::LogLevel;

/** What every line carries; written once by openLog() before other threads start. */
std::string& commonFields()
{
  static std::string fields;
  return fields;
}

/** Quotes a value that has spaces, quotes or line ends, so that a line stays one line of fields. */
std::string quoted(const std::string& value)
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

std::string format(const figchute::LogEvent& event)
{
  std::string line = commonFields() + " event=" + std::string(event.event);
  for (const auto& field : event.fields) {
    line += " " + std::string(field.name) + "=" + quoted(field.value);
  }
  return line;
}

void disable(el::Configurations& configuration, el::Level level)
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
    disable(configuration, el::Level::Debug);
  }
  if (settings.logLevel > LogLevel::info) {
    disable(configuration, el::Level::Info);
  }
  if (settings.logLevel > LogLevel::warning) {
    disable(configuration, el::Level::Warning);
  }
  el::Loggers::reconfigureAllLoggers(configuration);
}

void writeLog(const figchute::LogEvent& event)
{
  const auto line = format(event);
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
