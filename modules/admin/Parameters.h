#pragma once

#include "core/Error.h"

#include <cstdint>
#include <initializer_list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace figchute::admin {

/** Returns true if a text is a valid name: 1 to 64 letters, digits, `-`, `_` and `.`, not
    beginning with `.`.
    Thread safety: safe from any thread. */
bool isName(std::string_view text);

/** Returns true if a text is a valid id of a change: 1 to 128 visible ASCII characters.
    Thread safety: safe from any thread. */
bool isChangeId(std::string_view text);

/** Parses a decimal number that consists of digits only.
    @returns the number, or nothing if the text is malformed or the number is greater than @p max
    Thread safety: safe from any thread. */
std::optional<std::uint64_t> parseUnsigned(std::string_view text, std::uint64_t max = UINT64_MAX);

/** The parameters of a query, by name. */
using Parameters = std::map<std::string, std::string, std::less<>>;

/** Parses a query of the form "a=1&b=2" with percent escapes.
    @param query    the text after the question mark
    @param allowed  the allowed parameter names
    @returns the parameters, or `bad_request` if a name is unknown or repeated, or an escape is
             malformed
    Thread safety: safe from any thread. */
Expected<Parameters> parseQuery(std::string_view query,
                                std::initializer_list<std::string_view> allowed);

/** Compares a candidate with a secret in a time that depends only on the length of @p candidate.
    Precondition: @p secret is not empty.
    Thread safety: safe from any thread. */
bool equalsSecret(std::string_view candidate, std::string_view secret);

} // namespace figchute::admin
