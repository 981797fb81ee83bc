#pragma once

#include "core/core.h"
#include "fleet/FleetState.h"
#include "fleet/Messages.h"

#include <map>
#include <optional>
#include <span>
#include <utility>
#include <vector>

namespace figchute::fleet {

/** Decides on announcements at a control process and finds endpoints that went silent.
    Thread safety: use one instance from one thread only. */
class AnnouncementDesk
{
public:
  /** An endpoint expires after this time without an announcement. */
  static constexpr Duration kExpireAfter = std::chrono::seconds(6);
  /** A proposal to expire an endpoint is listed again after this time. */
  static constexpr Duration kProposeAgainAfter = std::chrono::seconds(1);
  /** A longer pause between two calls of expired() restarts the timers: a process that was stopped
      has heard nobody in that time. */
  static constexpr Duration kLongestPause = std::chrono::seconds(2);
  /** Endpoints heard within this time are reported, so that one lost batch does no harm. */
  static constexpr Duration kReportWindow = std::chrono::milliseconds(2500);
  /** What was heard of an endpoint without a record is kept this long. */
  static constexpr Duration kForgetAfter = std::chrono::seconds(60);

  /** @param state  the replicated state of this process; outlives the desk */
  explicit AnnouncementDesk(const FleetState& state)
    : state_(&state)
  {
  }

  /** Handles an announcement.
      @returns the command whose commit is to be awaited before the acknowledgement; nothing when
     the announcement is to be acknowledged at once */
  std::optional<EndpointCommand> announce(Time now, const Announcement& announcement);

  /** Handles the removal that an endpoint asks for.
      @returns as announce() */
  [[nodiscard]] std::optional<EndpointCommand> withdraw(const RemoveEndpoint& command) const;

  /** Takes in what another control process heard. */
  void heard(Time now, std::span<const Heard> batch);

  /** Returns the endpoints that announced themselves here lately, for the other processes. */
  [[nodiscard]] std::vector<Heard> recent(Time now) const;

  /** Tells whether this process leads the log. */
  void setLeader(Time now, bool leader);

  /** Returns the commands to propose for endpoints that went silent; none unless this process
     leads. Call it several times a second. */
  std::vector<ExpireEndpoint> proposeExpirations(Time now);

private:
  /** An id with the start of the incarnation. */
  using IncarnationKey = std::pair<EndpointId, std::int64_t>;

  /** What was heard of one incarnation. */
  struct Seen
  {
    std::uint64_t sequence = 0;
    /** The registry held what the announcement with @ref sequence said. */
    bool settled = false;
    Time last;
    /** Last announcement to this process. */
    std::optional<Time> here;
    std::optional<Time> proposed;
  };

  [[nodiscard]] bool isSuperseded(const Announcement& announcement) const;
  Seen& note(Time last, const IncarnationKey& key, std::uint64_t sequence, bool settled);
  void restartTimers(Time now);

  const FleetState* state_;
  std::map<IncarnationKey, Seen> seen_;
  bool leader_ = false;
  Time countFrom_;
  Time lastLook_;
};

} // namespace figchute::fleet
