#include "LogBench.h"

#include <cstdio>
#include <filesystem>
#include <popt.h>
#include <string>

namespace {

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;

} // namespace

int main(int argc, const char** argv)
{
  char* folderOption = nullptr;
  const poptOption table[] = {
    { "dir", 'd', POPT_ARG_STRING, &folderOption, 0, "folder on the disk to measure", "DIR" },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("figchute-bench", argc, argv, table, 0);
  poptSetOtherOptionHelp(context, "log");
  const int code = poptGetNextOpt(context);
  const char* argument = poptGetArg(context);
  const std::string subcommand = argument == nullptr ? "" : argument;
  const std::string folder =
    folderOption == nullptr ? std::filesystem::temp_directory_path().string() : folderOption;
  if (code < -1 || subcommand != "log") {
    poptPrintUsage(context, stderr, 0);
    poptFreeContext(context);
    return kExitUsage;
  }
  poptFreeContext(context);
  const auto result = figchute::bench::runLogBench(folder);
  if (!result) {
    std::fprintf(stderr, "figchute-bench: %s\n", result.error().detail.c_str());
    return kExitFailed;
  }
  return 0;
}
