#include "dispatch/CrashTable.h"

#include <algorithm>
#include <utility>

namespace figchute::dispatch {
namespace {

/** A crashed endpoint is noticed by the next connection or by its missing announcements, which
    takes up to 6 s. */
constexpr Duration kSuspicion = std::chrono::seconds(7);
constexpr std::size_t kMostSuspects = 1024;
constexpr std::size_t kMostEntries = 4096;

} // namespace

void CrashTable::suspect(Time now, std::size_t endpoint, Fingerprint fingerprint)
{
  const bool known = std::any_of(suspects_.begin(), suspects_.end(), [&](const Suspect& suspect) {
    return suspect.endpoint == endpoint && suspect.fingerprint == fingerprint;
  });
  if (!known && suspects_.size() < kMostSuspects) {
    suspects_.push_back({ endpoint, fingerprint, now });
  }
}

void CrashTable::endpointAnswered(std::size_t endpoint, Time sentAt)
{
  std::erase_if(suspects_, [&](const Suspect& suspect) {
    return suspect.endpoint == endpoint && suspect.at <= sentAt;
  });
}

void CrashTable::endpointDown(Time now, std::size_t endpoint)
{
  for (const auto& suspect : suspects_) {
    if (suspect.endpoint == endpoint) {
      crashed(now, suspect.fingerprint);
    }
  }
  std::erase_if(suspects_, [&](const Suspect& suspect) { return suspect.endpoint == endpoint; });
}

void CrashTable::crashed(Time now, Fingerprint fingerprint)
{
  add(now, fingerprint, 1);
  untold_.push_back(fingerprint);
}

void CrashTable::add(Time now, Fingerprint fingerprint, std::uint64_t crashes)
{
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() && entries_.size() >= kMostEntries) {
    return;
  }
  auto& entry = entries_[fingerprint];
  entry.crashes += crashes;
  entry.last = now;
}

std::uint64_t CrashTable::broken(Fingerprint fingerprint) const
{
  if (fingerprint == 0) {
    return 0;
  }
  const auto suspects =
    std::count_if(suspects_.begin(), suspects_.end(), [&](const Suspect& suspect) {
      return suspect.fingerprint == fingerprint;
    });
  const auto found = entries_.find(fingerprint);
  return static_cast<std::uint64_t>(suspects) +
         (found == entries_.end() ? 0 : found->second.crashes);
}

Duration CrashTable::refusedFor(Time now, Fingerprint fingerprint) const
{
  const auto found = entries_.find(fingerprint);
  if (found == entries_.end() || found->second.crashes < kCrashLimit) {
    return Duration(0);
  }
  return std::max(found->second.last + kRefusal - now, Duration(0));
}

void CrashTable::expire(Time now)
{
  std::erase_if(suspects_, [&](const Suspect& suspect) { return now - suspect.at > kSuspicion; });
  std::erase_if(entries_, [&](const auto& entry) { return now - entry.second.last > kRefusal; });
}

std::vector<Fingerprint> CrashTable::takeCrashes()
{
  return std::exchange(untold_, {});
}

} // namespace figchute::dispatch
