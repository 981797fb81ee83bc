#pragma once

#include <cstddef>
#include <functional>
#include <istream>
#include <string_view>

namespace figchute::trace {

/** Longest line that is read, in bytes. */
constexpr std::size_t kMaxLineBytes = 64U * 1024;

/** Reads a stream line by line with bounded memory. Of a line longer than kMaxLineBytes only its
    first kMaxLineBytes bytes are given to @p take, with @p isCut true.
    @param in    the stream, read to its end
    @param take  gets each line without its line end; the text lives during the call
    @returns whether the stream was read to its end without an error
    Thread safety: safe from any thread. */
bool readLines(std::istream& in,
               const std::function<void(std::string_view line, bool isCut)>& take);

} // namespace figchute::trace
