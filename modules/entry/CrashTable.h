#pragma once

#include "core/core.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace figchute::entry {

/** Counts the crashes that requests of one content caused, as this VM saw them. It refuses such
    content also while control is out of reach.
    Thread safety: use one instance from one thread only. */
class CrashTable
{
public:
  /** Content is refused after this many crashes. */
  static constexpr std::uint32_t kCrashLimit = 2;
  /** Crashes are forgotten after this time without another one. */
  static constexpr Duration kMemory = std::chrono::minutes(10);
  /** Bounds the table; the oldest entry makes room. */
  static constexpr std::size_t kMaxEntries = 4096;

  /** Counts a crash. @returns the crashes of this content so far */
  std::uint32_t count(Time now, Fingerprint content);

  /** Tells whether content has reached the limit and is not forgotten yet. */
  [[nodiscard]] bool isRefused(Time now, Fingerprint content) const;

private:
  struct Entry
  {
    std::uint32_t crashes = 0;
    Time last;
  };

  void makeRoom();

  std::map<Fingerprint, Entry> entries_;
};

} // namespace figchute::entry
