#include "http/TunnelServer.h"

#include "http/ExchangeTracker.h"
#include "http/Message.h"
#include "http/Sockets.h"

#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <fmt/format.h>
#include <optional>
#include <utility>
#include <vector>

namespace figchute::http {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;

constexpr std::size_t kMaxHeadBytes = 4096;
constexpr std::size_t kBufferBytes = 8192;
/** How long a target may leave sent bytes unread or unacknowledged. */
constexpr Duration kTargetUserTimeout = std::chrono::seconds(2);
/** The same for a peer. It reads nothing while its caller is slow, and drops one that takes no
   bytes after 10 to 11 s. */
constexpr Duration kPeerUserTimeout = std::chrono::seconds(12);
/** How long accepting pauses when no file descriptor is available. */
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kBadGateway = 502;
constexpr int kServiceUnavailable = 503;
constexpr int kGatewayTimeout = 504;

/** Parses a target of the form IP:port. */
std::optional<tcp::endpoint> parseTarget(std::string_view text)
{
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  std::uint16_t port = 0;
  const auto* end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data() + colon + 1, end, port);
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(std::string(text.substr(0, colon)), error);
  if (error || parsed.ec != std::errc() || parsed.ptr != end || port == 0) {
    return std::nullopt;
  }
  return tcp::endpoint(ip, port);
}

/** Parses the head of a CONNECT request. */
std::optional<TunnelRequest> parseRequest(std::string_view head)
{
  detail::MessageParser<true> parser;
  std::size_t used = 0;
  if (!parser.parse(head, used) || !parser.is_header_done() || parser.head.method != "CONNECT") {
    return std::nullopt;
  }
  const auto target = parseTarget(parser.head.target);
  if (!target) {
    return std::nullopt;
  }
  return TunnelRequest{ *target, std::string(parser.head.fields.get("Proxy-Authorization")) };
}

/** One tunnel. It keeps itself alive until both of its sockets are closed. */
class Tunnel final : public std::enable_shared_from_this<Tunnel>
{
public:
  using AuthorizePointer = std::shared_ptr<const TunnelServer::Authorize>;

  Tunnel(asio::io_context& io, tcp::socket peer, AuthorizePointer authorize)
    : peer_(std::move(peer))
    , target_(io)
    , timer_(io)
    , authorize_(std::move(authorize))
  {
  }

  void start()
  {
    detail::setTcpOptions(peer_.native_handle(), kPeerUserTimeout);
    detail::setResetOnClose(peer_.native_handle(), true);
    startTimer(TunnelServer::kRequestTimeout);
    asio::async_read_until(peer_,
                           asio::dynamic_buffer(head_, kMaxHeadBytes),
                           "\r\n\r\n",
                           [self = shared_from_this()](const auto& error, std::size_t size) {
                             if (error) {
                               self->close();
                             } else {
                               self->open(size);
                             }
                           });
  }

  /** Sends an error response, then closes the connection of the peer. */
  void refuse(int status)
  {
    response_ = fmt::format("HTTP/1.1 {} Refused\r\nContent-Length: 0\r\n\r\n", status);
    asio::async_write(
      peer_, asio::buffer(response_), [self = shared_from_this()](const auto& /*error*/, auto) {
        self->endInOrder(self->peer_);
        self->close();
      });
  }

  /** Closes both connections. Those that are not endInOrder() are reset. */
  void close()
  {
    boost::system::error_code ignored;
    timer_.cancel();
    peer_.close(ignored);
    target_.close(ignored);
  }

  [[nodiscard]] bool isClosed() const { return !peer_.is_open(); }

  /** Closes both connections. If a whole response was written to the peer, the operating system
      still delivers it. */
  void stop()
  {
    if (!isClosed() && !isBusy()) {
      endInOrder(peer_);
    }
    close();
  }

  /** Returns whether the tunnel is being opened, carries a request or a response, or has ended and
      its peer has not closed its connection yet. */
  [[nodiscard]] bool isBusy() const
  {
    return !isOpened_ || hasTargetEnded_ || exchange_.isBusy() || toPeer_.isWriting;
  }

  [[nodiscard]] bool isEndPending(const tcp::endpoint& target) const
  {
    return hasTargetEnded_ && targetAddress_ == target;
  }

private:
  struct Direction
  {
    tcp::socket& from;
    tcp::socket& to;
    std::array<char, kBufferBytes> buffer{};
    bool isWriting = false;
  };

  void startTimer(Duration duration)
  {
    timer_.expires_after(duration);
    timer_.async_wait([self = shared_from_this()](const auto& error) {
      if (!error) {
        self->onTimeout();
      }
    });
  }

  void onTimeout()
  {
    if (!target_.is_open()) {
      close();
      return;
    }
    boost::system::error_code ignored;
    target_.close(ignored);
    refuse(kGatewayTimeout);
  }

