#include "router/LogWriter.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace figchute::router {
namespace {

/** Lines beyond it are dropped until the next flush. */
constexpr std::size_t kMaxBufferedBytes = 64U * 1024;

void appendValue(std::string& line, std::string_view value)
{
  if (!value.empty() && value.find_first_of(" \"\n\r\t=") == std::string_view::npos) {
    line += value;
    return;
  }
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    line += (c == '\n' || c == '\r') ? ' ' : c;
  }
  line += '"';
}

} // namespace

LogWriter::LogWriter(int descriptor, std::string process)
  : descriptor_(descriptor)
  , process_(std::move(process))
{
  const int flags = fcntl(descriptor_, F_GETFL);
  if (flags >= 0) {
    fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
  }
}

void LogWriter::line(Time now, std::string_view event, std::initializer_list<LogPair> fields)
{
  if (buffer_.size() > kMaxBufferedBytes) {
    ++dropped_;
    return;
  }
  fmt::format_to(std::back_inserter(buffer_),
                 "time={}.{:06} process={} event={}",
                 now.micros / 1'000'000,
                 now.micros % 1'000'000,
                 process_,
                 event);
  for (const auto& field : fields) {
    buffer_ += ' ';
    buffer_ += field.name;
    buffer_ += '=';
    appendValue(buffer_, field.value);
  }
  if (dropped_ > reported_) {
    fmt::format_to(std::back_inserter(buffer_), " dropped_lines={}", dropped_);
    reported_ = dropped_;
  }
  buffer_ += '\n';
  ++lines_;
}

void LogWriter::flush()
{
  if (buffer_.empty()) {
    return;
  }
  const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
  if (written < 0) {
    dropped_ += lines_;
    buffer_.clear();
    lines_ = 0;
    return;
  }
  buffer_.erase(0, static_cast<std::size_t>(written));
  if (buffer_.empty()) {
    lines_ = 0;
  }
}

} // namespace figchute::router
