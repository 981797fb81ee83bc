#include "router/LogWriter.h"

#include <algorithm>
#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

namespace figchute::router {
namespace {

bool needsNoQuotes(char c)
{
  return static_cast<unsigned char>(c) > ' ' && c != '"' && c != '=' && c != 0x7F;
}

void appendQuoted(std::string& line, std::string_view value)
{
  line += '"';
  for (const char c : value) {
    if (c == '"' || c == '\\') {
      line += '\\';
    }
    // Control characters could end the line or change the state of a terminal.
    line += static_cast<unsigned char>(c) < ' ' || c == 0x7F ? ' ' : c;
  }
  line += '"';
}

void appendValue(std::string& line, std::string_view value)
{
  if (value.size() > kMaxLogValueBytes) {
    appendQuoted(line, std::string(value.substr(0, kMaxLogValueBytes)) + "...");
  } else if (!value.empty() && std::ranges::all_of(value, needsNoQuotes)) {
    line += value;
  } else {
    appendQuoted(line, value);
  }
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

void LogWriter::beginLine(Time now, std::string_view event)
{
  fmt::format_to(std::back_inserter(buffer_),
                 "time={}.{:06} process={} event={}",
                 now.micros / 1'000'000,
                 now.micros % 1'000'000,
                 process_,
                 event);
}

void LogWriter::line(Time now, std::string_view event, std::initializer_list<LogPair> fields)
{
  if (buffer_.size() >= kMaxLogBufferBytes) {
    ++dropped_;
    lastDroppedAt_ = now;
    return;
  }
  reportDropped();
  beginLine(now, event);
  for (const auto& field : fields) {
    buffer_ += ' ';
    buffer_ += field.name;
    buffer_ += '=';
    appendValue(buffer_, field.value);
  }
  buffer_ += '\n';
}

bool LogWriter::reportDropped()
{
  if (dropped_ == reportedDropped_ || buffer_.size() >= kMaxLogBufferBytes) {
    return false;
  }
  beginLine(lastDroppedAt_, "lines_dropped");
  fmt::format_to(std::back_inserter(buffer_),
                 " lines={} dropped_lines={}\n",
                 dropped_ - reportedDropped_,
                 dropped_);
  reportedDropped_ = dropped_;
  return true;
}

void LogWriter::write()
{
  const auto written = ::write(descriptor_, buffer_.data(), buffer_.size());
  if (written > 0) {
    buffer_.erase(0, static_cast<std::size_t>(written));
  }
}

void LogWriter::flush()
{
  if (!buffer_.empty()) {
    write();
  }
  if (reportDropped()) {
    write();
  }
}

} // namespace figchute::router
