#include "gateway/EventStreamParser.h"

#include <fmt/format.h>
#include <utility>

namespace figchute::gateway {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

} // namespace

EventStreamParser::EventStreamParser(std::size_t maxEventBytes)
  : maxEventBytes_(maxEventBytes)
{
}

Expected<std::vector<StreamEvent>> EventStreamParser::feed(std::string_view bytes)
{
  while (!bytes.empty() && !failed_) {
    if (std::exchange(afterCarriageReturn_, false) && bytes.front() == '\n') {
      bytes.remove_prefix(1);
      continue;
    }
    const auto end = bytes.find_first_of("\r\n");
    const auto part = bytes.substr(0, end);
    if (line_.size() + event_.data.size() + part.size() > maxEventBytes_) {
      failed_ = true;
      break;
    }
    line_ += part;
    if (end == std::string_view::npos) {
      break;
    }
    afterCarriageReturn_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    processLine();
  }
  if (failed_) {
    return fail(ErrorKind::endpointFailed,
                fmt::format("the response has an event larger than {} bytes", maxEventBytes_));
  }
  return std::exchange(completedEvents_, {});
}

bool EventStreamParser::hasPartialEvent() const
{
  return !line_.empty() || hasData_;
}

void EventStreamParser::skipByteOrderMark()
{
  if (std::exchange(atStart_, false) && line_.starts_with(kByteOrderMark)) {
    line_.erase(0, kByteOrderMark.size());
  }
}

/** Processes the complete line in line_ and clears it. */
void EventStreamParser::processLine()
{
  skipByteOrderMark();
  const auto line = std::exchange(line_, {});
  if (line.empty()) {
    if (hasData_) {
      completedEvents_.push_back(std::move(event_));
    }
    event_ = {};
    hasData_ = false;
    return;
  }
  const auto colon = line.find(':');
  const auto name = std::string_view(line).substr(0, colon);
  auto value =
    colon == std::string::npos ? std::string_view{} : std::string_view(line).substr(colon + 1);
  if (value.starts_with(' ')) {
    value.remove_prefix(1);
  }
  if (name == "event") {
    event_.type = value;
  } else if (name == "data") {
    event_.data += hasData_ ? "\n" : "";
    event_.data += value;
    hasData_ = true;
  }
}

} // namespace figchute::gateway
