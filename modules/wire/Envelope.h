#pragma once

#include "core/Error.h"
#include "core/Types.h"
#include "wire/Codec.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace figchute::wire {

/** The format version of envelopes. Envelopes of another version are dropped. */
constexpr std::uint16_t kEnvelopeVersion = 1;

/** Selects the module that decodes the body of an envelope. */
enum class Channel : std::uint8_t
{
  heartbeat = 0,
  replication = 1,
  ledger = 2,
  membership = 3,
  routing = 4,
  report = 5,
  fleet = 6,
  join = 7,
};

/** The number of channels. */
constexpr std::size_t kChannels = 8;

} // namespace figchute::wire

MSGPACK_ADD_ENUM(figchute::wire::Channel)

namespace figchute::wire {

/** A message between two processes: a typed body with its origin. */
struct Envelope
{
  std::uint16_t version = kEnvelopeVersion;
  ProcessId sender;
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  Channel channel = Channel::heartbeat;
  std::string body;

  MSGPACK_DEFINE(version, sender, incarnation, sequence, channel, body)
};

/** Encodes an envelope and signs it with HMAC-SHA256.
    @param envelope  the envelope to send
    @param key       the peer key from the settings
    @returns the bytes to send: 32 bytes of HMAC, then the encoded envelope
    Thread safety: safe from any thread. */
std::string seal(const Envelope& envelope, std::string_view key);

/** Verifies and decodes the bytes returned by seal().
    @returns the envelope; unauthenticated if the HMAC is wrong, codec_error if the body is
             malformed or the version is not supported
    Thread safety: safe from any thread. */
Expected<Envelope> open(std::string_view bytes, std::string_view key);

} // namespace figchute::wire
