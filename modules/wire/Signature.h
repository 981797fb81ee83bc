#pragma once

#include <string>
#include <string_view>

namespace figchute::wire {

/** Signs a text with HMAC-SHA256.
    @param text  the text to sign
    @param key   the peer key from the settings
    @returns the HMAC in hexadecimal digits
    Thread safety: safe from any thread. */
std::string sign(std::string_view text, std::string_view key);

/** Returns whether a signature was made by sign() for the same text and key. Takes the same time
   for all signatures of the right length. Thread safety: safe from any thread. */
bool isSignedBy(std::string_view text, std::string_view signature, std::string_view key);

} // namespace figchute::wire
