#include "dispatch/SubjectRates.h"

#include <algorithm>
#include <cmath>

namespace figchute::dispatch {
namespace {

constexpr Duration kMemory = std::chrono::seconds(10);
constexpr std::size_t kFewestHomes = 2;
/** Part of an engine's time that the requests of one subject may take. More of it makes queues of
    prompts that stop the streams there for longer than a pause may be. */
constexpr double kPartOfEngine = 0.2;
constexpr std::size_t kEntriesToPrune = 1024;
constexpr double kNegligible = 1e-4;

} // namespace

void SubjectRates::add(Time now, Fingerprint subject, Duration reading)
{
  if (readings_.size() > kEntriesToPrune) {
    prune(now);
  }
  auto& sum = readings_.try_emplace(subject, kMemory).first->second;
  sum.add(now, static_cast<double>(reading.count()) * 1e-6);
}

std::size_t SubjectRates::homes(Time now, Fingerprint subject, double share) const
{
  const auto found = readings_.find(subject);
  if (found == readings_.end()) {
    return kFewestHomes;
  }
  const double engines = found->second.perSecond(now) / share / kPartOfEngine;
  return std::max(kFewestHomes, static_cast<std::size_t>(std::ceil(engines)));
}

void SubjectRates::prune(Time now)
{
  std::erase_if(readings_, [&](const auto& entry) { return entry.second.at(now) < kNegligible; });
  if (readings_.size() > kEntriesToPrune) {
    readings_.clear();
  }
}

} // namespace figchute::dispatch
