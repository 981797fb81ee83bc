#include "http/Server.h"

#include "http/ServerConnection.h"
#include "http/Sockets.h"

#include <algorithm>
#include <cerrno>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>
#include <vector>

namespace figchute::http {

namespace {

using boost::asio::ip::tcp;

/** Maximum connections accepted per event, so that open connections are not starved. */
constexpr int kMaxAcceptsPerEvent = 64;

/** The same while an AcceptDelay is set, which has to see the bytes of the accepted connections. */
constexpr int kMaxLimitedAcceptsPerEvent = 2;

/** Connections above ServerLimits::maxConnections that are accepted only to send them a 503.
    Further ones are closed without a response. */
constexpr std::size_t kMaxRefusedConnections = 64;

/** How long accepting pauses when no file descriptor or memory is available for a connection. */
constexpr Duration kAcceptPause = std::chrono::milliseconds(100);

} // namespace

class Server::Impl final
  : public detail::ServerContext
  , public std::enable_shared_from_this<Impl>
{
public:
  Impl(boost::asio::io_context& context, ServerLimits initialLimits, Handler requestHandler)
    : ServerContext(context, initialLimits, std::move(requestHandler))
    , acceptor_(context)
  {
    timer = std::make_shared<detail::DeadlineTimer>(
      context, [this](Duration now) { return checkDeadlines(now); });
  }

  Expected<void> listen(const tcp::endpoint& address)
  {
    boost::system::error_code error;
    acceptor_.open(address.protocol(), error);
    if (!error)
      acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
      acceptor_.bind(address, error);
    // Accepted sockets inherit this option. They have no TCP_USER_TIMEOUT, because the system also
    // applies it to callers that read slowly; ServerConnection measures their progress.
    if (!error)
      detail::setNoDelay(acceptor_.native_handle());
    if (!error)
      acceptor_.listen(limits.backlog, error);
    if (!error) {
      boost::system::error_code ignored;
      port_ = acceptor_.local_endpoint(ignored).port();
      startAcceptWait();
      return {};
    }
    stopAccepting();
    return fail(ErrorKind::internal,
                fmt::format("cannot listen on {}:{}: {}",
                            address.address().to_string(),
                            address.port(),
                            error.message()));
  }

  [[nodiscard]] std::uint16_t port() const { return port_; }

  void setLimits(const ServerLimits& newLimits) { limits = newLimits; }

  void setAcceptDelay(Server::AcceptDelay delay) { acceptDelay_ = std::move(delay); }

  void stopAccepting()
  {
    acceptPausedUntil_ = detail::kNever;
    boost::system::error_code ignored;
    acceptor_.close(ignored);
  }

  void drain()
  {
    draining = true;
    const auto openConnections = connections_;
    for (const auto& connection : openConnections)
      connection->closeIfIdle();
  }

  [[nodiscard]] std::size_t connections() const { return connections_.size(); }

  [[nodiscard]] bool expectsFirstRequests() const
  {
    const auto now = detail::bootTime();
    return std::any_of(connections_.begin(), connections_.end(), [now](const auto& connection) {
      return connection->awaitsFirstRequest(now);
    });
  }

  [[nodiscard]] std::size_t unsentResponses() const
  {
    return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(), [](const auto& connection) {
        return connection->hasUnsentResponse();
      }));
  }

  void closeConnections()
  {
    stopAccepting();
    const auto openConnections = connections_;
    for (const auto& connection : openConnections)
      connection->flushAndClose();
  }

  void shutDown()
  {
    stopAccepting();
    timer->stop();
    const auto openConnections = connections_;
    for (const auto& connection : openConnections)
      connection->close();
  }

  void onConnectionClosed(detail::ServerConnection& connection) override
  {
    auto& last = connections_.back();
    last->index = connection.index;
    std::swap(connections_[connection.index], last);
    connections_.pop_back();
  }

