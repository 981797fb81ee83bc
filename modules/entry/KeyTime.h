#pragma once

#include "core/core.h"

#include <optional>
#include <string_view>

namespace figchute::entry {

/** Checks the key of a non-idempotent call: it must begin with its time in Unix seconds and a dash.
    @returns key_required without such a key, key_expired when its time is more than 24 h ago,
    bad_request when its time is more than 5 min ahead
    Thread safety: safe from any thread. */
Expected<void> checkRequiredKey(Time now, std::string_view key);

/** Checks the key of an idempotent call. Only a key that begins with exactly ten digits and a dash
    is taken as carrying its time; any other key is accepted.
    @returns key_expired or bad_request as checkRequiredKey()
    Thread safety: safe from any thread. */
Expected<void> checkOptionalKey(Time now, std::string_view key);

/** Reads a rank as documents and the header X-Figchute-Rank write it.
    @returns the rank, or nothing for another text
    Thread safety: safe from any thread. */
std::optional<Rank> parseRank(std::string_view text);

} // namespace figchute::entry
