#pragma once

#include "core/Types.h"
#include "wire/Codec.h"

#include <cstdint>
#include <variant>
#include <vector>

namespace figchute::membership {

/** How a VM sees another VM. */
enum class MemberState : std::uint8_t
{
  alive = 0,
  /** Silent for a while; used no more, but not given up. */
  suspect = 1,
  dead = 2,
};

} // namespace figchute::membership

MSGPACK_ADD_ENUM(figchute::membership::MemberState)

namespace figchute::membership {

/** A statement about one member. Of two statements the one with the larger (incarnation, version,
    state) wins. Only the member itself raises its version, to refute a suspicion. */
struct MemberUpdate
{
  ProcessId id;
  ZoneId zone;
  Incarnation incarnation;
  std::uint32_t version = 0;
  MemberState state = MemberState::alive;

  MSGPACK_DEFINE(id, zone, incarnation, version, state)
};

/** Sent to each target once per interval. */
struct Heartbeat
{
  /** The sender's statement about itself. */
  MemberUpdate self;
  /** Fingerprint of the sender's view; a receiver with another view asks for all of it. */
  std::uint32_t view = 0;
  /** Statements that the sender learned of late. */
  std::vector<MemberUpdate> updates;

  MSGPACK_DEFINE(self, view, updates)
};

/** The sender's whole view, sent when the views of two VMs differ for more than an interval. */
struct FullView
{
  std::vector<MemberUpdate> members;
  /** Whether the receiver shall answer with its own view. */
  bool wantsReply = false;

  MSGPACK_DEFINE(members, wantsReply)
};

/** What entry VMs send each other for membership. Every message tolerates loss. */
using Message = std::variant<Heartbeat, FullView>;

/** A message with its receiver. */
struct Outgoing
{
  ProcessId to;
  Message message;
};

} // namespace figchute::membership
