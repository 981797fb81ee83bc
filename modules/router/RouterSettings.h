#pragma once

#include "core/core.h"
#include "ini/ini.h"
#include "settings/settings.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

namespace figchute::router {

/** Limits on the stop time and the repeats of requests. */
struct Bounds
{
  /** Grace period: a stop must be complete within this time. */
  Duration grace = std::chrono::seconds(8);
  /** Limit on the repeats of a service within repeatWindow over all processes: repeatRatio times
   * its requests plus repeatSlack. */
  double repeatRatio = 0.2;
  double repeatSlack = 58;
  Duration repeatWindow = std::chrono::seconds(10);
  /** Limit on the requests that a cold endpoint gets in any second over all processes: its
   * sustained rate times warmupOverage plus warmupSlack. */
  double warmupOverage = 1.5;
  double warmupSlack = 5;
};

/** A settings key with its effective value. */
struct EffectiveSetting
{
  std::string section;
  std::string key;
  /** Empty when the key has neither a value nor a default. */
  std::string value;
  /** The unit of a number; empty for other values. */
  std::string unit;
  /** True when the settings file does not contain the key. */
  bool isDefault = false;
  /** True when the value must not be printed. */
  bool isSecret = false;
};

/** The validated settings of one router process. */
struct RouterSettings
{
  /** Name of the process in log lines. */
  std::string name;
  ZoneId zone;
  settings::Roles roles;
  /** Folder of the persistent state; set for the control role. */
  std::optional<std::string> dataDir;
  /** HTTP address for callers; set for the entry role. */
  std::optional<settings::Address> callers;
  /** HTTP address for readiness checks; set for the entry role. */
  std::optional<settings::Address> readiness;
  /** HTTP address for operators and endpoints; set for the control role. */
  std::optional<settings::Address> operators;
  /** Address for messages between processes; also the process id. */
  settings::Address peers;
  /** Address on which an entry process opens tunnels to endpoints for other entry processes, which
      all use the same port; without it, it opens and uses none. */
  std::optional<settings::Address> tunnels;
  /** HTTP address for metrics in the Prometheus text format; optional. */
  std::optional<settings::Address> metrics;
  /** Operator addresses of control processes. Only the IPs are used. */
  std::vector<settings::Address> seeds;
  /** True only for the very first start of the fleet. */
  bool bootstrap = false;
  /** The availability zones that operators can evacuate; any if it is empty. */
  std::vector<ZoneId> zones;
  /** HMAC key of the messages between processes. */
  std::string peerKey;
  Bounds bounds;
  /** The bandwidth of the VM's network link in each direction, in bytes per second; nothing if it
     is not known. */
  std::optional<double> linkBytesPerSecond;
  /** How long the tokens last that a process requests ahead of need, at its own demand. */
  Duration tokenStock{ 0 };
  /** Whether requests are admitted to the link one by one, by rank and size; otherwise only the
      accepted connections are limited. */
  bool linkAdmission = false;
  /** Requests are distributed evenly over the engines of a service. */
  bool evenLoad = false;
  /** All keys in the order of the file format. */
  std::vector<EffectiveSetting> effective;

  /** Returns the process ids of the seeds: their IPs with the peer port of this process. */
  [[nodiscard]] std::vector<ProcessId> seedProcesses() const;
};

/** Maximum number of seeds. */
constexpr std::size_t kMaxSeeds = 7;

/** Maximum number of availability zones. */
constexpr std::size_t kMaxZones = 32;

/** Formats one line for each key: `[bounds] grace_s = 8 s (default)`. Secret values are omitted.
    Thread safety: safe from any thread. */
std::string toString(const std::vector<EffectiveSetting>& settings);

/** The keys that a reload of the settings file changed. */
struct ReloadResult
{
  /** Changed keys that are effective now. */
  std::vector<std::string> applied;
  /** Changed keys that take effect at the next start. */
  std::vector<std::string> atNextStart;
};

/** Applies the values of @p next that can change in a running process: seeds and grace period.
    @param current  the effective settings, which are updated
    @param next     the settings of the changed file
    Thread safety: call it from the thread that owns @p current. */
ReloadResult reloadSettings(RouterSettings& current, const RouterSettings& next);

/** Parses and validates settings.
    @returns the settings, or all errors with their line numbers
    Thread safety: safe from any thread. */
tl::expected<RouterSettings, ini::Faults> parseRouterSettings(std::string_view text);

} // namespace figchute::router
