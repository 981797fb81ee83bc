#pragma once

#include <string_view>

namespace figchute::ini {

/** Returns true if a text is a valid name: 1 to 64 letters, digits, `-`, `_` and `.`, not starting
    with `.`. Thread safety: safe from any thread. */
bool isName(std::string_view text);

/** Describes the names that isName() accepts, for fault messages. */
constexpr std::string_view kNameRule =
  "1 to 64 letters, digits, '-', '_' and '.', not beginning with '.'";

/** Returns true if a text is a valid key: 8 to 256 visible ASCII characters without spaces.
    Thread safety: safe from any thread. */
bool isKey(std::string_view text);

/** Describes the keys that isKey() accepts, for fault messages. */
constexpr std::string_view kKeyRule = "8 to 256 visible ASCII characters without spaces";

} // namespace figchute::ini
