#pragma once

#include "core/Error.h"
#include "json/Value.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace figchute::json {

/** Limits for parsing a text. */
struct ParseLimits
{
  /** Maximum size of the text, in bytes. */
  std::size_t maxBytes = 16U * 1024 * 1024;
  /** Maximum nesting depth of arrays and objects. */
  std::size_t maxDepth = 64;
};

/** Parses a JSON text (RFC 8259). Comments, trailing commas, unquoted names, text after the value,
    repeated member names, lone surrogates and numbers outside the range of double are errors.
    @param text    the whole text, UTF-8
    @param limits  maximum size and depth
    @returns the value; `bad_request` with the line and column of the error; `body_too_large` if
             the text exceeds the limit
    Thread safety: safe from any thread. */
Expected<Value> parse(std::string_view text, const ParseLimits& limits = {});

/** Returns a value as JSON in UTF-8 without spaces. Only characters that must be escaped are
    escaped. Integers are written as integers; reals are written with the fewest digits that parse
    to the same number. Bytes that are not UTF-8 are replaced by U+FFFD. Thread safety: safe from
    any thread. */
std::string dump(const Value& value);

} // namespace figchute::json
