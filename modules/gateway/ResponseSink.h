#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "gateway/Headers.h"

#include <optional>
#include <string>

namespace figchute::gateway {

/** Receives the response to one request.

    The valid call sequences are: `begin`, any number of `write`, `finish`; `fail` alone; and
    `begin`, any number of `write`, `fail`. Calls out of this order, and calls after the caller has
    disconnected, have no effect. When the last reference to the sink is released before `finish` or
    `fail`, the server fails the request with `internal`.
    Thread safety: every method may be called from any thread and does not block. Use only one
    thread at a time, so that the parts of the response stay in order. */
class ResponseSink
{
public:
  ResponseSink() = default;
  virtual ~ResponseSink() = default;
  ResponseSink(const ResponseSink&) = delete;
  ResponseSink& operator=(const ResponseSink&) = delete;

  /** Starts the response.
      @param status     the HTTP status, 200 to 599
      @param headers    additional header fields. The server sets `Content-Length`,
                        `Transfer-Encoding`, `Connection` and `X-Request-Id` itself and drops these
                        and `Keep-Alive` here
      @param streaming  true sends each write() immediately as a chunk; false buffers the body and
                        sends it with its length at finish() */
  virtual void begin(int status, Headers headers, bool streaming) = 0;

  /** Appends bytes to the body.
      @returns false when the caller has disconnected, or when the response is streamed and more
      than `maxPendingBytes` are unsent. In the second case the connection is closed and
      RequestHandler::disconnected() is called */
  virtual bool write(std::string bytes) = 0;

  /** Completes the response. */
  virtual void finish() = 0;

  /** Ends the response with an error.
      Before begin(), and for a response that is not streamed, the error replaces the whole
      response. After a streamed begin(), the error object is sent as a last server-sent event if
      the content type is `text/event-stream`, and the connection is closed without the final
      chunk, so that no client treats the response as complete.
      @param error       the error
      @param retryDelay  overrides the default retry delay of the error kind
      @param request     the request id in the error object */
  virtual void fail(const Error& error,
                    std::optional<Duration> retryDelay,
                    const RequestId& request) = 0;

  /** Returns true if the caller can still receive bytes. An unresponsive connection is detected
      only by the write time-out or by TCP keepalive, so this can be true after the caller is
      gone. */
  [[nodiscard]] virtual bool isOpen() const = 0;

  /** Returns the number of unsent bytes: those that the operating system has not accepted yet. */
  [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
};

} // namespace figchute::gateway
