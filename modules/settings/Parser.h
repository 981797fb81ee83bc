#pragma once

#include "ini/Fault.h"
#include "settings/Settings.h"

#include <string_view>
#include <tl/expected.hpp>

namespace figchute::settings {

using ini::Fault;
using ini::Faults;

/** Most processes with the role control in one fleet. */
constexpr std::size_t kMaxControlProcesses = 7;

/** Reads and validates the settings of a process. `[peers]` may list the process itself, so that
    all processes can share one list; that line must agree with the rest of the settings.
    @param text  the whole INI text, UTF-8
    @returns the settings, or every fault with section, key, value found, values allowed and line,
             in line order
    Thread safety: safe from any thread. */
tl::expected<Settings, Faults> parse(std::string_view text);

} // namespace figchute::settings
