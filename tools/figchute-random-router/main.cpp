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
  long long traceLength = 50;
  char* deployment = nullptr;
  char* breakName = nullptr;
  const poptOption table[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the run (default 1)", "N" },
    { "steps", 'n', POPT_ARG_LONGLONG, &steps, 0, "steps before the faults end", "N" },
    { "trace", 't', POPT_ARG_LONGLONG, &traceLength, 0, "messages printed on a violation", "N" },
    { "deployment", 'd', POPT_ARG_STRING, &deployment, 0, "ferreira or goggle", "NAME" },
    { "break", 'b', POPT_ARG_STRING, &breakName, 0, "rule to break on purpose", "NAME" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("figchute-random-router", argc, argv, table, 0);
  const int parseResult = poptGetNextOpt(context);
  const bool hasExtraArgument = poptPeekArg(context) != nullptr;
  options.seed = static_cast<std::uint64_t>(seed);
  options.steps = static_cast<std::uint64_t>(steps);
  options.traceLength = static_cast<std::uint64_t>(traceLength);
  options.deployment = deployment == nullptr ? options.deployment : deployment;
  options.breakName = breakName == nullptr ? "" : breakName;
  std::free(deployment);
  std::free(breakName);
  poptFreeContext(context);
  if (parseResult < -1 || hasExtraArgument) {
    std::fprintf(stderr,
                 "figchute-random-router: %s\n",
                 hasExtraArgument ? "too many arguments" : poptStrerror(parseResult));
    return false;
  }
  if (options.deployment != "ferreira" && options.deployment != "goggle") {
    std::fprintf(
      stderr, "figchute-random-router: unknown deployment '%s'\n", options.deployment.c_str());
    return false;
  }
  const auto names = figchute::simulation::breakNames();
  if (!options.breakName.empty() &&
      std::find(names.begin(), names.end(), options.breakName) == names.end()) {
    std::fprintf(
      stderr, "figchute-random-router: unknown rule '%s' for --break\n", options.breakName.c_str());
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
  const auto simulation = std::make_unique<Simulation>(options);
  try {
    simulation->run();
  } catch (const Violation& violation) {
    std::printf("violation seed=%llu step=%llu %s\n",
                static_cast<unsigned long long>(options.seed),
                static_cast<unsigned long long>(simulation->world().schedule.stepCount()),
                violation.detail.c_str());
    for (const auto& line : simulation->world().network.trace()) {
      std::printf("%s\n", line.c_str());
    }
    std::fprintf(stderr, "%s\n", simulation->describe().c_str());
    return kExitViolation;
  }
  std::printf("%s\n", simulation->summary().c_str());
  return 0;
}
