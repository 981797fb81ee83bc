#pragma once

#include "CommandLine.h"

namespace figchute::cli {

/** Runs a subcommand and prints its result.
    @returns the exit code of the program
    Thread safety: call it from one thread. */
ExitCode run(const CommandLine& line);

} // namespace figchute::cli
