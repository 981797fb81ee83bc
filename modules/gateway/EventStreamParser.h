#pragma once

#include "core/Error.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::gateway {

/** One server-sent event. */
struct StreamEvent
{
  /** The event type; empty for the default type. */
  std::string type;
  /** The data lines, joined by a line feed. */
  std::string data;
};

/** Splits a byte stream into server-sent events. It accepts LF, CRLF and CR line ends, a leading
    byte order mark, and input cut at any byte; comments and unknown fields are dropped.
    Thread safety: use one instance from one thread at a time. */
class EventStreamParser
{
public:
  /** Creates a parser.
      @param maxEventBytes  the largest size of one event, line ends not counted */
  explicit EventStreamParser(std::size_t maxEventBytes = 256U * 1024);

  /** Takes the next bytes.
      @returns the events that they complete, or `endpoint_failed` when an event is larger than the
      bound; the parser then stays failed */
  Expected<std::vector<StreamEvent>> feed(std::string_view bytes);

  /** Tells whether bytes of an incomplete event are waiting. */
  [[nodiscard]] bool hasPartialEvent() const;

private:
  void takeLine();
  void skipMark();

  std::size_t maxEventBytes_;
  std::string line_;
  StreamEvent event_;
  bool hasData_ = false;
  bool afterCarriageReturn_ = false;
  bool atStart_ = true;
  bool failed_ = false;
  std::vector<StreamEvent> complete_;
};

} // namespace figchute::gateway
