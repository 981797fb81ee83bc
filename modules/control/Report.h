#pragma once

#include "core/core.h"
#include "wire/Codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace figchute::control {

/** What operators can read from the leader. */
enum class ReportKind : std::uint8_t
{
  document = 0,
  history = 1,
  spend = 2,
  versions = 3,
  members = 4,
};

} // namespace figchute::control

MSGPACK_ADD_ENUM(figchute::control::ReportKind)

namespace figchute::control {

/** Asks a control VM for a report; only the leader answers it, so that an isolated control VM never
    reports old state as current. */
struct ReportRequest
{
  std::uint64_t id = 0;
  ReportKind kind = ReportKind::spend;
  /** The team, for document and history. */
  std::string argument;

  MSGPACK_DEFINE(id, kind, argument)
};

/** Answers a ReportRequest. */
struct ReportReply
{
  std::uint64_t id = 0;
  /** False when the sender is not the leader. */
  bool answered = false;
  ProcessId leaderHint;
  /** False when there is nothing of the asked name. */
  bool found = true;
  /** The report as JSON text. */
  std::string json;

  MSGPACK_DEFINE(id, answered, leaderHint, found, json)
};

/** The messages of the report channel. */
using ReportMessage = std::variant<ReportRequest, ReportReply>;

} // namespace figchute::control
