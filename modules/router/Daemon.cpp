#include "router/Daemon.h"

#include "router/BootClock.h"
#include "router/ControlRole.h"
#include "router/EntryRole.h"
#include "router/MetricsPage.h"
#include "router/RequestExplanation.h"
#include "settings/CommandLine.h"

#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdio>
#include <random>
#include <sys/stat.h>
#include <unistd.h>

namespace figchute::router {
namespace {

constexpr int kExitOk = 0;
constexpr int kExitUsage = 1;
constexpr int kExitSettings = 2;
constexpr int kExitStartFailed = 3;
/** Interval of the checks for a changed settings file. */
constexpr auto kHousekeepingInterval = std::chrono::milliseconds(500);
constexpr auto kStopCheckInterval = std::chrono::milliseconds(50);
/** Further errors of a settings file are counted but not logged. */
constexpr std::size_t kMaxLoggedFaults = 20;

std::string joinWithCommas(const std::vector<std::string>& items)
{
  std::string text;
  for (const auto& item : items) {
    text += (text.empty() ? "" : ",") + item;
  }
  return text;
}

/** Returns a number that increases with each start of the process. Its random low byte makes equal
 * values of processes that start at the same time unlikely. */
Incarnation newIncarnation()
{
  std::random_device device;
  const auto micros = static_cast<std::uint64_t>(bootTime().micros);
  return Incarnation{ (micros << 8U) | (device() & 0xffU) };
}

/** Runs the event loop and owns the resources that all roles share. */
class Process
{
public:
  Process(RouterSettings settings, std::string path, const Dialect& dialect)
    : settings_(std::move(settings))
    , settingsPath_(std::move(path))
    , log_(STDOUT_FILENO, settings_.name)
    , incarnation_(newIncarnation())
    , mesh_(io_,
            { ProcessId(settings::toString(settings_.peers)), incarnation_, settings_.peerKey })
    , signals_(io_, SIGTERM, SIGINT, SIGHUP)
    , timer_(io_)
  {
    const RoleContext context{ io_, settings_, dialect, mesh_, log_, metrics_, incarnation_ };
    if (settings_.roles.entry) {
      role_ = std::make_unique<EntryRole>(context);
    } else {
      role_ = std::make_unique<ControlRole>(context);
    }
  }

  Expected<void> start()
  {
    mesh_.onMessage(
      [this](
        const ProcessId& from, Incarnation incarnation, wire::Channel channel, std::string body) {
        role_->receive(from, incarnation, channel, std::move(body));
      });
    if (auto listening = mesh_.listen(); !listening) {
      return listening;
    }
    if (auto started = role_->start(); !started) {
      return started;
    }
    startMetrics();
    loadedModified_ = modifiedAt();
    awaitSignal();
    scheduleHousekeeping();
    log_.line(bootTime(),
              "start",
              { { "role", settings::toString(settings_.roles) },
                { "zone", settings_.zone.value },
                { "incarnation", std::to_string(incarnation_.number) },
                { "bootstrap", settings_.bootstrap ? "true" : "false" } });
    return {};
  }

  void run()
  {
    while (!exitRequested_) {
      if (io_.run_one() == 0) {
        break;
      }
      // Handle everything that is ready before the log lines are written.
      while (!exitRequested_ && io_.poll_one() > 0) {
      }
      log_.flush();
    }
    const bool isClean = role_->isStopped();
    role_->abortRequests(bootTime());
    log_.line(bootTime(), "stop", { { "clean", isClean ? "true" : "false" } });
    log_.flush();
  }

private:
  void startMetrics()
  {
    if (!settings_.metrics) {
      return;
    }
    metricsServer_ = std::make_unique<http::Server>(
      io_, http::ServerLimits{}, [this](const std::shared_ptr<http::ServerRequest>& request) {
        if (request->head().target == kExplanationPath) {
          role_->explain(*request);
          return;
        }
        metrics_.count("log_lines_dropped", log_.dropped() - reportedDropped_);
        reportedDropped_ = log_.dropped();
        sendMetrics(*request, metrics_);
      });
    if (const auto listening = metricsServer_->listen(toEndpoint(*settings_.metrics)); !listening) {
      log_.line(bootTime(), "metrics_unavailable", { { "detail", listening.error().detail } });
      metricsServer_.reset();
    }
  }

  void awaitSignal()
  {
    signals_.async_wait([this](const boost::system::error_code& error, int signal) {
      if (error) {
        return;
      }
      if (signal == SIGHUP) {
        reload();
      } else if (!stopping_) {
        stopping_ = true;
        stopDeadline_ = bootTime() + settings_.bounds.grace - kGraceMargin;
        log_.line(bootTime(), "stopping", {});
        role_->beginStop();
        scheduleHousekeeping();
      }
      awaitSignal();
    });
  }

