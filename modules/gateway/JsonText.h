#pragma once

#include <string>
#include <string_view>

namespace figchute::gateway {

/** Appends @p text to @p out as a JSON string in quotes. Control characters, quotes and back
    slashes are escaped; other bytes are copied, so UTF-8 stays UTF-8.
    Thread safety: safe from any thread. */
void appendJsonString(std::string& out, std::string_view text);

/** Returns @p text as a JSON string in quotes. Safe from any thread. */
std::string jsonQuote(std::string_view text);

} // namespace figchute::gateway
