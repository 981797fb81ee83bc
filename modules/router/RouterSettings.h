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

/** Time and repeat bounds of a deployment. */
struct Bounds
{
  /** A stop has to be complete within this time. */
  Duration grace = std::chrono::seconds(8);
  /** Share and slack of the repeats of a service in a window, over all processes. */
  double repeatRatio = 0.2;
  double repeatSlack = 58;
  Duration repeatWindow = std::chrono::seconds(10);
};

/** One key with the value that is in force. */
struct EffectiveSetting
{
  std::string section;
  std::string key;
  /** Empty when the key has neither a value nor a default. */
  std::string value;
  /** The unit of a number; empty for other values. */
  std::string unit;
  /** True when the file does not have the key. */
  bool isDefault = false;
  /** True when the value must not be printed. */
  bool isSecret = false;
};

/** The validated settings of one router process. */
struct RouterSettings
{
  /** Names the process in logs. */
  std::string name;
  ZoneId zone;
  settings::Roles roles;
  /** Folder of the durable state; set with the role control. */
  std::optional<std::string> dataDir;
  /** HTTP for callers; set with the role entry. */
  std::optional<settings::Address> callers;
  /** HTTP for readiness checks; set with the role entry. */
  std::optional<settings::Address> readiness;
  /** HTTP for operators and endpoints; set with the role control. */
  std::optional<settings::Address> operators;
  /** Messages between processes; also the id of the process. */
  settings::Address peers;
  /** Counters as text; optional. */
  std::optional<settings::Address> metrics;
  /** Addresses of control processes, as operators call them. Only the IPs are used. */
  std::vector<settings::Address> seeds;
  /** True at the very first start of the fleet. */
  bool bootstrap = false;
  /** Key of the HMAC between processes. */
  std::string peerKey;
  Bounds bounds;
  /** Every key of the file format in its order. */
  std::vector<EffectiveSetting> effective;

  /** Returns the process ids of the seeds: their IPs with the own peer port. */
  [[nodiscard]] std::vector<ProcessId> seedProcesses() const;
};

/** Most control processes that may be named as seeds. */
constexpr std::size_t kMaxSeeds = 7;

/** Writes one line for each key: `[bounds] grace_s = 8 s (default)`. Secrets are left out.
    Thread safety: safe from any thread. */
std::string toString(const std::vector<EffectiveSetting>& settings);

/** What a changed file changes. */
struct ReloadResult
{
  /** Keys that changed and are in force now. */
  std::vector<std::string> applied;
  /** Keys that changed and come into force at the next start. */
  std::vector<std::string> atNextStart;
};

/** Takes the values of @p next that can change while the process runs: seeds and grace time.
    @param current  the settings in force; they get these values
    @param next     the settings of the changed file
    Thread safety: call it from the thread that owns @p current. */
ReloadResult reloadSettings(RouterSettings& current, const RouterSettings& next);

/** Reads and checks settings.
    @returns the settings, or every fault with its line
    Thread safety: safe from any thread. */
tl::expected<RouterSettings, ini::Faults> parseRouterSettings(std::string_view text);

} // namespace figchute::router
