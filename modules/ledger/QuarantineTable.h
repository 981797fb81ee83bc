#pragma once

#include "ledger/ControlState.h"

#include <map>
#include <set>
#include <utility>

namespace figchute::ledger::detail {

/** The crashes of one fingerprint. */
struct CrashEntry
{
  std::set<std::pair<RequestId, EndpointId>> reports;
  std::uint64_t crashes = 0;
  Time lastCrashAt;
  Time until;

  MSGPACK_DEFINE(reports, crashes, lastCrashAt, until)
};

/** Stores the fingerprints of requests that were running when their endpoint crashed.
    Thread safety: use one instance from one thread only. */
class QuarantineTable
{
public:
  CrashResult addReport(Time time, const CrashReport& command);

  /** Removes fingerprints whose last crash is more than an hour old. */
  void expire(Time time);

  [[nodiscard]] std::uint64_t revision() const { return revision_; }
  [[nodiscard]] std::vector<QuarantineEntry> entries(Time now) const;

  MSGPACK_DEFINE(revision_, crashes_)

private:
  std::uint64_t revision_ = 0;
  std::map<Fingerprint, CrashEntry> crashes_;
};

} // namespace figchute::ledger::detail
