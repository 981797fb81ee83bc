#pragma once

#include "core/Random.h"
#include "core/Types.h"
#include "membership/Messages.h"
#include "routing/Messages.h"

#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <vector>

namespace figchute::membership {

/** Identity of the VM that owns a Membership, and its random seed. */
struct MembershipOptions
{
  ProcessId self;
  ZoneId zone;
  Incarnation incarnation;
  /** Seeds the choice of random probes. */
  std::uint64_t seed = 1;
};

/** An entry VM listed in the settings. */
struct KnownPeer
{
  ProcessId id;
  ZoneId zone;
};

/** One member with its state. */
struct MemberView
{
  ProcessId id;
  ZoneId zone;
  Incarnation incarnation;
  MemberState state = MemberState::alive;
};

/** Time between two heartbeats on one link. */
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
/** A neighbour that is silent for this long becomes suspect. Equals the time after which a
 * connection without acknowledgements is closed. */
constexpr Duration kSuspectAfter = std::chrono::seconds(2);
/** A suspect member that does not refute the suspicion within this time is declared dead. */
constexpr Duration kDeadAfter = std::chrono::seconds(3);

/** Tracks which entry VMs are live.

    The live VMs of a zone, sorted by id, form a binary tree whose root is the relay of the zone.
    Each VM exchanges heartbeats with its neighbours in the tree only, and the relays exchange
    heartbeats with each other, so a VM has a bounded number of links at any fleet size. A VM that
   receives nothing from a neighbour suspects it and states this in its heartbeats; the suspect
   refutes the suspicion with a larger version or is declared dead. A statement with a larger
   incarnation replaces all earlier ones. A heartbeat to one random suspect or dead member per
   second lets VMs that consider each other dead reconnect after a partition.

    The class does no I/O and reads no clock.
    Thread safety: use one instance from one thread at a time. */
class Membership
{
public:
  /** Creates the view of a VM that has just started; every known peer is assumed alive until it is
     found silent.
      @param options  identity of this VM
      @param known    the entry VMs in the settings, which may include this VM */
  Membership(MembershipOptions options, std::span<const KnownPeer> known);

  /** Detects silent neighbours and prepares heartbeats. Call it at least every
      100 ms.
      @param now  the current time */
  void tick(Time now);

  /** Handles a message.
      @param now      the current time
      @param from     the sender; heartbeats of an older incarnation are ignored
      @param message  the decoded message */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Returns the messages to send and removes them from the queue. */
  std::vector<OutgoingMessage> takeOutgoing();

  /** Returns the live VMs of this zone, including this VM, sorted by id. */
  [[nodiscard]] std::vector<ProcessId> liveInZone() const;

  /** Returns the live VMs of all zones, sorted by id. */
  [[nodiscard]] std::vector<ProcessId> live() const;

  /** Returns the relay of a zone: its live VM with the lowest id.
      @returns nullopt when the zone has no live VM */
  [[nodiscard]] std::optional<ProcessId> relayOf(const ZoneId& zone) const;

  /** Returns whether this VM is the relay of its zone. */
  [[nodiscard]] bool isRelay() const;

  /** Returns the VMs to send to: the neighbours in the zone, and for a relay the other relays.
      @param now  the current time */
  [[nodiscard]] std::vector<ProcessId> targets(Time now) const;

  /** Returns the peers that routing uses. */
  [[nodiscard]] routing::Peers peers() const;

  /** Returns all known VMs with their states, sorted by id. */
  [[nodiscard]] std::vector<MemberView> members() const;

private:
  struct Member
  {
    MemberUpdate statement;
    Time lastHeardAt;
    /** When the member became a heartbeat target. Silence is measured from then on, so a new target
     * has time to send its first heartbeat. */
    Time targetSince;
    Time suspectSince;
    /** Number of further heartbeats that will carry the statement. */
    std::uint32_t remainingSends = 0;
    /** Since when the member's view has differed from this one; 0 when they are equal. */
    Time viewDiffersSince;
  };

  void startOnce(Time now);
  void applyUpdate(Time now, const MemberUpdate& update);
  void replaceStatement(Time now, Member& member, const MemberUpdate& update);
  void refuteSuspicion(Time now, const MemberUpdate& update);
  void handleMessage(Time now, const ProcessId& from, const Heartbeat& heartbeat);
  void handleMessage(Time now, const ProcessId& from, const FullView& view);
  void compareFingerprints(Time now, Member& sender, std::uint32_t view);
  void detectSilentMembers(Time now);
  void sendHeartbeats(Time now);
  void probeRandomMember(Time now);
  void refreshTargets(Time now);
  [[nodiscard]] Heartbeat makeHeartbeat() const;
  [[nodiscard]] std::vector<ProcessId> neighbours() const;
  [[nodiscard]] std::vector<ProcessId> otherRelays() const;
  [[nodiscard]] std::vector<MemberUpdate> statements() const;
  [[nodiscard]] Member& self() { return members_.at(options_.self); }

  MembershipOptions options_;
  Random random_;
  std::map<ProcessId, Member> members_;
  std::vector<ProcessId> targets_;
  std::vector<OutgoingMessage> outgoing_;
  /** XOR of the fingerprints of all statements. */
  std::uint64_t viewFingerprint_ = 0;
  /** The fingerprint of the view that targets_ was computed from. */
  std::uint64_t targetsFingerprint_ = 0;
  Time nextHeartbeat_;
  Time nextProbe_;
  bool started_ = false;
};

} // namespace figchute::membership
