#pragma once

#include "core/core.h"
#include "wire/Codec.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

namespace figchute::control {

/** The reports that operators can request from the leader. */
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

/** Requests a report from a control VM. Only the leader returns one, so that an isolated control VM
    never reports outdated state as current. */
struct ReportRequest
{
  std::uint64_t id = 0;
  ReportKind kind = ReportKind::spend;
  /** The team, for the kinds document and history; else unused. */
  std::string argument;

  MSGPACK_DEFINE(id, kind, argument)
};

/** The reply to a ReportRequest. */
struct ReportReply
{
  std::uint64_t id = 0;
  /** False when the sender is not the leader; @ref leaderHint then names the leader if known. */
  bool answered = false;
  ProcessId leaderHint;
  /** False when the requested team does not exist. */
  bool found = true;
  /** The report as JSON text. */
  std::string json;

  MSGPACK_DEFINE(id, answered, leaderHint, found, json)
};

/** The messages of the report channel. */
using ReportMessage = std::variant<ReportRequest, ReportReply>;

} // namespace figchute::control
