#include "Log.h"
#include "Process.h"
#include "settings/CommandLine.h"

#include <csignal>
#include <cstdio>
#include <pthread.h>
#include <string>

namespace figchuted {
namespace {

using namespace figchute;

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitInvalidSettings = 2;
constexpr int kExitStartFailed = 3;

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
  // All threads inherit the mask, so that only sigwait() below receives these signals.
  const auto signals = stopSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  openLog(settings);
  auto process = Process::create(std::move(settings));
  if (!process) {
    std::fprintf(stderr, "figchuted: %s\n", process.error().detail.c_str());
    return kExitStartFailed;
  }
  if (const auto started = (*process)->start(); !started) {
    std::fprintf(stderr, "figchuted: %s\n", started.error().detail.c_str());
    return kExitStartFailed;
  }
  int signal = 0;
  sigwait(&signals, &signal);
  (*process)->stop();
  return kExitOk;
}

int runMain(int argc, const char** argv)
{
  const auto commandLine = settings::readCommandLine("figchuted", argc, argv);
  if (!commandLine) {
    std::fprintf(stderr, "figchuted: %s\n", commandLine.error().detail.c_str());
    return kExitUsage;
  }
  const auto text = settings::readTextFile(commandLine->settingsPath);
  if (!text) {
    std::fprintf(stderr, "figchuted: %s\n", text.error().detail.c_str());
    return kExitUsage;
  }
  auto settings = settings::parse(*text);
  if (!settings) {
    std::fprintf(stderr, "%s\n", ini::toString(settings.error()).c_str());
    return kExitInvalidSettings;
  }
  if (commandLine->isCheckOnly) {
    std::printf("%s: settings are valid\n", commandLine->settingsPath.c_str());
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
