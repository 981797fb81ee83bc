#pragma once

#include <chrono>
#include <condition_variable>
#include <deque>
#include <mutex>
#include <utility>

namespace figchute::kernel {

/** The message queue of one task.
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
    condition_.notify_one();
  }

  /** Wakes the reader without a message. */
  void wake()
  {
    {
      const std::lock_guard lock(mutex_);
      isWoken_ = true;
    }
    condition_.notify_one();
  }

  /** Removes all queued messages, waiting up to @p timeout for the first one.
      @returns the messages in the order in which they were posted; empty after a timeout or
      wake() */
  std::deque<Message> takeAll(std::chrono::microseconds timeout)
  {
    std::unique_lock lock(mutex_);
    condition_.wait_for(lock, timeout, [this] { return isWoken_ || !messages_.empty(); });
    isWoken_ = false;
    return std::exchange(messages_, {});
  }

private:
  std::mutex mutex_;
  std::condition_variable condition_;
  std::deque<Message> messages_;
  bool isWoken_ = false;
};

} // namespace figchute::kernel
