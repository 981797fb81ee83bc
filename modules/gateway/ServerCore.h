#pragma once

#include "gateway/CallerServer.h"

#include <atomic>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <condition_variable>
#include <cstdint>
#include <memory>
#include <mutex>
#include <thread>
#include <unordered_set>
#include <vector>

namespace figchute::gateway::detail {

class ServerConnection;

/** The listening socket, the I/O thread and the connections of a CallerServer.
    Thread safety: the methods from start() to counters() may be called from any thread. The methods
    after them are called by the connections: limits(), io() and isStopping() from any thread, the
    others only on the I/O thread. */
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
  ServerCore(ServerSettings settings, RequestHandler& handler);
  ~ServerCore();
  ServerCore(const ServerCore&) = delete;
  ServerCore& operator=(const ServerCore&) = delete;

  Expected<void> start();
  /** Closes the listening socket and all connections, and joins the I/O thread. */
  void shutDown();
  [[nodiscard]] std::uint16_t port() const { return settings_.port; }
  void beginStop();
  bool waitUntilIdle(Duration limit);
  [[nodiscard]] ServerCounters counters() const;

  [[nodiscard]] const ServerLimits& limits() const { return settings_.limits; }
  RequestHandler& handler() { return handler_; }
  boost::asio::io_context& io() { return io_; }
  [[nodiscard]] bool isStopping() const { return stopping_; }
  RequestId nextRequestId();
  /** Acquires one of the `maxStreams` request slots.
      @returns false when no slot is free */
  bool acquireRequestSlot();
  void releaseRequestSlot();
  void countRefused() { ++refusedRequests_; }
  void countDisconnected() { ++disconnectedCallers_; }
  void remove(const std::shared_ptr<ServerConnection>& connection);

private:
  void acceptNext();
  void checkDeadlines();
  [[nodiscard]] std::vector<std::shared_ptr<ServerConnection>> openConnections() const;

  ServerSettings settings_;
  RequestHandler& handler_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer deadlineTimer_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  bool isAccepting_ = false;
  bool isShutDown_ = false;
  std::atomic<bool> stopping_{ false };
  std::uint64_t lastRequestNumber_ = 0;
  std::atomic<std::uint64_t> acceptedConnections_{ 0 };
  std::atomic<std::uint64_t> openConnectionCount_{ 0 };
  std::atomic<std::uint64_t> startedRequests_{ 0 };
  std::atomic<std::uint64_t> refusedRequests_{ 0 };
  std::atomic<std::uint64_t> disconnectedCallers_{ 0 };
  mutable std::mutex runningRequestsMutex_;
  std::condition_variable allRequestsEnded_;
  std::uint64_t runningRequests_ = 0;
  std::thread thread_;
};

} // namespace figchute::gateway::detail
