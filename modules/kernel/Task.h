#pragma once

#include "kernel/Clock.h"
#include "kernel/Mailbox.h"

#include <algorithm>
#include <atomic>
#include <concepts>
#include <deque>
#include <thread>

namespace figchute::kernel {

/** What a task runs: it handles messages one after the other, then finishes each batch.
    `settle` is called after every batch of messages and at least once per tick interval, which the
    handler may change from one batch to the next. */
template<typename H>
concept TaskHandler = requires(H handler, typename H::Message message, Time now)
{
  {
    handler.receive(now, std::move(message))
    } -> std::same_as<void>;
  {
    handler.finishBatch(now)
    } -> std::same_as<void>;
  {
    handler.tickInterval()
    } -> std::convertible_to<Duration>;
};

/** A thread with a mailbox that owns the state of its handler.
    Thread safety: post() is safe from any thread; start() and stop() are called from one thread.
    @tparam H  a TaskHandler; it may be incomplete where Task<H> is only named */
template<typename H>
class Task
{
public:
  using Message = typename H::Message;

  /** Creates a task that is not running yet.
      @param handler  owned by the caller; only the task's thread uses it between start() and
                      stop() */
  explicit Task(H& handler)
    : handler_(handler)
  {
    static_assert(TaskHandler<H>);
  }

  ~Task() { stop(); }
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  /** Starts the thread. Precondition: it is not running. */
  void start()
  {
    running_ = true;
    thread_ = std::thread([this] { run(); });
  }

  /** Handles the messages that have arrived, then ends the thread and waits for it. */
  void stop()
  {
    if (!running_.exchange(false)) {
      return;
    }
    mailbox_.wake();
    thread_.join();
  }

  /** Sends the handler a message. Messages posted after stop() are never handled. */
  void post(Message message) { mailbox_.post(std::move(message)); }

private:
  void run()
  {
    while (running_) {
      handleBatch(handler_.tickInterval());
    }
    handleBatch(Duration(0));
  }

  void handleBatch(Duration timeout)
  {
    auto batch = mailbox_.takeAll(timeout);
    for (auto& message : batch) {
      handler_.receive(currentTime(), std::move(message));
    }
    handler_.finishBatch(currentTime());
  }

  H& handler_;
  Mailbox<Message> mailbox_;
  std::atomic<bool> running_{ false };
  std::thread thread_;
};

} // namespace figchute::kernel
