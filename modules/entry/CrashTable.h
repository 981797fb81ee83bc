#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace figchute::entry {

/** Counts endpoint crashes per request content, as observed by this VM. Content that causes crashes
    can thereby be refused even if no control VM is reachable.
    Thread safety: use one instance from one thread only. */
class CrashTable
{
public:
  /** Number of crashes after which content is refused. */
  static constexpr std::uint32_t kCrashLimit = 2;
  /** Time without a further crash after which the crashes of a content are discarded. */
  static constexpr Duration kRetention = std::chrono::minutes(10);
  /** Maximum number of entries; the oldest entry is evicted when it is exceeded. */
  static constexpr std::size_t kMaxEntries = 4096;

  /** Counts a crash. @returns the number of crashes of this content */
  std::uint32_t recordCrash(Time now, Fingerprint contentFingerprint);

  /** Returns whether content has reached the crash limit and has not been discarded yet. */
  [[nodiscard]] bool isRefused(Time now, Fingerprint contentFingerprint) const;

private:
  struct Entry
  {
    std::uint32_t crashes = 0;
    Time lastCrash;
  };

  void evictOldest();

  std::map<Fingerprint, Entry> entries_;
};

} // namespace figchute::entry
