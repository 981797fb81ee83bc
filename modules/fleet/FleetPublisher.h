#pragma once

#include "core/core.h"
#include "fleet/AnnouncementTracker.h"
#include "fleet/ByteDelta.h"
#include "fleet/CrashReportStore.h"
#include "fleet/FleetState.h"
#include "fleet/Messages.h"
#include "fleet/RateLimitStore.h"

#include <map>
#include <optional>
#include <utility>
#include <vector>

namespace figchute::fleet {

/** What a publisher did for its subscribers. */
struct PublisherCounts
{
  std::uint64_t updates = 0;
  /** Updates with a list of the entry processes, and the processes that these lists name. */
  std::uint64_t entryLists = 0;
  std::uint64_t listedEntries = 0;
  /** How often the list of all entry processes was built. */
  std::uint64_t builtLists = 0;
  std::uint64_t subscriptions = 0;
};

/** Sends the state of the fleet from a control process to the subscribed entry processes, and
    exchanges reports with the other control processes.
    Thread safety: use one instance from one thread only. */
class FleetPublisher
{
public:
  /** Interval between two updates to a subscriber, and between two reports to the other control
      processes. */
  static constexpr Duration kInterval = std::chrono::seconds(1);
  /** Interval at which a subscriber gets the request rates while there are rate limits. */
  static constexpr Duration kRequestRateInterval = std::chrono::seconds(4);
  /** Subscribers and the reports of other control processes are removed after this time without a
      message. */
  static constexpr Duration kSilenceTimeout = std::chrono::seconds(4);
  /** A configuration is not sent again to a subscriber within this time: its next message may have
      been sent before it received the update, and configurations can be several megabytes. */
  static constexpr Duration kConfigurationResendDelay = std::chrono::milliseconds(200);
  /** Changes that follow each other are sent together, at this interval: an update to all
     subscribers for each change would cost the number of changes times the number of subscribers.
   */
  static constexpr Duration kPublishInterval = std::chrono::milliseconds(40);

  /** @param self                 id of this process
      @param state                replicated state of this process; must outlive this object
      @param announcementTracker  announcement tracker of this process; must outlive this object */
  FleetPublisher(ProcessId self, const FleetState& state, AnnouncementTracker& announcementTracker);

  /** Handles a message. A FleetUpdate is ignored. */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Sends changes of the replicated state, with the next tick if others were sent less than
      kPublishInterval ago. Call it after log entries were applied or a snapshot was restored. */
  void publishChanges(Time now);

  /** Sets the members of the log and its leader; the leader is empty if it is unknown. */
  void setControls(Time now, std::vector<ProcessId> controls, ProcessId leader);

  /** Sets whether this process is in contact with a leader that has a majority. A change is sent to
      the subscribers immediately. */
  void setLeaderContact(Time now, bool contact);

  /** Sends due messages and removes processes that stopped sending. Call it about every 100 ms. */
  void tick(Time now);

  /** Returns when tick() has to be called for changes that wait for kPublishInterval; nothing if
     there are none. */
  [[nodiscard]] std::optional<Time> publishDueAt() const;

  /** Returns the messages to send and clears them. */
  std::vector<OutgoingMessage> takeOutgoing() { return std::exchange(outgoing_, {}); }

  /** Returns the counts since the last call and starts again at 0. */
  PublisherCounts takeCounts() { return std::exchange(counts_, {}); }

  /** Returns the subscribers of this process. */
  [[nodiscard]] std::vector<EntryProcess> subscribers() const;

  /** Returns the entry processes that subscribe to any control process, ordered by id. */
  [[nodiscard]] std::vector<EntryProcess> entryProcesses() const;

private:
  struct Subscriber
  {
    Incarnation incarnation;
    ZoneId zone;
    /** Digest of the entry processes that the subscriber has. */
    std::uint64_t entriesDigest = 0;
    /** What the subscriber has if no update was lost since its last message. Its next message
        corrects this. */
    std::uint64_t configurationVersion = 0;
    std::uint64_t endpointRevision = 0;
    bool acceptsDeltas = false;
    Time configurationSentAt;
    Time lastMessageAt;
    Time lastSentAt;
    float requestsPerSecond = 0;
    Time ratesSentAt;
    /** Subscribe::sentAtMicros of its newest message. */
    std::int64_t sentAtMicros = 0;
    ResendCursor crashCursor;
    ResendCursor limitCursor;
  };

