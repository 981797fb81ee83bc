#pragma once

#include "gateway/UpstreamLink.h"
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

/** One event loop thread of an UpstreamPool with its calls and idle connections.
    Thread safety: the public methods are safe from any thread. */
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
  using Clock = UpstreamLink::Clock;
  using PeerAddress = std::pair<std::string, std::uint16_t>;
  using LinkPointer = std::unique_ptr<UpstreamLink>;

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

  struct IdleLink
  {
    LinkPointer link;
    Clock::time_point since;
  };

  void post(Command command);
  void run();
  bool takeCommands();
  void execute(StartCommand command);
  void execute(const CancelCommand& command);
  LinkPointer linkFor(const UpstreamCall& call);
  void waitForEvents();
  void checkDeadlines();
  void collectFinished();
  void retire(LinkPointer link);
  void dropOldIdle(Clock::time_point now);

  UpstreamLimits limits_;
  LinkSelector selector_;
  std::mutex mutex_;
  std::vector<Command> commands_;
  bool stopping_ = false;
  std::unordered_map<RequestId, LinkPointer> running_;
  std::vector<RequestId> finished_;
  std::map<PeerAddress, std::vector<IdleLink>> idle_;
  Clock::time_point nextSweep_;
  std::atomic<std::uint64_t> calls_{ 0 };
  std::atomic<std::uint64_t> runningCount_{ 0 };
  std::atomic<std::uint64_t> reused_{ 0 };
  std::atomic<std::uint64_t> failed_{ 0 };
  std::atomic<std::uint64_t> cancelled_{ 0 };
  std::atomic<std::uint64_t> mismatched_{ 0 };
  std::thread thread_;
};

} // namespace figchute::gateway::detail
