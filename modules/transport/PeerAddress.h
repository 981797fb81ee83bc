#pragma once

#include "core/Types.h"
#include "wire/Codec.h"

#include <string>

namespace figchute::transport {

/** The address and the roles of a process of the system. */
struct PeerAddress
{
  ProcessId id;
  std::string address;
  ZoneId zone;
  bool entry = false;
  bool control = false;

  MSGPACK_DEFINE(id, address, zone, entry, control)
};

} // namespace figchute::transport
