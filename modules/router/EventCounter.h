#pragma once

#include <cstdint>
#include <string_view>

namespace figchute::router {

/** Counts the complete events of a text/event-stream body that is received in parts.
    Thread safety: use one instance from one thread only. */
class EventCounter
{
public:
  /** Processes the next part of the body.
      @returns the number of events that this part completes */
  std::int64_t feed(std::string_view bytes);

  /** Returns whether the bytes so far end inside an event. */
  [[nodiscard]] bool isInsideEvent() const { return eventHasText_; }

private:
  bool lineHasText_ = false;
  bool eventHasText_ = false;
};

} // namespace figchute::router
