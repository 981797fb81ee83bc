#pragma once

#include <cstddef>
#include <string_view>

namespace figchute {

/** Checks that a text is valid UTF-8 (no overlong forms, no surrogates, at most U+10FFFF).
    @param text  any bytes
    @returns the offset of the first invalid byte, or std::string_view::npos if there is none
    Thread safety: safe from any thread. This header may be included from C++17 code. */
std::size_t findInvalidUtf8(std::string_view text);

} // namespace figchute
