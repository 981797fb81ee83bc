#pragma once

#include "core/core.h"
#include "http/Head.h"
#include "http/Traffic.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::http {

/** Limits on the size and duration of requests and on the number of connections. */
struct ServerLimits
{
  std::size_t headBytes = 16U * 1024;
  std::uint64_t bodyBytes = 4U * 1024 * 1024;
  Duration headTimeout = std::chrono::seconds(3);
  /** Maximum time between two parts of a request body. */
  Duration bodyTimeout = std::chrono::seconds(10);
  Duration idleTimeout = std::chrono::seconds(15);
  /** Maximum time in which a caller takes no bytes of a response that waits for it. The caller's
      system acknowledges bytes when its receive buffer has room. Once the buffer was full, it asks
      for more only when a segment or a sixteenth of the buffer is free, whichever is larger.
      That is the smallest progress that can be seen. It is measured ten times in the limit. */
  Duration writeTimeout = std::chrono::seconds(10);
  /** Maximum total bytes of all request bodies in memory; a request that exceeds it gets 503. */
  std::uint64_t totalBodyBytes = 16U * 1024 * 1024;
  std::size_t maxConnections = 3000;
  /** Maximum number of connections that the operating system establishes before they are accepted.
      It is read by listen(). */
  int backlog = 4096;
};

/** Is told how many bytes of one request were transferred. It is destroyed when the request has
    ended, at the latest with its connection.
    Thread safety: used on the thread of the server's io_context only. */
class TransferObserver
{
public:
  virtual ~TransferObserver() = default;

  /** Called for the bytes of the request, its head included, as they are read. */
  virtual void received(std::size_t bytes) = 0;

  /** Called by the handler for the bytes that it sends to another server. */
  virtual void forwarded(std::size_t bytes) = 0;

  /** Called for the bytes of the response as they are passed to the connection. */
  virtual void answered(std::size_t bytes) = 0;
};

/** What a server knows of a request whose head it has read. */
struct HeadInfo
{
  /** The size of the head on the wire. */
  std::size_t headBytes = 0;
  /** The bytes that were read since the head began; traffic() already contains them. */
  std::size_t receivedBytes = 0;
  /** An earlier request of the same connection was handled. */
  bool servedBefore = false;
};

/** A response that refuses a request before its body is read. */
struct HeadRefusal
{
  ResponseHead head;
  std::string body;
};

/** Why the caller did not get the end of a response. */
enum class UnsentReason
{
  /** The caller took no bytes for ServerLimits::writeTimeout. */
  writeTimeout,
  /** The caller reset the connection. */
  disconnected,
  /** The server closed its connections. */
  closed,
};

/** The part of an ended response that did not reach its caller. */
struct UnsentResponse
{
  UnsentReason reason = UnsentReason::disconnected;
  /** Bytes that the operating system had not accepted yet. */
  std::size_t unwrittenBytes = 0;
  /** Bytes that the operating system had accepted and the caller's had not acknowledged. */
  std::size_t unacknowledgedBytes = 0;
};

/** Whether a request is received further. */
struct HeadDecision
{
  /** Set to refuse the request. */
  std::optional<HeadRefusal> refusal;
  /** Observes the request if it is not refused; may be null. */
  std::shared_ptr<TransferObserver> observer;
};

/** A completely received request and its response. It remains valid after the caller has
    disconnected; calls then have no effect. Exactly one of respond(), finish() and abort() ends it.
    If the last pointer is destroyed before that, the connection is aborted.
    Thread safety: use only on the thread of the server's io_context. */
class ServerRequest
{
public:
  virtual ~ServerRequest() = default;

  [[nodiscard]] virtual const RequestHead& head() const = 0;

  /** Returns the complete body. It can be shared with a ClientPool call that forwards it. */
  [[nodiscard]] virtual const std::shared_ptr<const std::string>& body() const = 0;

  /** Returns the address of the caller as IP:port. */
  [[nodiscard]] virtual const std::string& peer() const = 0;

  /** Sends a complete response with its Content-Length and ends the request. */
  virtual void respond(ResponseHead head, std::string_view body) = 0;

  /** Sends the head of a response whose body follows through write(). If the head has a length, the
      body must have exactly this length. Otherwise the body is chunked, or for an HTTP/1.0 caller
      ends when the connection is closed. */
  virtual void start(ResponseHead head) = 0;

