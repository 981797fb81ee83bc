#pragma once

#include "core/core.h"
#include "trace/LogLine.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace figchute::trace {

/** State changes within this time before the end of a request are its context. */
constexpr Duration kContextDuration = std::chrono::seconds(5);
/** Maximum size in bytes of the lines that a trace stores: about 50,000 lines. */
constexpr std::size_t kMaxStoredBytes = 16U * 1024 * 1024;

/** A line of a trace. */
struct TracedLine
{
  LogLine line;
  /** True for a state change of a process that handled the request, false for a line of the request
      itself. */
  bool isContext = false;
};

/** Collects the lines of one request from the logs of several processes, and the state changes of
    these processes within kContextDuration before the request ended there.

    State changes are: the loss or selection of a control process, an ejected endpoint, any change
    of an endpoint that the request used, a configuration, start, stop and reload, and dropped log
    lines. A request ended at its lines with event=request and at its last line in the process.

    The lines of one process must be added in the order in which it wrote them; the lines of
    several processes may be interleaved. Memory is bounded by about twice kMaxStoredBytes.
    Thread safety: use one instance from one thread only. */
class RequestTrace
{
public:
  /** Creates an empty trace.
      @param request  the request id */
  explicit RequestTrace(std::string request);

  /** Adds a line without its line ending; empty lines are ignored. */
  void add(std::string_view line);

  /** Counts a line that could not be read completely. */
  void addUnreadableLine() { ++malformedLineCount_; }

  /** Returns the lines in time order; lines with the same time keep the order in which they were
      added. */
  [[nodiscard]] std::vector<TracedLine> lines() const;

  /** Returns true if a line of the request was added. */
  [[nodiscard]] bool hasRequestLines() const { return hasRequestLines_; }
  /** Returns the number of lines that were not log lines. */
  [[nodiscard]] std::uint64_t malformedLineCount() const { return malformedLineCount_; }
  /** Returns the number of lines of the request, or of state changes that may belong to it, that
      were omitted because of kMaxStoredBytes. */
  [[nodiscard]] std::uint64_t omittedLineCount() const { return omittedLineCount_; }

private:
  struct StoredLine
  {
    Time time;
    std::uint64_t lineNumber = 0;
    bool isContext = false;
    std::string process;
    std::string text;
  };

  struct Window
  {
    std::deque<StoredLine> lines;
    std::uint64_t lastLineNumber = 0;
  };

  void addRequestLine(const LogLine& line);
  void addStateChange(const LogLine& line);
  void removeLinesBefore(Window& window, Time time);
  void freeWindowBytes(std::size_t bytes, const std::string& process);
  void storeLine(StoredLine line);
  [[nodiscard]] StoredLine makeStoredLine(const LogLine& line, bool isContext) const;
  [[nodiscard]] bool isRelevantStateChange(const LogLine& line) const;

  std::string request_;
  std::map<std::string, Window, std::less<>> windows_;
  std::size_t windowBytes_ = 0;
  std::vector<StoredLine> storedLines_;
  std::size_t storedBytes_ = 0;
  std::set<std::string, std::less<>> endpoints_;
  std::uint64_t lineCount_ = 0;
  std::uint64_t malformedLineCount_ = 0;
  std::uint64_t omittedLineCount_ = 0;
  bool hasRequestLines_ = false;
};

} // namespace figchute::trace
