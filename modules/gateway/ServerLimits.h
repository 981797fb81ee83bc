#pragma once

#include <chrono>
#include <cstddef>

namespace figchute::gateway {

/** The limits of a CallerServer. */
struct ServerLimits
{
  /** Maximum size in bytes of the request line and all header fields. */
  std::size_t maxHeadBytes = 16U * 1024;
  /** Maximum size in bytes of a request body, after chunked decoding. */
  std::size_t maxBodyBytes = 4U * 1024 * 1024;
  /** Maximum time from the first byte of a request to its last byte. */
  std::chrono::milliseconds senderTimeout{ 10'000 };
  /** Maximum time that a connection stays open between requests. */
  std::chrono::milliseconds idleTimeout{ 30'000 };
  /** Maximum number of concurrent requests. */
  std::size_t maxStreams = 4096;
  /** Maximum number of open connections, including idle ones. */
  std::size_t maxConnections = 8192;
  /** Maximum number of unsent bytes of a streamed response; beyond it the caller is
      disconnected. */
  std::size_t maxPendingBytes = 1024U * 1024;
  /** Maximum time without progress of a write. */
  std::chrono::milliseconds writeTimeout{ 15'000 };
};

} // namespace figchute::gateway
