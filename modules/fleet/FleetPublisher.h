#pragma once

#include "core/core.h"
#include "fleet/AnnouncementDesk.h"
#include "fleet/FleetState.h"
#include "fleet/Messages.h"

#include <map>
#include <set>
#include <utility>
#include <vector>

namespace figchute::fleet {

/** Tells the subscribed entry processes what a control process knows of the fleet, and exchanges
   with the other control processes what each heard. Thread safety: use one instance from one thread
   only. */
class FleetPublisher
{
public:
  /** Pause between two updates, and between two batches to the other control processes. */
  static constexpr Duration kInterval = std::chrono::seconds(1);
  /** A subscriber, and what another control process told, is forgotten after this silence. */
  static constexpr Duration kForgetAfter = std::chrono::seconds(4);
  /** A configuration is not sent again to the same subscriber within this time: its next message
     may have crossed the update, and configurations may be megabytes. */
  static constexpr Duration kConfigurationInFlight = std::chrono::milliseconds(200);
  /** Counts of crashes are forgotten when no reporter has named them for this time. */
  static constexpr Duration kCrashMemory = std::chrono::seconds(60);

  /** @param self   this process
      @param state  its replicated state; outlives the publisher
      @param desk   its announcement desk; outlives the publisher */
  FleetPublisher(ProcessId self, const FleetState& state, AnnouncementDesk& desk);

  /** Handles a message; a FleetUpdate is ignored. */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Sends what changed. Call it after entries were applied or a snapshot was restored. */
  void publishChanges(Time now);

  /** Sets the members of the log and its leader; an empty leader is unknown. */
  void setControls(Time now, std::vector<ProcessId> controls, ProcessId leader);

  /** Tells whether this process is in contact with a leader that has a majority; subscribers learn
     a change at once. */
  void setLeaderContact(Time now, bool contact);

  /** Sends what is due and forgets silent processes. Call it about every 100 ms. */
  void tick(Time now);

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing() { return std::exchange(outgoing_, {}); }

  /** Returns the subscribers of this process. */
  [[nodiscard]] std::vector<EntryProcess> subscribers() const;

  /** Returns the entry processes that subscribe at any control process, ordered by id. */
  [[nodiscard]] std::vector<EntryProcess> entryProcesses() const;

private:
  struct Subscriber
  {
    Incarnation incarnation;
    ZoneId zone;
    /** Digest of the entry processes that the subscriber knows. */
    std::uint64_t entriesDigest = 0;
    /** What it has when no update was lost since its last message; its next one tells. */
    std::uint64_t configurationVersion = 0;
    std::uint64_t endpointRevision = 0;
    Time configurationSent;
    Time lastHeard;
    Time lastSent;
  };

  /** What another control process told. */
  struct Peer
  {
    Time lastHeard;
    std::vector<EntryProcess> subscribers;
  };

  struct Counted
  {
    std::uint64_t crashes = 0;
    Time lastNamed;
    /** Named by the reporter itself, not by another control process. */
    bool direct = false;
  };

  void handle(Time now, const ProcessId& from, const Subscribe& message);
  void handle(Time now, const ProcessId& from, const Unsubscribe& message);
  void handle(Time now, const ProcessId& from, const FleetUpdate& message);
  void handle(Time now, const ProcessId& from, const HeardBatch& message);
  bool count(Time now, const HolderId& reporter, const CrashCount& crash, bool direct);
  [[nodiscard]] std::vector<CrashCount> crashesOfOthers(const ProcessId& receiver) const;
  void addConfiguration(Time now, Subscriber& subscriber, FleetUpdate& update) const;
  void addEndpoints(const Subscriber& subscriber, FleetUpdate& update) const;
  void send(Time now, const ProcessId& to, Subscriber& subscriber);
  void sendToAll(Time now);
  void sendBatches(Time now);
  void forget(Time now);

  ProcessId self_;
  const FleetState* state_;
  AnnouncementDesk* desk_;
  std::vector<ProcessId> controls_;
  ProcessId leader_;
  bool leaderContact_ = false;
  std::map<ProcessId, Subscriber> subscribers_;
  std::map<ProcessId, Peer> peers_;
  /** By fingerprint and reporter. */
  std::map<std::pair<std::uint64_t, HolderId>, Counted> crashes_;
  std::uint64_t publishedVersion_ = 0;
  std::uint64_t publishedRevision_ = 0;
  Time nextBatch_;
  std::vector<Outgoing> outgoing_;
};

} // namespace figchute::fleet
