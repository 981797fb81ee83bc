#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "gateway/Headers.h"

#include <optional>
#include <string>

namespace figchute::gateway {

/** Takes the answer to one request.

    An answer is one of: `begin`, any number of `write`, `finish`; or `fail` alone; or `begin`,
    any number of `write`, `fail`. Calls that do not fit this order, and calls after the caller has
    gone, do nothing. When the last reference goes away before `finish` or `fail`, the server
    answers `internal`.
    Thread safety: every method is safe from any thread and does not block; the answer to one
    request should come from one thread at a time, so that its parts keep their order. */
class ResponseSink
{
public:
  ResponseSink() = default;
  virtual ~ResponseSink() = default;
  ResponseSink(const ResponseSink&) = delete;
  ResponseSink& operator=(const ResponseSink&) = delete;

  /** Starts the answer.
      @param status     the HTTP status, 200 to 599
      @param headers    further header fields; the server adds framing and the request id, and
                        drops `Content-Length`, `Transfer-Encoding` and `Connection`
      @param streaming  true sends each write() at once as a chunk; false collects the body and
                        sends it with its length at finish() */
  virtual void begin(int status, Headers headers, bool streaming) = 0;

  /** Adds bytes to the body.
      @returns false when the caller has gone or has more than `maxPendingBytes` waiting; the
      connection is then closed and the handler is told by RequestHandler::disconnected() */
  virtual bool write(std::string bytes) = 0;

  /** Ends the answer. */
  virtual void finish() = 0;

  /** Ends the answer with an error.
      Before begin(), and for an answer that is not streamed, it replaces the whole answer. After a
      streamed begin() it sends the error object as a last server-sent event when the content type
      is `text/event-stream`, and closes the connection without the final chunk, so that no client
      takes the answer for complete.
      @param error       the error
      @param retryDelay  replaces the default retry delay of the kind
      @param request     the id that the error names */
  virtual void fail(const Error& error,
                    std::optional<Duration> retryDelay,
                    const RequestId& request) = 0;

  /** Tells whether the caller can still receive bytes. A connection that went silent is found by
      the write progress time-out or by TCP keepalive, so true can be out of date. */
  [[nodiscard]] virtual bool isOpen() const = 0;

  /** Returns the bytes given to write() that the operating system has not yet taken. */
  [[nodiscard]] virtual std::size_t pendingBytes() const = 0;
};

} // namespace figchute::gateway
