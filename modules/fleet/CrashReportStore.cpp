#include "fleet/CrashReportStore.h"

#include <algorithm>

namespace figchute::fleet {

CrashReportStore::MergeResult CrashReportStore::merge(Time now, const CrashReport& report)
{
  const auto firstSeenAt = now - std::chrono::milliseconds(std::max<std::int64_t>(report.ageMs, 0));
  if (!isValid(report) || now - firstSeenAt >= kRetention) {
    return MergeResult::unchanged;
  }
  const auto [entry, isNew] = records_.try_emplace(idOf(report));
  auto& record = entry->second;
  if (isNew) {
    record = { report, firstSeenAt, now, ++revision_ };
    evictOldest();
    return MergeResult::added;
  }
  const auto refuted = record.report.refuted | report.refuted;
  if (refuted == record.report.refuted) {
    return MergeResult::unchanged;
  }
  record.report.refuted = refuted;
  record.changedAt = now;
  record.revision = ++revision_;
  return MergeResult::refuted;
}

std::vector<CrashReport> CrashReportStore::refute(Time now, Fingerprint candidate)
{
  const auto previousRevision = revision_;
  for (auto& [id, record] : records_) {
    auto& report = record.report;
    const auto refuted = report.refuted;
    for (std::size_t i = 0; i < report.candidates.size(); ++i) {
      if (report.candidates[i] == candidate) {
        report.refuted |= 1U << i;
      }
    }
    if (report.refuted != refuted) {
      record.changedAt = now;
      record.revision = ++revision_;
    }
  }
  return newestOf(
    now, [previousRevision](const Record& record) { return record.revision > previousRevision; });
}

void CrashReportStore::expire(Time now)
{
  const auto removed = std::erase_if(
    records_, [&](const auto& item) { return now - item.second.firstSeenAt >= kRetention; });
  revision_ += removed > 0 ? 1 : 0;
}

std::set<std::uint64_t> CrashReportStore::endpointsOf(Fingerprint candidate) const
{
  std::set<std::uint64_t> endpoints;
  for (const auto& [id, record] : records_) {
    const auto& report = record.report;
    for (std::size_t i = 0; i < report.candidates.size(); ++i) {
      if (report.candidates[i] == candidate && !report.isRefuted(i)) {
        endpoints.insert(report.endpoint);
      }
    }
  }
  return endpoints;
}

std::vector<CrashReport> CrashReportStore::reportsFor(Time now, ResendCursor& cursor) const
{
  const auto since = cursor.advance(now, revision_);
  return newestOf(now, [since](const Record& record) { return record.revision > since; });
}

std::vector<CrashReport> CrashReportStore::changedSince(Time now, Time since) const
{
  return newestOf(now, [since](const Record& record) { return record.changedAt >= since; });
}

template<typename Predicate>
std::vector<CrashReport> CrashReportStore::newestOf(Time now, Predicate isWanted) const
{
  std::vector<const Record*> changed;
  for (const auto& [id, record] : records_) {
    if (isWanted(record)) {
      changed.push_back(&record);
    }
  }
  std::sort(changed.begin(), changed.end(), [](const Record* a, const Record* b) {
    return a->revision > b->revision;
  });
  changed.resize(std::min(changed.size(), kMaxReportsPerMessage));
  std::vector<CrashReport> reports;
  reports.reserve(changed.size());
  for (const auto* record : changed) {
    reports.push_back(record->report);
    reports.back().ageMs =
      std::chrono::duration_cast<std::chrono::milliseconds>(now - record->firstSeenAt).count();
  }
  return reports;
}

void CrashReportStore::evictOldest()
{
  if (records_.size() <= kMaxReports) {
    return;
  }
  const auto oldest =
    std::min_element(records_.begin(), records_.end(), [](const auto& a, const auto& b) {
      return a.second.firstSeenAt < b.second.firstSeenAt;
    });
  records_.erase(oldest);
}

} // namespace figchute::fleet
