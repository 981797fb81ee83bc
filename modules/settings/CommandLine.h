#pragma once

#include "core/core.h"

#include <string>

namespace figchute::settings {

/** The command line of a daemon. */
struct CommandLine
{
  /** Path of the settings file. */
  std::string settingsPath;
  /** Whether the process only checks the settings and then exits. */
  bool isCheckOnly = false;
};

/** Parses the command line of a daemon; --help prints the options and exits the process.
    @param program  the name of the program, for the help text
    @returns the command line, or `bad_request` that names the invalid or missing option
    Thread safety: call it from one thread. */
Expected<CommandLine> readCommandLine(const char* program, int argc, const char** argv);

/** Reads a whole file.
    @returns its content, or `not_found` if it cannot be opened
    Thread safety: safe from any thread. */
Expected<std::string> readTextFile(const std::string& path);

} // namespace figchute::settings
