#include "trace/LineReader.h"

#include <algorithm>
#include <string>
#include <vector>

namespace figchute::trace {
namespace {

constexpr std::size_t kReadBufferBytes = 64U * 1024;

} // namespace

bool readLines(std::istream& in,
               const std::function<void(std::string_view line, bool isTruncated)>& onLine)
{
  std::vector<char> buffer(kReadBufferBytes);
  std::string line;
  bool isTruncated = false;
  const auto append = [&](std::string_view part) {
    const auto remainingBytes = kMaxLineBytes - line.size();
    isTruncated = isTruncated || part.size() > remainingBytes;
    line.append(part.substr(0, remainingBytes));
  };
  while (in) {
    in.read(buffer.data(), static_cast<std::streamsize>(buffer.size()));
    std::string_view unreadPart(buffer.data(), static_cast<std::size_t>(in.gcount()));
    for (auto lineEnd = unreadPart.find('\n'); lineEnd != std::string_view::npos;
         lineEnd = unreadPart.find('\n')) {
      append(unreadPart.substr(0, lineEnd));
      onLine(line, isTruncated);
      line.clear();
      isTruncated = false;
      unreadPart.remove_prefix(lineEnd + 1);
    }
    append(unreadPart);
  }
  if (!line.empty()) {
    onLine(line, isTruncated);
  }
  return !in.bad();
}

} // namespace figchute::trace
