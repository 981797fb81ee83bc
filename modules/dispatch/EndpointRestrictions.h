#pragma once

#include "core/Types.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace figchute::dispatch {

/** What endpoints asked of this process in their answers: no further requests because they leave,
    or none for some time (back-off).

    A restriction applies to one incarnation of an endpoint and survives the removal of its record.
    An announcement does not end it, because the endpoint may have sent the announcement before the
    answer. A restarted endpoint, or another one at the same address, is not restricted.
    Thread safety: use one instance from one thread only. */
class EndpointRestrictions
{
public:
  /** Longer back-offs are shortened to this time. */
  static constexpr Duration kMaxBackoff = std::chrono::hours(1);
  /** How long a leaving endpoint is remembered after its last answer. */
  static constexpr Duration kLeavingRetention = std::chrono::hours(1);

  /** Records an answer that said that the endpoint leaves.
      @param incarnation  Endpoint::incarnation
      @returns whether it was the first one */
  bool recordLeaving(Time now, std::uint64_t incarnation);

  /** Records an answer that asked for no requests for some time. An earlier back-off that ends
      later remains in force.
      @param duration  at least 0
      @returns whether the endpoint had no back-off before */
  bool recordBackoff(Time now, std::uint64_t incarnation, Duration duration);

  /** Returns whether the endpoint said that it leaves. */
  [[nodiscard]] bool isLeaving(std::uint64_t incarnation) const;

  /** Returns when the back-off of an endpoint ends; nothing if it has none. */
  [[nodiscard]] std::optional<Time> backoffEnd(Time now, std::uint64_t incarnation) const;

  /** Returns whether this process may send a request to the endpoint. */
  [[nodiscard]] bool maySend(Time now, std::uint64_t incarnation) const;

  /** Removes restrictions that have ended. */
  void expire(Time now);

  /** Returns the number of restricted incarnations. */
  [[nodiscard]] std::size_t size() const { return restrictions_.size(); }

private:
  struct Restriction
  {
    /** Time of the last answer that said that the endpoint leaves. */
    std::optional<Time> leavingAt;
    Time backoffEnd;
  };

  std::map<std::uint64_t, Restriction> restrictions_;
};

} // namespace figchute::dispatch
