#include "dispatch/CrashCauses.h"

#include <algorithm>
#include <optional>
#include <set>
#include <tuple>
#include <utility>

namespace figchute::dispatch {
namespace {

using Record = fleet::CrashReportStore::Record;

/** What the unexplained crashes tell about one candidate. */
struct Evidence
{
  std::set<std::uint64_t> endpoints;
  Time lastCrashAt;
  /** Position in the longest prompt; a later part is shared by fewer requests. */
  std::size_t position = 0;
};

std::map<Fingerprint, Evidence> collectEvidence(const fleet::CrashReportStore& reports,
                                                const std::set<std::uint64_t>& explainedEndpoints)
{
  std::map<Fingerprint, Evidence> evidence;
  for (const auto& [id, record] : reports.records()) {
    const auto& report = record.report;
    if (explainedEndpoints.contains(report.endpoint)) {
      continue;
    }
    for (std::size_t i = 0; i < report.candidates.size(); ++i) {
      if (report.isRefuted(i)) {
        continue;
      }
      auto& candidate = evidence[report.candidates[i]];
      candidate.endpoints.insert(report.endpoint);
      candidate.lastCrashAt = std::max(candidate.lastCrashAt, record.firstSeenAt);
      candidate.position = std::max(candidate.position, i);
    }
  }
  return evidence;
}

} // namespace

std::map<Fingerprint, CrashCause> findCrashCauses(const fleet::CrashReportStore& reports,
                                                  std::size_t minCrashes)
{
  std::map<Fingerprint, CrashCause> causes;
  std::set<std::uint64_t> explainedEndpoints;
  while (true) {
    const auto evidence = collectEvidence(reports, explainedEndpoints);
    const auto strongest = std::max_element(
      evidence.begin(), evidence.end(), [minCrashes](const auto& a, const auto& b) {
        const auto rank = [minCrashes](const Evidence& item) {
          return std::tuple(
            item.endpoints.size() >= minCrashes, item.position, item.endpoints.size());
        };
        return rank(a.second) < rank(b.second);
      });
    if (strongest == evidence.end() || strongest->second.endpoints.size() < minCrashes) {
      return causes;
    }
    const auto& [candidate, found] = *strongest;
    causes[candidate] = { found.endpoints.size(), found.lastCrashAt };
    explainedEndpoints.insert(found.endpoints.begin(), found.endpoints.end());
  }
}

} // namespace figchute::dispatch
