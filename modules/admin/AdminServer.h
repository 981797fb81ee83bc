#pragma once

#include "admin/AdminBackend.h"
#include "core/Error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace figchute::admin {

/** Settings of an AdminServer. */
struct AdminOptions
{
  /** Numeric address to listen on. */
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  /** Bearer key of operators; not empty. */
  std::string operatorKey;
  /** Bearer key of endpoints; not empty. */
  std::string endpointKey;
  /** Largest request body. A document travels in one log append of at most 512 KiB, which also
      carries its envelope. */
  std::size_t maxBodyBytes = 448U * 1024;
  /** Longest time for a client to send its request. */
  std::chrono::milliseconds senderTimeout{ 10000 };
  /** Threads that stay up. */
  unsigned minThreads = 8;
  /** Most threads: each blocked call of the backend holds one. */
  unsigned maxThreads = 64;
};

/** HTTP server for operators and endpoints. Errors are answered as JSON with the status and
    headers of the error table; a request that cannot be read never ends the process.
    Thread safety: construct, start and stop it from one thread at a time. */
class AdminServer
{
public:
  /** Creates a server that does not listen yet.
      @param options  address, keys and bounds
      @param backend  answers the requests; it must outlive the server */
  AdminServer(AdminOptions options, AdminBackend& backend);

  /** Stops the server. */
  ~AdminServer();

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /** Listens and answers requests in threads of its own. Call it once.
      @returns nothing, or `internal` when the address cannot be listened on, `bad_request` when a
               key is empty or both keys are equal */
  Expected<void> start();

  /** Stops listening and waits for the calls in progress. It may be called more than once. */
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace figchute::admin
