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

/** One call to an endpoint. */
struct UpstreamCall
{
  /** Sent as `X-Request-Id`; names the call for cancel(). */
  RequestId request;
  std::string host;
  std::uint16_t port = 0;
  std::string method = "POST";
  /** Path and query. */
  std::string target;
  /** Further header fields. */
  Headers headers;
  std::string body;
  /** Time to establish the connection and send the request. */
  Duration connectTimeout = std::chrono::seconds(1);
  /** Time from the sent request to the head of the answer. */
  Duration firstByteTimeout = std::chrono::seconds(30);
  /** Time between two parts of the answer. */
  Duration progressTimeout = std::chrono::seconds(10);
  /** False always opens a new connection. Set it for a request that must run at most once: an idle
      connection can be closed by the endpoint while the request is on its way. */
  bool mayReuseConnection = true;
};

/** The status and header fields of an answer. Names are as the endpoint sent them. */
struct UpstreamHead
{
  int status = 0;
  Headers headers;
};

/** The next bytes of the answer's body, after chunked decoding. */
struct UpstreamBody
{
  std::string bytes;
};

/** The answer is complete. */
struct UpstreamDone
{};

/** The call failed; nothing follows. */
struct UpstreamFailed
{
  /** `endpoint_failed`, `endpoint_timeout` or `answer_mismatch`. */
  Error error;
  /** False when no byte of the request can have reached the endpoint, so that it did not run. */
  bool mayHaveBeenSent = false;
  /** True when a kept connection failed before any byte of an answer. The endpoint has probably
      closed it while it was idle: idempotent work may go to the same endpoint again. */
  bool reusedConnection = false;
};

/** What happens to a call: any number of UpstreamBody after one UpstreamHead, ended by UpstreamDone
    or UpstreamFailed. */
using UpstreamEvent = std::variant<UpstreamHead, UpstreamBody, UpstreamDone, UpstreamFailed>;

/** Takes the events of one call, in order, on a thread of the pool; it must not block. */
using UpstreamCallback = std::function<void(UpstreamEvent)>;

/** The bounds of an UpstreamPool. */
struct UpstreamLimits
{
  /** Event loop threads. */
  unsigned threads = 2;
  /** Time that an idle connection is kept. */
  std::chrono::milliseconds idleTimeout{ 3'000 };
  /** Idle connections kept for one endpoint and thread. */
  std::size_t maxIdlePerEndpoint = 32;
};

/** Numbers of an UpstreamPool since its start. */
struct UpstreamCounters
{
  std::uint64_t calls = 0;
  std::uint64_t running = 0;
  std::uint64_t connectionsReused = 0;
  std::uint64_t failed = 0;
  std::uint64_t cancelled = 0;
  /** Answers dropped because they carried another request id. */
  std::uint64_t mismatched = 0;
};

/** Runs calls to endpoints over HTTP/1.1.

    A connection whose answer was not received as a whole is closed and never used again. An answer
    with a body that has neither a length nor chunking fails as `endpoint_failed`, as does one that
    ends early. An answer that carries an `X-Request-Id` other than the request's fails as
    `answer_mismatch`, before any of it is delivered. The header fields of a request or an answer
    may take 4 KiB, the bound of cxxtools::http::MessageHeader; larger ones fail as
    `endpoint_failed`.
    Thread safety: every method is safe from any thread, also from a callback. */
class UpstreamPool
{
public:
  /** Starts the threads. */
  explicit UpstreamPool(UpstreamLimits limits = {});

  /** Closes all connections and ends the threads; calls that still run get no further event. */
  ~UpstreamPool();
  UpstreamPool(const UpstreamPool&) = delete;
  UpstreamPool& operator=(const UpstreamPool&) = delete;

  /** Starts a call.
      Precondition: no other call with this request id runs; a second one fails as `internal`.
      @param call      the call
      @param callback  takes its events */
  void start(UpstreamCall call, UpstreamCallback callback);

  /** Ends a call and closes its connection. An event that is being delivered at this moment still
      arrives; once a later start() with the same id has delivered one, no event of the old call
      follows. Does nothing when no such call runs.
      @param request  the id of the call */
  void cancel(const RequestId& request);

  /** Returns the numbers so far. */
  [[nodiscard]] UpstreamCounters counters() const;

private:
  class Worker;
  Worker& workerOf(const RequestId& request);
  std::vector<std::unique_ptr<Worker>> workers_;
};

} // namespace figchute::gateway
