#pragma once

#include "core/core.h"
#include "settings/settings.h"

namespace figchuted {

/** Sets up the log: one line an event on standard output, with time, process and zone.
    Call it once, before the first event. */
void openLog(const figchute::settings::Settings& settings);

/** Writes one event. Safe from any thread. */
void writeLog(const figchute::LogEvent& event);

} // namespace figchuted
