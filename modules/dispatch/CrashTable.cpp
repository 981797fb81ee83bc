#include "dispatch/CrashTable.h"

#include <algorithm>
#include <fmt/format.h>
#include <utility>

namespace figchute::dispatch {
namespace {

/** If the immediate connection attempt times out, a crash is detected by missing announcements,
    which takes up to 6 s. */
constexpr Duration kSuspectLifetime = std::chrono::seconds(7);
constexpr std::size_t kMaxSuspects = 1024;

/** Returns the candidates of a report: the most specific ones if there are too many. */
std::vector<Fingerprint> reportedCandidates(const CrashCandidates& candidates, bool isAnswering)
{
  std::vector<Fingerprint> reported;
  if (!isAnswering) {
    const auto& parts = candidates.parts;
    const auto count = std::min(parts.size(), fleet::kMaxCrashCandidates - 1);
    reported.assign(parts.end() - static_cast<std::ptrdiff_t>(count), parts.end());
  }
  if (candidates.request != 0) {
    reported.push_back(candidates.request);
  }
  return reported;
}

Duration refusalTime(std::size_t crashes)
{
  constexpr std::size_t kMaxDoublings = 2;
  const auto doublings = std::min(crashes - CrashTable::kCrashLimit, kMaxDoublings);
  return std::min(CrashTable::kRefusalTime * (1 << doublings), CrashTable::kMaxRefusalTime);
}

} // namespace

void CrashTable::addSuspect(Time now,
                            const EndpointKey& endpoint,
                            const CrashCandidates& candidates,
                            bool isAnswering)
{
  auto reported = reportedCandidates(candidates, isAnswering);
  const bool isAlreadySuspect =
    std::any_of(suspects_.begin(), suspects_.end(), [&](const Suspect& suspect) {
      return suspect.endpoint.handle == endpoint.handle && suspect.candidates == reported;
    });
  if (!reported.empty() && !isAlreadySuspect && suspects_.size() < kMaxSuspects) {
    suspects_.push_back({ endpoint, std::move(reported), now });
  }
}

void CrashTable::clearSuspects(std::size_t handle, Time sentAt)
{
  std::erase_if(suspects_, [&](const Suspect& suspect) {
    return suspect.endpoint.handle == handle && suspect.lostAt <= sentAt;
  });
}

void CrashTable::confirmSuspects(Time now, std::size_t handle)
{
  for (const auto& suspect : suspects_) {
    if (suspect.endpoint.handle == handle) {
      recordCrash(now, suspect);
    }
  }
  std::erase_if(suspects_,
                [&](const Suspect& suspect) { return suspect.endpoint.handle == handle; });
}

bool CrashTable::hasSuspects(std::size_t handle) const
{
  return std::any_of(suspects_.begin(), suspects_.end(), [handle](const Suspect& suspect) {
    return suspect.endpoint.handle == handle;
  });
}

void CrashTable::recordCrash(Time now, const Suspect& suspect)
{
  fleet::CrashReport report{ suspect.endpoint.incarnation, suspect.candidates, 0 };
  reports_.merge(now, report);
  observedCrashes_.push_back({ std::move(report), now - suspect.lostAt });
}

void CrashTable::recordAnswer(Time now, const CrashCandidates& candidates)
{
  if (reports_.records().empty()) {
    return;
  }
  const auto refute = [&](Fingerprint candidate) {
    for (auto& report : reports_.refute(now, candidate)) {
      refutations_.push_back(std::move(report));
    }
    removeRefusal(candidate, "it was answered");
  };
  std::for_each(candidates.parts.begin(), candidates.parts.end(), refute);
  if (candidates.request != 0) {
    refute(candidates.request);
  }
}

void CrashTable::addReports(Time now, std::span<const fleet::CrashReport> reports)
{
  for (const auto& report : reports) {
    reports_.merge(now, report);
  }
}

std::size_t CrashTable::suspectedCrashes(const CrashCandidates& candidates) const
{
  const auto countCrashes = [this](Fingerprint candidate) {
    auto endpoints = reports_.endpointsOf(candidate);
    for (const auto& suspect : suspects_) {
      const auto& reported = suspect.candidates;
      if (std::find(reported.begin(), reported.end(), candidate) != reported.end()) {
        endpoints.insert(suspect.endpoint.incarnation);
      }
    }
    return endpoints.size();
  };
  std::size_t crashes = candidates.request == 0 ? 0 : countCrashes(candidates.request);
  for (const auto part : candidates.parts) {
    crashes = std::max(crashes, countCrashes(part));
  }
  return crashes;
}

std::optional<CrashRefusal> CrashTable::refusal(Time now, const CrashCandidates& candidates)
{
  updateRefusals(now);
  const auto remaining = [&](Fingerprint candidate) {
    const auto entry = refusedUntil_.find(candidate);
    return entry == refusedUntil_.end() ? Duration(0) : std::max(entry->second - now, Duration(0));
  };
  const auto remainingOfRequest = remaining(candidates.request);
  if (remainingOfRequest > Duration(0)) {
    return CrashRefusal{ remainingOfRequest, false };
  }
  for (const auto part : candidates.parts) {
    const auto remainingOfPart = remaining(part);
    if (remainingOfPart > Duration(0)) {
      return CrashRefusal{ remainingOfPart, true };
    }
  }
  return std::nullopt;
}

void CrashTable::updateRefusals(Time now)
{
  if (evaluatedRevision_ == reports_.revision()) {
    return;
  }
  evaluatedRevision_ = reports_.revision();
  const auto causes = findCrashCauses(reports_, kCrashLimit);
  for (const auto& [candidate, cause] : causes) {
    const auto until = cause.lastCrashAt + refusalTime(cause.crashes);
    auto& refusedUntil = refusedUntil_[candidate];
    if (until > refusedUntil && until > now) {
      events_.push_back(fmt::format("{:x} is refused after {} crashes", candidate, cause.crashes));
    }
    refusedUntil = std::max(refusedUntil, until);
  }
  std::vector<Fingerprint> cleared;
  for (const auto& [candidate, until] : refusedUntil_) {
    if (!causes.contains(candidate) && isCleared(candidate)) {
      cleared.push_back(candidate);
    }
  }
  for (const auto candidate : cleared) {
    removeRefusal(candidate, "its crashes have another cause or were refuted");
  }
}

bool CrashTable::isCleared(Fingerprint candidate) const
{
  if (reports_.endpointsOf(candidate).size() >= kCrashLimit) {
    return true;
  }
  // Without a refutation, reports were only evicted.
  return std::any_of(
    reports_.records().begin(), reports_.records().end(), [candidate](const auto& item) {
      const auto& report = item.second.report;
      const auto& candidates = report.candidates;
      const auto found = std::find(candidates.begin(), candidates.end(), candidate);
      return found != candidates.end() &&
             report.isRefuted(static_cast<std::size_t>(found - candidates.begin()));
    });
}

void CrashTable::removeRefusal(Fingerprint candidate, std::string_view reason)
{
  if (refusedUntil_.erase(candidate) > 0) {
    events_.push_back(fmt::format("{:x} is accepted again: {}", candidate, reason));
  }
}

void CrashTable::expire(Time now)
{
  std::erase_if(suspects_,
                [&](const Suspect& suspect) { return now - suspect.lostAt > kSuspectLifetime; });
  reports_.expire(now);
  std::erase_if(refusedUntil_, [now](const auto& item) { return item.second <= now; });
}

std::vector<ObservedCrash> CrashTable::takeCrashes()
{
  return std::exchange(observedCrashes_, {});
}

std::vector<fleet::CrashReport> CrashTable::takeRefutations()
{
  return std::exchange(refutations_, {});
}

std::vector<std::string> CrashTable::takeEvents()
{
  return std::exchange(events_, {});
}

} // namespace figchute::dispatch
