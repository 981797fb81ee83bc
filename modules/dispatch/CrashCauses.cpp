#include "dispatch/CrashCauses.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace figchute::dispatch {
namespace {

/** What the unexplained crashes tell about one candidate. */
struct Evidence
{
  /** Endpoints that crashed; those that crashed with the same request as a cause count as one. */
  std::set<std::uint64_t> crashes;
  Time lastCrashAt;
  /** Position in the longest prompt; a later part is shared by fewer requests. */
  std::size_t position = 0;
  /** No report names anything more specific. */
  bool isMostSpecific = true;
};

/** The crashes of endpoints that the causes found so far explain. */
struct Explanations
{
  /** Endpoints that a prompt part crashed. */
  std::set<std::uint64_t> byPart;
  /** The whole request with which an endpoint crashed. It may be one of several that crash
      endpoints because of a part that they share. */
  std::map<std::uint64_t, Fingerprint> byRequest;
};

std::map<Fingerprint, Evidence> collectEvidence(const fleet::CrashReportStore& reports,
                                                const Explanations& explanations)
{
  std::map<Fingerprint, Evidence> evidence;
  for (const auto& [id, record] : reports.records()) {
    const auto& report = record.report;
    if (explanations.byPart.contains(report.endpoint)) {
      continue;
    }
    const auto request = explanations.byRequest.find(report.endpoint);
    const bool isExplained = request != explanations.byRequest.end();
    if (isExplained && report.candidates.back() != request->second) {
      continue;
    }
    for (std::size_t i = 0; i < report.candidates.size(); ++i) {
      if (report.isRefuted(i)) {
        continue;
      }
      auto& candidate = evidence[report.candidates[i]];
      candidate.crashes.insert(isExplained ? request->second : report.endpoint);
      candidate.lastCrashAt = std::max(candidate.lastCrashAt, record.firstSeenAt);
      candidate.position = std::max(candidate.position, i);
      candidate.isMostSpecific &= i + 1 == report.candidates.size();
    }
  }
  return evidence;
}

/** Returns the most specific candidate with enough crashes, or the end. */
std::map<Fingerprint, Evidence>::const_iterator findCause(
  const std::map<Fingerprint, Evidence>& evidence,
  std::size_t minCrashes)
{
  const auto rank = [minCrashes](const Evidence& item) {
    return std::tuple(item.crashes.size() >= minCrashes, item.position, item.crashes.size());
  };
  const auto strongest =
    std::max_element(evidence.begin(), evidence.end(), [&](const auto& a, const auto& b) {
      return rank(a.second) < rank(b.second);
    });
  const bool isCause =
    strongest != evidence.end() && strongest->second.crashes.size() >= minCrashes;
  return isCause ? strongest : evidence.end();
}

/** Adds the crashes that a cause explains. */
void explain(const fleet::CrashReportStore& reports,
             Fingerprint cause,
             bool isMostSpecific,
             Explanations& explanations)
{
  for (const auto endpoint : reports.endpointsOf(cause)) {
    if (isMostSpecific) {
      explanations.byRequest.try_emplace(endpoint, cause);
    } else {
      explanations.byPart.insert(endpoint);
    }
  }
}

} // namespace

std::map<Fingerprint, CrashCause> findCrashCauses(const fleet::CrashReportStore& reports,
                                                  std::size_t minCrashes)
{
  std::map<Fingerprint, CrashCause> causes;
  Explanations explanations;
  while (true) {
    const auto evidence = collectEvidence(reports, explanations);
    const auto found = findCause(evidence, minCrashes);
    if (found == evidence.end()) {
      return causes;
    }
    const auto& [candidate, item] = *found;
    causes[candidate] = { item.crashes.size(), item.lastCrashAt };
    explain(reports, candidate, item.isMostSpecific, explanations);
  }
}

} // namespace figchute::dispatch
