#include "entry/CrashTable.h"

#include <algorithm>

namespace figchute::entry {

std::uint32_t CrashTable::count(Time now, Fingerprint content)
{
  auto& entry = entries_[content];
  if (now - entry.last > kMemory) {
    entry.crashes = 0;
  }
  ++entry.crashes;
  entry.last = now;
  const auto crashes = entry.crashes;
  makeRoom();
  return crashes;
}

bool CrashTable::isRefused(Time now, Fingerprint content) const
{
  const auto found = entries_.find(content);
  return found != entries_.end() && found->second.crashes >= kCrashLimit &&
         now - found->second.last <= kMemory;
}

void CrashTable::makeRoom()
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
