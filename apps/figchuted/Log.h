#pragma once

#include "core/core.h"
#include "settings/settings.h"

namespace figchuted {

/** Configures the log: one line for each event on standard output, with time, process and zone.
    Must be called once, before the first event. */
void openLog(const figchute::settings::Settings& settings);

/** Writes one event. Safe from any thread. */
void writeLog(const figchute::LogEvent& event);

} // namespace figchuted
