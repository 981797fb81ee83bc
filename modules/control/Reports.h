#pragma once

#include "control/ControlCore.h"
#include "json/json.h"

#include <optional>
#include <string>

namespace figchute::control {

/** Builds a report from a control VM's applied state.
    @param argument  the team, for document and history
    @returns the report, or nothing when there is no such team
    Thread safety: call it on the thread that owns the core. */
std::optional<json::Value> makeReport(Time now,
                                      const ControlCore& core,
                                      ReportKind kind,
                                      const std::string& argument);

/** Builds the part of a process dump that describes the replicated log. */
json::Value describeLog(const ControlDump& dump);

} // namespace figchute::control
