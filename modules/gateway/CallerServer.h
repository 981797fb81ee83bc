#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "gateway/CallerRequest.h"
#include "gateway/ResponseSink.h"
#include "gateway/ServerLimits.h"

#include <cstdint>
#include <memory>
#include <string>

namespace figchute::gateway {

/** Receives the requests of a CallerServer. The methods are called on the server's I/O thread and
    must not block. */
class RequestHandler
{
public:
  RequestHandler() = default;
  virtual ~RequestHandler() = default;
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  /** Takes one complete request.
      @param request  the request
      @param sink     takes its answer, now or later */
  virtual void handle(CallerRequest request, std::shared_ptr<ResponseSink> sink) = 0;

  /** Tells that the caller of an unanswered request has gone, or reads too slowly. It is called at
      most once for a request, and never after its answer was sent.
      @param request  the id given to handle() */
  virtual void disconnected(const RequestId& request) = 0;
};

/** Where a CallerServer listens, and its bounds. */
struct ServerSettings
{
  /** An IPv4 or IPv6 address. */
  std::string address = "127.0.0.1";
  /** 0 takes a free port. */
  std::uint16_t port = 0;
  /** Starts every request id; it should name process and incarnation. */
  std::string requestIdPrefix = "r";
  ServerLimits limits;
};

/** Numbers of a CallerServer since its start. */
struct ServerCounters
{
  std::uint64_t connections = 0;
  std::uint64_t openConnections = 0;
  std::uint64_t requests = 0;
  std::uint64_t runningRequests = 0;
  /** Requests refused by the server itself: faults of the message, limits, and stop. */
  std::uint64_t refused = 0;
  /** Callers that went away, or were cut off, before their answer was complete. */
  std::uint64_t disconnected = 0;
};

/** The HTTP/1.1 server for callers.

    It refuses messages that are malformed, too large or too slow with the error kinds
    `bad_request`, `head_too_large`, `body_too_large` and `slow_sender`, requests beyond
    `maxStreams` with `overloaded`, and requests during a stop with `shutting_down`. It answers
    `GET /healthz` itself: 200 while it runs, 503 during a stop. Everything else goes to the
    handler. Requests on one connection are answered in order, one at a time.
    Thread safety: every method is safe from any thread. */
class CallerServer
{
public:
  /** Opens the listening socket and starts the I/O thread.
      @param settings  address, port and bounds
      @param handler   must outlive the server
      @returns the server, or an error of kind `bad_request` when the address is malformed or
      cannot be bound */
  static Expected<std::unique_ptr<CallerServer>> listen(ServerSettings settings,
                                                        RequestHandler& handler);

  /** Closes all connections and ends the I/O thread. */
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** Returns the port in use. */
  [[nodiscard]] std::uint16_t port() const;

  /** Stops accepting connections and requests; running requests go on. Idle connections are
      closed. The listening socket stays open, so that a load balancer sees `/healthz` fail. */
  void beginStop();

  /** Waits until no request runs.
      @param limit  the longest time to wait
      @returns true when all requests have ended */
  bool waitUntilIdle(Duration limit);

  /** Returns the numbers so far. */
  [[nodiscard]] ServerCounters counters() const;

private:
  class Impl;
  explicit CallerServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::gateway
