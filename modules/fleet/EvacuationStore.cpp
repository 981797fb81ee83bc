#include "fleet/EvacuationStore.h"

#include <algorithm>

namespace figchute::fleet {

bool isZoneName(std::string_view text)
{
  const auto isAllowed = [](char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.' || c == ':';
  };
  return !text.empty() && text.size() <= kMaxZoneName &&
         std::all_of(text.begin(), text.end(), isAllowed);
}

bool EvacuationStore::apply(std::uint64_t index, const SetEvacuation& order)
{
  if (std::find(recentOrders_.begin(), recentOrders_.end(), order.id) != recentOrders_.end()) {
    return false;
  }
  recentOrders_.push_back(order.id);
  if (recentOrders_.size() > kMaxRecentOrders) {
    recentOrders_.pop_front();
  }
  const auto position = std::lower_bound(zones_.begin(), zones_.end(), order.zone);
  const bool isEvacuated = position != zones_.end() && *position == order.zone;
  if (isEvacuated == order.active) {
    return false;
  }
  if (order.active) {
    zones_.insert(position, order.zone);
  } else {
    zones_.erase(position);
  }
  revision_ = index;
  return true;
}

bool EvacuationStore::contains(const ZoneId& zone) const
{
  return std::binary_search(zones_.begin(), zones_.end(), zone);
}

} // namespace figchute::fleet
