#pragma once

#include "control/ControlCore.h"
#include "json/json.h"

#include <optional>
#include <string>

namespace figchute::control {

/** Builds a report from the applied state of a control VM.
    @param argument  the team, for document and history
    @returns the report, or nothing when the team does not exist
    Thread safety: call it on the thread that owns the core. */
std::optional<json::Value> makeReport(Time now,
                                      const ControlCore& core,
                                      ReportKind kind,
                                      const std::string& argument);

/** Describes the replicated log for the dump of a process's state. */
json::Value describeLog(const ControlDump& dump);

} // namespace figchute::control