  /** Last report of another control process. */
  struct Peer
  {
    Time lastMessageAt;
    std::vector<EntryProcess> subscribers;
    std::vector<RequestRate> requestRates;
  };

  /** What another control process has been sent. */
  struct PeerCursors
  {
    ResendCursor crashes;
    ResendCursor limits;
  };

  /** The part of an update that is equal for all subscribers. */
  struct SharedUpdate
  {
    std::vector<EntryProcess> entries;
    std::uint64_t entriesDigest = 0;
  };

  void handle(Time now, const ProcessId& from, const Subscribe& message);
  void handle(Time now, const ProcessId& from, const Unsubscribe& message);
  void handle(Time now, const ProcessId& from, const FleetUpdate& message);
  void handle(Time now, const ProcessId& from, const PeerReport& message);
  // StreamOriginServer handles the messages on the origins of streams.
  void handle(Time /*now*/, const ProcessId& /*from*/, const StreamOriginReport& /*message*/) {}
  void handle(Time /*now*/, const ProcessId& /*from*/, const StreamOriginQuery& /*message*/) {}
  void handle(Time /*now*/, const ProcessId& /*from*/, const StreamOriginReply& /*message*/) {}
  /** Merges reports of a subscriber or of another control process.
      @returns whether one of them is new */
  bool mergeCrashReports(Time now, const std::vector<CrashReport>& reports);

  /** Returns the request rates of the subscribers of this process. */
  [[nodiscard]] std::vector<RequestRate> subscriberRates() const;

  /** Returns the request rates of all entry processes. */
  [[nodiscard]] std::vector<RequestRate> requestRates() const;

  /** Merges rate limits that a subscriber or another control process observed.
      @returns whether a limit began, changed or ended */
  bool mergeLimits(Time now, const std::vector<RateLimit>& limits);
  void addConfiguration(Time now, Subscriber& subscriber, FleetUpdate& update);
  [[nodiscard]] const ByteDelta* findDelta(std::uint64_t baseVersion);
  void addEndpoints(const Subscriber& subscriber, FleetUpdate& update) const;
  [[nodiscard]] SharedUpdate makeSharedUpdate();
  void send(Time now, const ProcessId& to, Subscriber& subscriber, const SharedUpdate& shared);
  [[nodiscard]] bool hasUnpublishedChanges() const;
  /** Sends changes to all subscribers unless others were sent less than kPublishInterval ago.
      @returns whether they were sent */
  bool publishIfDue(Time now);
  template<typename Predicate>
  void sendTo(Time now, Predicate isReceiver);
  void sendToAll(Time now);
  void sendPeerReports(Time now);
  void removeExpired(Time now);

  ProcessId self_;
  const FleetState* state_;
  AnnouncementTracker* announcementTracker_;
  std::vector<ProcessId> controls_;
  ProcessId leader_;
  bool leaderContact_ = false;
  std::map<ProcessId, Subscriber> subscribers_;
  std::map<ProcessId, Peer> peers_;
  CrashReportStore crashes_;
  /** The reports of subscribers of this process, which the other control processes get. */
  CrashReportStore subscriberCrashes_;
  RateLimitStore limits_;
  /** The limits that subscribers of this process observed, which the other control processes get.
   */
  RateLimitStore subscriberLimits_;
  std::map<ProcessId, PeerCursors> peerCursors_;
  std::uint64_t publishedVersion_ = 0;
  std::uint64_t publishedRevision_ = 0;
  std::uint64_t publishedEvacuations_ = 0;
  Time nextPublishAt_;
  /** Crashes or limits were reported since changes were sent last. */
  bool hasNewReports_ = false;
  /** As hasNewReports_, for reports of the subscribers of this process. */
  bool hasNewSubscriberReports_ = false;
  /** Deltas to deltaVersion_ by base version; nothing where the whole configuration is sent. */
  std::map<std::uint64_t, std::optional<ByteDelta>> deltas_;
  std::uint64_t deltaVersion_ = 0;
  Time nextPeerReportAt_;
  PublisherCounts counts_;
  std::vector<OutgoingMessage> outgoing_;
};

} // namespace figchute::fleet
