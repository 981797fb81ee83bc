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
  /** The values of all `data` fields, joined by line feeds. */
  std::string data;
};

/** Incremental parser for a stream of server-sent events. It accepts LF, CRLF and CR line ends, a
    leading byte order mark, and input split at any byte. Comments and unknown fields are ignored.
    Thread safety: not thread-safe; use an instance from one thread at a time. */
class EventStreamParser
{
public:
  /** Creates a parser.
      @param maxEventBytes  maximum size of one event in bytes, excluding line ends */
  explicit EventStreamParser(std::size_t maxEventBytes = 256U * 1024);

  /** Parses the next bytes of the stream.
      @returns the events that these bytes complete, or `endpoint_failed` when an event exceeds the
      maximum size; all later calls then fail too */
  Expected<std::vector<StreamEvent>> feed(std::string_view bytes);

  /** Returns true if the parser holds part of an incomplete event. */
  [[nodiscard]] bool hasPartialEvent() const;

private:
  void processLine();
  void skipByteOrderMark();

  std::size_t maxEventBytes_;
  std::string line_;
  StreamEvent event_;
  bool hasData_ = false;
  bool afterCarriageReturn_ = false;
  bool atStart_ = true;
  bool failed_ = false;
  std::vector<StreamEvent> completedEvents_;
};

} // namespace figchute::gateway
