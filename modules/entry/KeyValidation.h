#pragma once

#include "core/core.h"

#include <optional>
#include <string_view>

namespace figchute::entry {

/** Checks the idempotency key of a non-repeatable call, which must begin with a time in Unix
    seconds and a dash.
    @returns key_required if there is no such key, key_expired if its time is more than 24 h in the
    past, bad_request if its time is more than 5 min in the future
    Thread safety: safe from any thread. */
Expected<void> checkRequiredKey(Time now, std::string_view key);

/** Checks the idempotency key of a repeatable call. A key that begins with exactly ten digits and a
    dash is checked as a key with a time; any other key is accepted.
    @returns key_expired or bad_request under the same conditions as checkRequiredKey()
    Thread safety: safe from any thread. */
Expected<void> checkOptionalKey(Time now, std::string_view key);

/** Parses the name of a rank as used in documents and in the header X-Figchute-Rank.
    @returns the rank, or nullopt if the name is unknown
    Thread safety: safe from any thread. */
std::optional<Rank> parseRank(std::string_view text);

} // namespace figchute::entry
