#pragma once

#include "core/Error.h"
#include "json/Value.h"

#include <cstddef>
#include <string>
#include <string_view>

namespace figchute::json {

/** Limits of one parse. */
struct ParseLimits
{
  /** Largest text, in bytes. */
  std::size_t maxBytes = 16U * 1024 * 1024;
  /** Deepest nesting of arrays and objects. */
  std::size_t maxDepth = 64;
};

/** Reads one JSON text (RFC 8259). Comments, trailing commas, unquoted names, text after the value,
    repeated member names, lone surrogates and numbers beyond the range of double are faults.
    @param text    the whole text, UTF-8
    @param limits  largest size and depth
    @returns the value; `bad_request` with the line and column of the fault; `body_too_large` when
             the text is longer than the limit
    Thread safety: safe from any thread. */
Expected<Value> parse(std::string_view text, const ParseLimits& limits = {});

/** Writes a value as JSON in UTF-8 without spaces; only what must be escaped is. Integers are
   written as integers; reals are written with the fewest digits that read back as the same number.
   Bytes that are not UTF-8 are replaced by U+FFFD. Thread safety: safe from any thread. */
std::string dump(const Value& value);

} // namespace figchute::json
