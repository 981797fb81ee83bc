#pragma once

#include "core/core.h"
#include "wire/Codec.h"

#include <compare>
#include <cstdint>
#include <string>

namespace figchute::fleet {

/** The state that an endpoint reports. */
enum class EndpointState : std::uint8_t
{
  ready = 0,
  draining = 1,
};

} // namespace figchute::fleet

MSGPACK_ADD_ENUM(figchute::fleet::EndpointState)

namespace figchute::fleet {

/** The announcement that an endpoint sends about once a second. */
struct Announcement
{
  EndpointId id;
  ServiceName service;
  /** IP:port. */
  std::string address;
  ZoneId zone;
  std::string softwareVersion;
  int slots = 0;
  EndpointState state = EndpointState::ready;
  /** Remaining time for which the endpoint is slow after its start, in ms. */
  std::int64_t warmupMs = 0;
  /** Increases with each announcement of an incarnation. */
  std::uint64_t sequence = 0;
  /** Start of the incarnation, in ms since the Unix epoch by the endpoint's clock. */
  std::int64_t startedAtMs = 0;
  MSGPACK_DEFINE(id,
                 service,
                 address,
                 zone,
                 softwareVersion,
                 slots,
                 state,
                 warmupMs,
                 sequence,
                 startedAtMs)
};

/** The record of an endpoint in the registry. */
struct EndpointRecord
{
  EndpointId id;
  ServiceName service;
  std::string address;
  ZoneId zone;
  int slots = 0;
  EndpointState state = EndpointState::ready;
  std::int64_t warmupMs = 0;
  std::uint64_t sequence = 0;
  std::int64_t startedAtMs = 0;
  /** Index of the log entry that last changed the record. */
  std::uint64_t revision = 0;
  /** The version of the software, as announced; endpoints that announce none have the same one. */
  std::string softwareVersion{};
  bool operator==(const EndpointRecord&) const = default;
  MSGPACK_DEFINE(id,
                 service,
                 address,
                 zone,
                 slots,
                 state,
                 warmupMs,
                 sequence,
                 startedAtMs,
                 revision,
                 softwareVersion)
};

} // namespace figchute::fleet
