#pragma once

#include "core/Error.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::admin {

/** Tells whether a text may be used as a name: 1 to 64 letters, digits, `-`, `_` and `.`, not
    beginning with `.`. Thread safety: safe from any thread. */
bool isName(std::string_view text);

/** Tells whether a text may be the id of a change: 1 to 128 visible ASCII characters.
    Thread safety: safe from any thread. */
bool isChangeId(std::string_view text);

/** Reads a decimal number of digits only.
    @returns the number, or nothing when the text has another form or the number is above @p max
    Thread safety: safe from any thread. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t max = UINT64_MAX);

/** The parameters of a query, by name. */
using Parameters = std::map<std::string, std::string, std::less<>>;

/** Reads a query "a=1&b=2" with percent escapes.
    @param query    the text after the question mark
    @param allowed  the names that may occur
    @returns the parameters; `bad_request` when a name is unknown or repeated, or an escape is bad
    Thread safety: safe from any thread. */
Expected<Parameters> parseQuery(std::string_view query,
                                std::initializer_list<std::string_view> allowed);

/** Compares a secret in a time that depends on the length of @p given only.
    Precondition: @p secret is not empty. Thread safety: safe from any thread. */
bool equalsSecret(std::string_view given, std::string_view secret);

} // namespace figchute::admin
