#include "router/EventRelay.h"

#include <algorithm>
#include <charconv>
#include <utility>

namespace figchute::router {
namespace {

/** Reads the number of a line "id: N". */
std::optional<std::int64_t> idOf(std::string_view line)
{
  constexpr std::string_view kId = "id:";
  if (!line.starts_with(kId)) {
    return std::nullopt;
  }
  line.remove_prefix(kId.size());
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
      keepPrefix(bytes.substr(at));
      break;
    }
    const auto line = completeLine(bytes.substr(at, end - at));
    at = end + 1;
    if (!line.empty()) {
      eventHasText_ = true;
      if (const auto id = idOf(line)) {
        id_ = id;
      }
    } else if (endEvent(part)) {
      complete = at;
    } else {
      break;
    }
    prefixSize_ = 0;
  }
  const bool tooLong = held_.size() + bytes.size() - complete > kMostHeld;
  if (part.sound && tooLong && !passing_) {
    // A further answer is not known to continue the stream before its first event is complete.
    part.sound = !continuing_ || begun_;
    passing_ = true;
    continuable_ = false;
  }
  if (passing_ && part.sound) {
    complete = bytes.size();
  }
  if (complete > 0) {
    part.held = std::exchange(held_, {});
    part.rest = bytes.substr(0, complete);
  }
  if (part.sound) {
    held_.append(bytes.substr(complete));
  }
  return part;
}

std::string_view EventRelay::completeLine(std::string_view end)
{
  if (prefixSize_ > 0) {
    keepPrefix(end);
    end = { prefix_.data(), prefixSize_ };
  }
  if (end.ends_with('\r')) {
    end.remove_suffix(1);
  }
  return end;
}

void EventRelay::keepPrefix(std::string_view begin)
{
  // A line that fills the prefix has no id: it is longer than any line with one.
  const auto size = std::min(begin.size(), kMostPrefix - prefixSize_);
  std::copy_n(begin.data(), size, prefix_.data() + prefixSize_);
  prefixSize_ += size;
}

bool EventRelay::endEvent(Part& part)
{
  if (!std::exchange(eventHasText_, false)) {
    return true;
  }
  const auto id = std::exchange(id_, std::nullopt);
  const bool first = !std::exchange(begun_, true);
  const bool next = id && (!lastId_ || *id == *lastId_ + 1);
  if (continuing_ && !next && (first || id)) {
    part.sound = false;
    continuable_ = false;
    return false;
  }
  continuable_ = continuable_ && next;
  if (id) {
    lastId_ = id;
  }
  ++part.events;
  return true;
}

void EventRelay::continueStream()
{
  held_.clear();
  prefixSize_ = 0;
  eventHasText_ = false;
  id_.reset();
  continuing_ = lastId_.has_value();
  begun_ = false;
}

std::optional<std::string> EventRelay::finish()
{
  if (continuing_ && !begun_ && !held_.empty()) {
    return std::nullopt;
  }
  return std::exchange(held_, {});
}

} // namespace figchute::router
