#include "Simulation.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <popt.h>
#include <string>

namespace {

using figchute::simulation::Options;
using figchute::simulation::Simulation;
using figchute::simulation::Violation;

constexpr int kExitViolation = 1;
constexpr int kExitUsage = 2;

void throwViolation(std::string_view message)
{
  throw Violation{ "invariant: " + std::string(message) };
}

/** Parses the command line. Prints a message and returns false if it is not valid. */
bool readOptions(int argc, const char** argv, Options& options)
{
  long long seed = 1;
  long long steps = 200'000;
  long long intensity = 1;
  char* deployment = nullptr;
  char* part = nullptr;
  char* breakName = nullptr;
  const poptOption table[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the run (default 1)", "N" },
    { "steps", 'n', POPT_ARG_LONGLONG, &steps, 0, "steps before the faults end", "N" },
    { "deployment", 'd', POPT_ARG_STRING, &deployment, 0, "ferreira or goggle", "NAME" },
    { "intensity", 'i', POPT_ARG_LONGLONG, &intensity, 0, "fault rate factor (default 1)", "N" },
    { "part",
      'p',
      POPT_ARG_STRING,
      &part,
      0,
      "all, or log for the log without the ledger",
      "NAME" },
    { "break", 'b', POPT_ARG_STRING, &breakName, 0, "invariant to break on purpose", "NAME" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("figchute-random", argc, argv, table, 0);
  const int parseResult = poptGetNextOpt(context);
  const bool hasExtraArgument = poptPeekArg(context) != nullptr;
  options.seed = static_cast<std::uint64_t>(seed);
  options.steps = static_cast<std::uint64_t>(steps);
  options.deployment = deployment == nullptr ? options.deployment : deployment;
  options.intensity = static_cast<std::uint64_t>(intensity);
  options.part = part == nullptr ? options.part : part;
  options.breakName = breakName == nullptr ? "" : breakName;
  std::free(deployment);
  std::free(part);
  std::free(breakName);
  poptFreeContext(context);
  if (parseResult < -1 || hasExtraArgument) {
    std::fprintf(stderr,
                 "figchute-random: %s\n",
                 hasExtraArgument ? "too many arguments" : poptStrerror(parseResult));
    return false;
  }
  if (options.deployment != "ferreira" && options.deployment != "goggle") {
    std::fprintf(stderr, "figchute-random: unknown deployment '%s'\n", options.deployment.c_str());
    return false;
  }
  if (intensity < 1) {
    std::fprintf(
      stderr, "figchute-random: --intensity must be at least 1, but is %lld\n", intensity);
    return false;
  }
  if (options.part != "all" && options.part != "log") {
    std::fprintf(stderr, "figchute-random: unknown part '%s'\n", options.part.c_str());
    return false;
  }
  const auto names = figchute::simulation::breakNames();
  if (!options.breakName.empty() &&
      std::find(names.begin(), names.end(), options.breakName) == names.end()) {
    std::fprintf(
      stderr, "figchute-random: unknown invariant '%s' for --break\n", options.breakName.c_str());
    return false;
  }
  return true;
}

} // namespace

int main(int argc, const char** argv)
{
  Options options;
  if (!readOptions(argc, argv, options)) {
    return kExitUsage;
  }
  figchute::setInvariantHandler(&throwViolation);
  Simulation simulation(options);
  try {
    simulation.run();
  } catch (const Violation& violation) {
    std::printf("violation seed=%llu step=%llu %s\n",
                static_cast<unsigned long long>(options.seed),
                static_cast<unsigned long long>(simulation.schedule().stepCount()),
                violation.detail.c_str());
    for (const auto& line : simulation.network().trace()) {
      std::printf("%s\n", line.c_str());
    }
    return kExitViolation;
  }
  std::printf("%s\n", simulation.summary().c_str());
  return 0;
}
