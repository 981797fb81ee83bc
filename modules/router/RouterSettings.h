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

  /** Returns the process ids of the seeds: their IPs with the own peer port. */
  [[nodiscard]] std::vector<ProcessId> seedProcesses() const;
};

/** Reads and checks settings.
    @returns the settings, or every fault with its line
    Thread safety: safe from any thread. */
tl::expected<RouterSettings, ini::Faults> parseRouterSettings(std::string_view text);

} // namespace figchute::router
