#pragma once

#include "core/Types.h"
#include "fleet/CrashReport.h"
#include "fleet/ResendCursor.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <vector>

namespace figchute::fleet {

/** A bounded set of crash reports. Merging is idempotent, commutative and associative; when the set
    is full, the oldest report is evicted.
    Thread safety: use one instance from one thread only. */
class CrashReportStore
{
public:
  /** Reports are removed this long after they were first seen. */
  static constexpr Duration kRetention = std::chrono::seconds(300);
  static constexpr std::size_t kMaxReports = 512;
  /** Maximum number of reports in one message. */
  static constexpr std::size_t kMaxReportsPerMessage = 256;

  /** A report with what this process knows about it. */
  struct Record
  {
    CrashReport report;
    /** When any process first reported the crash. */
    Time firstSeenAt;
    /** Time and revision of the store at the last change of the report. */
    Time changedAt;
    std::uint64_t revision = 0;
  };

  enum class MergeResult : std::uint8_t
  {
    unchanged,
    added,
    refuted,
  };

  /** Adds a report, or the refutations of a known one. Malformed and expired reports are ignored.
   */
  MergeResult merge(Time now, const CrashReport& report);

  /** Refutes a candidate in all reports.
      @returns the changed reports */
  std::vector<CrashReport> refute(Time now, Fingerprint candidate);

  /** Removes reports that are older than kRetention. */
  void expire(Time now);

  /** Returns the crashed endpoints for which a candidate is not refuted. */
  [[nodiscard]] std::set<std::uint64_t> endpointsOf(Fingerprint candidate) const;

  /** Returns the newest reports that a receiver needs and advances its cursor. */
  [[nodiscard]] std::vector<CrashReport> reportsFor(Time now, ResendCursor& cursor) const;

  /** Returns the reports that were added or refuted at @p since or later, the newest first. */
  [[nodiscard]] std::vector<CrashReport> changedSince(Time now, Time since) const;

  /** Returns all records by the identity of their reports. */
  [[nodiscard]] const std::map<std::uint64_t, Record>& records() const { return records_; }

  /** Increases with each change of the set. */
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
  template<typename Predicate>
  [[nodiscard]] std::vector<CrashReport> newestOf(Time now, Predicate isWanted) const;
  void evictOldest();

  std::map<std::uint64_t, Record> records_;
  std::uint64_t revision_ = 0;
};

} // namespace figchute::fleet
