#pragma once

#include "core/core.h"
#include "http/Head.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace figchute::http {

/** Why a call failed. */
enum class CallFailureKind
{
  connectRefused,
  connectTimeout,
  /** All connections that the call may use are busy. */
  connectionLimit,
  reset,
  /** The connection was closed before the response was complete. */
  closed,
  /** Bytes that are no HTTP response. */
  malformed,
};

/** Returns the name used in logs: "connect_refused" and so on. Safe from any thread. */
std::string_view toString(CallFailureKind kind);

/** How a call failed. */
struct CallFailure
{
  CallFailureKind kind = CallFailureKind::reset;
  /** False promises that no byte of the request reached a connection. */
  bool sent = false;
  bool headReceived = false;
  /** The call used a connection that had served another one before. */
  bool reused = false;
  std::string detail;
};

/** Takes the events of a call. Exactly one of onComplete() and onFailure() ends it, unless the call
    was cancelled. */
class CallListener
{
public:
  virtual ~CallListener() = default;

  /** The first byte of the request was handed to the system. */
  virtual void onSent() = 0;
  virtual void onHead(const ResponseHead& head) = 0;
  virtual void onBody(std::string_view bytes) = 0;
  virtual void onComplete() = 0;
  virtual void onFailure(const CallFailure& failure) = 0;
};

/** Options of one call. */
struct CallOptions
{
  Duration connectTimeout = std::chrono::seconds(1);
  /** The response field that echoes a field of the request; empty when there is none. A response
      that has it with another value belongs to an earlier request and is dropped. */
  std::string correlationName;
  std::string correlationValue;
  /** Most connections to the address, busy ones included. */
  std::size_t maxConnections = 1000;
  /** Uses a new connection even when an idle one is there. */
  bool forceNewConnection = false;
};

/** One call. Dropping the last pointer cancels it.
    Thread safety: use it on the thread of the pool's io_context only. */
class Call
{
public:
  virtual ~Call() = default;

  /** Closes the connection at once; the listener is not called any more. */
  virtual void cancel() = 0;

  /** Stops reading the response, for back-pressure. */
  virtual void pause() = 0;

  /** Reads on after pause(). */
  virtual void resume() = 0;
};

/** Sends requests to endpoints over kept connections. It never sends a request twice.
    Thread safety: use it on the thread of its io_context only. */
class ClientPool
{
public:
  explicit ClientPool(boost::asio::io_context& io);
  ~ClientPool();

  ClientPool(const ClientPool&) = delete;
  ClientPool& operator=(const ClientPool&) = delete;

  /** Starts a call. The listener is never called before start() has returned.
      @param address   the endpoint
      @param head      the request; framing fields are added from the body
      @param body      the body, may be null
      @param options   see CallOptions
      @param listener  must live until the call has ended or is cancelled
      @returns the call */
  std::shared_ptr<Call> start(const boost::asio::ip::tcp::endpoint& address,
                              RequestHead head,
                              std::shared_ptr<const std::string> body,
                              CallOptions options,
                              CallListener& listener);

  /** Closes the idle connections to an address. */
  void closeIdle(const boost::asio::ip::tcp::endpoint& address);

  /** Returns the number of connections to an address, busy and idle. */
  [[nodiscard]] std::size_t connections(const boost::asio::ip::tcp::endpoint& address) const;

  /** Returns the number of connections opened since the start. */
  [[nodiscard]] std::uint64_t opened() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::http
