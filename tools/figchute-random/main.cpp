#include "Simulation.h"

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

/** Reads the command line; returns false and prints a message when it is wrong. */
bool readOptions(int argc, const char** argv, Options& options)
{
  long long seed = 1;
  long long steps = 200'000;
  char* deployment = nullptr;
  char* breakName = nullptr;
  const poptOption table[] = {
    { "seed", 's', POPT_ARG_LONGLONG, &seed, 0, "seed of the run (default 1)", "N" },
    { "steps", 'n', POPT_ARG_LONGLONG, &steps, 0, "steps before the faults end", "N" },
    { "deployment", 'd', POPT_ARG_STRING, &deployment, 0, "ferreira or goggle", "NAME" },
    { "break", 'b', POPT_ARG_STRING, &breakName, 0, "invariant to break on purpose", "NAME" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("figchute-random", argc, argv, table, 0);
  const int code = poptGetNextOpt(context);
  const bool extra = poptPeekArg(context) != nullptr;
  options.seed = static_cast<std::uint64_t>(seed);
  options.steps = static_cast<std::uint64_t>(steps);
  options.deployment = deployment == nullptr ? options.deployment : deployment;
  options.breakName = breakName == nullptr ? "" : breakName;
  std::free(deployment);
  std::free(breakName);
  poptFreeContext(context);
  if (code < -1 || extra) {
    std::fprintf(
      stderr, "figchute-random: %s\n", extra ? "too many arguments" : poptStrerror(code));
    return false;
  }
  if (options.deployment != "ferreira" && options.deployment != "goggle") {
    std::fprintf(stderr, "figchute-random: deployment %s is unknown\n", options.deployment.c_str());
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
                static_cast<unsigned long long>(simulation.schedule().steps()),
                violation.detail.c_str());
    for (const auto& line : simulation.network().trace()) {
      std::printf("%s\n", line.c_str());
    }
    return kExitViolation;
  }
  std::printf("%s\n", simulation.summary().c_str());
  return 0;
}
