#pragma once

#include "core/Fingerprint.h"
#include "wire/Codec.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace figchute::fleet {

/** Maximum number of candidates of a report; limited by the bits of CrashReport::refuted. */
constexpr std::size_t kMaxCrashCandidates = 32;

/** Evidence that an endpoint crashed while it ran a request: the fingerprints of what may have
    caused the crash. Reports are never revoked, only refuted, so they can be merged in any order.
 */
struct CrashReport
{
  /** Identifies the endpoint and its incarnation. */
  std::uint64_t endpoint = 0;
  /** At most kMaxCrashCandidates, ordered from the part that most requests share to the whole
      request. */
  std::vector<Fingerprint> candidates;
  /** Bit i is set if a request with candidate i has been answered since the crash. */
  std::uint32_t refuted = 0;
  /** Time since the crash was reported first, in ms, when the message was sent. */
  std::int64_t ageMs = 0;
  MSGPACK_DEFINE(endpoint, candidates, refuted, ageMs)

  [[nodiscard]] bool isRefuted(std::size_t candidate) const
  {
    return (refuted >> candidate & 1U) != 0;
  }
};

/** Returns the identity of a report: its endpoint and candidates. Safe from any thread. */
std::uint64_t idOf(const CrashReport& report);

/** Returns whether a received report is well-formed. Safe from any thread. */
bool isValid(const CrashReport& report);

} // namespace figchute::fleet
