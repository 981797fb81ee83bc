#include "gateway/ServerCore.h"

#include "gateway/ServerConnection.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/post.hpp>
#include <boost/system/error_code.hpp>
#include <utility>
#include <vector>

namespace figchute::gateway::detail {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

/** Deadlines of connections are checked at this interval, which bounds how late they fire. */
constexpr std::chrono::milliseconds kSweepInterval(50);
/** Several hundred callers connect at once when another entry VM fails. */
constexpr int kBacklog = 1024;

} // namespace

ServerCore::ServerCore(ServerSettings settings, RequestHandler& handler)
  : settings_(std::move(settings))
  , handler_(handler)
  , io_(1)
  , work_(asio::make_work_guard(io_))
  , acceptor_(io_)
  , sweeper_(io_)
{
}

ServerCore::~ServerCore() = default;

Expected<void> ServerCore::start()
{
  error_code error;
  const auto where = settings_.address + ":" + std::to_string(settings_.port);
  const auto address = asio::ip::make_address(settings_.address, error);
  if (error) {
    return fail(ErrorKind::badRequest, "listen address " + where + " is malformed");
  }
  const tcp::endpoint endpoint(address, settings_.port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kBacklog, error);
  }
  if (error) {
    return fail(ErrorKind::badRequest, "cannot listen on " + where + ": " + error.message());
  }
  settings_.port = acceptor_.local_endpoint().port();
  accept();
  sweep();
  thread_ = std::thread([this] { io_.run(); });
  return {};
}

void ServerCore::shutDown()
{
  asio::post(io_, [this] {
    shutDown_ = true;
    stopping_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    sweeper_.cancel();
    for (const auto& connection : openConnections()) {
      connection->abort();
    }
    work_.reset();
  });
  if (thread_.joinable()) {
    thread_.join();
  }
}

void ServerCore::beginStop()
{
  stopping_ = true;
  asio::post(io_, [self = weak_from_this()] {
    if (const auto core = self.lock()) {
      for (const auto& connection : core->openConnections()) {
        connection->closeIfIdle();
      }
    }
  });
}

bool ServerCore::waitUntilIdle(Duration limit)
{
  std::unique_lock lock(idleMutex_);
  return idle_.wait_for(lock, limit, [this] { return running_ == 0; });
}

ServerCounters ServerCore::counters() const
{
  std::uint64_t running = 0;
  {
    const std::lock_guard lock(idleMutex_);
    running = running_;
  }
  return { accepted_, open_, requests_, running, refused_, disconnected_ };
}

RequestId ServerCore::nextRequestId()
{
  return RequestId(settings_.requestIdPrefix + "-" + std::to_string(++lastRequest_));
}

bool ServerCore::enterRequest()
{
  const std::lock_guard lock(idleMutex_);
  if (running_ >= settings_.limits.maxStreams) {
    return false;
  }
  ++running_;
  ++requests_;
  return true;
}

void ServerCore::leaveRequest()
{
  const std::lock_guard lock(idleMutex_);
  if (--running_ == 0) {
    idle_.notify_all();
  }
}

std::vector<std::shared_ptr<ServerConnection>> ServerCore::openConnections() const
{
  return { connections_.begin(), connections_.end() };
}

void ServerCore::remove(const std::shared_ptr<ServerConnection>& connection)
{
  if (connections_.erase(connection) != 0) {
    --open_;
  }
}

void ServerCore::accept()
{
  accepting_ = true;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    accepting_ = false;
    if (shutDown_) {
      return;
    }
    if (error) {
      // Mostly a lack of descriptors; the sweep tries again, which avoids a busy loop.
      return;
    }
    ++accepted_;
    auto connection = std::make_shared<ServerConnection>(std::move(socket), *this);
    connections_.insert(connection);
    ++open_;
    if (connections_.size() > settings_.limits.maxConnections) {
      connection->refuse({ ErrorKind::overloaded, "too many open connections" });
    } else {
      connection->start();
    }
    accept();
  });
}

void ServerCore::sweep()
{
  const auto now = std::chrono::steady_clock::now();
  for (const auto& connection : openConnections()) {
    connection->checkDeadline(now);
  }
  if (!accepting_) {
    accept();
  }
  sweeper_.expires_after(kSweepInterval);
  sweeper_.async_wait([this](error_code error) {
    if (!error && !shutDown_) {
      sweep();
    }
  });
}

} // namespace figchute::gateway::detail
