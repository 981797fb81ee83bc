#include "gateway/UpstreamWorker.h"

#include <arpa/inet.h>
#include <array>
#include <exception>
#include <utility>

namespace figchute::gateway::detail {
namespace {

using namespace std::chrono_literals;

/** Interval at which the deadlines of calls are checked: the maximum delay of a time-out. */
constexpr auto kDeadlineCheckInterval = 50ms;

/** Returns true if @p host is an IP address. A host name would be resolved on the event loop thread
    and block all other calls. */
bool isIpAddress(const std::string& host)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), bytes.data()) == 1;
}

} // namespace

UpstreamWorker::UpstreamWorker(const UpstreamLimits& limits)
  : limits_(limits)
  , nextDeadlineCheck_(Clock::now())
  , thread_([this] { run(); })
{
}

UpstreamWorker::~UpstreamWorker()
{
  {
    const std::lock_guard lock(mutex_);
    stopping_ = true;
  }
  selector_.wake();
  thread_.join();
}

void UpstreamWorker::start(UpstreamCall call, UpstreamCallback callback)
{
  post(StartCommand{ std::move(call), std::move(callback) });
}

void UpstreamWorker::cancel(const RequestId& request)
{
  post(CancelCommand{ request });
}

void UpstreamWorker::post(Command command)
{
  bool wasEmpty = false;
  {
    const std::lock_guard lock(mutex_);
    wasEmpty = commands_.empty();
    commands_.push_back(std::move(command));
  }
  if (wasEmpty) {
    selector_.wake();
  }
}

void UpstreamWorker::run()
{
  while (executeCommands()) {
    waitForEvents();
    checkDeadlines();
    removeFinishedCalls();
  }
  runningCalls_.clear();
  idleConnections_.clear();
}

/** Executes all queued commands.
    @returns false when the worker is stopping and the thread must return */
bool UpstreamWorker::executeCommands()
{
  std::vector<Command> commands;
  {
    const std::lock_guard lock(mutex_);
    if (stopping_) {
      return false;
    }
    commands.swap(commands_);
  }
  for (auto& command : commands) {
    std::visit([this](auto& typedCommand) { execute(std::move(typedCommand)); }, command);
  }
  removeFinishedCalls();
  return true;
}

void UpstreamWorker::execute(StartCommand command)
{
  ++startedCalls_;
  const auto failCall = [&](ErrorKind kind, std::string detail) {
    ++failedCalls_;
    command.callback(UpstreamFailed{ { kind, std::move(detail) }, false, false });
  };
  const auto request = command.call.request;
  removeFinishedCalls();
  if (runningCalls_.contains(request)) {
    failCall(ErrorKind::internal,
             "a call with request id " + request.value + " is already running");
    return;
  }
  if (!isIpAddress(command.call.host)) {
    failCall(ErrorKind::endpointFailed, "\"" + command.call.host + "\" is not an IP address");
    return;
  }
  auto connection = acquireConnection(command.call);
  auto& runningConnection = *connection;
  runningCalls_[request] = std::move(connection);
  ++runningCount_;
  runningConnection.begin(std::move(command.call), std::move(command.callback));
}

void UpstreamWorker::execute(const CancelCommand& command)
{
  const auto runningCall = runningCalls_.find(command.request);
  if (runningCall == runningCalls_.end() || runningCall->second->isFinished()) {
    return;
  }
  ++cancelledCalls_;
  --runningCount_;
  runningCalls_.erase(runningCall);
}

UpstreamWorker::ConnectionPointer UpstreamWorker::acquireConnection(const UpstreamCall& call)
{
  const auto idleConnectionsEntry = idleConnections_.find({ call.host, call.port });
  while (call.mayReuseConnection && idleConnectionsEntry != idleConnections_.end() &&
         !idleConnectionsEntry->second.empty()) {
    auto connection = std::move(idleConnectionsEntry->second.back().connection);
    idleConnectionsEntry->second.pop_back();
    if (connection->isReusable()) {
      ++reusedConnections_;
      return connection;
    }
  }
  return std::make_unique<UpstreamConnection>(selector_, finishedCalls_, call.host, call.port);
}

void UpstreamWorker::waitForEvents()
{
  try {
    selector_.wait(std::chrono::duration<double, std::milli>(kDeadlineCheckInterval).count());
  } catch (const std::exception&) {
    // A client reports its own errors through replyFinished. An exception from the selector cannot
    // be attributed to a call; the affected call ends by its time-out.
    std::this_thread::sleep_for(1ms);
  }
}

void UpstreamWorker::checkDeadlines()
{
  const auto now = Clock::now();
  if (now < nextDeadlineCheck_) {
    return;
  }
  nextDeadlineCheck_ = now + kDeadlineCheckInterval;
  for (auto& [id, connection] : runningCalls_) {
    connection->checkDeadline(now);
  }
  closeExpiredIdleConnections(now);
}

/** Removes ended calls from runningCalls_. It destroys connections, so it must not run inside their
    callbacks. */
void UpstreamWorker::removeFinishedCalls()
{
  for (const auto& id : std::exchange(finishedCalls_, {})) {
    auto entry = runningCalls_.extract(id);
    --runningCount_;
    keepOrClose(std::move(entry.mapped()));
  }
}

void UpstreamWorker::keepOrClose(ConnectionPointer connection)
{
  failedCalls_ += connection->hasFailed() ? 1 : 0;
  mismatchedResponses_ += connection->hasIdMismatch() ? 1 : 0;
  if (!connection->isReusable()) {
    return;
  }
  auto& idleConnections = idleConnections_[{ connection->call().host, connection->call().port }];
  if (idleConnections.size() < limits_.maxIdlePerEndpoint) {
    idleConnections.push_back({ std::move(connection), Clock::now() });
  }
}

void UpstreamWorker::closeExpiredIdleConnections(Clock::time_point now)
{
  for (auto entry = idleConnections_.begin(); entry != idleConnections_.end();) {
    std::erase_if(entry->second, [&](const IdleConnection& idleConnection) {
      return now - idleConnection.idleSince > limits_.idleTimeout;
    });
    entry = entry->second.empty() ? idleConnections_.erase(entry) : std::next(entry);
  }
}

UpstreamCounters UpstreamWorker::counters() const
{
  return { startedCalls_, runningCount_,   reusedConnections_,
           failedCalls_,  cancelledCalls_, mismatchedResponses_ };
}

} // namespace figchute::gateway::detail