  void scheduleHousekeeping()
  {
    timer_.expires_after(stopping_ ? kStopCheckInterval : kHousekeepingInterval);
    timer_.async_wait([this](const boost::system::error_code& error) {
      if (error) {
        return;
      }
      if (stopping_ && (role_->isStopped() || bootTime() >= stopDeadline_)) {
        exitRequested_ = true;
        return;
      }
      if (!stopping_) {
        reloadIfChanged();
      }
      scheduleHousekeeping();
    });
  }

  [[nodiscard]] std::int64_t modifiedAt() const
  {
    struct stat status
    {};
    if (::stat(settingsPath_.c_str(), &status) != 0) {
      return 0;
    }
    return status.st_mtim.tv_sec * 1'000'000'000L + status.st_mtim.tv_nsec;
  }

  // A changed file is read only after it has stayed unchanged for one interval, so that a partially
  // written file is not loaded.
  void reloadIfChanged()
  {
    const auto modified = modifiedAt();
    if (modified != loadedModified_ && modified == lastSeenModified_) {
      reload();
    }
    lastSeenModified_ = modified;
  }

  void logFaults(const ini::Faults& faults)
  {
    const Time now = bootTime();
    log_.line(now, "reload_failed", { { "faults", std::to_string(faults.size()) } });
    for (std::size_t i = 0; i < std::min(faults.size(), kMaxLoggedFaults); ++i) {
      const auto& fault = faults[i];
      log_.line(now,
                "settings_fault",
                { { "line", std::to_string(fault.line) },
                  { "section", fault.section },
                  { "key", fault.key },
                  { "found", fault.found },
                  { "allowed", fault.allowed } });
    }
  }

  void reload()
  {
    loadedModified_ = modifiedAt();
    const auto text = settings::readTextFile(settingsPath_);
    if (!text) {
      log_.line(bootTime(), "reload_failed", { { "detail", text.error().detail } });
      return;
    }
    const auto parsed = parseRouterSettings(*text);
    if (!parsed) {
      logFaults(parsed.error());
      return;
    }
    const auto result = reloadSettings(settings_, *parsed);
    role_->setSeeds(settings_.seedProcesses());
    log_.line(bootTime(),
              "reload",
              { { "applied", joinWithCommas(result.applied) },
                { "at_next_start", joinWithCommas(result.atNextStart) } });
  }

  RouterSettings settings_;
  std::string settingsPath_;
  boost::asio::io_context io_{ 1 };
  LogWriter log_;
  Metrics metrics_;
  Incarnation incarnation_;
  mesh::Mesh mesh_;
  boost::asio::signal_set signals_;
  boost::asio::steady_timer timer_;
  std::unique_ptr<Role> role_;
  std::unique_ptr<http::Server> metricsServer_;
  std::uint64_t reportedDropped_ = 0;
  std::int64_t loadedModified_ = 0;
  std::int64_t lastSeenModified_ = 0;
  bool stopping_ = false;
  bool exitRequested_ = false;
  Time stopDeadline_;
};

} // namespace

boost::asio::ip::tcp::endpoint toEndpoint(const settings::Address& address)
{
  return { boost::asio::ip::make_address(address.ip), address.port };
}

int runDaemon(int argc, const char** argv, const Dialect& dialect)
{
  const auto line = settings::readCommandLine("figchute-routerd", argc, argv);
  if (!line) {
    std::fprintf(stderr, "figchute-routerd: %s\n", line.error().detail.c_str());
    return kExitUsage;
  }
  const auto text = settings::readTextFile(line->settingsPath);
  if (!text) {
    std::fprintf(stderr, "figchute-routerd: %s\n", text.error().detail.c_str());
    return kExitUsage;
  }
  auto settings = parseRouterSettings(*text);
  if (!settings) {
    std::fprintf(stderr, "%s\n", ini::toString(settings.error()).c_str());
    return kExitSettings;
  }
  if (line->isCheckOnly) {
    std::fputs(toString(settings->effective).c_str(), stdout);
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  Process process(std::move(*settings), line->settingsPath, dialect);
  if (const auto started = process.start(); !started) {
    std::fprintf(stderr, "figchute-routerd: %s\n", started.error().detail.c_str());
    return kExitStartFailed;
  }
  process.run();
  return kExitOk;
}

} // namespace figchute::router
