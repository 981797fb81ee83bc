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

/** State changes up to this long before the end of a request are its context. */
constexpr Duration kContextDuration = std::chrono::seconds(5);
/** Most bytes of lines that one trace keeps: some 50,000 lines. */
constexpr std::size_t kMaxStoredBytes = 16U * 1024 * 1024;

/** One line of a trace. */
struct TracedLine
{
  LogLine line;
  /** True for a state change of a process that handled the request, false for a line of the request
      itself. */
  bool isContext = false;
};

/** Collects the lines of one request from the logs of several processes, and the state changes of
    these processes in the kContextDuration before the request ended there.

    State changes are: control lost or found, an endpoint ejected, any change of an endpoint that
    the request used, a configuration, start, stop and reload, and lines dropped. A request ended at
    its lines with event=request and at its last line in the process.

    The lines of one process are to be added in the order in which it wrote them; the lines of
    several processes may be mixed. Memory is bounded by about twice kMaxStoredBytes.
    Thread safety: use one instance from one thread only. */
class RequestTrace
{
public:
  /** @param request  the request id */
  explicit RequestTrace(std::string request);

  /** Adds one line without its line end; empty lines are ignored. */
  void add(std::string_view line);

  /** Counts a line that could not be read whole. */
  void addUnreadableLine() { ++malformedLineCount_; }

  /** Returns the lines in order of time; lines of the same time keep the order in which they were
      added. */
  [[nodiscard]] std::vector<TracedLine> lines() const;

  /** Returns whether a line of the request was added. */
  [[nodiscard]] bool hasRequestLines() const { return hasRequestLines_; }
  /** Returns the number of lines that were no log lines. */
  [[nodiscard]] std::uint64_t malformedLineCount() const { return malformedLineCount_; }
  /** Returns the number of lines of the request, or of state changes that could belong to it, that
      are missing because of kMaxStoredBytes. */
  [[nodiscard]] std::uint64_t omittedLineCount() const { return omittedLineCount_; }

private:
  struct StoredLine
  {
    Time time;
    std::uint64_t number = 0;
    bool isContext = false;
    std::string process;
    std::string text;
  };

  struct Window
  {
    std::deque<StoredLine> lines;
    std::uint64_t lastLine = 0;
  };

  void addOwn(const LogLine& line);
  void remember(const LogLine& line);
  void forgetBefore(Window& window, Time time);
  void makeRoom(std::size_t bytes, const std::string& process);
  void keep(StoredLine line);
  [[nodiscard]] StoredLine stored(const LogLine& line, bool isContext) const;
  [[nodiscard]] bool concerns(const LogLine& line) const;

  std::string request_;
  std::map<std::string, Window, std::less<>> windows_;
  std::size_t windowBytes_ = 0;
  std::vector<StoredLine> kept_;
  std::size_t keptBytes_ = 0;
  std::set<std::string, std::less<>> endpoints_;
  std::uint64_t number_ = 0;
  std::uint64_t malformedLineCount_ = 0;
  std::uint64_t omittedLineCount_ = 0;
  bool hasRequestLines_ = false;
};

} // namespace figchute::trace
