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

/** Maximum size of a field value in bytes; longer values are truncated and end with "...". */
constexpr std::size_t kMaxLogValueBytes = 4096;
/** Lines are dropped once this many bytes wait for the descriptor.
 */
constexpr std::size_t kMaxLogBufferBytes = 64U * 1024;

/** Writes log lines of key=value fields to a file descriptor. Writing never blocks: lines that the
 * descriptor does not accept stay in a bounded buffer until the next flush(); lines are dropped and
 * counted while the buffer is full. As soon as there is space again, a line with
 * event=lines_dropped reports the number of dropped lines. A line is never truncated or joined with
 * another one. flush() writes the lines of one event loop iteration together. Thread safety: use
 * one instance from one thread only. */
class LogWriter
{
public:
  /** @param descriptor  an open file descriptor; it is made non-blocking
      @param process     the name of the process, written in each line */
  LogWriter(int descriptor, std::string process);

  /** Adds a line: time, process, event and the fields.
      @param now  the time of the line */
  void line(Time now, std::string_view event, std::initializer_list<LogPair> fields);

  /** Writes as many buffered bytes as the descriptor accepts. */
  void flush();

  /** Returns the number of lines dropped since the start. */
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

  /** Returns the number of bytes in the buffer. */
  [[nodiscard]] std::size_t buffered() const { return buffer_.size(); }

private:
  void beginLine(Time now, std::string_view event);
  bool reportDropped();
  void write();

  int descriptor_;
  std::string process_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reportedDropped_ = 0;
  Time lastDroppedAt_;
};

} // namespace figchute::router
