#include "http/ConnectProbe.h"

#include <utility>

namespace figchute::http::detail {

ConnectProbe::ConnectProbe(boost::asio::io_context& io, Finished finished)
  : socket_(io)
  , timer_(io)
  , finished_(std::move(finished))
{
}

void ConnectProbe::start(const boost::asio::ip::tcp::endpoint& address, Duration timeout)
{
  timer_.expires_after(timeout);
  timer_.async_wait([self = shared_from_this()](const boost::system::error_code& error) {
    if (!error) {
      self->finish(boost::asio::error::timed_out);
    }
  });
  socket_.async_connect(
    address,
    [self = shared_from_this()](const boost::system::error_code& error) { self->finish(error); });
}

void ConnectProbe::cancel()
{
  finished_ = nullptr;
  finish({});
}

void ConnectProbe::finish(const boost::system::error_code& error)
{
  timer_.cancel();
  boost::system::error_code ignored;
  socket_.close(ignored);
  if (const auto finished = std::exchange(finished_, nullptr)) {
    finished(error);
  }
}

} // namespace figchute::http::detail
