#pragma once

#include <chrono>
#include <cstddef>

namespace figchute::gateway {

/** The bounds of a CallerServer. */
struct ServerLimits
{
  /** Bytes of the request line and all header fields. */
  std::size_t maxHeadBytes = 16U * 1024;
  /** Bytes of a request body, after chunked decoding. */
  std::size_t maxBodyBytes = 4U * 1024 * 1024;
  /** Time from the first byte of a request to its last. */
  std::chrono::milliseconds senderTimeout{ 10'000 };
  /** Time that a connection may stay open between requests. */
  std::chrono::milliseconds idleTimeout{ 30'000 };
  /** Requests that may run at one time. */
  std::size_t maxStreams = 4096;
  /** Connections that may be open at one time, idle ones included. */
  std::size_t maxConnections = 8192;
  /** Bytes that wait for one caller that does not read. */
  std::size_t maxPendingBytes = 1024U * 1024;
  /** Time in which a write must make progress. */
  std::chrono::milliseconds writeTimeout{ 15'000 };
};

} // namespace figchute::gateway
