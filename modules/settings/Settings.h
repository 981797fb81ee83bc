#pragma once

#include "core/core.h"
#include "settings/Address.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::settings {

/** What a process does; at least one is set. */
struct Roles
{
  /** Serves callers. */
  bool entry = false;
  /** Is a member of the replicated log. */
  bool control = false;

  bool operator==(const Roles&) const = default;
};

/** Writes `entry`, `control` or `entry+control`. Thread safety: safe from any thread. */
std::string toString(Roles roles);

/** Least severe log lines that are written. */
enum class LogLevel : std::uint8_t
{
  debug,
  info,
  warning,
  error,
};

/** Returns the name used in settings. Thread safety: safe from any thread. */
std::string_view toString(LogLevel level);

/** Another process of the fleet. */
struct Peer
{
  ProcessId id;
  Address address;
  ZoneId zone;
  Roles roles;
};

/** Addresses that the process listens on. */
struct ListenAddresses
{
  /** HTTP for callers; set when the process has the role entry. */
  std::optional<Address> callers;
  /** HTTP for operators and endpoints. */
  Address admin;
  /** Messages between processes. */
  Address peers;
};

/** Shared secrets. */
struct Keys
{
  /** Bearer key of operators. */
  std::string operators;
  /** Bearer key of announcing endpoints. */
  std::string endpoint;
  /** Key of the HMAC between processes. */
  std::string peer;
};

/** Bounds on what one process takes in. */
struct Limits
{
  /** Largest request line and headers together. */
  std::size_t maxHeadBytes = 16U * 1024;
  /** Largest request body. */
  std::size_t maxBodyBytes = 8U * 1024 * 1024;
  /** Longest time for a sender to deliver head and body. */
  std::chrono::milliseconds senderTimeout{ 10000 };
  /** Longest time that open streams may take after SIGTERM. */
  std::chrono::seconds shutdownTimeout{ 30 };
  /** Most streams open at a time. */
  std::size_t maxStreams = 2000;
};

/** The validated settings of one process. */
struct Settings
{
  ProcessId id;
  ZoneId zone;
  Roles roles;
  /** Folder of the durable state; set when the process has the role control. */
  std::optional<std::string> dataDir;
  LogLevel logLevel = LogLevel::info;
  ListenAddresses listen;
  /** The other processes, in the order of the text; the process itself is left out. */
  std::vector<Peer> peers;
  Keys keys;
  Limits limits;

  /** Returns the peer, or nullptr. Thread safety: safe from any thread; the pointer lives as long
      as the settings are unchanged. */
  [[nodiscard]] const Peer* findPeer(const ProcessId& peer) const;
};

} // namespace figchute::settings
