#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace figchute::mesh::detail {

/** The size of the length that precedes each frame, in bytes. */
constexpr std::size_t kLengthPrefixBytes = 4;

/** Appends the length of a frame. Thread safety: safe from any thread. */
void appendLength(std::string& output, std::size_t length);

/** Returns the length of the frame that the bytes begin with.
    Precondition: there are at least kLengthPrefixBytes bytes.
    Thread safety: safe from any thread. */
std::size_t readLength(std::string_view bytes);

} // namespace figchute::mesh::detail
