#pragma once

#include "core/Types.h"
#include "wire/Codec.h"

#include <string>

namespace figchute::transport {

/** Where a process of the system listens and what it does. */
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
