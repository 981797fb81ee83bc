#pragma once

#include "kernel/Clock.h"
#include "kernel/Mailbox.h"

#include <algorithm>
#include <atomic>
#include <concepts>
#include <deque>
#include <thread>

namespace figchute::kernel {

/** The requirements for the handler of a Task, which receives messages one at a time and finishes
    each batch. `finishBatch` is called after every batch of messages and at least once per tick
    interval, which the handler may change from one batch to the next. */
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
    @tparam H  a TaskHandler; it may be an incomplete type where Task<H> is not instantiated */
template<typename H>
class Task
{
public:
  using Message = typename H::Message;

  /** Creates a task that is not running yet.
      @param handler  owned by the caller; used only by the task's thread between start() and
                      stop() */
  explicit Task(H& handler)
    : handler_(handler)
  {
    static_assert(TaskHandler<H>);
  }

  ~Task() { stop(); }
  Task(const Task&) = delete;
  Task& operator=(const Task&) = delete;

  /** Starts the thread.
      Precondition: the thread is not running. */
  void start()
  {
    isRunning_ = true;
    thread_ = std::thread([this] { run(); });
  }

  /** Handles the messages that are already queued, then ends the thread and joins it. */
  void stop()
  {
    if (!isRunning_.exchange(false)) {
      return;
    }
    mailbox_.wake();
    thread_.join();
  }

  /** Posts a message to the handler. Messages posted after stop() are never handled. */
  void post(Message message) { mailbox_.post(std::move(message)); }

private:
  void run()
  {
    while (isRunning_) {
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
  std::atomic<bool> isRunning_{ false };
  std::thread thread_;
};

} // namespace figchute::kernel
