#include "trace/LineReader.h"

#include <algorithm>
#include <string>
#include <vector>

namespace figchute::trace {
namespace {

constexpr std::size_t kChunkBytes = 64U * 1024;

} // namespace

bool readLines(std::istream& in, const std::function<void(std::string_view line, bool isCut)>& take)
{
  std::vector<char> chunk(kChunkBytes);
  std::string line;
  bool isCut = false;
  const auto append = [&](std::string_view part) {
    const auto room = kMaxLineBytes - line.size();
    isCut = isCut || part.size() > room;
    line.append(part.substr(0, room));
  };
  while (in) {
    in.read(chunk.data(), static_cast<std::streamsize>(chunk.size()));
    std::string_view rest(chunk.data(), static_cast<std::size_t>(in.gcount()));
    for (auto end = rest.find('\n'); end != std::string_view::npos; end = rest.find('\n')) {
      append(rest.substr(0, end));
      take(line, isCut);
      line.clear();
      isCut = false;
      rest.remove_prefix(end + 1);
    }
    append(rest);
  }
  if (!line.empty()) {
    take(line, isCut);
  }
  return !in.bad();
}

} // namespace figchute::trace
