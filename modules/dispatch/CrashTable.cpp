#include "dispatch/CrashTable.h"

#include <algorithm>
#include <utility>

namespace figchute::dispatch {
namespace {

/** A crashed endpoint is detected by the next connection attempt or by missing announcements, which
    takes up to 6 s. */
constexpr Duration kSuspectLifetime = std::chrono::seconds(7);
constexpr std::size_t kMaxSuspects = 1024;
constexpr std::size_t kMaxEntries = 4096;

} // namespace

void CrashTable::addSuspect(Time now, std::size_t endpoint, Fingerprint fingerprint)
{
  const bool known = std::any_of(suspects_.begin(), suspects_.end(), [&](const Suspect& suspect) {
    return suspect.endpoint == endpoint && suspect.fingerprint == fingerprint;
  });
  if (!known && suspects_.size() < kMaxSuspects) {
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
      recordCrash(now, suspect.fingerprint);
    }
  }
  std::erase_if(suspects_, [&](const Suspect& suspect) { return suspect.endpoint == endpoint; });
}

void CrashTable::recordCrash(Time now, Fingerprint fingerprint)
{
  addCrashes(now, fingerprint, 1);
  unreportedCrashes_.push_back(fingerprint);
}

void CrashTable::addCrashes(Time now, Fingerprint fingerprint, std::uint64_t crashes)
{
  const auto found = records_.find(fingerprint);
  if (found == records_.end() && records_.size() >= kMaxEntries) {
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
  const auto suspects =
    std::count_if(suspects_.begin(), suspects_.end(), [&](const Suspect& suspect) {
      return suspect.fingerprint == fingerprint;
    });
  const auto found = records_.find(fingerprint);
  return static_cast<std::uint64_t>(suspects) +
         (found == records_.end() ? 0 : found->second.crashes);
}

Duration CrashTable::remainingRefusal(Time now, Fingerprint fingerprint) const
{
  const auto found = records_.find(fingerprint);
  if (found == records_.end() || found->second.crashes < kCrashLimit) {
    return Duration(0);
  }
  return std::max(found->second.lastCrashAt + kRefusalTime - now, Duration(0));
}

void CrashTable::expire(Time now)
{
  std::erase_if(suspects_,
                [&](const Suspect& suspect) { return now - suspect.lostAt > kSuspectLifetime; });
  std::erase_if(records_,
                [&](const auto& record) { return now - record.second.lastCrashAt > kRefusalTime; });
}

std::vector<Fingerprint> CrashTable::takeCrashes()
{
  return std::exchange(unreportedCrashes_, {});
}

} // namespace figchute::dispatch
