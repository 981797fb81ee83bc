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

/** Processes the announcements of endpoints at a control process and detects endpoints that stopped
    announcing themselves.
    Thread safety: use one instance from one thread only. */
class AnnouncementTracker
{
public:
  /** An endpoint expires after this time without an announcement. */
  static constexpr Duration kExpiryTimeout = std::chrono::seconds(6);
  /** The expiry of an endpoint is proposed again after this time. */
  static constexpr Duration kProposalRetryInterval = std::chrono::seconds(1);
  /** A longer interval between two calls of proposeExpirations() restarts the timers: a process
      that was suspended has received no announcements in that time. */
  static constexpr Duration kMaxCheckInterval = std::chrono::seconds(2);
  /** Announcements received within this time are reported to the other processes. The time covers
      several reports, so a single lost one has no effect. */
  static constexpr Duration kReportWindow = std::chrono::milliseconds(2500);
  /** A warm-up that ends later than announced before by more than this began again. Announcements
      are delayed by different times. */
  static constexpr Duration kWarmupTolerance = std::chrono::milliseconds(500);
  /** The state of an endpoint without a record is kept for this time. */
  static constexpr Duration kStateRetention = std::chrono::seconds(60);

  /** @param state  the replicated state of this process; must outlive this object */
  explicit AnnouncementTracker(const FleetState& state)
    : state_(&state)
  {
  }

  /** Handles an announcement.
      @returns the command that must be committed before the announcement is acknowledged; nothing
               if it can be acknowledged immediately */
  std::optional<EndpointCommand> announce(Time now, const Announcement& announcement);

  /** Handles an endpoint's request to be removed.
      @returns the command that must be committed before the request is acknowledged; nothing if it
               can be acknowledged immediately */
  [[nodiscard]] std::optional<EndpointCommand> withdraw(const EndpointId& id) const;

  /** Adds announcements that another control process received. */
  void mergeAnnouncements(Time now, std::span<const ReceivedAnnouncement> announcements);

  /** Returns the endpoints that recently announced themselves to this process, to be reported to
      the other control processes. */
  [[nodiscard]] std::vector<ReceivedAnnouncement> recentAnnouncements(Time now) const;

  /** Sets whether this process is the leader of the log. */
  void setLeader(Time now, bool leader);

  /** Returns the commands to propose for endpoints that stopped announcing themselves; empty if
      this process is not the leader. Call it several times a second. */
  std::vector<ExpireEndpoint> proposeExpirations(Time now);

private:
  /** Identifies an incarnation of an endpoint: its id and start time. */
  using IncarnationKey = std::pair<EndpointId, std::int64_t>;

  /** Announcements received for one incarnation. */
  struct IncarnationState
  {
    std::uint64_t sequence = 0;
    /** The registry contains the content of the announcement with @ref sequence. */
    bool committed = false;
    Time lastAnnouncedAt;
    /** Time of the last announcement to this process. */
    std::optional<Time> lastReceivedHereAt;
    std::optional<Time> proposedAt;
    /** The end of the warm-up in the record with @ref warmupRevision, up to a second too late if
        another process received the announcement. */
    Time warmupEnd{};
    std::uint64_t warmupRevision = 0;
    /** The end and the sequence of an announcement that may not be committed yet. */
    std::optional<Time> newWarmupEnd{};
    std::uint64_t newWarmupSequence = 0;
  };

  [[nodiscard]] bool isSuperseded(const Announcement& announcement) const;
  /** Returns whether a warm-up began again that the registry does not contain. The registry cannot
      tell it from one that goes on, because it does not know when it was announced. */
  bool startsWarmup(Time now,
                    const Announcement& announcement,
                    AnnouncementEffect effect,
                    IncarnationState& state) const;
  static void updateWarmupEnd(Time now, const EndpointRecord& record, IncarnationState& state);
  IncarnationState& recordAnnouncement(Time lastAnnouncedAt,
                                       const IncarnationKey& key,
                                       std::uint64_t sequence,
                                       bool committed);
  void restartTimers(Time now);

  const FleetState* state_;
  std::map<IncarnationKey, IncarnationState> incarnations_;
  bool leader_ = false;
  Time timersStartedAt_;
  Time lastCheckAt_;
};

} // namespace figchute::fleet
