#pragma once

#include "core/core.h"
#include "http/Head.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace figchute::http {

/** Bounds on what a caller may send and how long it may take. */
struct ServerLimits
{
  std::size_t headBytes = 16U * 1024;
  std::uint64_t bodyBytes = 4U * 1024 * 1024;
  Duration headTimeout = std::chrono::seconds(3);
  /** Longest pause between two parts of a request body. */
  Duration bodyTimeout = std::chrono::seconds(10);
  Duration idleTimeout = std::chrono::seconds(15);
  /** Longest time that a caller may leave written bytes unread. */
  Duration writeTimeout = std::chrono::seconds(10);
  /** Most bytes of request bodies held at a time; a request beyond it gets 503. */
  std::uint64_t totalBodyBytes = 16U * 1024 * 1024;
  std::size_t maxConnections = 3000;
};

/** One request, completely read, and its response. It stays valid when the caller is gone; calls
    then do nothing. Exactly one of respond(), finish() and abort() ends it; when the last pointer
    is dropped before, the connection is aborted.
    Thread safety: use it on the thread of the server's io_context only. */
class ServerRequest
{
public:
  virtual ~ServerRequest() = default;

  [[nodiscard]] virtual const RequestHead& head() const = 0;

  /** Returns the whole body, to be shared with the call that forwards it. */
  [[nodiscard]] virtual const std::shared_ptr<const std::string>& body() const = 0;

  /** Returns the address of the caller as IP:port. */
  [[nodiscard]] virtual const std::string& peer() const = 0;

  /** Sends a whole response and ends the request. A length is added. */
  virtual void respond(ResponseHead head, std::string_view body) = 0;

  /** Sends the head of a response whose body follows by write(). With a length in the head the body
      has to have it; otherwise it is sent in chunks, or until close to a caller of HTTP/1.0. */
  virtual void start(ResponseHead head) = 0;

  /** Sends a part of the body. Precondition: start() was called. */
  virtual void write(std::string_view bytes) = 0;

  /** Ends the body. A body that is shorter than its length aborts instead. */
  virtual void finish() = 0;

  /** Closes the connection so that the response cannot look complete. */
  virtual void abort() = 0;

  /** Returns the bytes that are written but not yet taken by the system. */
  [[nodiscard]] virtual std::size_t pendingBytes() const = 0;

  /** Sets the function that is called each time pendingBytes() falls to 0. */
  virtual void onWritable(std::function<void()> callback) = 0;

  /** Sets the function that is called once when the caller closed or reset the connection, or left
      written bytes unread for too long, before the request ended. */
  virtual void onDisconnect(std::function<void()> callback) = 0;

  /** Makes the response carry Connection: close. Precondition: the response has not started. */
  virtual void closeAfterResponse() = 0;
};

/** Accepts HTTP/1.1 connections and hands over complete requests, one at a time a connection.
    Thread safety: use it on the thread of its io_context only. */
class Server
{
public:
  using Handler = std::function<void(std::shared_ptr<ServerRequest>)>;

  /** @param io       runs the server; it must outlive it
      @param limits   the bounds
      @param handler  takes each request */
  Server(boost::asio::io_context& io, ServerLimits limits, Handler handler);
  ~Server();

  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  /** Binds and listens; port 0 picks a free port.
      @returns internal with the system's text when the address cannot be used */
  Expected<void> listen(const boost::asio::ip::tcp::endpoint& address);

  /** Returns the port that is listened on. */
  [[nodiscard]] std::uint16_t port() const;

  /** Replaces the bounds for all further requests. */
  void setLimits(const ServerLimits& limits);

  /** Accepts no more connections. */
  void stopAccepting();

  /** Closes idle connections; every further response carries Connection: close. New connections
      are still accepted until stopAccepting(). */
  void drain();

  /** Returns the number of open connections. */
  [[nodiscard]] std::size_t connections() const;

  /** Returns the number of requests that were handed over and have not ended. */
  [[nodiscard]] std::size_t openRequests() const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::http
