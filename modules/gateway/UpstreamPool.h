#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "gateway/Headers.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace figchute::gateway {

/** One HTTP request to an endpoint, with its time-outs. */
struct UpstreamCall
{
  /** Sent as `X-Request-Id`; identifies the call for cancel(). */
  RequestId request;
  /** An IPv4 or IPv6 address. */
  std::string host;
  std::uint16_t port = 0;
  std::string method = "POST";
  /** Path and query string. */
  std::string target;
  /** Additional header fields. */
  Headers headers;
  std::string body;
  /** Maximum time to establish the connection and send the request. */
  Duration connectTimeout = std::chrono::seconds(1);
  /** Maximum time from sending the request to receiving the response header. */
  Duration firstByteTimeout = std::chrono::seconds(30);
  /** Maximum time between two parts of the response. */
  Duration progressTimeout = std::chrono::seconds(10);
  /** False always opens a new connection. Set it to false for a request that must run at most once:
      the endpoint can close an idle connection while the request is in transit, and the caller
      cannot determine then whether it ran. */
  bool mayReuseConnection = true;
};

/** The status and header fields of a response. Field names are as the endpoint sent them. */
struct UpstreamHead
{
  int status = 0;
  Headers headers;
};

/** The next bytes of the response body, after chunked decoding. */
struct UpstreamBody
{
  std::string bytes;
};

/** The response is complete; no further event follows. */
struct UpstreamDone
{};

/** The call failed; no further event follows. */
struct UpstreamFailed
{
  /** `endpoint_failed`, `endpoint_timeout` or `answer_mismatch`. */
  Error error;
  /** False when no byte of the request can have reached the endpoint, so that the request cannot
      have run. */
  bool mayHaveBeenSent = false;
  /** True when a reused connection failed before a response header was received. The endpoint
      probably closed the connection while it was idle, so an idempotent request may be retried on
      the same endpoint. */
  bool reusedConnection = false;
};

/** An event of a call. A call delivers one UpstreamHead, any number of UpstreamBody and finally
    UpstreamDone; or UpstreamFailed at any point before UpstreamDone. */
using UpstreamEvent = std::variant<UpstreamHead, UpstreamBody, UpstreamDone, UpstreamFailed>;

/** Receives the events of one call, in order, on a thread of the pool. It must not block. */
using UpstreamCallback = std::function<void(UpstreamEvent)>;

/** The thread count and connection limits of an UpstreamPool. */
struct UpstreamLimits
{
  /** Number of event loop threads. */
  unsigned threads = 2;
  /** Time after which an idle connection is closed. */
  std::chrono::milliseconds idleTimeout{ 3'000 };
  /** Maximum number of idle connections per endpoint and thread. */
  std::size_t maxIdlePerEndpoint = 32;
};

/** Counters of an UpstreamPool. `running` is the current number of calls; the others are totals
    since its start. */
struct UpstreamCounters
{
  std::uint64_t calls = 0;
  std::uint64_t running = 0;
  std::uint64_t connectionsReused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  /** Responses dropped because of a missing or wrong request id. */
  std::uint64_t mismatched = 0;
};

/** Runs HTTP/1.1 calls to endpoints and reuses their connections.

    A connection whose response was not received completely is closed and never reused. A response
    whose body has neither `Content-Length` nor chunked encoding fails with `endpoint_failed`, as
    does a response that ends early. A response with an `X-Request-Id` other than the request's
    fails with `answer_mismatch` before any of it is delivered, as does a response without one on a
    reused connection. The header fields of a request or response are limited to 4 KiB by
    cxxtools::http::MessageHeader; larger ones fail with `endpoint_failed`.
    Thread safety: every method may be called from any thread, including from a callback. */
class UpstreamPool
{
public:
  /** Starts the event loop threads. */
  explicit UpstreamPool(UpstreamLimits limits = {});

  /** Closes all connections and joins the threads. Running calls receive no further event. */
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /** Starts a call.
      Precondition: no other call with this request id is running; otherwise this call fails with
      `internal`.
      @param call      the call
      @param callback  receives its events */
  void start(UpstreamCall call, UpstreamCallback callback);

  /** Cancels a call and closes its connection. Cancellation is asynchronous: events of the call can
      still arrive until a later start() with the same id delivers its first event. Has no effect
      when no call with this id is running.
      @param request  the id of the call */
  void cancel(const RequestId& request);

  /** Returns the current counters, summed over all threads. */
  [[nodiscard]] UpstreamCounters counters() const;

private:
  class Worker;
  Worker& workerFor(const RequestId& request);
  std::vector<std::unique_ptr<Worker>> workers_;
};

} // namespace figchute::gateway
