#include "settings/CommandLine.h"

#include <cstdlib>
#include <fstream>
#include <popt.h>
#include <sstream>

namespace figchute::settings {

Expected<CommandLine> readCommandLine(const char* program, int argc, const char** argv)
{
  char* config = nullptr;
  int checkFlag = 0;
  const poptOption options[] = {
    { "config", 'c', POPT_ARG_STRING, &config, 0, "settings file", "FILE" },
    { "check", 0, POPT_ARG_NONE, &checkFlag, 0, "check the settings and exit", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext(program, argc, argv, options, 0);
  const int status = poptGetNextOpt(context);
  CommandLine result;
  result.settingsPath = config != nullptr ? config : "";
  result.isCheckOnly = checkFlag != 0;
  std::string errorMessage;
  if (status < -1) {
    errorMessage = std::string(poptBadOption(context, 0)) + ": " + poptStrerror(status);
  } else if (result.settingsPath.empty()) {
    errorMessage = "--config FILE is required";
  } else if (poptPeekArg(context) != nullptr) {
    errorMessage = std::string("unexpected argument: ") + poptPeekArg(context);
  }
  std::free(config);
  poptFreeContext(context);
  if (!errorMessage.empty()) {
    return fail(ErrorKind::badRequest, errorMessage);
  }
  return result;
}

Expected<std::string> readTextFile(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    return fail(ErrorKind::notFound, "cannot read file " + path);
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

} // namespace figchute::settings
