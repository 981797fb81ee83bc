#include "gateway/DeliveredText.h"

#include <algorithm>
#include <fmt/format.h>

namespace figchute::gateway {

Expected<std::string> DeliveredText::accept(std::string_view text)
{
  const auto overlap = std::min(text.size(), text_.size() - position_);
  const auto delivered = std::string_view(text_).substr(position_, overlap);
  const auto [differs, _] = std::mismatch(delivered.begin(), delivered.end(), text.begin());
  if (differs != delivered.end()) {
    const auto offset = position_ + static_cast<std::size_t>(differs - delivered.begin());
    return fail(
      ErrorKind::endpointFailed,
      fmt::format("the regenerated text differs from the delivered text at byte {}", offset));
  }
  position_ += overlap;
  std::string fresh(text.substr(overlap));
  text_ += fresh;
  position_ += fresh.size();
  return fresh;
}

} // namespace figchute::gateway
