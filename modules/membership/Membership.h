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

/** Identity of the process that owns a Membership. */
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

/** One member in a view. */
struct MemberView
{
  ProcessId id;
  ZoneId zone;
  Incarnation incarnation;
  MemberState state = MemberState::alive;
};

/** Time between two heartbeats on one link. */
constexpr Duration kHeartbeatInterval = std::chrono::milliseconds(500);
/** A neighbour that is silent for this long becomes suspect. It equals the time after which a
    connection without acknowledgement is closed. */
constexpr Duration kSuspectAfter = std::chrono::seconds(2);
/** A suspect that does not refute the suspicion within this time becomes dead. */
constexpr Duration kDeadAfter = std::chrono::seconds(3);

/** Tracks which entry VMs are live.

    The live VMs of a zone, sorted by id, form a binary tree whose root is the relay of the zone.
    Each VM exchanges heartbeats with its neighbours in the tree only, and the relays exchange
    heartbeats with each other, so a VM has a bounded number of links at any fleet size. A VM that
    hears nothing from a neighbour suspects it and says so in its heartbeats; the suspect refutes
    that with a larger version or becomes dead. A larger incarnation replaces every statement about
    an older one. One random probe per second lets VMs that believe each other dead meet again.

    The class does no I/O and reads no clock.
    Thread safety: use one instance from one thread at a time. */
class Membership
{
public:
  /** Creates the view of a VM that has just started; every known peer is assumed alive until it
      proves silent.
      @param options  identity of this VM
      @param known    entry VMs of the settings; this VM itself may be among them */
  Membership(MembershipOptions options, std::span<const KnownPeer> known);

  /** Advances time: suspects silent neighbours and prepares heartbeats. Call it at least every
      100 ms.
      @param now  the current time */
  void tick(Time now);

  /** Handles a message.
      @param now      the current time
      @param from     the sender; a sender of an older incarnation is ignored
      @param message  the decoded message */
  void receive(Time now, const ProcessId& from, const Message& message);

  /** Returns the messages to send and forgets them. */
  std::vector<Outgoing> takeOutgoing();

  /** Returns the live VMs of this zone in order of their ids, this VM included. */
  [[nodiscard]] std::vector<ProcessId> liveInZone() const;

  /** Returns the live VMs of all zones in order of their ids. */
  [[nodiscard]] std::vector<ProcessId> live() const;

  /** Returns the relay of a zone: its live VM with the lowest id.
      @returns nullopt when the zone has no live VM */
  [[nodiscard]] std::optional<ProcessId> relayOf(const ZoneId& zone) const;

  /** Returns whether this VM is the relay of its zone. */
  [[nodiscard]] bool isRelay() const;

  /** Returns the VMs to send to: the neighbours in the zone, and for a relay the other relays.
      @param now  the current time */
  [[nodiscard]] std::vector<ProcessId> targets(Time now) const;

  /** Returns the links for the router. */
  [[nodiscard]] routing::Peers peers() const;

  /** Returns every VM ever heard of, with its state, in order of the ids. */
  [[nodiscard]] std::vector<MemberView> members() const;

private:
  struct Member
  {
    MemberUpdate statement;
    Time lastHeard;
    /** When the member became a target; a new target gets time to speak. */
    Time linkedSince;
    Time suspectSince;
    /** Heartbeats that still carry the statement. */
    std::uint32_t sendsLeft = 0;
    /** Since when the member's view has differed from this one; 0 when it does not. */
    Time differsSince;
  };

  void start(Time now);
  bool apply(Time now, const MemberUpdate& update);
  void replace(Time now, Member& member, const MemberUpdate& update);
  void refute(Time now, const MemberUpdate& update);
  void handle(Time now, const ProcessId& from, const Heartbeat& heartbeat);
  void handle(Time now, const ProcessId& from, const FullView& view);
  void compareViews(Time now, Member& sender, std::uint32_t view);
  void checkSilence(Time now);
  void sendHeartbeats(Time now);
  void probe(Time now);
  void refreshLinks(Time now);
  [[nodiscard]] Heartbeat makeHeartbeat() const;
  [[nodiscard]] std::vector<ProcessId> neighbours() const;
  [[nodiscard]] std::vector<ProcessId> otherRelays() const;
  [[nodiscard]] std::vector<MemberUpdate> statements() const;
  [[nodiscard]] Member& self() { return members_.at(options_.self); }

  MembershipOptions options_;
  Random random_;
  std::map<ProcessId, Member> members_;
  std::vector<ProcessId> links_;
  std::vector<Outgoing> outgoing_;
  /** Combined fingerprint of all statements, kept up to date by replace(). */
  std::uint64_t view_ = 0;
  /** The view that links_ follow from. */
  std::uint64_t linksView_ = 0;
  Time nextHeartbeat_;
  Time nextProbe_;
  bool started_ = false;
};

} // namespace figchute::membership
