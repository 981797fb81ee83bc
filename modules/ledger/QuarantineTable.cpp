#include "ledger/QuarantineTable.h"

namespace figchute::ledger::detail {
namespace {

/** A fingerprint is removed when its last crash is older than this. */
constexpr Duration kCrashWindow = std::chrono::hours(1);
/** The number of reports kept per fingerprint to detect duplicates. */
constexpr std::size_t kMaxReports = 64;

} // namespace

CrashResult QuarantineTable::addReport(Time time, const CrashReport& command)
{
  auto& entry = crashes_[command.fingerprint];
  const bool isNew = entry.reports.emplace(command.request, command.endpoint).second;
  if (isNew) {
    ++entry.crashes;
    entry.lastCrashAt = time;
    if (entry.crashes >= kQuarantineThreshold) {
      entry.until = time + kQuarantineTime;
      ++revision_;
    }
  }
  if (entry.reports.size() > kMaxReports) {
    entry.reports.erase(entry.reports.begin());
  }
  return { Verdict{}, entry.until > time, entry.until };
}

void QuarantineTable::expire(Time time)
{
  std::erase_if(crashes_,
                [time](const auto& item) { return item.second.lastCrashAt + kCrashWindow < time; });
}

std::vector<QuarantineEntry> QuarantineTable::entries(Time now) const
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
