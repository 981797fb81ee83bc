#pragma once

#include "core/core.h"

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace figchute::router {

/** One field of a log line. */
struct LogPair
{
  std::string_view name;
  std::string value;
};

/** Longest value of a field in bytes; longer ones are cut and end with "...". */
constexpr std::size_t kMaxLogValueBytes = 4096;
/** Lines that the descriptor did not take wait in memory up to this size, then lines are dropped.
 */
constexpr std::size_t kMaxLogBufferBytes = 64U * 1024;

/** Writes log lines of key=value fields to a descriptor. Writing never blocks: lines that the
    descriptor does not take wait for the next flush() in a bounded buffer; lines that do not fit it
    are dropped and counted. As soon as there is room again, a line with event=lines_dropped takes
    the place of the dropped lines. A line is written whole or not at all. Lines of one event loop
    turn are written together by flush(). Thread safety: use one instance from one thread only. */
class LogWriter
{
public:
  /** @param descriptor  an open descriptor; it is made non-blocking
      @param process     the name of the process, part of each line */
  LogWriter(int descriptor, std::string process);

  /** Adds a line: time, process, event and the fields.
      @param now  the time of the line */
  void line(Time now, std::string_view event, std::initializer_list<LogPair> fields);

  /** Writes the lines that wait, as far as the descriptor takes them. */
  void flush();

  /** Returns the number of lines dropped since the start. */
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

  /** Returns the number of bytes that wait for flush(). */
  [[nodiscard]] std::size_t buffered() const { return buffer_.size(); }

private:
  void begin(Time now, std::string_view event);
  bool reportDropped();
  void write();

  int descriptor_;
  std::string process_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
  Time droppedAt_;
};

} // namespace figchute::router
