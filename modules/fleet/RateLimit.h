#pragma once

#include "core/Types.h"
#include "wire/Codec.h"

#include <cstdint>

namespace figchute::fleet {

/** The rate limit that an endpoint named in an answer, or that it named none. */
struct RateLimit
{
  /** Identifies the endpoint and its incarnation. */
  std::uint64_t endpoint = 0;
  /** False if the answer named no limit: an earlier one has ended. */
  bool isLimited = false;
  /** Requests per second that the endpoint accepts from all processes together. */
  double requestsPerSecond = 0;
  /** Time since the answer was received, in ms, when the message was sent. */
  std::int64_t ageMs = 0;
  MSGPACK_DEFINE(endpoint, isLimited, requestsPerSecond, ageMs)
};

/** Returns whether a received limit is a finite number of at least 0. Safe from any thread. */
bool isValid(const RateLimit& limit);

} // namespace figchute::fleet
