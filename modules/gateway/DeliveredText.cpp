#include "gateway/DeliveredText.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::gateway {

Expected<std::string> DeliveredText::accept(std::string_view text)
{
  const auto overlap = std::min(text.size(), text_.size() - nextOffset_);
  const auto delivered = std::string_view(text_).substr(nextOffset_, overlap);
  const auto [firstDifference, _] = std::mismatch(delivered.begin(), delivered.end(), text.begin());
  if (firstDifference != delivered.end()) {
    const auto offset = nextOffset_ + static_cast<std::size_t>(firstDifference - delivered.begin());
    return fail(
      ErrorKind::endpointFailed,
      fmt::format("the regenerated text differs from the delivered text at byte {}", offset));
  }
  nextOffset_ += overlap;
  std::string newText(text.substr(overlap));
  text_ += newText;
  nextOffset_ += newText.size();
  return newText;
}

} // namespace figchute::gateway
