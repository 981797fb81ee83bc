#pragma once

#include <cstddef>
#include <functional>
#include <istream>
#include <string_view>

namespace figchute::trace {

/** Maximum length of a line, in bytes; longer lines are truncated. */
constexpr std::size_t kMaxLineBytes = 64U * 1024;

/** Reads a stream line by line with bounded memory. A line longer than kMaxLineBytes is truncated
    to its first kMaxLineBytes bytes and passed with isTruncated set.
    @param in      the stream, read to its end
    @param onLine  called for each line without its line ending; the text is valid during the call
    @returns true if the stream was read to its end without an error
    Thread safety: safe from any thread. */
bool readLines(std::istream& in,
               const std::function<void(std::string_view line, bool isTruncated)>& onLine);

} // namespace figchute::trace
