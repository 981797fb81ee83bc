#include "CommandLine.h"
#include "Commands.h"

#include <cstdio>
#include <exception>

/** Command line tool for operators. It checks files and sends requests to the admin server of a
    process. */
int main(int argc, char** argv)
{
  using namespace figchute::cli;
  try {
    // popt takes const strings and does not change them.
    const auto parsed = parseCommandLine(argc, const_cast<const char**>(argv));
    const auto code = parsed.commandLine ? run(*parsed.commandLine) : parsed.exitCode;
    return static_cast<int>(code);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "figchute: %s\n", e.what());
    return static_cast<int>(ExitCode::unreachable);
  }
}
