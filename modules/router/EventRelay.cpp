#include "router/EventRelay.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace figchute::router {
namespace {

/** Parses the number of an "id: N" line. */
std::optional<std::int64_t> parseEventId(std::string_view line)
{
  constexpr std::string_view kIdField = "id:";
  if (!line.starts_with(kIdField)) {
    return std::nullopt;
  }
  line.remove_prefix(kIdField.size());
  if (line.starts_with(' ')) {
    line.remove_prefix(1);
  }
  std::int64_t id = 0;
  const auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), id);
  if (error != std::errc() || end != line.data() + line.size() || id < 0) {
    return std::nullopt;
  }
  return id;
}

} // namespace

EventRelay::Part EventRelay::feed(std::string_view bytes)
{
  Part part;
  std::size_t complete = 0;
  std::size_t at = 0;
  while (at < bytes.size()) {
    const auto end = bytes.find('\n', at);
    if (end == std::string_view::npos) {
      appendLinePrefix(bytes.substr(at));
      break;
    }
    const auto line = completeLine(bytes.substr(at, end - at));
    at = end + 1;
    if (!line.empty()) {
      eventHasText_ = true;
      if (const auto id = parseEventId(line)) {
        currentId_ = id;
      }
    } else if (endEvent(part)) {
      complete = at;
    } else {
      break;
    }
    linePrefixSize_ = 0;
  }
  const bool tooLong = buffered_.size() + bytes.size() - complete > kMaxBufferedBytes;
  if (part.continuesStream && tooLong && !passThrough_) {
    // A later response is not known to continue the stream until its first event is complete.
    part.continuesStream = !continuing_ || eventCompleted_;
    passThrough_ = true;
    canContinue_ = false;
  }
  if (passThrough_ && part.continuesStream) {
    complete = bytes.size();
  }
  if (complete > 0) {
    part.buffered = std::exchange(buffered_, {});
    part.remainder = bytes.substr(0, complete);
  }
  if (part.continuesStream) {
    buffered_.append(bytes.substr(complete));
  }
  return part;
}

std::string_view EventRelay::completeLine(std::string_view end)
{
  if (linePrefixSize_ > 0) {
    appendLinePrefix(end);
    end = { linePrefix_.data(), linePrefixSize_ };
  }
  if (end.ends_with('\r')) {
    end.remove_suffix(1);
  }
  return end;
}

void EventRelay::appendLinePrefix(std::string_view begin)
{
  // A line that fills the prefix buffer is longer than any valid id line.
  const auto size = std::min(begin.size(), kMaxLinePrefixBytes - linePrefixSize_);
  std::copy_n(begin.data(), size, linePrefix_.data() + linePrefixSize_);
  linePrefixSize_ += size;
}

bool EventRelay::endEvent(Part& part)
{
  if (!std::exchange(eventHasText_, false)) {
    return true;
  }
  const auto id = std::exchange(currentId_, std::nullopt);
  const bool isFirst = !std::exchange(eventCompleted_, true);
  const bool isNext = id && (!lastId_ || *id == *lastId_ + 1);
  if (continuing_ && !isNext && (isFirst || id)) {
    part.continuesStream = false;
    canContinue_ = false;
    return false;
  }
  canContinue_ = canContinue_ && isNext;
  if (id) {
    lastId_ = id;
  }
  ++part.events;
  return true;
}

void EventRelay::continueStream()
{
  expectsEvent_ = isInsideEvent() || (expectsEvent_ && !eventCompleted_);
  buffered_.clear();
  linePrefixSize_ = 0;
  eventHasText_ = false;
  currentId_.reset();
  continuing_ = lastId_.has_value();
  eventCompleted_ = false;
}

std::optional<std::string> EventRelay::finish()
{
  if (continuing_ && !eventCompleted_ && (expectsEvent_ || !buffered_.empty())) {
    return std::nullopt;
  }
  return std::exchange(buffered_, {});
}

} // namespace figchute::router
