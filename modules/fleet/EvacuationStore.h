#pragma once

#include "fleet/Commands.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace figchute::fleet {

/** The maximum length of the name of an availability zone in an evacuation order. */
constexpr std::size_t kMaxZoneName = 64;

/** Returns whether a text can name a zone in the path of an evacuation order without escaping: 1 to
    kMaxZoneName ASCII letters, digits, `-`, `_`, `.` and `:`. Thread safety: safe from any thread.
 */
bool isZoneName(std::string_view text);

/** The evacuated availability zones, as part of the replicated state.
    Thread safety: use one instance from one thread only. */
class EvacuationStore
{
public:
  /** The number of orders whose ids are kept. A proposer repeats an order for less than 1 s, in
      which an operator issues only a few. */
  static constexpr std::size_t kMaxRecentOrders = 64;

  /** Applies an order. One with the id of a recent order changes nothing.
      @param index  the index of the log entry
      @returns whether the set changed */
  bool apply(std::uint64_t index, const SetEvacuation& order);

  /** Returns the index of the log entry that last changed the set; 0 if none did. */
  [[nodiscard]] std::uint64_t revision() const { return revision_; }

  /** Returns the evacuated zones in order of their names. */
  [[nodiscard]] const std::vector<ZoneId>& zones() const { return zones_; }

  [[nodiscard]] bool contains(const ZoneId& zone) const;

  MSGPACK_DEFINE(revision_, zones_, recentOrders_)

private:
  std::uint64_t revision_ = 0;
  std::vector<ZoneId> zones_;
  /** Ids of the last orders, the oldest first. */
  std::deque<std::uint64_t> recentOrders_;
};

} // namespace figchute::fleet
