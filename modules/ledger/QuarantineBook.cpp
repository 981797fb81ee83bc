#include "ledger/QuarantineBook.h"

namespace figchute::ledger::detail {
namespace {

/** Crashes further apart than this are not counted together. */
constexpr Duration kCrashMemory = std::chrono::hours(1);
/** Reports kept per fingerprint to recognise duplicates. */
constexpr std::size_t kMaxReports = 64;

} // namespace

CrashResult QuarantineBook::report(Time time, const CrashReport& command)
{
  auto& entry = crashes_[command.fingerprint];
  const bool first = entry.reports.emplace(command.request, command.endpoint).second;
  if (first) {
    ++entry.crashes;
    entry.last = time;
    if (entry.crashes >= kQuarantineCrashes) {
      entry.until = time + kQuarantineTime;
      ++revision_;
    }
  }
  if (entry.reports.size() > kMaxReports) {
    entry.reports.erase(entry.reports.begin());
  }
  return { Verdict{}, entry.until > time, entry.until };
}

void QuarantineBook::expire(Time time)
{
  std::erase_if(crashes_,
                [time](const auto& item) { return item.second.last + kCrashMemory < time; });
}

std::vector<QuarantineEntry> QuarantineBook::entries(Time now) const
{
  std::vector<QuarantineEntry> entries;
  for (const auto& [fingerprint, entry] : crashes_) {
    if (entry.until > now) {
      entries.push_back({ fingerprint, entry.until, entry.crashes });
    }
  }
  return entries;
}

} // namespace figchute::ledger::detail
