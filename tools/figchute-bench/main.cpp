/** figchute-bench: measures the costs of the replicated log, the ledger, logging and the router and
    prints them as tab-separated rows. */

#include "LedgerBench.h"
#include "LogBench.h"
#include "LoggingBench.h"
#include "RoutingBench.h"

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <popt.h>
#include <string>

namespace {

constexpr int kExitOk = 0;
constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

/** Runs the benchmark of one component.
    @returns the exit status of the program */
int run(const std::string& part, const std::string& folder)
{
  if (part == "ledger") {
    figchute::bench::runLedgerBench(std::cout);
    return kExitOk;
  }
  if (part == "routing") {
    figchute::bench::runRoutingBench(std::cout);
    return kExitOk;
  }
  const auto result = part == "logging" ? figchute::bench::runLoggingBench(std::cout)
                                        : figchute::bench::runLogBench(folder);
  if (!result) {
    std::fprintf(stderr, "figchute-bench: %s\n", result.error().detail.c_str());
    return kExitFailed;
  }
  return kExitOk;
}

} // namespace

int main(int argc, const char** argv)
{
  char* folderOption = nullptr;
  const poptOption options[] = {
    { "dir", 'd', POPT_ARG_STRING, &folderOption, 0, "folder on the disk to measure", "DIR" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext optionContext = poptGetContext("figchute-bench", argc, argv, options, 0);
  poptSetOtherOptionHelp(optionContext, "log|ledger|logging|routing");
  const int optionStatus = poptGetNextOpt(optionContext);
  const char* argument = poptGetArg(optionContext);
  const std::string part = argument == nullptr ? "" : argument;
  const std::string folder =
    folderOption == nullptr ? std::filesystem::temp_directory_path().string() : folderOption;
  std::free(folderOption);
  const bool isKnownPart =
    part == "log" || part == "ledger" || part == "logging" || part == "routing";
  if (optionStatus < -1 || !isKnownPart) {
    poptPrintUsage(optionContext, stderr, 0);
    poptFreeContext(optionContext);
    return kExitUsage;
  }
  poptFreeContext(optionContext);
  return run(part, folder);
}
