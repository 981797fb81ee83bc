#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace figchute::kernel {

/** A queue of messages to one task.
    Thread safety: every method is safe from any thread. */
template<typename Message>
class Mailbox
{
public:
  /** Appends a message and wakes the reader. */
  void post(Message message)
  {
    {
      const std::lock_guard lock(mutex_);
      messages_.push_back(std::move(message));
    }
    arrived_.notify_one();
  }

  /** Wakes the reader without a message. */
  void wake()
  {
    {
      const std::lock_guard lock(mutex_);
      woken_ = true;
    }
    arrived_.notify_one();
  }

  /** Takes all waiting messages; waits for the first one up to @p timeout.
      @returns the messages in the order of arrival; empty after the time-out or a wake() */
  std::deque<Message> takeAll(std::chrono::microseconds timeout)
  {
    std::unique_lock lock(mutex_);
    arrived_.wait_for(lock, timeout, [this] { return woken_ || !messages_.empty(); });
    woken_ = false;
    return std::exchange(messages_, {});
  }

private:
  std::mutex mutex_;
  std::condition_variable arrived_;
  std::deque<Message> messages_;
  bool woken_ = false;
};

} // namespace figchute::kernel
