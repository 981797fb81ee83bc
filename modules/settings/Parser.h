#pragma once

#include "ini/Fault.h"
#include "settings/Settings.h"

#include <string_view>
#include <tl/expected.hpp>

namespace figchute::settings {

using ini::Fault;
using ini::Faults;

/** Maximum number of processes with the role control in a fleet. */
constexpr std::size_t kMaxControlProcesses = 7;

/** Reads and validates the settings of a process. `[peers]` may list the process itself, so that
    all processes can share one list; that line must match the other settings.
    @param text  the whole INI text, UTF-8
    @returns the settings, or all faults in line order, each with its section, key, actual value,
             allowed values and line
    Thread safety: safe from any thread. */
tl::expected<Settings, Faults> parse(std::string_view text);

} // namespace figchute::settings
