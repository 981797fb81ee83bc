#include "dispatch/EndpointRestrictions.h"

#include <algorithm>

namespace figchute::dispatch {

bool EndpointRestrictions::recordLeaving(Time now, std::uint64_t incarnation)
{
  auto& restriction = restrictions_[incarnation];
  const bool isFirst = !restriction.leavingAt;
  restriction.leavingAt = now;
  return isFirst;
}

bool EndpointRestrictions::recordBackoff(Time now, std::uint64_t incarnation, Duration duration)
{
  if (duration <= Duration(0)) {
    return false;
  }
  auto& restriction = restrictions_[incarnation];
  const bool isNew = restriction.backoffEnd <= now;
  restriction.backoffEnd = std::max(restriction.backoffEnd, now + std::min(duration, kMaxBackoff));
  return isNew;
}

bool EndpointRestrictions::isLeaving(std::uint64_t incarnation) const
{
  const auto entry = restrictions_.find(incarnation);
  return entry != restrictions_.end() && entry->second.leavingAt.has_value();
}

std::optional<Time> EndpointRestrictions::backoffEnd(Time now, std::uint64_t incarnation) const
{
  const auto entry = restrictions_.find(incarnation);
  if (entry == restrictions_.end() || entry->second.backoffEnd <= now) {
    return std::nullopt;
  }
  return entry->second.backoffEnd;
}

bool EndpointRestrictions::maySend(Time now, std::uint64_t incarnation) const
{
  return !isLeaving(incarnation) && !backoffEnd(now, incarnation);
}

void EndpointRestrictions::expire(Time now)
{
  std::erase_if(restrictions_, [now](const auto& entry) {
    const auto& restriction = entry.second;
    const bool leaves = restriction.leavingAt && now < *restriction.leavingAt + kLeavingRetention;
    return !leaves && restriction.backoffEnd <= now;
  });
}

} // namespace figchute::dispatch
