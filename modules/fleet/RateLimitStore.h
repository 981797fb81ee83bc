#pragma once

#include "core/Types.h"
#include "fleet/RateLimit.h"
#include "fleet/ResendCursor.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace figchute::fleet {

/** The newest limit that each endpoint named, as observed by any process. Merging is idempotent and
    does not depend on the order of messages.
    Thread safety: use one instance from one thread only. */
class RateLimitStore
{
public:
  /** A limit is removed this long after the last answer of its endpoint, and an ended one after
      kEndedRetention. */
  static constexpr Duration kRetention = std::chrono::seconds(300);
  static constexpr Duration kEndedRetention = std::chrono::seconds(20);
  static constexpr std::size_t kMaxLimits = 4096;

  struct Record
  {
    RateLimit limit;
    /** When any process received the answer. */
    Time observedAt;
    /** Revision of the store when the limit last began, changed or ended. */
    std::uint64_t revision = 0;
  };

  /** Adds an observation. Malformed ones, and older ones than the known one, are ignored.
      @returns whether a limit began, changed or ended */
  bool merge(Time now, const RateLimit& limit);

  /** Removes expired limits. */
  void expire(Time now);

  /** Returns the limits that a receiver needs and advances its cursor. */
  [[nodiscard]] std::vector<RateLimit> limitsFor(Time now, ResendCursor& cursor) const;

  /** Returns the limits observed at @p since or later. */
  [[nodiscard]] std::vector<RateLimit> observedSince(Time now, Time since) const;

  /** Returns whether any endpoint is limited or was until recently. */
  [[nodiscard]] bool hasLimits() const { return !records_.empty(); }

  /** Returns the record of an endpoint, or nullptr. */
  [[nodiscard]] const Record* find(std::uint64_t endpoint) const;

  /** Increases whenever a limit begins, changes or ends. */
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
  std::map<std::uint64_t, Record> records_;
  std::uint64_t revision_ = 0;
};

} // namespace figchute::fleet
