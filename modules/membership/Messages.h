#pragma once

#include "core/Types.h"
#include "wire/Codec.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace figchute::membership {

/** State of a VM in the view of another VM. */
enum class MemberState : std::uint8_t
{
  alive = 0,
  /** Silent for kSuspectAfter; no longer used, but not yet considered dead. */
  suspect = 1,
  dead = 2,
};

} // namespace figchute::membership

MSGPACK_ADD_ENUM(figchute::membership::MemberState)

namespace figchute::membership {

/** A statement about the state of one member. Of two statements, the one with the larger
 * (incarnation, version, state) takes precedence. Only the member itself increases its version, to
 * refute a suspicion. */
struct MemberUpdate
{
  ProcessId id;
  ZoneId zone;
  Incarnation incarnation;
  std::uint32_t version = 0;
  MemberState state = MemberState::alive;

  MSGPACK_DEFINE(id, zone, incarnation, version, state)
};

/** Sent to each target once per kHeartbeatInterval, or earlier after a change. */
struct Heartbeat
{
  /** The sender's statement about itself. */
  MemberUpdate self;
  /** Fingerprint of the sender's view; a receiver whose view stays different exchanges full views
   * with the sender. */
  std::uint32_t view = 0;
  /** Statements that the sender received recently. */
  std::vector<MemberUpdate> updates;

  MSGPACK_DEFINE(self, view, updates)
};

/** The sender's complete view, sent when the views of two VMs stay different or when the receiver
 * was not alive in the sender's view before. */
struct FullView
{
  std::vector<MemberUpdate> members;
  /** Whether the receiver must reply with its own view. */
  bool wantsReply = false;

  MSGPACK_DEFINE(members, wantsReply)
};

/** A membership message between entry VMs. The protocol tolerates the loss of any message. */
using Message = std::variant<Heartbeat, FullView>;

/** A message with its receiver. */
struct OutgoingMessage
{
  ProcessId to;
  Message message;
};

} // namespace figchute::membership