  /** Sends part of the body. Precondition: start() was called. */
  virtual void write(std::string_view bytes) = 0;

  /** Ends the body and the request. If the body is shorter than its length, aborts instead. */
  virtual void finish() = 0;

  /** Closes the connection in a way that the caller cannot take the response for complete. */
  virtual void abort() = 0;

  /** Returns the number of response bytes not yet written to the socket. */
  [[nodiscard]] virtual std::size_t pendingBytes() const = 0;

  /** Sets the callback that is called each time pendingBytes() falls to 0. */
  virtual void onWritable(std::function<void()> callback) = 0;

  /** Sets the callback that is called once if the caller closes or resets the connection, or
      exceeds the write timeout, before the request has ended. */
  virtual void onDisconnect(std::function<void()> callback) = 0;

  /** Sets the callback that is called at most once if the response has ended and its connection
      fails before the caller has received all bytes. It may be called after this object was
      destroyed, but not after the next request of the connection. */
  virtual void onUnsent(std::function<void(const UnsentResponse&)> callback) = 0;

  /** Adds Connection: close to the response and closes the connection after it.
      Precondition: the response has not started. */
  virtual void closeAfterResponse() = 0;

  /** Returns the observer of this request, or nullptr. */
  [[nodiscard]] virtual TransferObserver* observer() const { return nullptr; }
};

/** Accepts HTTP/1.1 connections and passes complete requests to a handler, one at a time per
    connection.
    Thread safety: use only on the thread of its io_context. */
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<ServerRequest>)>;
  /** Returns how long accepting has to pause; zero if a connection may be accepted now. */
  using AcceptDelay = std::function<Duration()>;
  /** Decides on a request whose head is valid and whose body has not been read.
      @param head  the head; Expect may be among its fields
      @param info  what the head does not contain */
  using HeadFilter = std::function<HeadDecision(const RequestHead& head, const HeadInfo& info)>;

  /** @param io       the event loop that runs the server; it must outlive the server
      @param limits   the initial limits
      @param handler  receives each request */
  Server(boost::asio::io_context& io, ServerLimits limits, Handler handler);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Binds to an address and listens; port 0 selects a free port.
      @returns an error of kind `internal` with the system's error message when the address cannot
      be used */
  Expected<void> listen(const boost::asio::ip::tcp::endpoint& address);

  /** Returns the listening port. */
  [[nodiscard]] std::uint16_t port() const;

  /** Replaces the limits for all further requests. */
  void setLimits(const ServerLimits& limits);

  /** Sets the function that is asked before each connection is accepted. */
  void setAcceptDelay(AcceptDelay delay);

  /** Sets the function that is asked about each request before its body is read. A refused request
      is not passed to the handler, and neither are the bytes after it: the connection is closed
      after the response. 400, 413, 417, 431 and the limit on all bodies take precedence. */
  void setHeadFilter(HeadFilter filter);

  /** Stops accepting connections. */
  void stopAccepting();

  /** Closes idle connections and adds Connection: close to all further responses. New connections
      are accepted until stopAccepting() is called; those without a request are closed after 1 s. */
  void drain();

  /** Returns the bytes of all connections since the start. */
  [[nodiscard]] Traffic traffic() const;

  /** Returns the part of traffic() that belongs to requests which the head filter refused. */
  [[nodiscard]] Traffic refusedTraffic() const;

  /** Returns how many of the connections accepted since the start sent no complete head of a
      request, those included that have been closed. Their first requests may still be on the way.
   */
  [[nodiscard]] std::uint64_t unusedConnections() const;

  /** Returns the number of open connections. */
  [[nodiscard]] std::size_t connections() const;

  /** Returns the number of requests that were passed to the handler and have not ended. */
  [[nodiscard]] std::size_t openRequests() const;

  /** Returns the number of connections without an open request whose callers have not received all
      bytes that were written to them. */
  [[nodiscard]] std::size_t unsentResponses() const;

  /** Stops accepting and closes all connections. What the operating system accepts of the responses
      that have ended is written before. Callbacks of open requests are not called. */
  void closeConnections();

  /** Returns whether a new connection has not sent its first request yet; 1 s after it was accepted
      none is expected any more. */
  [[nodiscard]] bool expectsFirstRequests() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::http