  void open(std::size_t headBytes)
  {
    // The peer sends nothing more before it has the response.
    const auto request = headBytes == head_.size() ? parseRequest(head_) : std::nullopt;
    const int status = request ? (*authorize_)(*request) : kBadRequest;
    if (status != kOk) {
      timer_.cancel();
      refuse(status);
      return;
    }
    boost::system::error_code error;
    target_.open(request->target.protocol(), error);
    if (error) {
      timer_.cancel();
      refuse(kServiceUnavailable);
      return;
    }
    detail::setTcpOptions(target_.native_handle(), kTargetUserTimeout);
    detail::setResetOnClose(target_.native_handle(), true);
    startTimer(TunnelServer::kConnectTimeout);
    targetAddress_ = request->target;
    target_.async_connect(request->target, [self = shared_from_this()](const auto& result) {
      if (result != asio::error::operation_aborted) {
        self->onConnected(result);
      }
    });
  }

  void onConnected(const boost::system::error_code& error)
  {
    timer_.cancel();
    if (error) {
      boost::system::error_code ignored;
      target_.close(ignored);
      refuse(error == asio::error::timed_out ? kGatewayTimeout : kBadGateway);
      return;
    }
    response_ = "HTTP/1.1 200 OK\r\n\r\n";
    asio::async_write(
      peer_, asio::buffer(response_), [self = shared_from_this()](const auto& writeError, auto) {
        if (writeError) {
          self->close();
          return;
        }
        self->isOpened_ = true;
        self->relay(self->toTarget_);
        self->relay(self->toPeer_);
      });
  }

  /** Relays bytes in one direction until its stream ends or a socket fails. */
  void relay(Direction& direction)
  {
    direction.from.async_read_some(
      asio::buffer(direction.buffer),
      [self = shared_from_this(), &direction](const auto& error, std::size_t size) {
        if (error == asio::error::eof) {
          self->onEndOfStream(direction);
        } else if (error) {
          self->close();
        } else {
          self->track(direction, size);
          self->write(direction, size);
        }
      });
  }

  void track(const Direction& direction, std::size_t size)
  {
    const std::string_view bytes(direction.buffer.data(), size);
    if (&direction == &toTarget_) {
      exchange_.addRequest(bytes);
    } else {
      exchange_.addResponse(bytes);
    }
  }

  void write(Direction& direction, std::size_t size)
  {
    direction.isWriting = true;
    asio::async_write(direction.to,
                      asio::buffer(direction.buffer, size),
                      [self = shared_from_this(), &direction](const auto& error, std::size_t) {
                        direction.isWriting = false;
                        if (error) {
                          self->close();
                        } else {
                          self->relay(direction);
                        }
                      });
  }

  /** Handles an end of stream. All bytes before it have been written to the other side. */
  void onEndOfStream(Direction& direction)
  {
    if (isClosed()) {
      return;
    }
    if (&direction == &toPeer_) {
      onTargetEnd();
      return;
    }
    // A write whose result is still unknown may have failed and consumed the error of the peer's
    // socket, which is then read as an end of stream.
    if (!toPeer_.isWriting) {
      endInOrder(target_);
    }
    close();
  }

  void onTargetEnd()
  {
    // As above. A target that ends before it has received all bytes resets its connection when they
    // arrive, so that what it sent may be cut.
    if (toTarget_.isWriting || detail::hasUnacknowledgedBytes(target_.native_handle())) {
      close();
      return;
    }
    hasTargetEnded_ = true;
    endInOrder(peer_);
    boost::system::error_code ignored;
    peer_.shutdown(tcp::socket::shutdown_send, ignored);
    awaitTargetReset();
    awaitPeerEnd();
  }

  /** Resets the connection of the peer if a reset follows the target's end of stream. */
  void awaitTargetReset()
  {
    target_.async_wait(tcp::socket::wait_error, [self = shared_from_this()](const auto& error) {
      if (!error && self->peer_.is_open()) {
        detail::setResetOnClose(self->peer_.native_handle(), true);
        self->close();
      }
    });
  }

  void awaitPeerEnd()
  {
    timer_.expires_after(TunnelServer::kEndTimeout);
    timer_.async_wait([self = shared_from_this()](const auto& error) {
      if (!error) {
        self->close();
      }
    });
  }

  /** Lets a connection end without a reset. */
  static void endInOrder(tcp::socket& socket)
  {
    if (socket.is_open()) {
      detail::setResetOnClose(socket.native_handle(), false);
    }
  }

  tcp::socket peer_;
  tcp::socket target_;
  asio::steady_timer timer_;
  AuthorizePointer authorize_;
  std::string head_;
  std::string response_;
  tcp::endpoint targetAddress_;
  detail::ExchangeTracker exchange_;
  bool isOpened_ = false;
  bool hasTargetEnded_ = false;
  Direction toTarget_{ peer_, target_ };
  Direction toPeer_{ target_, peer_ };
};

} // namespace

