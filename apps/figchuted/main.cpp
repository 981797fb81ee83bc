#include "Log.h"
#include "Process.h"

#include <csignal>
#include <cstdio>
#include <fstream>
#include <popt.h>
#include <pthread.h>
#include <sstream>
#include <string>

namespace figchuted {
namespace {

using namespace figchute;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitSettings = 2;
constexpr int kExitStart = 3;

/** The command line of the daemon. */
struct CommandLine
{
  std::string config;
  bool check = false;
};

/** Reads the command line; popt answers --help and exits by itself. */
Expected<CommandLine> readCommandLine(int argc, const char** argv)
{
  char* config = nullptr;
  int check = 0;
  const poptOption options[] = {
    { "config", 'c', POPT_ARG_STRING, &config, 0, "settings file", "FILE" },
    { "check", 0, POPT_ARG_NONE, &check, 0, "check the settings and exit", nullptr },
    POPT_AUTOHELP POPT_TABLEEND
  };
  poptContext context = poptGetContext("figchuted", argc, argv, options, 0);
  const int status = poptGetNextOpt(context);
  CommandLine line;
  line.config = config != nullptr ? config : "";
  line.check = check != 0;
  std::string fault;
  if (status < -1) {
    fault = std::string(poptBadOption(context, 0)) + ": " + poptStrerror(status);
  } else if (line.config.empty()) {
    fault = "--config FILE is required";
  } else if (poptPeekArg(context) != nullptr) {
    fault = std::string("unexpected argument: ") + poptPeekArg(context);
  }
  std::free(config);
  poptFreeContext(context);
  if (!fault.empty()) {
    return fail(ErrorKind::badRequest, fault);
  }
  return line;
}

Expected<std::string> readFile(const std::string& path)
{
  std::ifstream file(path);
  if (!file) {
    return fail(ErrorKind::notFound, "cannot read " + path);
  }
  std::ostringstream content;
  content << file.rdbuf();
  return content.str();
}

sigset_t stopSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

int run(settings::Settings settings)
{
  // All threads inherit the mask, so that only sigwait() below takes these signals.
  const auto signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  openLog(settings);
  auto process = Process::create(std::move(settings));
  if (!process) {
    std::fprintf(stderr, "figchuted: %s\n", process.error().detail.c_str());
    return kExitStart;
  }
  if (const auto started = (*process)->start(); !started) {
    std::fprintf(stderr, "figchuted: %s\n", started.error().detail.c_str());
    return kExitStart;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  (*process)->stop();
  return kExitOk;
}

int runMain(int argc, const char** argv)
{
  const auto line = readCommandLine(argc, argv);
  if (!line) {
    std::fprintf(stderr, "figchuted: %s\n", line.error().detail.c_str());
    return kExitUsage;
  }
  const auto text = readFile(line->config);
  if (!text) {
    std::fprintf(stderr, "figchuted: %s\n", text.error().detail.c_str());
    return kExitUsage;
  }
  auto settings = settings::parse(*text);
  if (!settings) {
    std::fprintf(stderr, "%s\n", ini::toString(settings.error()).c_str());
    return kExitSettings;
  }
  if (line->check) {
    std::printf("%s: settings are valid\n", line->config.c_str());
    return kExitOk;
  }
  return run(std::move(*settings));
}

} // namespace
} // namespace figchuted

int main(int argc, const char** argv)
{
  return figchuted::runMain(argc, argv);
}
