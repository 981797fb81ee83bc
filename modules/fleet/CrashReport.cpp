#include "fleet/CrashReport.h"

#include <xxhash.h>

namespace figchute::fleet {

std::uint64_t idOf(const CrashReport& report)
{
  const auto bytes = report.candidates.size() * sizeof(Fingerprint);
  return XXH3_64bits_withSeed(report.candidates.data(), bytes, report.endpoint);
}

bool isValid(const CrashReport& report)
{
  return !report.candidates.empty() && report.candidates.size() <= kMaxCrashCandidates;
}

} // namespace figchute::fleet
