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

/** Interval at which the deadlines of connections are checked: the maximum delay of a time-out. */
constexpr std::chrono::milliseconds kDeadlineCheckInterval(50);
/** Length of the queue of pending connections. When another entry VM fails, several hundred callers
    connect at once. */
constexpr int kListenBacklog = 1024;

} // namespace

ServerCore::ServerCore(ServerSettings settings, RequestHandler& handler)
  : settings_(std::move(settings))
  , handler_(handler)
  , io_(1)
  , workGuard_(asio::make_work_guard(io_))
  , acceptor_(io_)
  , deadlineTimer_(io_)
{
}

ServerCore::~ServerCore() = default;

Expected<void> ServerCore::start()
{
  error_code error;
  const auto listenAddress = settings_.address + ":" + std::to_string(settings_.port);
  const auto address = asio::ip::make_address(settings_.address, error);
  if (error) {
    return fail(ErrorKind::badRequest, "listen address " + listenAddress + " is malformed");
  }
  const tcp::endpoint endpoint(address, settings_.port);
  acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    acceptor_.set_option(asio::socket_base::reuse_address(true), error);
    acceptor_.bind(endpoint, error);
  }
  if (!error) {
    acceptor_.listen(kListenBacklog, error);
  }
  if (error) {
    return fail(ErrorKind::badRequest,
                "cannot listen on " + listenAddress + ": " + error.message());
  }
  settings_.port = acceptor_.local_endpoint().port();
  acceptNext();
  checkDeadlines();
  thread_ = std::thread([this] { io_.run(); });
  return {};
}

void ServerCore::shutDown()
{
  asio::post(io_, [this] {
    isShutDown_ = true;
    stopping_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    deadlineTimer_.cancel();
    for (const auto& connection : openConnections()) {
      connection->abort();
    }
    workGuard_.reset();
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
  std::unique_lock lock(runningRequestsMutex_);
  return allRequestsEnded_.wait_for(lock, limit, [this] { return runningRequests_ == 0; });
}

ServerCounters ServerCore::counters() const
{
  std::uint64_t running = 0;
  {
    const std::lock_guard lock(runningRequestsMutex_);
    running = runningRequests_;
  }
  return { acceptedConnections_, openConnectionCount_, startedRequests_, running,
           refusedRequests_,     disconnectedCallers_ };
}

RequestId ServerCore::nextRequestId()
{
  return RequestId(settings_.requestIdPrefix + "-" + std::to_string(++lastRequestNumber_));
}

bool ServerCore::acquireRequestSlot()
{
  const std::lock_guard lock(runningRequestsMutex_);
  if (runningRequests_ >= settings_.limits.maxStreams) {
    return false;
  }
  ++runningRequests_;
  ++startedRequests_;
  return true;
}

void ServerCore::releaseRequestSlot()
{
  const std::lock_guard lock(runningRequestsMutex_);
  if (--runningRequests_ == 0) {
    allRequestsEnded_.notify_all();
  }
}

std::vector<std::shared_ptr<ServerConnection>> ServerCore::openConnections() const
{
  return { connections_.begin(), connections_.end() };
}

void ServerCore::remove(const std::shared_ptr<ServerConnection>& connection)
{
  if (connections_.erase(connection) != 0) {
    --openConnectionCount_;
  }
}

void ServerCore::acceptNext()
{
  isAccepting_ = true;
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    isAccepting_ = false;
    if (isShutDown_) {
      return;
    }
    if (error) {
      // Usually the process has no free file descriptors. checkDeadlines() retries after its
      // interval; an immediate retry would be a busy loop.
      return;
    }
    ++acceptedConnections_;
    auto connection = std::make_shared<ServerConnection>(std::move(socket), *this);
    connections_.insert(connection);
    ++openConnectionCount_;
    if (connections_.size() > settings_.limits.maxConnections) {
      connection->refuse(
        { ErrorKind::overloaded, "the maximum number of open connections is reached" });
    } else {
      connection->start();
    }
    acceptNext();
  });
}

void ServerCore::checkDeadlines()
{
  const auto now = std::chrono::steady_clock::now();
  for (const auto& connection : openConnections()) {
    connection->checkDeadline(now);
  }
  if (!isAccepting_) {
    acceptNext();
  }
  deadlineTimer_.expires_after(kDeadlineCheckInterval);
  deadlineTimer_.async_wait([this](error_code error) {
    if (!error && !isShutDown_) {
      checkDeadlines();
    }
  });
}

} // namespace figchute::gateway::detail
