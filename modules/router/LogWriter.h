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

/** Writes log lines of key=value fields to a descriptor. A line that the descriptor does not take
   at once is dropped and counted, so that writing never blocks; the next line that gets through
   tells how many were dropped. Lines of one event loop turn are written together by flush(). Thread
   safety: use one instance from one thread only. */
class LogWriter
{
public:
  /** @param descriptor  an open descriptor; it is made non-blocking
      @param process     the name of the process, part of each line */
  LogWriter(int descriptor, std::string process);

  /** Adds a line: time, process, event and the fields.
      @param now  the time of the line */
  void line(Time now, std::string_view event, std::initializer_list<LogPair> fields);

  /** Writes the lines that wait. */
  void flush();

  /** Returns the number of lines dropped since the start. */
  [[nodiscard]] std::uint64_t dropped() const { return dropped_; }

private:
  int descriptor_;
  std::string process_;
  std::string buffer_;
  std::uint64_t lines_ = 0;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

} // namespace figchute::router
