#pragma once

#include "core/Types.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>

namespace figchute::http::detail {

/** One attempt to connect to an address, to learn whether a process listens there.
    Thread safety: use only on the thread of the io_context. */
class ConnectProbe final : public std::enable_shared_from_this<ConnectProbe>
{
public:
  using Finished = std::function<void(const boost::system::error_code&)>;

  ConnectProbe(boost::asio::io_context& io, Finished finished);

  /** Starts the attempt. Call it once. */
  void start(const boost::asio::ip::tcp::endpoint& address, Duration timeout);

  /** Ends the attempt without a call of the handler. */
  void cancel();

private:
  void finish(const boost::system::error_code& error);

  boost::asio::ip::tcp::socket socket_;
  boost::asio::steady_timer timer_;
  /** Empty once the attempt has ended. */
  Finished finished_;
};

} // namespace figchute::http::detail
