#pragma once

#include "core/Types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace figchute::measure {

/** An event queue in virtual time. Events due at the same time run in the order they were added.
    Thread safety: use one instance from one thread only. */
class VirtualTime
{
public:
  using Action = std::function<void()>;

  /** Returns the current virtual time, which is that of the running event. */
  [[nodiscard]] Time now() const { return now_; }

  /** Schedules an action to run @p delay after the current time. */
  void scheduleAfter(Duration delay, Action action)
  {
    events_.push({ now_ + delay, nextSequenceNumber_++, std::move(action) });
  }

  /** Runs all events that are due by @p endTime, which becomes the current time. */
  void runUntil(Time endTime)
  {
    while (!events_.empty() && events_.top().time <= endTime) {
      Action action = std::move(const_cast<Event&>(events_.top()).action);
      now_ = events_.top().time;
      events_.pop();
      action();
    }
    now_ = endTime;
  }

private:
  struct Event
  {
    Time time;
    std::uint64_t sequenceNumber;
    Action action;

    bool operator<(const Event& other) const
    {
      return time != other.time ? time > other.time : sequenceNumber > other.sequenceNumber;
    }
  };

  std::priority_queue<Event> events_;
  std::uint64_t nextSequenceNumber_ = 0;
  Time now_;
};

} // namespace figchute::measure
