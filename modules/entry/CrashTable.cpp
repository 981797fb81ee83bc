#include "entry/CrashTable.h"

#include <algorithm>

namespace figchute::entry {

std::uint32_t CrashTable::recordCrash(Time now, Fingerprint contentFingerprint)
{
  auto& entry = entries_[contentFingerprint];
  if (now - entry.last > kRetention) {
    entry.crashes = 0;
  }
  ++entry.crashes;
  entry.last = now;
  const auto crashes = entry.crashes;
  evictOldest();
  return crashes;
}

bool CrashTable::isRefused(Time now, Fingerprint contentFingerprint) const
{
  const auto found = entries_.find(contentFingerprint);
  return found != entries_.end() && found->second.crashes >= kCrashLimit &&
         now - found->second.last <= kRetention;
}

void CrashTable::evictOldest()
{
  if (entries_.size() <= kMaxEntries) {
    return;
  }
  const auto oldest =
    std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
      return a.second.last < b.second.last;
    });
  entries_.erase(oldest);
}

} // namespace figchute::entry
