#include "trace/RequestTrace.h"

#include <algorithm>
#include <array>

namespace figchute::trace {
namespace {

constexpr std::string_view kEndpointState = "endpoint_state";
constexpr std::string_view kDroppedLines = "dropped_lines";
/** Memory of a stored line besides its text. */
constexpr std::size_t kLineOverhead = 160;

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

template<typename Stored>
std::size_t sizeOf(const Stored& line)
{
  return line.text.size() + line.process.size() + kLineOverhead;
}

// Returns the words of a text, without the punctuation at their ends.
std::vector<std::string_view> wordsOf(std::string_view text)
{
  std::vector<std::string_view> words;
  while (!text.empty()) {
    const auto end = std::min(text.find(' '), text.size());
    auto word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
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
  ++number_;
  const auto* request = parsed->find("request");
  if (request != nullptr && *request == request_) {
    addOwn(*parsed);
  } else if (isStateChange(*parsed)) {
    remember(*parsed);
  }
}

RequestTrace::StoredLine RequestTrace::stored(const LogLine& line, bool isContext) const
{
  return { line.time, number_, isContext, line.process, line.text };
}

void RequestTrace::addOwn(const LogLine& line)
{
  hasRequestLines_ = true;
  const auto* endpoint = line.find("endpoint");
  if (endpoint != nullptr && !endpoint->empty()) {
    endpoints_.insert(*endpoint);
  }
  if (const auto found = windows_.find(line.process); found != windows_.end()) {
    forgetBefore(found->second, line.time - kContextDuration);
    for (auto& change : found->second.lines) {
      windowBytes_ -= sizeOf(change);
      keep(std::move(change));
    }
    windows_.erase(found);
  }
  keep(stored(line, false));
}

void RequestTrace::remember(const LogLine& line)
{
  auto change = stored(line, true);
  makeRoom(sizeOf(change), line.process);
  auto& window = windows_[line.process];
  window.lastLine = number_;
  forgetBefore(window, line.time - kContextDuration);
  windowBytes_ += sizeOf(change);
  window.lines.push_back(std::move(change));
}

void RequestTrace::forgetBefore(Window& window, Time time)
{
  while (!window.lines.empty() && window.lines.front().time < time) {
    windowBytes_ -= sizeOf(window.lines.front());
    window.lines.pop_front();
  }
}

// The window of the process that wrote least recently goes first: in files that are read one after
// the other, that process has no further lines.
void RequestTrace::makeRoom(std::size_t bytes, const std::string& process)
{
  while (windowBytes_ + bytes > kMaxStoredBytes && !windows_.empty()) {
    const auto oldest = std::ranges::min_element(
      windows_, {}, [](const auto& entry) { return entry.second.lastLine; });
    auto& lines = oldest->second.lines;
    if (oldest->first == process && lines.size() > 1) {
      windowBytes_ -= sizeOf(lines.front());
      lines.pop_front();
      ++omittedLineCount_;
      continue;
    }
    for (const auto& change : lines) {
      windowBytes_ -= sizeOf(change);
    }
    omittedLineCount_ += lines.size();
    windows_.erase(oldest);
  }
}

void RequestTrace::keep(StoredLine line)
{
  const auto bytes = sizeOf(line);
  if (keptBytes_ + bytes > kMaxStoredBytes) {
    ++omittedLineCount_;
    return;
  }
  keptBytes_ += bytes;
  kept_.push_back(std::move(line));
}

// An ejection is context of every request, because it may be the reason why no endpoint was left.
bool RequestTrace::concerns(const LogLine& line) const
{
  if (line.event != kEndpointState || line.find(kDroppedLines) != nullptr) {
    return true;
  }
  const auto* detail = line.find("detail");
  if (detail == nullptr) {
    return false;
  }
  const auto words = wordsOf(*detail);
  return std::ranges::find(words, "out") != words.end() ||
         std::ranges::any_of(words,
                             [this](std::string_view word) { return endpoints_.contains(word); });
}

std::vector<TracedLine> RequestTrace::lines() const
{
  std::map<std::string, std::vector<Time>> ends;
  std::map<std::string, Time> last;
  std::vector<TracedLine> result;
  std::vector<const StoredLine*> ordered;
  ordered.reserve(kept_.size());
  for (const auto& line : kept_) {
    ordered.push_back(&line);
  }
  std::ranges::stable_sort(
    ordered, {}, [](const StoredLine* line) { return std::pair(line->time.micros, line->number); });
  result.reserve(ordered.size());
  for (const auto* line : ordered) {
    auto parsed = parseLogLine(line->text);
    if (!line->isContext) {
      last[line->process] = line->time;
      if (parsed->event == "request") {
        ends[line->process].push_back(line->time);
      }
    }
    result.push_back({ std::move(*parsed), line->isContext });
  }
  for (const auto& [process, time] : last) {
    ends[process].push_back(time);
  }
  std::erase_if(result, [&](const TracedLine& traced) {
    if (!traced.isContext) {
      return false;
    }
    const auto& times = ends[traced.line.process];
    const auto end = std::ranges::lower_bound(times, traced.line.time);
    return end == times.end() || *end - traced.line.time > kContextDuration ||
           !concerns(traced.line);
  });
  return result;
}

} // namespace figchute::trace
