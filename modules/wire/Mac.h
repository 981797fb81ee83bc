#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace figchute::wire::detail {

constexpr std::size_t kMacBytes = 32;
using Mac = std::array<unsigned char, kMacBytes>;

/** Computes an HMAC-SHA256. Thread safety: safe from any thread. */
Mac computeMac(std::string_view key, std::string_view text);

/** Compares two texts in a time that does not depend on their contents, so that timing does not
    reveal how many bytes match. Texts of different lengths differ.
    Thread safety: safe from any thread. */
bool equalsInConstantTime(std::string_view expected, std::string_view received);

} // namespace figchute::wire::detail
