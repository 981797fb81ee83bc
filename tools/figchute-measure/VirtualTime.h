#pragma once

#include "core/Types.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

namespace figchute::measure {

/** A queue of events in virtual time. Events of the same time run in the order they were added.
    Thread safety: use one instance from one thread only. */
class VirtualTime
{
public:
  using Action = std::function<void()>;

  /** Returns the time of the event that runs now. */
  [[nodiscard]] Time now() const { return now_; }

  /** Adds an event @p delay after now. */
  void after(Duration delay, Action action)
  {
    events_.push({ now_ + delay, sequence_++, std::move(action) });
  }

  /** Runs all events up to @p end. */
  void runUntil(Time end)
  {
    while (!events_.empty() && events_.top().at <= end) {
      Action action = std::move(const_cast<Event&>(events_.top()).action);
      now_ = events_.top().at;
      events_.pop();
      action();
    }
    now_ = end;
  }

private:
  struct Event
  {
    Time at;
    std::uint64_t sequence;
    Action action;

    bool operator<(const Event& other) const
    {
      return at != other.at ? at > other.at : sequence > other.sequence;
    }
  };

  std::priority_queue<Event> events_;
  std::uint64_t sequence_ = 0;
  Time now_;
};

} // namespace figchute::measure
