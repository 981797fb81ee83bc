#include "dispatch/CrashTable.h"

#include <algorithm>
#include <utility>

namespace figchute::dispatch {
namespace {

/** A crashed endpoint is detected by the next connection attempt or by missing announcements, which
    takes up to 6 s. */
constexpr Duration kSuspectLifetime = std::chrono::seconds(7);
constexpr std::size_t kMaxSuspects = 1024;
constexpr std::size_t kMaxCrashRecords = 4096;

} // namespace

void CrashTable::addSuspect(Time now, std::size_t endpoint, Fingerprint fingerprint)
{
  const bool isAlreadySuspect =
    std::any_of(suspects_.begin(), suspects_.end(), [&](const Suspect& suspect) {
      return suspect.endpoint == endpoint && suspect.fingerprint == fingerprint;
    });
  if (!isAlreadySuspect && suspects_.size() < kMaxSuspects) {
    suspects_.push_back({ endpoint, fingerprint, now });
  }
}

void CrashTable::clearSuspects(std::size_t endpoint, Time sentAt)
{
  std::erase_if(suspects_, [&](const Suspect& suspect) {
    return suspect.endpoint == endpoint && suspect.lostAt <= sentAt;
  });
}

void CrashTable::confirmSuspects(Time now, std::size_t endpoint)
{
  for (const auto& suspect : suspects_) {
    if (suspect.endpoint == endpoint) {
      recordCrash(now, suspect.fingerprint, suspect.lostAt);
    }
  }
  std::erase_if(suspects_, [&](const Suspect& suspect) { return suspect.endpoint == endpoint; });
}

void CrashTable::recordCrash(Time now, Fingerprint fingerprint, Time lostAt)
{
  addCrashes(now, fingerprint, 1);
  unreportedCrashes_.push_back({ fingerprint, now - lostAt });
}

void CrashTable::addCrashes(Time now, Fingerprint fingerprint, std::uint64_t crashes)
{
  const auto existingRecord = records_.find(fingerprint);
  if (existingRecord == records_.end() && records_.size() >= kMaxCrashRecords) {
    return;
  }
  auto& record = records_[fingerprint];
  record.crashes += crashes;
  record.lastCrashAt = now;
}

std::uint64_t CrashTable::suspectedCrashes(Fingerprint fingerprint) const
{
  if (fingerprint == 0) {
    return 0;
  }
  const auto suspectCount =
    std::count_if(suspects_.begin(), suspects_.end(), [&](const Suspect& suspect) {
      return suspect.fingerprint == fingerprint;
    });
  const auto record = records_.find(fingerprint);
  return static_cast<std::uint64_t>(suspectCount) +
         (record == records_.end() ? 0 : record->second.crashes);
}

Duration CrashTable::remainingRefusal(Time now, Fingerprint fingerprint) const
{
  const auto record = records_.find(fingerprint);
  if (record == records_.end() || record->second.crashes < kCrashLimit) {
    return Duration(0);
  }
  return std::max(record->second.lastCrashAt + kRefusalTime - now, Duration(0));
}

void CrashTable::expire(Time now)
{
  std::erase_if(suspects_,
                [&](const Suspect& suspect) { return now - suspect.lostAt > kSuspectLifetime; });
  std::erase_if(records_,
                [&](const auto& record) { return now - record.second.lastCrashAt > kRefusalTime; });
}

std::vector<ObservedCrash> CrashTable::takeCrashes()
{
  return std::exchange(unreportedCrashes_, {});
}

} // namespace figchute::dispatch
