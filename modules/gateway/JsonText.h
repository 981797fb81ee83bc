#pragma once

#include <string>
#include <string_view>

namespace figchute::gateway {

/** Appends @p text to @p out as a quoted JSON string. Control characters, quotes and backslashes
    are escaped; all other bytes, including UTF-8 sequences, are copied unchanged.
    Thread safety: may be called from any thread. */
void appendJsonString(std::string& out, std::string_view text);

/** Returns @p text as a quoted JSON string, escaped as by appendJsonString().
    Thread safety: may be called from any thread. */
std::string jsonQuote(std::string_view text);

} // namespace figchute::gateway
