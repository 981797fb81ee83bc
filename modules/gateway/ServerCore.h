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
    Thread safety: the methods of the first group are safe from any thread, those of the second are
    for the connections, on the I/O thread. */
class ServerCore : public std::enable_shared_from_this<ServerCore>
{
public:
  ServerCore(ServerSettings settings, RequestHandler& handler);
  ~ServerCore();
  ServerCore(const ServerCore&) = delete;
  ServerCore& operator=(const ServerCore&) = delete;

  Expected<void> start();
  /** Closes everything and ends the I/O thread. */
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
  /** Takes one of the maxStreams places.
      @returns false when none is free */
  bool enterRequest();
  void leaveRequest();
  void countRefused() { ++refused_; }
  void countDisconnected() { ++disconnected_; }
  void remove(const std::shared_ptr<ServerConnection>& connection);

private:
  void accept();
  void sweep();
  [[nodiscard]] std::vector<std::shared_ptr<ServerConnection>> openConnections() const;

  ServerSettings settings_;
  RequestHandler& handler_;
  boost::asio::io_context io_;
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer sweeper_;
  std::unordered_set<std::shared_ptr<ServerConnection>> connections_;
  bool accepting_ = false;
  bool shutDown_ = false;
  std::atomic<bool> stopping_{ false };
  std::uint64_t lastRequest_ = 0;
  std::atomic<std::uint64_t> accepted_{ 0 };
  std::atomic<std::uint64_t> open_{ 0 };
  std::atomic<std::uint64_t> requests_{ 0 };
  std::atomic<std::uint64_t> refused_{ 0 };
  std::atomic<std::uint64_t> disconnected_{ 0 };
  mutable std::mutex idleMutex_;
  std::condition_variable idle_;
  std::uint64_t running_ = 0;
  std::thread thread_;
};

} // namespace figchute::gateway::detail
