#pragma once

#include <cstdint>
#include <string_view>

namespace figchute {

/** A 64-bit content hash (xxHash). It identifies request contents and prompt prefixes; it does not
    protect against forged input. */
using Fingerprint = std::uint64_t;

/** Hashes a text.
    @param text  the bytes to hash
    @param seed  the fingerprint of the preceding text, to build a chain; 0 to start a chain
    @returns the hash
    Thread safety: safe from any thread. */
Fingerprint fingerprintOf(std::string_view text, Fingerprint seed = 0);

} // namespace figchute
