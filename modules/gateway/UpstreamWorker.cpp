#include "gateway/UpstreamWorker.h"

#include <arpa/inet.h>
#include <array>
#include <exception>
#include <utility>

namespace figchute::gateway::detail {
namespace {

using namespace std::chrono_literals;

/** Time-outs are checked at this interval, which bounds how late they fire. */
constexpr auto kSweepInterval = 50ms;

/** Tells whether @p host is an IP address. A name would be resolved on the event loop thread and
    hold up all other calls. */
bool isAddress(const std::string& host)
{
  std::array<unsigned char, sizeof(in6_addr)> bytes{};
  return inet_pton(AF_INET, host.c_str(), bytes.data()) == 1 ||
         inet_pton(AF_INET6, host.c_str(), bytes.data()) == 1;
}

} // namespace

UpstreamWorker::UpstreamWorker(const UpstreamLimits& limits)
  : limits_(limits)
  , nextSweep_(Clock::now())
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
  while (takeCommands()) {
    waitForEvents();
    checkDeadlines();
    collectFinished();
  }
  running_.clear();
  idle_.clear();
}

/** Executes the commands that have arrived.
    @returns false when the thread must end */
bool UpstreamWorker::takeCommands()
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
    std::visit([this](auto& typed) { execute(std::move(typed)); }, command);
  }
  collectFinished();
  return true;
}

void UpstreamWorker::execute(StartCommand command)
{
  ++calls_;
  const auto refuse = [&](ErrorKind kind, std::string detail) {
    ++failed_;
    command.callback(UpstreamFailed{ { kind, std::move(detail) }, false, false });
  };
  const auto request = command.call.request;
  collectFinished();
  if (running_.contains(request)) {
    refuse(ErrorKind::internal, "a call with request id " + request.value + " is running");
    return;
  }
  if (!isAddress(command.call.host)) {
    refuse(ErrorKind::endpointFailed, "\"" + command.call.host + "\" is not an IP address");
    return;
  }
  auto link = linkFor(command.call);
  auto& running = *link;
  running_[request] = std::move(link);
  ++runningCount_;
  running.begin(std::move(command.call), std::move(command.callback));
}

void UpstreamWorker::execute(const CancelCommand& command)
{
  const auto found = running_.find(command.request);
  if (found == running_.end() || found->second->isFinished()) {
    return;
  }
  ++cancelled_;
  --runningCount_;
  running_.erase(found);
}

UpstreamWorker::LinkPointer UpstreamWorker::linkFor(const UpstreamCall& call)
{
  const auto kept = idle_.find({ call.host, call.port });
  while (call.mayReuseConnection && kept != idle_.end() && !kept->second.empty()) {
    auto link = std::move(kept->second.back().link);
    kept->second.pop_back();
    if (link->isReusable()) {
      ++reused_;
      return link;
    }
  }
  return std::make_unique<UpstreamLink>(selector_, finished_, call.host, call.port);
}

void UpstreamWorker::waitForEvents()
{
  try {
    selector_.wait(std::chrono::duration<double, std::milli>(kSweepInterval).count());
  } catch (const std::exception&) {
    // A client reports its own errors by replyFinished. One that leaves the selector belongs to no
    // known call; the time-outs of the calls end the one that is concerned.
    std::this_thread::sleep_for(1ms);
  }
}

void UpstreamWorker::checkDeadlines()
{
  const auto now = Clock::now();
  if (now < nextSweep_) {
    return;
  }
  nextSweep_ = now + kSweepInterval;
  for (auto& [id, link] : running_) {
    link->checkDeadline(now);
  }
  dropOldIdle(now);
}

/** Takes ended calls out of the table. It runs outside the callbacks of the links, because it
    destroys links. */
void UpstreamWorker::collectFinished()
{
  for (const auto& id : std::exchange(finished_, {})) {
    auto entry = running_.extract(id);
    --runningCount_;
    retire(std::move(entry.mapped()));
  }
}

void UpstreamWorker::retire(LinkPointer link)
{
  failed_ += link->hasFailed() ? 1 : 0;
  mismatched_ += link->wasMismatched() ? 1 : 0;
  if (!link->isReusable()) {
    return;
  }
  auto& kept = idle_[{ link->call().host, link->call().port }];
  if (kept.size() < limits_.maxIdlePerEndpoint) {
    kept.push_back({ std::move(link), Clock::now() });
  }
}

void UpstreamWorker::dropOldIdle(Clock::time_point now)
{
  for (auto entry = idle_.begin(); entry != idle_.end();) {
    std::erase_if(entry->second,
                  [&](const IdleLink& kept) { return now - kept.since > limits_.idleTimeout; });
    entry = entry->second.empty() ? idle_.erase(entry) : std::next(entry);
  }
}

UpstreamCounters UpstreamWorker::counters() const
{
  return { calls_, runningCount_, reused_, failed_, cancelled_, mismatched_ };
}

} // namespace figchute::gateway::detail
