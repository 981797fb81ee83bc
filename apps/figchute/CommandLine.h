#pragma once

#include "admin/AdminClient.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::cli {

/** Exit codes of the program. */
enum class ExitCode
{
  ok = 0,
  /** The command line or a file on it cannot be used. */
  usage = 1,
  /** The document is faulty, the fleet refused the request, or no line of a request was found. */
  refused = 2,
  /** Another change won. */
  conflict = 3,
  /** No server gave a final answer, so that the outcome of a change is not known; or a log file
      could not be read. */
  unreachable = 4,
};

/** A parsed command line. */
struct CommandLine
{
  /** The subcommand, such as "apply" or "member". */
  std::string command;
  /** Its arguments, as many as it needs. */
  std::vector<std::string> arguments;
  std::vector<admin::ServerAddress> servers;
  std::string key;
  bool isJson = false;
  /** The option --base; set for apply. */
  std::optional<std::uint64_t> base;
  /** The option --change; empty when it is not given. */
  std::string change;
};

/** Either a command line or the exit code with which the program ends at once. */
struct ParsedCommandLine
{
  std::optional<CommandLine> commandLine;
  ExitCode exitCode = ExitCode::ok;
};

/** Reads the command line and the environment (FIGCHUTE_SERVER, FIGCHUTE_KEY). Help goes to the
    standard output, faults go to the standard error output.
    @param argc  as in main()
    @param argv  as in main()
    Thread safety: call it from one thread. */
ParsedCommandLine parseCommandLine(int argc, const char** argv);

} // namespace figchute::cli
