#include "router/EventCounter.h"

namespace figchute::router {

std::int64_t EventCounter::feed(std::string_view bytes)
{
  std::int64_t events = 0;
  for (const char c : bytes) {
    if (c == '\r') {
      continue;
    }
    if (c != '\n') {
      lineHasText_ = true;
      eventHasText_ = true;
      continue;
    }
    if (!lineHasText_ && eventHasText_) {
      ++events;
      eventHasText_ = false;
    }
    lineHasText_ = false;
  }
  return events;
}

} // namespace figchute::router
