#include "fleet/StreamOriginStore.h"

namespace figchute::fleet {

void StreamOriginStore::add(Time now, const StreamOrigin& origin)
{
  const auto [entry, added] = origins_.try_emplace(origin.stream, Entry{ origin, now });
  if (!added) {
    entry->second.isAmbiguous = entry->second.isAmbiguous || entry->second.origin != origin;
    entry->second.addedAt = now;
  }
  additions_.push_back({ now, origin.stream });
  while (additions_.size() > kMaxOrigins) {
    removeOldest();
  }
}

std::optional<StreamOrigin> StreamOriginStore::find(Fingerprint stream) const
{
  const auto entry = origins_.find(stream);
  const bool isKnown = entry != origins_.end() && !entry->second.isAmbiguous;
  return isKnown ? std::optional(entry->second.origin) : std::nullopt;
}

bool StreamOriginStore::isAmbiguous(Fingerprint stream) const
{
  const auto entry = origins_.find(stream);
  return entry != origins_.end() && entry->second.isAmbiguous;
}

void StreamOriginStore::expire(Time now)
{
  while (!additions_.empty() && additions_.front().at + kRetention <= now) {
    removeOldest();
  }
}

void StreamOriginStore::removeOldest()
{
  const auto oldest = additions_.front();
  additions_.pop_front();
  const auto entry = origins_.find(oldest.stream);
  if (entry != origins_.end() && entry->second.addedAt == oldest.at) {
    origins_.erase(entry);
  }
}

} // namespace figchute::fleet
