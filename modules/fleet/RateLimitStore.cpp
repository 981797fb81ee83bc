#include "fleet/RateLimitStore.h"

#include <algorithm>
#include <cmath>

namespace figchute::fleet {
namespace {

bool isSameLimit(const RateLimit& a, const RateLimit& b)
{
  return a.isLimited == b.isLimited && (!a.isLimited || a.requestsPerSecond == b.requestsPerSecond);
}

/** Returns the limit as it is sent now. */
RateLimit withAge(Time now, const RateLimitStore::Record& record)
{
  auto limit = record.limit;
  limit.ageMs =
    std::chrono::duration_cast<std::chrono::milliseconds>(now - record.observedAt).count();
  return limit;
}

} // namespace

bool isValid(const RateLimit& limit)
{
  return std::isfinite(limit.requestsPerSecond) && limit.requestsPerSecond >= 0;
}

bool RateLimitStore::merge(Time now, const RateLimit& limit)
{
  const auto observedAt = now - std::chrono::milliseconds(std::max<std::int64_t>(limit.ageMs, 0));
  if (!isValid(limit) || now - observedAt >= kRetention) {
    return false;
  }
  const auto existing = records_.find(limit.endpoint);
  if (existing == records_.end()) {
    if (!limit.isLimited || records_.size() >= kMaxLimits) {
      return false;
    }
    records_[limit.endpoint] = { limit, observedAt, ++revision_ };
    return true;
  }
  auto& record = existing->second;
  if (observedAt <= record.observedAt) {
    return false;
  }
  record.observedAt = observedAt;
  if (isSameLimit(limit, record.limit)) {
    return false;
  }
  record.limit = limit;
  record.revision = ++revision_;
  return true;
}

void RateLimitStore::expire(Time now)
{
  const auto removed = std::erase_if(records_, [now](const auto& item) {
    const auto& record = item.second;
    const auto retention = record.limit.isLimited ? kRetention : kEndedRetention;
    return now - record.observedAt >= retention;
  });
  revision_ += removed > 0 ? 1 : 0;
}

std::vector<RateLimit> RateLimitStore::limitsFor(Time now, ResendCursor& cursor) const
{
  const auto since = cursor.advance(now, revision_);
  std::vector<RateLimit> limits;
  for (const auto& [endpoint, record] : records_) {
    if (record.revision > since) {
      limits.push_back(withAge(now, record));
    }
  }
  return limits;
}

std::vector<RateLimit> RateLimitStore::observedSince(Time now, Time since) const
{
  std::vector<RateLimit> limits;
  for (const auto& [endpoint, record] : records_) {
    if (record.observedAt >= since) {
      limits.push_back(withAge(now, record));
    }
  }
  return limits;
}

const RateLimitStore::Record* RateLimitStore::find(std::uint64_t endpoint) const
{
  const auto record = records_.find(endpoint);
  return record == records_.end() ? nullptr : &record->second;
}

} // namespace figchute::fleet
