#pragma once

#include "admin/AdminBackend.h"
#include "core/Error.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

namespace figchute::admin {

/** The settings of an AdminServer. */
struct AdminOptions
{
  /** The numeric IP address to listen on. */
  std::string ip = "127.0.0.1";
  std::uint16_t port = 0;
  /** The bearer key of operators; must not be empty. */
  std::string operatorKey;
  /** The bearer key of endpoints; must not be empty. */
  std::string endpointKey;
  /** The maximum size of a request body. A document is sent in a single log append of at most
      512 KiB, which also contains its envelope. */
  std::size_t maxBodyBytes = 448U * 1024;
  /** The maximum time for a client to send its request. */
  std::chrono::milliseconds senderTimeout{ 10000 };
  /** The number of threads that are always kept running. */
  unsigned minThreads = 8;
  /** The maximum number of threads. Each blocked backend call occupies one. */
  unsigned maxThreads = 64;
};

/** The HTTP server for operators and endpoints. Errors are returned as JSON with the status and the
    headers of the error table. A malformed request never terminates the process.
    Thread safety: construct, start and stop it from one thread at a time. */
class AdminServer
{
public:
  /** Creates a server that is not listening yet.
      @param options  the address, keys and limits
      @param backend  handles the requests; must outlive the server */
  AdminServer(AdminOptions options, AdminBackend& backend);

  /** Stops the server. */
  ~AdminServer();

  AdminServer(const AdminServer&) = delete;
  AdminServer& operator=(const AdminServer&) = delete;

  /** Starts listening and handles requests on its own threads. May be called only once.
      @returns nothing; `internal` if the server cannot listen on the address, or `bad_request` if a
               key is empty or both keys are equal */
  Expected<void> start();

  /** Stops listening and waits for the calls in progress. May be called more than once. */
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

} // namespace figchute::admin
