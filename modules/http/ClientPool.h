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

/** Why a call failed. */
enum class CallFailureKind
{
  connectRefused,
  connectTimeout,
  /** CallOptions::maxConnections is reached and all connections are busy. */
  connectionLimit,
  reset,
  /** The connection was closed before the response was complete. */
  closed,
  /** A body that ends with its connection ended, but its endpoint may have ended with it. */
  unconfirmedEnd,
  /** The received bytes are not a valid HTTP response. */
  malformed,
  /** The proxy was not reached, or opens no tunnel for a reason of its own. */
  proxyFailed,
};

/** Returns the name used in logs: "connect_refused" and so on. Safe from any thread. */
std::string_view toString(CallFailureKind kind);

/** Describes a failed call. */
struct CallFailure
{
  CallFailureKind kind = CallFailureKind::reset;
  /** False guarantees that no byte of the request was written to a connection. */
  bool sent = false;
  bool headReceived = false;
  /** Whether the connection had been used by an earlier call. */
  bool reused = false;
  std::string detail;
  /** Whether the address itself refused the connection, so nothing listens there; false if a proxy
      could not connect. */
  bool portClosed = false;
};

/** How a response ended. */
struct ResponseEnd
{
  /** How long its last byte, or the end of the connection that ends it, had been in this VM: the
      process was suspended or busy, or the end was being confirmed. The operating system measures
      it in steps of up to kBufferedTimeStep; zero if it does not tell. */
  Duration bufferedTime{ 0 };

  static constexpr Duration kBufferedTimeStep = std::chrono::milliseconds(10);
};

/** Receives the events of a call. Unless the call is cancelled, it ends with exactly one call of
    onComplete() or onFailure(). */
class CallListener
{
public:
  virtual ~CallListener() = default;

  /** Called when a new connection for the call has been established; not called if an idle one is
      used. */
  virtual void onConnected() {}
  /** Called when the first byte of the request has been written to the socket. */
  virtual void onSent() = 0;
  virtual void onHead(const ResponseHead& head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onComplete(const ResponseEnd& end) = 0;
  virtual void onFailure(const CallFailure& failure) = 0;

  /** Returns whether the endpoint may have closed its listening socket although its process lives
      and serves its calls to their ends, as one that drains does. If it may not, the end of a body
      that ends with its connection is not confirmed when the endpoint refuses a new connection.
      Called while such an end is being confirmed. */
  [[nodiscard]] virtual bool mayRefuseConnections() const { return true; }
};

/** A proxy that opens a tunnel to the address of a call, see TunnelServer. */
struct Proxy
{
  boost::asio::ip::tcp::endpoint address;
  /** The value of the Proxy-Authorization field. */
  std::string authorization;
};

/** Options of one call. */
struct CallOptions
{
  /** Includes the time in which a proxy opens a tunnel. */
  Duration connectTimeout = std::chrono::seconds(1);
  /** Name of the response field that returns a request identifier; empty for none. A response whose
      field differs from correlationValue belongs to an earlier request and is discarded. One
     without the field fails the call as malformed if the connection was used before. */
  std::string correlationName;
  std::string correlationValue;
  /** Maximum number of connections to the address, idle and busy. */
  std::size_t maxConnections = 1000;
  /** Opens a new connection even if an idle one is available. */
  bool forceNewConnection = false;
  /** The proxy to use; nothing for a direct connection. */
  std::optional<Proxy> proxy = std::nullopt;
};

/** One call. Destroying the last pointer to it cancels the call.
    Thread safety: use only on the thread of the pool's io_context. */
class Call
{
public:
  virtual ~Call() = default;

  /** Closes the connection immediately. The listener is not called afterwards. */
  virtual void cancel() = 0;

  /** Stops reading the response to apply back-pressure to the endpoint. */
  virtual void pause() = 0;

  /** Continues to read the response after pause(). */
  virtual void resume() = 0;

  /** Returns how long ago the end of the response reached this VM, while it is being confirmed;
      nothing at other times. */
  [[nodiscard]] virtual std::optional<Duration> timeSinceEnd() const = 0;
};

/** Sends requests to endpoints over persistent connections. It never sends a request twice.
    Thread safety: use only on the thread of its io_context. */
class ClientPool
{
public:
  explicit ClientPool(boost::asio::io_context& io);
  ~ClientPool();

  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  /** Starts a call. The listener is never called before start() has returned.
      @param address   the address of the endpoint
      @param head      the request head; its framing fields are derived from the body
      @param body      the request body, or null
      @param options   the options of the call
      @param listener  receives the events; it must live until the call has ended or was cancelled
      @returns the call */
  std::shared_ptr<Call> start(const boost::asio::ip::tcp::endpoint& address,
                              RequestHead head,
                              std::shared_ptr<const std::string> body,
                              CallOptions options,
                              CallListener& listener);

  /** Opens a connection and closes it again.
      @param timeout   a longer attempt ends with boost::asio::error::timed_out
      @param finished  called with the result, unless the pool is destroyed before */
  void probe(const boost::asio::ip::tcp::endpoint& address,
             Duration timeout,
             std::function<void(const boost::system::error_code&)> finished);

  /** Closes all idle direct connections to an address. */
  void closeIdle(const boost::asio::ip::tcp::endpoint& address);

  /** Returns the number of direct connections to an address, idle and busy. */
  [[nodiscard]] std::size_t connections(const boost::asio::ip::tcp::endpoint& address) const;

  /** Returns the bytes of all connections since the pool was created. */
  [[nodiscard]] Traffic traffic() const;

  /** Returns the number of connections opened since the pool was created. */
  [[nodiscard]] std::uint64_t openedConnections() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::http