private:
  void startAcceptWait()
  {
    acceptor_.async_wait(tcp::acceptor::wait_read,
                         [weak = weak_from_this()](const boost::system::error_code& error) {
                           const auto self = weak.lock();
                           if (error || !self || !self->acceptor_.is_open())
                             return;
                           const detail::FlushScheduler::Scope scope(self->flushScheduler);
                           if (self->acceptPending())
                             self->startAcceptWait();
                         });
  }

  /** Accepts waiting connections.
      @returns false when accepting is paused */
  bool acceptPending()
  {
    const int maxAccepts = acceptDelay_ ? kMaxLimitedAcceptsPerEvent : kMaxAcceptsPerEvent;
    for (int count = 0; count < maxAccepts; ++count) {
      if (const auto delay = acceptDelay_ ? acceptDelay_() : Duration::zero();
          delay > Duration::zero()) {
        pauseAccepting(delay);
        return false;
      }
      tcp::endpoint peer;
      auto size = static_cast<socklen_t>(peer.capacity());
      const int socket = ::accept4(acceptor_.native_handle(), peer.data(), &size, SOCK_CLOEXEC);
      if (socket >= 0) {
        peer.resize(size);
        addConnection(socket, peer);
      } else if (errno == EAGAIN || errno == EWOULDBLOCK) {
        break;
      } else if (errno == EMFILE || errno == ENFILE || errno == ENOBUFS || errno == ENOMEM) {
        pauseAccepting(kAcceptPause);
        return false;
      }
      // Any other error belongs to a single connection that failed before it was accepted.
    }
    return true;
  }

  void pauseAccepting(Duration duration)
  {
    acceptPausedUntil_ = detail::bootTime() + duration;
    timer->schedule(acceptPausedUntil_);
  }

  void addConnection(int descriptor, const tcp::endpoint& peer)
  {
    if (connections_.size() >= limits.maxConnections + kMaxRefusedConnections) {
      ::close(descriptor);
      return;
    }
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.assign(peer.protocol(), descriptor, error);
    if (error) {
      ::close(descriptor);
      return;
    }
    const bool limitReached = connections_.size() >= limits.maxConnections;
    auto connection = std::make_shared<detail::ServerConnection>(*this, std::move(socket), peer);
    connection->index = connections_.size();
    connections_.push_back(connection);
    if (limitReached)
      connection->refuse(503);
    else
      connection->start();
  }

  Duration checkDeadlines(Duration now)
  {
    const detail::FlushScheduler::Scope scope(flushScheduler);
    if (acceptPausedUntil_ <= now) {
      acceptPausedUntil_ = detail::kNever;
      startAcceptWait();
    }
    auto next = acceptPausedUntil_;
    // Iterates backwards, because closing a connection moves the last one into its place.
    for (auto i = connections_.size(); i-- > 0;) {
      if (i >= connections_.size())
        continue;
      const auto connection = connections_[i];
      next = std::min(next, connection->checkDeadline(now));
    }
    return next;
  }

  tcp::acceptor acceptor_;
  Server::AcceptDelay acceptDelay_;
  std::uint16_t port_ = 0;
  std::vector<std::shared_ptr<detail::ServerConnection>> connections_;
  Duration acceptPausedUntil_ = detail::kNever;
};

Server::Server(boost::asio::io_context& io, ServerLimits limits, Handler handler)
  : impl_(std::make_shared<Impl>(io, limits, std::move(handler)))
{
}

Server::~Server()
{
  impl_->shutDown();
}

Expected<void> Server::listen(const tcp::endpoint& address)
{
  return impl_->listen(address);
}

std::uint16_t Server::port() const
{
  return impl_->port();
}

void Server::setLimits(const ServerLimits& limits)
{
  impl_->setLimits(limits);
}

void Server::setAcceptDelay(AcceptDelay delay)
{
  impl_->setAcceptDelay(std::move(delay));
}

void Server::setHeadFilter(HeadFilter filter)
{
  impl_->headFilter = std::move(filter);
}

void Server::stopAccepting()
{
  impl_->stopAccepting();
}

void Server::drain()
{
  impl_->drain();
}

Traffic Server::traffic() const
{
  return impl_->traffic;
}

Traffic Server::refusedTraffic() const
{
  return impl_->refusedTraffic;
}

std::uint64_t Server::unusedConnections() const
{
  return impl_->unusedConnections;
}

std::size_t Server::connections() const
{
  return impl_->connections();
}

std::size_t Server::openRequests() const
{
  return impl_->openRequests;
}

std::size_t Server::unsentResponses() const
{
  return impl_->unsentResponses();
}

void Server::closeConnections()
{
  impl_->closeConnections();
}

bool Server::expectsFirstRequests() const
{
  return impl_->expectsFirstRequests();
}

} // namespace figchute::http
