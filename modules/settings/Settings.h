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

/** The roles of a process; at least one is set. */
struct Roles
{
  /** Handles requests of callers. */
  bool entry = false;
  /** Member of the replicated log. */
  bool control = false;

  bool operator==(const Roles&) const = default;
};

/** Returns `entry`, `control` or `entry+control`. Thread safety: safe from any thread. */
std::string toString(Roles roles);

/** Minimum severity of the log lines that are written. */
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
  /** HTTP for callers; set if the process has the role entry. */
  std::optional<Address> callers;
  /** HTTP for operators and endpoints. */
  Address admin;
  /** Messages between processes. */
  Address peers;
};

/** Shared secrets of the fleet. */
struct Keys
{
  /** Bearer key of operators. */
  std::string operators;
  /** Bearer key of endpoints that announce themselves. */
  std::string endpoint;
  /** HMAC key for messages between processes. */
  std::string peer;
};

/** Limits on the requests that a process accepts. */
struct Limits
{
  /** Maximum size of the request line and the headers together. */
  std::size_t maxHeadBytes = 16U * 1024;
  /** Maximum size of a request body. */
  std::size_t maxBodyBytes = 8U * 1024 * 1024;
  /** Maximum time for a sender to send head and body. */
  std::chrono::milliseconds senderTimeout{ 10000 };
  /** Maximum time that open streams may continue after SIGTERM. */
  std::chrono::seconds shutdownTimeout{ 30 };
  /** Maximum number of concurrently open streams. */
  std::size_t maxStreams = 2000;
};

/** The validated settings of one process. */
struct Settings
{
  ProcessId id;
  ZoneId zone;
  Roles roles;
  /** Directory of the persistent state; set if the process has the role control. */
  std::optional<std::string> dataDir;
  LogLevel logLevel = LogLevel::info;
  ListenAddresses listen;
  /** The other processes of the fleet, in text order, without the process itself. */
  std::vector<Peer> peers;
  Keys keys;
  Limits limits;

  /** Returns the peer, or nullptr if there is none with this id. Thread safety: safe from any
      thread; the pointer is valid while the settings are unchanged. */
  [[nodiscard]] const Peer* findPeer(const ProcessId& peer) const;
};

} // namespace figchute::settings
