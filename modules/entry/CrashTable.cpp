#include "entry/CrashTable.h"

#include <algorithm>

namespace figchute::entry {

std::uint32_t CrashTable::recordCrash(Time now, Fingerprint contentFingerprint)
{
  auto& entry = entries_[contentFingerprint];
  if (now - entry.lastCrash > kRetention) {
    entry.crashes = 0;
  }
  ++entry.crashes;
  entry.lastCrash = now;
  const auto crashes = entry.crashes;
  evictOldest();
  return crashes;
}

bool CrashTable::isRefused(Time now, Fingerprint contentFingerprint) const
{
  const auto entry = entries_.find(contentFingerprint);
  return entry != entries_.end() && entry->second.crashes >= kCrashLimit &&
         now - entry->second.lastCrash <= kRetention;
}

void CrashTable::evictOldest()
{
  if (entries_.size() <= kMaxEntries) {
    return;
  }
  const auto oldest =
    std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
      return a.second.lastCrash < b.second.lastCrash;
    });
  entries_.erase(oldest);
}

} // namespace figchute::entry
