#pragma once

#include "core/core.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace figchute::http {

/** A request of a peer to open a tunnel. */
struct TunnelRequest
{
  boost::asio::ip::tcp::endpoint target;
  /** The value of the Proxy-Authorization field; empty if there is none. */
  std::string authorization;
};

/** Opens TCP tunnels for peers that ask with the method CONNECT, and relays bytes in both
    directions until one side closes. A side sees the end of a stream only if the other side ended
    it in order and all of its bytes were passed on. In all other cases, also when this process
   ends, the connections are reset, so that a message that was cut never looks complete. Thread
   safety: use only on the thread of its io_context. */
class TunnelServer
{
public:
  /** Decides whether a tunnel may be opened.
      @returns 200 if it may, else the status to refuse it with */
  using Authorize = std::function<int(const TunnelRequest&)>;

  /** Further tunnels are refused with 503. Each has two sockets. */
  static constexpr std::size_t kMaxTunnels = 500;
  /** How long a peer may take to send its request. */
  static constexpr Duration kRequestTimeout = std::chrono::seconds(1);
  /** How long the connection to the target may take. */
  static constexpr Duration kConnectTimeout = std::chrono::milliseconds(400);
  /** How long a peer may keep its connection open after the target has ended its stream. */
  static constexpr Duration kEndTimeout = std::chrono::seconds(5);

  /** @param io         the event loop that runs the server; it must outlive the server
      @param authorize  is asked for each tunnel */
  TunnelServer(boost::asio::io_context& io, Authorize authorize);

  /** Resets the connections of all tunnels. */
  ~TunnelServer();

  TunnelServer(const TunnelServer&) = delete;
  TunnelServer& operator=(const TunnelServer&) = delete;

  /** Binds to an address and listens; port 0 selects a free port.
      @returns an error of kind `internal` with the system's error message when the address cannot
      be used */
  Expected<void> listen(const boost::asio::ip::tcp::endpoint& address);

  /** Returns the listening port. */
  [[nodiscard]] std::uint16_t port() const;

  /** Returns the number of tunnels that are open or being opened. */
  [[nodiscard]] std::size_t tunnels() const;

  /** Returns the number of tunnels that carry a request or a response, also the part of a response
      that was not written to their peers yet, or are being opened. Those that are merely kept open
      are not counted. */
  [[nodiscard]] std::size_t busyTunnels() const;

  /** Returns whether a target has ended the stream of a tunnel and the peer has not closed its
      connection yet. The peer may ask for a new tunnel to find out whether the target is alive. */
  [[nodiscard]] bool isEndPending(const boost::asio::ip::tcp::endpoint& target) const;

private:
  class Impl;
  std::shared_ptr<Impl> impl_;
};

} // namespace figchute::http
