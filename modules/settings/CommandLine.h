#pragma once

#include "core/core.h"

#include <string>

namespace figchute::settings {

/** The command line of a daemon. */
struct CommandLine
{
  /** Path of the settings file. */
  std::string settingsPath;
  /** Check the settings and exit. */
  bool isCheckOnly = false;
};

/** Reads the command line of a daemon; --help prints the options and ends the process.
    @param program  the name of the program, for the help text
    @returns bad_request that names the wrong or missing option
    Thread safety: call it from one thread. */
Expected<CommandLine> readCommandLine(const char* program, int argc, const char** argv);

/** Reads a whole file.
    @returns not_found when it cannot be opened
    Thread safety: safe from any thread. */
Expected<std::string> readTextFile(const std::string& path);

} // namespace figchute::settings
