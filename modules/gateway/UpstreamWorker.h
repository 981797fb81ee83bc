#pragma once

#include "gateway/UpstreamConnection.h"
#include "gateway/UpstreamPool.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

namespace figchute::gateway::detail {

/** One event loop thread of an UpstreamPool, with its running calls and idle connections.
    Thread safety: the public methods may be called from any thread. */
class UpstreamWorker
{
public:
  explicit UpstreamWorker(const UpstreamLimits& limits);
  ~UpstreamWorker();
  UpstreamWorker(const UpstreamWorker&) = delete;
  UpstreamWorker& operator=(const UpstreamWorker&) = delete;

  void start(UpstreamCall call, UpstreamCallback callback);
  void cancel(const RequestId& request);
  [[nodiscard]] UpstreamCounters counters() const;

private:
  using Clock = UpstreamConnection::Clock;
  using EndpointAddress = std::pair<std::string, std::uint16_t>;
  using ConnectionPointer = std::unique_ptr<UpstreamConnection>;

  struct StartCommand
  {
    UpstreamCall call;
    UpstreamCallback callback;
  };
  struct CancelCommand
  {
    RequestId request;
  };
  using Command = std::variant<StartCommand, CancelCommand>;

  struct IdleConnection
  {
    ConnectionPointer connection;
    Clock::time_point idleSince;
  };

  void post(Command command);
  void run();
  bool executeCommands();
  void execute(StartCommand command);
  void execute(const CancelCommand& command);
  ConnectionPointer acquireConnection(const UpstreamCall& call);
  void waitForEvents();
  void checkDeadlines();
  void removeFinishedCalls();
  void keepOrClose(ConnectionPointer connection);
  void closeExpiredIdleConnections(Clock::time_point now);

  UpstreamLimits limits_;
  TrackingSelector selector_;
  std::mutex mutex_;
  std::vector<Command> commands_;
  bool stopping_ = false;
  std::unordered_map<RequestId, ConnectionPointer> runningCalls_;
  std::vector<RequestId> finishedCalls_;
  std::map<EndpointAddress, std::vector<IdleConnection>> idleConnections_;
  Clock::time_point nextDeadlineCheck_;
  std::atomic<std::uint64_t> startedCalls_{ 0 };
  std::atomic<std::uint64_t> runningCount_{ 0 };
  std::atomic<std::uint64_t> reusedConnections_{ 0 };
  std::atomic<std::uint64_t> failedCalls_{ 0 };
  std::atomic<std::uint64_t> cancelledCalls_{ 0 };
  std::atomic<std::uint64_t> mismatchedResponses_{ 0 };
  std::thread thread_;
};

} // namespace figchute::gateway::detail
