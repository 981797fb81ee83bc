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
  /** The command line is invalid, or a file that it names cannot be read. */
  usage = 1,
  /** The document has errors, the fleet rejected the request, or no log line of the request was
      found. */
  refused = 2,
  /** Another change was accepted first. */
  conflict = 3,
  /** No server returned a final response, so the outcome of a change is unknown; or a log file
      could not be read. */
  unreachable = 4,
};

/** A parsed command line. */
struct CommandLine
{
  /** The subcommand, such as "apply" or "member". */
  std::string command;
  /** The arguments of the subcommand, in the number that it requires. */
  std::vector<std::string> arguments;
  std::vector<admin::ServerAddress> servers;
  std::string key;
  bool isJsonOutput = false;
  /** The option --base; always set for apply. */
  std::optional<std::uint64_t> base;
  /** The option --change; empty if it is omitted. */
  std::string change;
};

/** The parsed command line, or the exit code with which the program exits immediately. */
struct ParsedCommandLine
{
  std::optional<CommandLine> commandLine;
  ExitCode exitCode = ExitCode::ok;
};

/** Reads the command line and the environment (FIGCHUTE_SERVER, FIGCHUTE_KEY). Prints help to
    standard output and errors to standard error.
    @param argc  as in main()
    @param argv  as in main()
    Thread safety: call it from one thread. */
ParsedCommandLine parseCommandLine(int argc, const char** argv);

} // namespace figchute::cli
