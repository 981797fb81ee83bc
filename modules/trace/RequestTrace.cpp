#include "trace/RequestTrace.h"

#include <algorithm>
#include <array>

namespace figchute::trace {
namespace {

constexpr std::string_view kEndpointState = "endpoint_state";
constexpr std::string_view kDroppedLines = "dropped_lines";
/** Memory of a stored line in addition to its text. */
constexpr std::size_t kLineOverheadBytes = 160;

constexpr std::array<std::string_view, 11> kStateChanges{
  "control",       "control_lost",  "configuration", "configuration_unreadable",
  "start",         "stopping",      "stop",          "reload",
  "reload_failed", "lines_dropped", kEndpointState,
};

bool isStateChange(const LogLine& line)
{
  return std::ranges::find(kStateChanges, line.event) != kStateChanges.end() ||
         line.find(kDroppedLines) != nullptr;
}

template<typename Line>
std::size_t memoryBytes(const Line& line)
{
  return line.text.size() + line.process.size() + kLineOverheadBytes;
}

// Returns the words of a text without trailing punctuation.
std::vector<std::string_view> splitIntoWords(std::string_view text)
{
  std::vector<std::string_view> words;
  while (!text.empty()) {
    const auto wordEnd = std::min(text.find(' '), text.size());
    auto word = text.substr(0, wordEnd);
    text.remove_prefix(std::min(wordEnd + 1, text.size()));
    while (!word.empty() && (word.back() == ':' || word.back() == ',' || word.back() == '.')) {
      word.remove_suffix(1);
    }
    if (!word.empty()) {
      words.push_back(word);
    }
  }
  return words;
}

} // namespace

RequestTrace::RequestTrace(std::string request)
  : request_(std::move(request))
{
}

void RequestTrace::add(std::string_view line)
{
  if (line.find_first_not_of(" \t\r") == std::string_view::npos) {
    return;
  }
  const auto parsed = parseLogLine(line);
  if (!parsed) {
    ++malformedLineCount_;
    return;
  }
  ++lineCount_;
  const auto* request = parsed->find("request");
  if (request != nullptr && *request == request_) {
    addRequestLine(*parsed);
  } else if (isStateChange(*parsed)) {
    addStateChange(*parsed);
  }
}

RequestTrace::StoredLine RequestTrace::makeStoredLine(const LogLine& line, bool isContext) const
{
  return { line.time, lineCount_, isContext, line.process, line.text };
}

void RequestTrace::addRequestLine(const LogLine& line)
{
  hasRequestLines_ = true;
  const auto* endpoint = line.find("endpoint");
  if (endpoint != nullptr && !endpoint->empty()) {
    endpoints_.insert(*endpoint);
  }
  if (const auto windowIt = windows_.find(line.process); windowIt != windows_.end()) {
    removeLinesBefore(windowIt->second, line.time - kContextDuration);
    for (auto& stateChange : windowIt->second.lines) {
      windowBytes_ -= memoryBytes(stateChange);
      storeLine(std::move(stateChange));
    }
    windows_.erase(windowIt);
  }
  storeLine(makeStoredLine(line, false));
}

void RequestTrace::addStateChange(const LogLine& line)
{
  auto stateChange = makeStoredLine(line, true);
  freeWindowBytes(memoryBytes(stateChange), line.process);
  auto& window = windows_[line.process];
  window.lastLineNumber = lineCount_;
  removeLinesBefore(window, line.time - kContextDuration);
  windowBytes_ += memoryBytes(stateChange);
  window.lines.push_back(std::move(stateChange));
}

void RequestTrace::removeLinesBefore(Window& window, Time time)
{
  while (!window.lines.empty() && window.lines.front().time < time) {
    windowBytes_ -= memoryBytes(window.lines.front());
    window.lines.pop_front();
  }
}

// Removes the window of the process whose latest line is the oldest first: if files are read one
// after the other, this process has no further lines.
void RequestTrace::freeWindowBytes(std::size_t bytes, const std::string& process)
{
  while (windowBytes_ + bytes > kMaxStoredBytes && !windows_.empty()) {
    const auto oldestWindowIt = std::ranges::min_element(
      windows_, {}, [](const auto& entry) { return entry.second.lastLineNumber; });
    auto& lines = oldestWindowIt->second.lines;
    if (oldestWindowIt->first == process && lines.size() > 1) {
      windowBytes_ -= memoryBytes(lines.front());
      lines.pop_front();
      ++omittedLineCount_;
      continue;
    }
    for (const auto& stateChange : lines) {
      windowBytes_ -= memoryBytes(stateChange);
    }
    omittedLineCount_ += lines.size();
    windows_.erase(oldestWindowIt);
  }
}

void RequestTrace::storeLine(StoredLine line)
{
  const auto bytes = memoryBytes(line);
  if (storedBytes_ + bytes > kMaxStoredBytes) {
    ++omittedLineCount_;
    return;
  }
  storedBytes_ += bytes;
  storedLines_.push_back(std::move(line));
}

// Returns true if a state change belongs to the context of the request. Every ejection does,
// because it may be the reason why no endpoint was available.
bool RequestTrace::isRelevantStateChange(const LogLine& line) const
{
  if (line.event != kEndpointState || line.find(kDroppedLines) != nullptr) {
    return true;
  }
  const auto* detail = line.find("detail");
  if (detail == nullptr) {
    return false;
  }
  const auto words = splitIntoWords(*detail);
  return std::ranges::find(words, "out") != words.end() ||
         std::ranges::any_of(words,
                             [this](std::string_view word) { return endpoints_.contains(word); });
}

std::vector<TracedLine> RequestTrace::lines() const
{
  std::map<std::string, std::vector<Time>> requestEndsByProcess;
  std::map<std::string, Time> lastLineTimes;
  std::vector<TracedLine> result;
  std::vector<const StoredLine*> sortedLines;
  sortedLines.reserve(storedLines_.size());
  for (const auto& line : storedLines_) {
    sortedLines.push_back(&line);
  }
  std::ranges::stable_sort(sortedLines, {}, [](const StoredLine* line) {
    return std::pair(line->time.micros, line->lineNumber);
  });
  result.reserve(sortedLines.size());
  for (const auto* line : sortedLines) {
    auto parsed = parseLogLine(line->text);
    if (!line->isContext) {
      lastLineTimes[line->process] = line->time;
      if (parsed->event == "request") {
        requestEndsByProcess[line->process].push_back(line->time);
      }
    }
    result.push_back({ std::move(*parsed), line->isContext });
  }
  for (const auto& [process, time] : lastLineTimes) {
    requestEndsByProcess[process].push_back(time);
  }
  std::erase_if(result, [&](const TracedLine& traced) {
    if (!traced.isContext) {
      return false;
    }
    const auto& requestEnds = requestEndsByProcess[traced.line.process];
    const auto requestEndIt = std::ranges::lower_bound(requestEnds, traced.line.time);
    return requestEndIt == requestEnds.end() ||
           *requestEndIt - traced.line.time > kContextDuration ||
           !isRelevantStateChange(traced.line);
  });
  return result;
}

} // namespace figchute::trace