class TunnelServer::Impl : public std::enable_shared_from_this<TunnelServer::Impl>
{
public:
  Impl(asio::io_context& io, Authorize authorize)
    : io_(io)
    , authorize_(std::make_shared<const Authorize>(std::move(authorize)))
    , acceptor_(io)
    , acceptTimer_(io)
  {
  }

  Expected<void> listen(const tcp::endpoint& address)
  {
    boost::system::error_code error;
    const auto runIfNoError = [&](auto&& operation) {
      if (!error) {
        operation();
      }
    };
    runIfNoError([&] { acceptor_.open(address.protocol(), error); });
    runIfNoError([&] { acceptor_.set_option(tcp::acceptor::reuse_address(true), error); });
    runIfNoError([&] { acceptor_.bind(address, error); });
    runIfNoError([&] { acceptor_.listen(asio::socket_base::max_listen_connections, error); });
    if (error) {
      stop();
      return fail(
        ErrorKind::internal,
        fmt::format("cannot listen on {}: {}", detail::addressText(address), error.message()));
    }
    accept();
    return {};
  }

  [[nodiscard]] std::uint16_t port() const
  {
    boost::system::error_code ignored;
    return acceptor_.local_endpoint(ignored).port();
  }

  [[nodiscard]] std::size_t tunnels() const
  {
    return countOpen([](const Tunnel& /*tunnel*/) { return true; });
  }

  [[nodiscard]] std::size_t busyTunnels() const
  {
    return countOpen([](const Tunnel& tunnel) { return tunnel.isBusy(); });
  }

  [[nodiscard]] bool isEndPending(const tcp::endpoint& target) const
  {
    return countOpen([&](const Tunnel& tunnel) { return tunnel.isEndPending(target); }) > 0;
  }

  void stop()
  {
    boost::system::error_code ignored;
    acceptor_.close(ignored);
    acceptTimer_.cancel();
    for (const auto& weak : tunnels_) {
      if (const auto tunnel = weak.lock()) {
        tunnel->stop();
      }
    }
  }

private:
  template<typename Predicate>
  [[nodiscard]] std::size_t countOpen(const Predicate& predicate) const
  {
    return static_cast<std::size_t>(
      std::count_if(tunnels_.begin(), tunnels_.end(), [&](const auto& weak) {
        const auto tunnel = weak.lock();
        return tunnel && !tunnel->isClosed() && predicate(*tunnel);
      }));
  }

  void accept()
  {
    acceptor_.async_accept([self = shared_from_this()](const auto& error, tcp::socket socket) {
      if (!self->acceptor_.is_open()) {
        return;
      }
      if (error) {
        self->acceptAfterPause();
        return;
      }
      self->add(std::move(socket));
      self->accept();
    });
  }

  void acceptAfterPause()
  {
    acceptTimer_.expires_after(kAcceptPause);
    acceptTimer_.async_wait([self = shared_from_this()](const auto& error) {
      if (!error && self->acceptor_.is_open()) {
        self->accept();
      }
    });
  }

  void add(tcp::socket socket)
  {
    std::erase_if(tunnels_, [](const auto& weak) {
      const auto tunnel = weak.lock();
      return !tunnel || tunnel->isClosed();
    });
    const auto tunnel = std::make_shared<Tunnel>(io_, std::move(socket), authorize_);
    if (tunnels_.size() >= kMaxTunnels) {
      tunnel->refuse(kServiceUnavailable);
      return;
    }
    tunnels_.push_back(tunnel);
    tunnel->start();
  }

  asio::io_context& io_;
  Tunnel::AuthorizePointer authorize_;
  tcp::acceptor acceptor_;
  asio::steady_timer acceptTimer_;
  std::vector<std::weak_ptr<Tunnel>> tunnels_;
};

TunnelServer::TunnelServer(boost::asio::io_context& io, Authorize authorize)
  : impl_(std::make_shared<Impl>(io, std::move(authorize)))
{
}

TunnelServer::~TunnelServer()
{
  impl_->stop();
}

Expected<void> TunnelServer::listen(const boost::asio::ip::tcp::endpoint& address)
{
  return impl_->listen(address);
}

std::uint16_t TunnelServer::port() const
{
  return impl_->port();
}

std::size_t TunnelServer::tunnels() const
{
  return impl_->tunnels();
}

std::size_t TunnelServer::busyTunnels() const
{
  return impl_->busyTunnels();
}

bool TunnelServer::isEndPending(const boost::asio::ip::tcp::endpoint& target) const
{
  return impl_->isEndPending(target);
}

} // namespace figchute::http
