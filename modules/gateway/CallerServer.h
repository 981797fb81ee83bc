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

/** Handles the requests that a CallerServer receives. The methods are called on the server's I/O
    thread and must not block. */
class RequestHandler
{
public:
  RequestHandler() = default;
  virtual ~RequestHandler() = default;
  RequestHandler(const RequestHandler&) = delete;
  RequestHandler& operator=(const RequestHandler&) = delete;

  /** Handles one complete request.
      @param request  the request
      @param sink     receives the response, during this call or later */
  virtual void handle(CallerRequest request, std::shared_ptr<ResponseSink> sink) = 0;

  /** Called when the caller of a request disconnects, or is disconnected for reading too slowly,
      before its response is complete. It is called at most once per request, and never after the
      response was sent.
      @param request  the id of the request given to handle() */
  virtual void disconnected(const RequestId& request) = 0;
};

/** The listen address and limits of a CallerServer. */
struct ServerSettings
{
  /** An IPv4 or IPv6 address. */
  std::string address = "127.0.0.1";
  /** 0 lets the operating system choose a free port. */
  std::uint16_t port = 0;
  /** Prefix of every request id. It should identify the process and its current run, so that ids
      stay unique across processes and restarts. */
  std::string requestIdPrefix = "r";
  ServerLimits limits;
};

/** Counters of a CallerServer. `openConnections` and `runningRequests` are current values; the
    others are totals since its start. */
struct ServerCounters
{
  std::uint64_t connections = 0;
  std::uint64_t openConnections = 0;
  std::uint64_t requests = 0;
  std::uint64_t runningRequests = 0;
  /** Requests that the server itself rejected: invalid messages, exceeded limits, and requests
      during a stop. */
  std::uint64_t refused = 0;
  /** Callers that disconnected, or were disconnected, before their response was complete. */
  std::uint64_t disconnected = 0;
};

/** The HTTP/1.1 server for callers.

    It rejects messages that are malformed, too large or sent too slowly with the error kinds
    `bad_request`, `head_too_large`, `body_too_large` and `slow_sender`, requests beyond
    `maxStreams` with `overloaded`, and requests during a stop with `shutting_down`. It responds to
    `GET /healthz` itself: 200 while it runs, 503 during a stop. It passes all other requests to
    the handler. Requests on one connection are processed in order, one at a time.
    Thread safety: every method may be called from any thread. */
class CallerServer
{
public:
  /** Opens the listening socket and starts the I/O thread.
      @param settings  listen address, port and limits
      @param handler   must outlive the server
      @returns the server, or an error of kind `bad_request` when the address is malformed or
      cannot be bound */
  static Expected<std::unique_ptr<CallerServer>> listen(ServerSettings settings,
                                                        RequestHandler& handler);

  /** Closes all connections and joins the I/O thread. */
  ~CallerServer();
  CallerServer(const CallerServer&) = delete;
  CallerServer& operator=(const CallerServer&) = delete;

  /** Returns the port that the server listens on. */
  [[nodiscard]] std::uint16_t port() const;

  /** Starts a graceful stop: rejects new requests, closes idle connections and lets running
      requests finish. The listening socket stays open, so that a load balancer still gets the 503
      response of `/healthz`. */
  void beginStop();

  /** Blocks until no request is running.
      @param limit  the maximum time to wait
      @returns true when no request is running, false on time-out */
  bool waitUntilIdle(Duration limit);

  /** Returns the current counters. */
  [[nodiscard]] ServerCounters counters() const;

private:
  class Impl;
  explicit CallerServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::gateway
